package tanagerreplay

import (
	"container/heap"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Scheduler is the system under test of a simulation. Its methods are called in
// order of virtual time.
type Scheduler interface {
	// Submit submits a job. A rejected job is submitted again after retryAfter.
	Submit(now time.Time, r tanagerwork.Record) (accepted bool, retryAfter time.Duration)
	// Tick returns the orders to be executed.
	Tick(now time.Time) tanagerdispatch.Orders
	HandleStartResponse(now time.Time, o tanagerdispatch.StartOrder, r tanagerport.Response, err error)
	HandleStopResponse(now time.Time, o tanagerdispatch.StopOrder, r tanagerport.Response, err error)
	HandlePollResponse(now time.Time, o tanagerdispatch.PollOrder, sent time.Time, r tanagerport.Report, err error)
	HandleAdviceResponse(now time.Time, o tanagerdispatch.AdviceOrder, sent time.Time, a tanagerport.Advice, err error)
}

const (
	tickInterval = 15 * time.Millisecond
	// workerRoundTrip is the network round-trip time of a call to a worker.
	workerRoundTrip = 3 * time.Millisecond
	// drainPeriod is how long the scheduler still runs after the end of the load.
	drainPeriod = 60 * time.Second
)

// simRun is one run of a task on a worker.
type simRun struct {
	order     tanagerdispatch.StartOrder
	job       *arrival
	startedAt time.Time
	// duration is 0 until the run begins to work; a gang waits for all members.
	duration time.Duration
	gang     *simGang
}

// simGang is one attempt to run a gang. Its runs begin to work together.
type simGang struct {
	size, started int
	runs          []*simRun
}

// simWorker is a simulated worker. Its ended runs are numbered from 1 to
// lastNumber; ended holds those that have not been acknowledged.
type simWorker struct {
	index         int
	free          tanagerwork.Resources
	runs          map[tanagerwork.TaskName]*simRun
	ended         []tanagerport.EndedRun
	lastNumber    int64
	poll          *tanagerdispatch.PollOrder
	pollSentAt    time.Time
	pollExpiresAt time.Time
}

// simulation is the state of one call of Simulate.
type simulation struct {
	load            Load
	scheduler       Scheduler
	now             time.Time
	seq             int
	events          eventHeap
	jobs            map[tanagerwork.JobID]*simJob
	workers         map[string]*simWorker
	gangs           map[gangKey]*simGang
	report          Report
	meanCoreSeconds []float64
}

// gangKey identifies an attempt to run a gang.
type gangKey struct {
	step tanagerwork.StepName
	run  int64
}

// simJob is the progress of a submitted job.
type simJob struct {
	arrival     *arrival
	submissions int
	tasksLeft   int
	done        map[tanagerwork.TaskName]bool
	active      map[tanagerwork.TaskName]bool
	failures    map[tanagerwork.TaskName]int
	started     bool
}

// Simulate runs a load against a scheduler until drainPeriod after the end of
// the load.
func Simulate(l Load, scheduler Scheduler) Report {
	start := time.Unix(1_700_000_000, 0)
	s := &simulation{
		load:            l,
		scheduler:       scheduler,
		now:             start,
		jobs:            make(map[tanagerwork.JobID]*simJob),
		workers:         make(map[string]*simWorker),
		gangs:           make(map[gangKey]*simGang),
		meanCoreSeconds: make([]float64, len(l.Kinds)),
	}
	for i := range l.Workers {
		s.workers[workerID(i)] = &simWorker{
			index: i,
			free:  l.Capacity,
			runs:  make(map[tanagerwork.TaskName]*simRun),
		}
	}
	arrivals := l.sampleArrivals(start)
	s.initReport(arrivals)
	for _, a := range arrivals {
		s.schedule(start.Add(a.at), func() { s.submit(a) })
	}
	for at := time.Duration(0); at < l.Duration+drainPeriod; at += tickInterval {
		s.schedule(start.Add(at), s.tick)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.time
		e.run()
	}
	for _, j := range s.jobs {
		if j.tasksLeft > 0 {
			s.report.Kinds[j.arrival.kind].Unfinished++
		}
	}
	return s.report
}

func (s *simulation) initReport(arrivals []*arrival) {
	counts := make([]float64, len(s.load.Kinds))
	for _, a := range arrivals {
		s.meanCoreSeconds[a.kind] += a.coreSeconds
		counts[a.kind]++
	}
	for i, k := range s.load.Kinds {
		s.meanCoreSeconds[i] /= max(counts[i], 1)
		s.report.Kinds = append(s.report.Kinds, KindReport{Name: k.Queue.Name})
	}
}

func (s *simulation) schedule(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{
		time: t,
		seq:  s.seq,
		run:  run,
	})
}

// jobValue returns the value of a job, which grows with its core-seconds because
// a caller needs the whole job. meanValue is the value of a job of mean size.
func (s *simulation) jobValue(a *arrival, meanValue float64) float64 {
	return min(0.3+0.7*a.coreSeconds/s.meanCoreSeconds[a.kind], 4) * meanValue
}

func (s *simulation) submit(a *arrival) {
	j := s.jobs[a.record.ID]
	if j == nil {
		j = &simJob{
			arrival:  a,
			done:     make(map[tanagerwork.TaskName]bool),
			active:   make(map[tanagerwork.TaskName]bool),
			failures: make(map[tanagerwork.TaskName]int),
		}
		for i := range a.record.Spec.Steps {
			j.tasksLeft += a.record.Spec.Steps[i].TaskCount
		}
		s.jobs[a.record.ID] = j
		k := &s.report.Kinds[a.kind]
		k.Submitted++
		k.OfferedValue += s.jobValue(a, s.load.Kinds[a.kind].OnTimeValue)
	}
	j.submissions++
	accepted, retryAfter := s.scheduler.Submit(s.now, a.record)
	if accepted {
		return
	}
	if j.submissions >= s.load.MaxSubmissions {
		s.report.Kinds[a.kind].Rejected++
		return
	}
	s.schedule(s.now.Add(retryAfter), func() { s.submit(a) })
}

func (s *simulation) tick() {
	orders := s.scheduler.Tick(s.now)
	for _, o := range orders.Starts {
		s.startTask(o)
	}
	for _, o := range orders.Stops {
		s.schedule(s.now.Add(workerRoundTrip), func() { s.stopTask(o) })
	}
	for _, o := range orders.Polls {
		w := s.workers[o.Worker.ID]
		w.poll = &o
		w.pollSentAt = s.now
		w.pollExpiresAt = s.now.Add(o.Poll.Wait)
		s.schedule(s.now.Add(workerRoundTrip), func() { s.completePoll(w, false) })
		s.schedule(w.pollExpiresAt.Add(workerRoundTrip), func() { s.completePoll(w, true) })
	}
	for _, o := range orders.Advice {
		sentAt := s.now
		s.schedule(s.now.Add(o.Expected+workerRoundTrip), func() {
			s.scheduler.HandleAdviceResponse(s.now, o, sentAt, s.advice(o), nil)
		})
	}
}

// advice returns tickets for the eligible ones of the workers that an order
// names.
func (s *simulation) advice(o tanagerdispatch.AdviceOrder) tanagerport.Advice {
	a := s.jobs[o.Step.Job].arrival
	advice := tanagerport.Advice{
		Tickets: make(map[string]string),
		Valid:   s.load.Kinds[a.kind].Queue.Advice.TicketTTL,
	}
	for _, id := range o.Workers {
		if a.eligible[o.Step.Step][s.workers[id].index] {
			advice.Tickets[id] = "t"
		}
	}
	return advice
}

// workerClock returns the reading of the workers' clocks.
func (s *simulation) workerClock() time.Duration { return s.now.Sub(time.Unix(1_600_000_000, 0)) }
