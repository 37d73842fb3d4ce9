package tanagerreplay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Admitter is a Scheduler that rejects jobs.
type Admitter interface {
	// Admits reports whether a class takes new jobs.
	Admits(class tanageradmission.Class) bool
}

// StateReader is a Scheduler that tells the states of jobs.
type StateReader interface {
	State(id tanagerwork.JobID) (tanagerwork.State, bool)
}

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
	// gangWait is how long a member of a gang waits for the others.
	gangWait = 3 * time.Second
	// drainPeriod is how long the scheduler still runs after the end of the load.
	drainPeriod = 60 * time.Second
)

// simRun is one run of a task on a worker.
type simRun struct {
	order     tanagerdispatch.StartOrder
	job       *arrival
	startedAt time.Time
	// duration is 0 until the run begins to work; a gang waits for all members.
	// endsAt is when it will have worked for that long.
	duration time.Duration
	endsAt   time.Time
	// frozenUntil is set while the run stands still.
	frozenUntil time.Time
	gang        *simGang
}

// delay lets a run that has begun to work stand still for d.
func (r *simRun) delay(now time.Time, d time.Duration) {
	if r.duration > 0 && r.endsAt.After(now) {
		r.endsAt = r.endsAt.Add(d)
		r.frozenUntil = now.Add(d)
	}
}

// simGang is one attempt to run a gang. Its runs begin to work together.
type simGang struct {
	size, started int
	runs          []*simRun
}

// simWorker is a simulated worker. Its ended runs are numbered from 1 to
// lastNumber; ended holds those that have not been acknowledged.
type simWorker struct {
	index       int
	incarnation int64
	free        tanagerwork.Resources
	runs        map[tanagerwork.TaskName]*simRun
	// order lists the names of the runs in the order of their starts.
	order []tanagerwork.TaskName
	// down, hungUntil, slowFactor and failing are the faults of the worker.
	down          bool
	hungUntil     time.Time
	slowFactor    float64
	failing       bool
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
	// storeDown and schedulerDown are set during outages. term counts the
	// schedulers.
	storeDown, schedulerDown bool
	term                     int
	// callers draws the times at which callers return.
	callers *rand.Rand
	// openRetries are the rejections of classes that are still closed.
	openRetries map[tanageradmission.Class][]retry
}

// retry is the Retry-After that a caller was given.
type retry struct {
	at         time.Time
	retryAfter time.Duration
	kind       int
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
	accepted    bool
	tasksLeft   int
	done        map[tanagerwork.TaskName]bool
	active      map[tanagerwork.TaskName]bool
	// reported are the tasks whose end has reached the scheduler.
	reported map[tanagerwork.TaskName]bool
	failures map[tanagerwork.TaskName]int
	started  bool
	// crashes counts the workers that the job's crashing task has crashed.
	crashes int
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
		callers:         rand.New(rand.NewPCG(l.Seed, 3)),
		openRetries:     make(map[tanageradmission.Class][]retry),
	}
	for i := range l.Workers {
		s.workers[workerID(i)] = &simWorker{
			index:       i,
			incarnation: 1,
			free:        l.Capacity,
			runs:        make(map[tanagerwork.TaskName]*simRun),
			slowFactor:  1,
		}
	}
	arrivals := l.sampleArrivals(start)
	s.drawCrashingJobs(arrivals)
	s.initReport(arrivals)
	for _, a := range arrivals {
		s.schedule(start.Add(a.at), func() { s.submit(a) })
	}
	s.scheduleFaults(start)
	for at := time.Duration(0); at < l.Duration+drainPeriod; at += tickInterval {
		s.schedule(start.Add(at), s.tick)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.time
		e.run()
	}
	for id, j := range s.jobs {
		if s.shownAsFailed(id) && !j.arrival.crashesWorkers {
			s.report.FailedWithoutCause++
		}
		k := &s.report.Kinds[j.arrival.kind]
		if j.tasksLeft > 0 {
			k.Unfinished++
			if j.accepted {
				k.AcceptedUnserved++
			}
		}
	}
	return s.report
}

// shownAsFailed reports whether the scheduler shows a job as failed.
func (s *simulation) shownAsFailed(id tanagerwork.JobID) bool {
	r, ok := s.scheduler.(StateReader)
	if !ok {
		return false
	}
	state, _ := r.State(id)
	return state == tanagerwork.Failed
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
			reported: make(map[tanagerwork.TaskName]bool),
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
	var retryAfter time.Duration
	j.accepted, retryAfter = s.offer(a)
	if j.accepted {
		return
	}
	returnsAfter := s.returnDelay(a, retryAfter)
	if j.submissions >= s.load.MaxSubmissions || returnsAfter <= 0 {
		s.report.Kinds[a.kind].Rejected++
		return
	}
	s.schedule(s.now.Add(returnsAfter), func() { s.submit(a) })
}

// offer submits a job to the scheduler, unless the store is down.
func (s *simulation) offer(a *arrival) (accepted bool, retryAfter time.Duration) {
	if s.storeDown {
		return false, unavailableRetryAfter
	}
	r := a.record
	r.Arrived = s.now
	accepted, retryAfter = s.scheduler.Submit(s.now, r)
	if !accepted {
		class := classOf(&r)
		s.openRetries[class] = append(s.openRetries[class], retry{
			at:         s.now,
			retryAfter: retryAfter,
			kind:       a.kind,
		})
	}
	return accepted, retryAfter
}

func classOf(r *tanagerwork.Record) tanageradmission.Class {
	return tanageradmission.Class{
		Queue: r.Queue,
		Gang:  r.Spec.HasGang(),
	}
}

// unavailableRetryAfter is what daemons send while the store is down.
const unavailableRetryAfter = 2 * time.Second

// returnDelay returns how long a rejected caller waits. A caller with a deadline
// returns earlier than it is asked to if that leaves it a part of its time; it
// returns 0 if no time is left.
func (s *simulation) returnDelay(a *arrival, retryAfter time.Duration) time.Duration {
	if s.load.CallerDeadline == 0 {
		return retryAfter
	}
	left := a.record.Arrived.Add(s.load.CallerDeadline).Sub(s.now)
	if left <= 0 {
		return 0
	}
	share := minReturnShare + (maxReturnShare-minReturnShare)*s.callers.Float64()
	return min(retryAfter, time.Duration(share*float64(left)))
}

// A caller returns after minReturnShare to maxReturnShare of the time that it has
// left.
const (
	minReturnShare = 0.25
	maxReturnShare = 0.5
)

// closeRetries compares what rejected callers were told with the time after which
// their class was open again.
func (s *simulation) closeRetries() {
	admitter, ok := s.scheduler.(Admitter)
	if !ok {
		return
	}
	for class, waiting := range s.openRetries {
		if len(waiting) == 0 || !admitter.Admits(class) {
			continue
		}
		for _, r := range waiting {
			k := &s.report.Kinds[r.kind]
			k.retryErrors = append(k.retryErrors, (r.retryAfter - s.now.Sub(r.at)).Abs())
		}
		delete(s.openRetries, class)
	}
}

func (s *simulation) tick() {
	if s.schedulerDown {
		return
	}
	s.closeRetries()
	orders := s.scheduler.Tick(s.now)
	for _, o := range orders.Starts {
		s.startTask(o)
	}
	for _, o := range orders.Stops {
		s.respondAfter(workerRoundTrip, func() { s.stopTask(o) })
	}
	for _, o := range orders.Polls {
		w := s.workers[o.Worker.ID]
		w.poll = &o
		w.pollSentAt = s.now
		if w.down {
			s.failPoll(w)
			continue
		}
		w.pollExpiresAt = s.now.Add(o.Poll.Wait)
		s.schedule(s.now.Add(workerRoundTrip), func() { s.completePoll(w, false) })
		s.schedule(w.pollExpiresAt.Add(workerRoundTrip), func() { s.completePoll(w, true) })
	}
	for _, o := range orders.Advice {
		sentAt := s.now
		s.respondAfter(o.Expected+workerRoundTrip, func() {
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
