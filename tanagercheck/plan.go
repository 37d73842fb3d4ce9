package tanagercheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

const (
	// faultPeriod is the time in which faults begin and jobs are submitted. All
	// faults have ended by healedAt, and jobs have to end by walkEnd.
	faultPeriod = 30 * time.Second
	healedAt    = 48 * time.Second
	walkEnd     = 90 * time.Second
	// firstFaultAt leaves the daemons time to elect the first scheduler.
	firstFaultAt = time.Second
	// maxFaultLength is longer than it takes until the leases of a scheduler and of
	// its workers are over, one after the other.
	maxFaultLength = 16 * time.Second
	gatherWidth    = 8 * time.Second
	minFaults      = 2
	maxFaults      = 9
	minJobs        = 6
	maxJobs        = 16
	maxGang        = 3
	taskMilliCPU   = 1000
	minTaskTime    = 100 * time.Millisecond
	maxTaskTime    = 5 * time.Second
	longTaskTime   = 14 * time.Second
	// maxEntryDelay is two of the intervals at which workers write their entries.
	maxEntryDelay = time.Second
	// seedStream and optionStream separate the random numbers of plans from those of
	// calls.
	seedStream   = 0x706c616e
	optionStream = 0x6f707469
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	// PauseDaemon stops all goroutines of a daemon that ask for the time or make a
	// call. PauseAtStart does so between the decision on a start and its call.
	PauseDaemon  Kind = "pause-daemon"
	PauseAtStart Kind = "pause-at-start"
	// CutStore, CutPeers and CutWorkers cut a daemon off from the store, the other
	// daemons and some workers. Partition cuts a daemon with some workers off from
	// all others and, unless Flag is set, from the store.
	CutStore   Kind = "cut-store"
	CutPeers   Kind = "cut-peers"
	CutWorkers Kind = "cut-workers"
	Partition  Kind = "partition"
	// LossyWorkers and LossyStore lose calls and responses of a daemon, or execute
	// calls seconds later. SlowStore delays them.
	LossyWorkers Kind = "lossy-workers"
	LossyStore   Kind = "lossy-store"
	SlowStore    Kind = "slow-store"
	// RestartWorker restarts a worker under its id. With Flag the new incarnation has
	// a lower number.
	RestartWorker Kind = "restart-worker"
	// HideWorker removes the entry of a worker that goes on.
	HideWorker Kind = "hide-worker"
	// KillDaemon kills a daemon, StopDaemon lets it hand over first.
	KillDaemon Kind = "kill-daemon"
	StopDaemon Kind = "stop-daemon"
	// DropHistory makes the store forget its history.
	DropHistory Kind = "drop-history"
	// StoreDown makes the store unavailable to all.
	StoreDown Kind = "store-down"
)

var kinds = []Kind{
	PauseDaemon, PauseAtStart, CutStore, CutPeers, CutWorkers, Partition, LossyWorkers, LossyStore, SlowStore,
	RestartWorker, HideWorker, KillDaemon, StopDaemon, DropHistory, StoreDown,
}

// Fault is a fault of a plan.
type Fault struct {
	Kind   Kind
	At     time.Duration
	Length time.Duration
	Daemon int
	Worker int
	// Workers is the set of workers that a cut concerns, as a bit mask.
	Workers uint
	// Rate is the share of calls that are concerned.
	Rate float64
	Flag bool
	// OnLeader aims the fault at the scheduler of its time.
	OnLeader bool
}

func (f *Fault) end() time.Duration { return f.At + f.Length }

// String describes the fault.
func (f *Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s for %v, daemon d%d", f.Kind, f.Length.Round(time.Millisecond), f.Daemon+1)
	if f.OnLeader {
		b.WriteString(" (or the scheduler)")
	}
	switch f.Kind {
	case CutWorkers, Partition:
		fmt.Fprintf(&b, ", workers %03b", f.Workers)
	case RestartWorker, HideWorker:
		fmt.Fprintf(&b, ", worker w%d", f.Worker+1)
	}
	if f.Flag {
		b.WriteString(", flag")
	}
	return b.String()
}

// plannedJob is a job that callers submit.
type plannedJob struct {
	id   tanagerwork.JobID
	at   time.Duration
	spec tanagerwork.Spec
	// duration is that of the tasks of each step.
	duration []time.Duration
	// repeatAfter is when the job is submitted once more after its acceptance, 0 for
	// never.
	repeatAfter time.Duration
}

// Plan is what a walk does.
type Plan struct {
	Seed             uint64
	Daemons, Workers int
	Faults           []Fault
	// MaxEntryDelay is the longest time until a worker that has restarted writes its
	// entry.
	MaxEntryDelay time.Duration
	// QuickRestarts bring workers back before a scheduler notices that they were away.
	QuickRestarts bool
	jobs          []plannedJob
}

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64) Plan {
	r := rand.New(rand.NewPCG(seed, seedStream))
	p := Plan{
		Seed:    seed,
		Daemons: 2 + r.IntN(2),
		Workers: 2 + r.IntN(2),
	}
	// Each walk uses some of the kinds, so that rare combinations come up.
	enabled := make([]Kind, 0, len(kinds))
	for _, k := range kinds {
		if r.IntN(2) == 0 {
			enabled = append(enabled, k)
		}
	}
	if len(enabled) == 0 {
		enabled = append(enabled, Partition)
	}
	for range minFaults + r.IntN(maxFaults-minFaults+1) {
		p.Faults = append(p.Faults, newFault(r, &p, enabled[r.IntN(len(enabled))]))
	}
	for i := range minJobs + r.IntN(maxJobs-minJobs+1) {
		p.jobs = append(p.jobs, newJob(r, i))
	}
	if r.IntN(2) == 0 {
		p.gather(r)
	}
	options := rand.New(rand.NewPCG(seed, optionStream))
	if options.IntN(2) == 0 {
		p.MaxEntryDelay = maxEntryDelay
	}
	if options.IntN(3) == 0 {
		p.makeGangs(options)
	}
	p.QuickRestarts = options.IntN(2) == 0
	return p
}

// makeGangs turns most steps into gangs.
func (p *Plan) makeGangs(r *rand.Rand) {
	for _, j := range p.jobs {
		for i := range j.spec.Steps {
			if r.IntN(4) > 0 {
				j.spec.Steps[i].Gang = true
				j.spec.Steps[i].TaskCount = 2 + r.IntN(maxGang-1)
			}
		}
	}
}

// gather moves the faults and most jobs close to each other, so that faults overlap.
func (p *Plan) gather(r *rand.Rand) {
	center := firstFaultAt + time.Duration(r.Int64N(int64(faultPeriod-firstFaultAt-gatherWidth)))
	for i := range p.Faults {
		p.Faults[i].At = center + time.Duration(r.Int64N(int64(gatherWidth)))
	}
	for i := range p.jobs {
		if r.IntN(4) > 0 {
			p.jobs[i].at = max(0, center-gatherWidth/2) + time.Duration(r.Int64N(int64(gatherWidth)))
		}
	}
}

// without returns the plan without a fault.
func (p *Plan) without(fault int) Plan {
	q := *p
	q.Faults = slices.Delete(slices.Clone(p.Faults), fault, fault+1)
	return q
}

func newFault(r *rand.Rand, p *Plan, k Kind) Fault {
	length := time.Duration(r.Int64N(int64(maxFaultLength)))
	if r.IntN(2) == 0 {
		length /= 4
	}
	return Fault{
		Kind:     k,
		At:       firstFaultAt + time.Duration(r.Int64N(int64(faultPeriod-firstFaultAt))),
		Length:   max(length, time.Millisecond),
		Daemon:   r.IntN(p.Daemons),
		Worker:   r.IntN(p.Workers),
		Workers:  uint(1 + r.IntN(1<<p.Workers-1)),
		Rate:     0.05 + 0.6*r.Float64(),
		Flag:     r.IntN(2) == 0,
		OnLeader: r.IntN(3) > 0,
	}
}

func newJob(r *rand.Rand, i int) plannedJob {
	j := plannedJob{
		id: tanagerwork.JobID(fmt.Sprintf("%016x", i+1)),
		at: time.Duration(r.Int64N(int64(faultPeriod))),
	}
	steps := 1 + r.IntN(2)
	for s := range steps {
		duration := minTaskTime + time.Duration(r.Int64N(int64(maxTaskTime-minTaskTime)))
		switch r.IntN(6) {
		case 0, 1, 2:
			duration = minTaskTime + duration/8
		case 3:
			duration += time.Duration(r.Int64N(int64(longTaskTime - maxTaskTime)))
		}
		step := tanagerwork.Step{
			TaskCount: 1,
			Resources: tanagerwork.Resources{MilliCPU: taskMilliCPU},
			Estimate:  duration,
		}
		switch r.IntN(4) {
		case 0:
			step.Gang = true
			step.TaskCount = 2 + r.IntN(maxGang-1)
		case 1:
			step.TaskCount = 2
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.spec.Steps = append(j.spec.Steps, step)
		j.duration = append(j.duration, duration)
	}
	j.spec.Payload = "payload of " + string(j.id)
	if r.IntN(4) == 0 {
		j.repeatAfter = time.Duration(r.Int64N(int64(10 * time.Second)))
	}
	return j
}
