package tanagerreplay

import (
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// FaultKind names what a fault does.
type FaultKind string

// The kinds of faults. The first four strike a share of the workers.
const (
	// WorkersCrash lose all runs and are silent; afterwards they return as new
	// incarnations.
	WorkersCrash FaultKind = "workers_crash"
	// WorkersHang answer polls, and their runs stand still.
	WorkersHang FaultKind = "workers_hang"
	// WorkersSlow take Fault.Factor times as long for new runs.
	WorkersSlow FaultKind = "workers_slow"
	// WorkersFail fail all new runs at once.
	WorkersFail FaultKind = "workers_fail"
	// StoreOutage stores nothing: no job is accepted and no progress written.
	StoreOutage FaultKind = "store_outage"
	// SchedulerOutage leaves the cell without a scheduler, which loses its memory.
	// Jobs are accepted in the meantime.
	SchedulerOutage FaultKind = "scheduler_outage"
	// TasksCrash makes a task of a share of the arriving jobs crash each worker
	// that starts it. The worker returns as a new incarnation.
	TasksCrash FaultKind = "tasks_crash"
)

// Fault is a fault that lasts from Start for Duration.
type Fault struct {
	Kind            FaultKind
	Start, Duration time.Duration
	// Share is the share of the workers that are struck, or of the jobs that
	// arrive.
	Share float64
	// Factor is the factor of WorkersSlow.
	Factor float64
}

// Restarter is a Scheduler that can lose its memory and read its state again from
// the store.
type Restarter interface {
	// Stop loses the memory. Until Restart, Submit stores jobs.
	Stop()
	Restart(now time.Time)
}

// StoreUser is a Scheduler that writes to a store.
type StoreUser interface {
	SetStoreAvailable(available bool)
}

// WorkerLister is a Scheduler that follows the list of workers.
type WorkerLister interface {
	SetWorkers(now time.Time, entries []tanagerport.WorkerEntry)
}

const (
	// callTimeout is how long a call without a response takes.
	callTimeout = 400 * time.Millisecond
	// failedRunDuration is how long a run takes on a worker that fails all runs.
	failedRunDuration = 100 * time.Millisecond
	// crashDelay is how long after its start a task crashes its worker, and
	// restartTime how long the worker is away.
	crashDelay  = 10 * time.Millisecond
	restartTime = 3300 * time.Millisecond
	// unlistDelay is the time after which a silent worker is no longer listed.
	unlistDelay = 4500 * time.Millisecond
)

// outcomeUnknown is the result of a call without a response.
var outcomeUnknown = errorx.Decorate(tanagerport.OutcomeUnknown.New("no response"), "simulated worker")

// scheduleFaults draws the workers that each fault strikes and schedules its start
// and its end.
func (s *simulation) scheduleFaults(start time.Time) {
	r := rand.New(rand.NewPCG(s.load.Seed, 2))
	for _, f := range s.load.Faults {
		if f.Kind == TasksCrash {
			continue
		}
		var struck []*simWorker
		for _, i := range r.Perm(s.load.Workers)[:int(f.Share*float64(s.load.Workers))] {
			struck = append(struck, s.workers[workerID(i)])
		}
		s.schedule(start.Add(f.Start), func() { s.beginFault(f, struck) })
		s.schedule(start.Add(f.Start+f.Duration), func() { s.endFault(f, struck) })
		if f.Kind == WorkersCrash {
			s.schedule(start.Add(f.Start+min(f.Duration, unlistDelay)), s.listWorkers)
			s.schedule(start.Add(f.Start+f.Duration+time.Millisecond), s.listWorkers)
		}
	}
}

func (s *simulation) beginFault(f Fault, struck []*simWorker) {
	switch f.Kind {
	case StoreOutage:
		s.storeDown = true
		s.setStoreAvailable(false)
	case SchedulerOutage:
		s.schedulerDown = true
		if r, ok := s.scheduler.(Restarter); ok {
			r.Stop()
		}
	}
	for _, w := range struck {
		switch f.Kind {
		case WorkersCrash:
			s.crash(w)
		case WorkersHang:
			s.hang(w, f.Duration)
		case WorkersSlow:
			w.slowFactor = f.Factor
		case WorkersFail:
			w.failing = true
		}
	}
}

func (s *simulation) endFault(f Fault, struck []*simWorker) {
	switch f.Kind {
	case StoreOutage:
		s.storeDown = false
		s.setStoreAvailable(true)
	case SchedulerOutage:
		s.restartScheduler()
	}
	for _, w := range struck {
		switch f.Kind {
		case WorkersCrash:
			w.down = false
			w.incarnation++
		case WorkersSlow:
			w.slowFactor = 1
		case WorkersFail:
			w.failing = false
		}
	}
}

func (s *simulation) setStoreAvailable(available bool) {
	if u, ok := s.scheduler.(StoreUser); ok {
		u.SetStoreAvailable(available)
	}
}

// drawCrashingJobs draws the jobs whose first task crashes its workers.
func (s *simulation) drawCrashingJobs(arrivals []*arrival) {
	r := rand.New(rand.NewPCG(s.load.Seed, 5))
	for _, f := range s.load.Faults {
		for _, a := range arrivals {
			if f.Kind == TasksCrash && a.at >= f.Start && a.at < f.Start+f.Duration && r.Float64() < f.Share {
				a.crashesWorkers = true
			}
		}
	}
}

// crashByTask crashes the worker of a run shortly after its start, if its task is
// crashing. The worker's connections break at once.
func (s *simulation) crashByTask(w *simWorker, run *simRun) {
	t := run.order.Start.Task
	if !run.job.crashesWorkers || t.Step > 0 || t.Index > 0 {
		return
	}
	s.schedule(s.now.Add(crashDelay), func() {
		if w.runs[t] != run {
			return
		}
		j := s.jobs[t.Job]
		j.crashes++
		s.report.WorkerCrashes++
		s.report.MaxCrashesByTask = max(s.report.MaxCrashesByTask, j.crashes)
		s.breakPoll(w, workerRoundTrip)
		s.crash(w)
		s.schedule(s.now.Add(restartTime), func() {
			w.down = false
			w.incarnation++
			s.listWorkers()
		})
	})
}

// crash ends all runs of a worker without a trace.
func (s *simulation) crash(w *simWorker) {
	w.down = true
	w.free = s.load.Capacity
	for _, run := range w.runs {
		j := s.jobs[run.order.Start.Task.Job]
		delete(j.active, run.order.Start.Task)
		run.leaveGang()
	}
	clear(w.runs)
	w.order = nil
	w.ended = nil
	w.lastNumber = 0
	s.failPoll(w)
}

// hang delays the ends of all runs on a worker. The members of a gang wait for
// each other.
func (s *simulation) hang(w *simWorker, d time.Duration) {
	w.hungUntil = s.now.Add(d)
	for _, name := range w.order {
		run := w.runs[name]
		if run.gang == nil {
			run.delay(s.now, d)
			continue
		}
		for _, member := range run.gang.runs {
			member.delay(s.now, d)
		}
	}
}

// restartScheduler replaces the scheduler after an outage. Responses to the calls
// of the former one are dropped.
func (s *simulation) restartScheduler() {
	s.schedulerDown = false
	s.term++
	for i := range s.load.Workers {
		s.workers[workerID(i)].poll = nil
	}
	if r, ok := s.scheduler.(Restarter); ok {
		r.Restart(s.now)
	}
}

// listWorkers tells the scheduler which workers are listed.
func (s *simulation) listWorkers() {
	lister, ok := s.scheduler.(WorkerLister)
	if !ok || s.schedulerDown {
		return
	}
	var entries []tanagerport.WorkerEntry
	for i, e := range s.load.WorkerEntries() {
		w := s.workers[workerID(i)]
		if w.down {
			continue
		}
		e.Incarnation = w.incarnation
		entries = append(entries, e)
	}
	lister.SetWorkers(s.now, entries)
}

// failPoll ends the open poll of a worker without a response.
func (s *simulation) failPoll(w *simWorker) {
	if w.poll != nil {
		s.breakPoll(w, w.poll.Poll.Wait+callTimeout)
	}
}

// breakPoll ends the open poll of a worker without a response after d.
func (s *simulation) breakPoll(w *simWorker, d time.Duration) {
	if w.poll == nil {
		return
	}
	o, sentAt := *w.poll, w.pollSentAt
	w.poll = nil
	s.respondAfter(d, func() {
		s.scheduler.HandlePollResponse(s.now, o, sentAt, tanagerport.Report{}, outcomeUnknown)
	})
}

// respondAfter delivers a response to the scheduler, unless that has been replaced
// in the meantime.
func (s *simulation) respondAfter(d time.Duration, deliver func()) {
	term := s.term
	s.schedule(s.now.Add(d), func() {
		if term == s.term && !s.schedulerDown {
			deliver()
		}
	})
}

// refuseStart answers a start that reached another incarnation, or does not answer
// if the worker is down. It reports whether the start has been dealt with.
func (s *simulation) refuseStart(w *simWorker, o tanagerdispatch.StartOrder) bool {
	switch {
	case w.down:
		s.respondAfter(callTimeout, func() {
			s.scheduler.HandleStartResponse(s.now, o, tanagerport.Response{}, outcomeUnknown)
		})
	case o.Worker.Incarnation != w.incarnation:
		s.respondAfter(workerRoundTrip, func() {
			s.scheduler.HandleStartResponse(s.now, o, tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
		})
	default:
		return false
	}
	return true
}
