package tanagerreplay

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Kind describes a kind of job. Sizes are drawn from log-normal distributions
// with the given mean and spread, where the spread is the standard deviation of
// the logarithm.
type Kind struct {
	Queue tanagerport.Queue
	// ArrivalRate is in jobs per second.
	ArrivalRate float64
	// Steps and Width are the mean numbers of steps and of tasks in a step.
	Steps, Width, WidthSpread float64
	MaxWidth                  int
	// MilliCPU and MemoryMB are a task's mean resource request, Duration its mean
	// run time.
	MilliCPU, MemoryMB, RequestSpread float64
	Duration                          time.Duration
	DurationSpread                    float64
	// EstimateSpread is the spread of the estimated duration around the actual
	// duration.
	EstimateSpread float64
	// GangShare of the jobs are gangs; FailureShare of the runs fail.
	GangShare, FailureShare float64
	// EligibleShare of the workers may run a step if the queue uses advice.
	EligibleShare float64
	// OnTimeValue is the value of a job of mean size that completes within its
	// objective, LateValue that of one that completes within three times the
	// objective.
	OnTimeValue, LateValue float64
}

// Burst multiplies the arrival rate of the kind with index Kind for a time.
type Burst struct {
	Kind            int
	Start, Duration time.Duration
	Factor          float64
}

// Load describes a fleet and the jobs that arrive at it.
type Load struct {
	Seed     uint64
	Duration time.Duration
	Workers  int
	RackSize int
	Capacity tanagerwork.Resources
	// SlowShare is the share of workers that take SlowFactor times as long.
	SlowShare, SlowFactor float64
	Advisers              int
	Kinds                 []Kind
	Bursts                []Burst
	Faults                []Fault
	// MaxSubmissions is how often a caller submits a job before it gives up.
	// CallerDeadline, if not 0, is how long it goes on doing so.
	MaxSubmissions int
	CallerDeadline time.Duration
}

const serviceName = "pool"

// The advice policies of the ladder service, as its users state them.
var (
	rerankAdvice = tanagerport.AdvicePolicy{DecisionTime: 410 * time.Millisecond, TimePerWorker: 5900 * time.Microsecond,
		TicketTTL: 1500 * time.Millisecond}
	verifyAdvice = tanagerport.AdvicePolicy{DecisionTime: 53 * time.Millisecond, TimePerWorker: 750 * time.Microsecond,
		TicketTTL: 1500 * time.Millisecond}
	pairAdvice = tanagerport.AdvicePolicy{DecisionTime: 9300 * time.Microsecond, TimePerWorker: 130 * time.Microsecond,
		TicketTTL: 1500 * time.Millisecond}
)

// LadderLoad returns the load of a ladder service on 48 large workers: urgent
// pairings, batch verification and gangs that recompute the standings.
func LadderLoad() Load {
	return Load{
		Seed:     1,
		Duration: 30 * time.Second,
		Workers:  48,
		RackSize: 8,
		Capacity: tanagerwork.Resources{
			MilliCPU: 64000,
			MemoryMB: 262144,
		},
		SlowShare:      1.0 / 3,
		SlowFactor:     1.3,
		Advisers:       8,
		MaxSubmissions: 5,
		Kinds: []Kind{
			{
				Queue:          newQueue("rerank", 1, 2, 2.2, time.Second, &rerankAdvice),
				ArrivalRate:    1.81,
				Steps:          1.2,
				Width:          8,
				WidthSpread:    0.8,
				MaxWidth:       48,
				MilliCPU:       18000,
				MemoryMB:       52000,
				RequestSpread:  0.4,
				Duration:       4 * time.Second,
				DurationSpread: 0.5,
				EstimateSpread: 0.2,
				GangShare:      1,
				FailureShare:   0.005,
				EligibleShare:  0.25,
				OnTimeValue:    11,
				LateValue:      2.2,
			},
			{
				Queue:          newQueue("verify", 2, 4, 4, 3*time.Second, &verifyAdvice),
				ArrivalRate:    6.82,
				Steps:          1.5,
				Width:          10,
				WidthSpread:    0.8,
				MaxWidth:       60,
				MilliCPU:       3900,
				MemoryMB:       11000,
				RequestSpread:  0.45,
				Duration:       2200 * time.Millisecond,
				DurationSpread: 0.5,
				EstimateSpread: 0.5,
				FailureShare:   0.05,
				EligibleShare:  0.45,
				OnTimeValue:    1.83,
				LateValue:      0.366,
			},
			{
				Queue:          newQueue("pair", 0, 4, 1.5, 250*time.Millisecond, &pairAdvice),
				ArrivalRate:    38.7,
				Steps:          1,
				Width:          2,
				WidthSpread:    0.8,
				MaxWidth:       12,
				MilliCPU:       5600,
				MemoryMB:       16000,
				RequestSpread:  0.45,
				Duration:       800 * time.Millisecond,
				DurationSpread: 0.5,
				EstimateSpread: 0.2,
				GangShare:      0.3,
				FailureShare:   0.05,
				EligibleShare:  0.7,
				OnTimeValue:    0.452,
				LateValue:      0.0904,
			},
		},
	}
}

// LargeFleet returns l, which must have the kinds of LadderLoad, on a fleet
// several times as large, with wider steps, larger tasks and slower advice.
func LargeFleet(l Load) Load {
	l.Workers = 350
	l.RackSize = 12
	l.Advisers = 38
	l.Kinds = slices.Clone(l.Kinds)
	l.Kinds[0].resize(5.96, 20, 18000, 49000, &tanagerport.AdvicePolicy{
		DecisionTime:  442 * time.Millisecond,
		TimePerWorker: 6370 * time.Microsecond,
		TicketTTL:     1500 * time.Millisecond,
	})
	l.Kinds[1].resize(12.3, 25, 6900, 20000, &tanagerport.AdvicePolicy{
		DecisionTime:  104 * time.Millisecond,
		TimePerWorker: 1430 * time.Microsecond,
		TicketTTL:     1500 * time.Millisecond,
	})
	l.Kinds[2].resize(110, 3.2, 9900, 28000, &tanagerport.AdvicePolicy{
		DecisionTime:  11700 * time.Microsecond,
		TimePerWorker: 169 * time.Microsecond,
		TicketTTL:     1500 * time.Millisecond,
	})
	return l
}

// PeakLoad returns the heaviest load of the large fleet: higher arrival rates
// and a burst of each kind in turn.
func PeakLoad() Load {
	l := LargeFleet(LadderLoad())
	for i := range l.Kinds {
		l.Kinds[i].ArrivalRate *= 1.1
	}
	l.Bursts = []Burst{
		{
			Kind:     1,
			Start:    2 * time.Second,
			Duration: 4 * time.Second,
			Factor:   1.8,
		},
		{
			Kind:     2,
			Start:    9 * time.Second,
			Duration: 4 * time.Second,
			Factor:   1.6,
		},
		{
			Kind:     0,
			Start:    18 * time.Second,
			Duration: 4 * time.Second,
			Factor:   1.6,
		},
	}
	return l
}

func (k *Kind) resize(arrivalRate, width, milliCPU, memoryMB float64, advice *tanagerport.AdvicePolicy) {
	k.ArrivalRate = arrivalRate
	k.MaxWidth = int(float64(k.MaxWidth) * width / k.Width)
	k.Width = width
	k.MilliCPU = milliCPU
	k.MemoryMB = memoryMB
	k.Queue.Advice = advice
}

// DispatchingLoad returns the load of a dispatching service with small workers.
// It resembles LadderLoad, with a quarter of the CPU and an eighth of the memory
// per task and less accurate estimates.
func DispatchingLoad() Load {
	l := LadderLoad()
	l.Capacity = tanagerwork.Resources{
		MilliCPU: 16000,
		MemoryMB: 32768,
	}
	l.Advisers = 9
	for i := range l.Kinds {
		l.Kinds[i].MilliCPU /= 4
		l.Kinds[i].MemoryMB /= 8
		l.Kinds[i].EstimateSpread = 0.7
	}
	return l
}

func newQueue(name string, priority, maxAttempts int, stretch float64, slack time.Duration,
	advice *tanagerport.AdvicePolicy) tanagerport.Queue {
	return tanagerport.Queue{
		Name:        name,
		Service:     serviceName,
		Priority:    priority,
		MaxAttempts: maxAttempts,
		Stretch:     stretch,
		Slack:       slack,
		Advice:      advice,
	}
}

// Configuration returns the cell's configuration for the load.
func (l *Load) Configuration() tanagerport.Configuration {
	c := tanagerport.Configuration{
		Version:  1,
		Services: []tanagerport.Service{{Name: serviceName}},
	}
	for _, k := range l.Kinds {
		c.Queues = append(c.Queues, k.Queue)
	}
	return c
}

// WorkerEntries returns the workers as entries of the platform's worker list.
func (l *Load) WorkerEntries() []tanagerport.WorkerEntry {
	var entries []tanagerport.WorkerEntry
	for i := range l.Workers {
		rack := "r" + strconv.Itoa(i/l.RackSize)
		entries = append(entries, tanagerport.WorkerEntry{
			ID:          workerID(i),
			Incarnation: 1,
			Service:     serviceName,
			Rack:        rack,
			Labels:      []string{"a", rack},
			Capacity:    l.Capacity,
		})
	}
	return entries
}

func workerID(i int) string { return "w" + strconv.Itoa(1000+i) }

// arrival is a generated job. Apart from its record, its fields are hidden from
// the scheduler.
type arrival struct {
	at     time.Duration
	kind   int
	record tanagerwork.Record
	// durations and failures are indexed by step and task. A task fails failures
	// times before it succeeds.
	durations [][]time.Duration
	failures  [][]int
	// eligible is indexed by step and worker.
	eligible    [][]bool
	coreSeconds float64
	// minDuration is the duration of the job without queueing, including advice
	// on 30 workers for each step.
	minDuration time.Duration
	// crashesWorkers is set for jobs with a first task that crashes its workers.
	crashesWorkers bool
}

// sampleArrivals returns the jobs of the load in order of arrival. Each kind has
// at most one arrival in an interval.
func (l *Load) sampleArrivals(start time.Time) []*arrival {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	var arrivals []*arrival
	const interval = 5 * time.Millisecond
	for at := time.Duration(0); at < l.Duration; at += interval {
		for k := range l.Kinds {
			rate := l.Kinds[k].ArrivalRate * l.burstFactor(k, at)
			if r.Float64() < rate*interval.Seconds() {
				arrivals = append(arrivals, l.sampleJob(r, k, at, len(arrivals), start))
			}
		}
	}
	return arrivals
}

func (l *Load) burstFactor(kind int, at time.Duration) float64 {
	f := 1.0
	for _, b := range l.Bursts {
		if b.Kind == kind && at >= b.Start && at < b.Start+b.Duration {
			f *= b.Factor
		}
	}
	return f
}

func (l *Load) sampleJob(r *rand.Rand, kind int, at time.Duration, number int, start time.Time) *arrival {
	k := &l.Kinds[kind]
	a := &arrival{
		at:   at,
		kind: kind,
	}
	gang := r.Float64() < k.GangShare
	steps := 1 + int(r.Float64()+k.Steps-1)
	spec := tanagerwork.Spec{Payload: "replay"}
	for i := range steps {
		spec.Steps = append(spec.Steps, l.sampleStep(r, k, a, i, gang))
	}
	id := "0000000000000000" + strconv.FormatInt(int64(number), 16)
	a.record = tanagerwork.Record{
		ID:      tanagerwork.JobID(id[len(id)-16:]),
		Queue:   k.Queue.Name,
		Service: serviceName,
		Epoch:   1,
		Arrived: start.Add(at),
		Spec:    spec,
	}
	return a
}

// sampleStep draws a step of a job and appends its hidden fields to a.
func (l *Load) sampleStep(r *rand.Rand, k *Kind, a *arrival, index int, gang bool) tanagerwork.Step {
	width := min(max(int(logNormal(r, k.Width, k.WidthSpread)+0.5), 1), k.MaxWidth)
	duration := time.Duration(logNormal(r, float64(k.Duration), k.DurationSpread))
	s := tanagerwork.Step{
		TaskCount: width,
		Resources: tanagerwork.Resources{
			MilliCPU: int64(min(logNormal(r, k.MilliCPU, k.RequestSpread), 0.47*float64(l.Capacity.MilliCPU))),
			MemoryMB: int64(min(logNormal(r, k.MemoryMB, k.RequestSpread), 0.38*float64(l.Capacity.MemoryMB))),
		},
		Estimate: time.Duration(float64(duration) * math.Exp(k.EstimateSpread*r.NormFloat64())),
		Gang:     gang,
	}
	if index > 0 {
		s.After = []int{index - 1}
	}
	eligible := make([]bool, l.Workers)
	fitCount := 0
	for i := range eligible {
		eligible[i] = k.Queue.Advice == nil || r.Float64() < k.EligibleShare
		if eligible[i] {
			fitCount += s.Resources.FitCount(l.Capacity, width)
		}
	}
	// A gang takes at most two thirds of the capacity of its eligible workers.
	if gang {
		width = max(min(width, fitCount*2/3), 1)
		s.TaskCount = width
	}
	durations := make([]time.Duration, width)
	failures := make([]int, width)
	for i := range width {
		durations[i] = duration
		for r.Float64() < k.FailureShare && failures[i] < k.Queue.MaxAttempts-1 {
			failures[i]++
		}
	}
	a.durations = append(a.durations, durations)
	a.failures = append(a.failures, failures)
	a.eligible = append(a.eligible, eligible)
	a.coreSeconds += float64(width) * duration.Seconds() * float64(s.Resources.MilliCPU) / 1000
	a.minDuration += duration
	if p := k.Queue.Advice; p != nil {
		a.minDuration += p.DecisionTime + 30*p.TimePerWorker
	}
	return s
}

// logNormal draws from a log-normal distribution with the given mean and the
// given standard deviation of the logarithm.
func logNormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}
