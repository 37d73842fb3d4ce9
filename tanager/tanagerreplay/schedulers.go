package tanagerreplay

import (
	"time"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// CellScheduler implements Scheduler with the cell of package tanagerdispatch and
// a store whose writes take one tick.
type CellScheduler struct {
	*tanagerdispatch.Cell
	initialized bool
	load        Load
	epoch       uint64
	running     bool
	storeDown   bool
	// acceptAll ignores the admission hints.
	acceptAll      bool
	inFlightWrites []tanagerdispatch.Snapshot
	// records and progress are what is in the store.
	records  []tanagerwork.Record
	progress map[tanagerwork.JobID]*tanagerwork.Progress
	// entries is the list of workers.
	entries []tanagerport.WorkerEntry
}

// NewCellScheduler returns a scheduler for the load's fleet.
func NewCellScheduler(l Load) *CellScheduler {
	return &CellScheduler{
		load:     l,
		running:  true,
		progress: make(map[tanagerwork.JobID]*tanagerwork.Progress),
		entries:  l.WorkerEntries(),
	}
}

func (s *CellScheduler) initialize(now time.Time) {
	if s.initialized {
		return
	}
	s.initialized = true
	s.newCell(now)
	s.SetWorkers(now, s.entries)
}

// newCell creates the cell of the next epoch.
func (s *CellScheduler) newCell(now time.Time) {
	s.epoch++
	s.Cell = tanagerdispatch.New(tanagerdispatch.Settings{
		Lease:        5 * time.Second,
		StopGrace:    900 * time.Millisecond,
		GangWait:     gangWait,
		Retention:    2 * time.Minute,
		RemoteFactor: 1.5,
	}, s.epoch, now)
	s.Configure(s.load.Configuration())
	var advisers []string
	for i := range s.load.Advisers {
		advisers = append(advisers, workerID(i))
	}
	s.SetAdvisers(advisers)
}

// SetWorkers implements WorkerLister. The store takes the roster at once.
func (s *CellScheduler) SetWorkers(now time.Time, entries []tanagerport.WorkerEntry) {
	s.entries = entries
	if !s.running {
		return
	}
	s.Cell.SetWorkers(now, entries)
	ids := s.Roster()
	s.RosterStored(ids)
}

// SetStoreAvailable implements StoreUser.
func (s *CellScheduler) SetStoreAvailable(available bool) { s.storeDown = !available }

// Stop implements Restarter.
func (s *CellScheduler) Stop() {
	s.running = false
	s.inFlightWrites = nil
}

// Restart implements Restarter.
func (s *CellScheduler) Restart(now time.Time) {
	s.running = true
	s.newCell(now)
	var ids []string
	for _, e := range s.entries {
		ids = append(ids, e.ID)
	}
	s.AddPredecessorWorkers(now, ids)
	s.SetWorkers(now, s.entries)
	for _, r := range s.records {
		s.AddJob(now, r, s.progress[r.ID])
	}
}

// Admits implements Admitter.
func (s *CellScheduler) Admits(class tanageradmission.Class) bool {
	hints, _ := s.AdmissionHints()
	if class.Gang {
		return !hints[class.Queue].Gangs.Closed
	}
	return !hints[class.Queue].Others.Closed
}

// Submit implements Scheduler.
func (s *CellScheduler) Submit(now time.Time, r tanagerwork.Record) (bool, time.Duration) {
	s.initialize(now)
	r.Epoch = s.epoch
	if !s.running {
		s.records = append(s.records, r)
		return true, 0
	}
	hints, _ := s.AdmissionHints()
	if d := hints[r.Queue].Decision(&r.Spec); d.Closed && !s.acceptAll {
		return false, d.RetryAfter
	}
	s.records = append(s.records, r)
	s.AddJob(now, r, nil)
	return true, 0
}

// Tick implements Scheduler.
func (s *CellScheduler) Tick(now time.Time) tanagerdispatch.Orders {
	s.initialize(now)
	if !s.storeDown {
		for _, w := range s.inFlightWrites {
			s.progress[w.Job] = &w.Progress
			s.SnapshotWritten(w.Job, w.Version, true)
		}
		s.inFlightWrites = nil
	}
	s.Cell.Tick(now)
	s.inFlightWrites = append(s.inFlightWrites, s.TakeSnapshots(1000)...)
	return s.TakeOrders()
}

// Baseline is a first-come, first-served scheduler with first-fit placement. It
// accepts every job, and a job that does not fit blocks those behind it.
type Baseline struct {
	load           Load
	jobs           []*baselineJob
	free           []tanagerwork.Resources
	polled         bool
	adviceInFlight int
	jobsByID       map[tanagerwork.JobID]*baselineJob
	pendingPolls   []tanagerdispatch.PollOrder
}

// baselineJob is a job at its current step.
type baselineJob struct {
	record    tanagerwork.Record
	step      int
	tasksLeft int
	// pendingTasks are the indices of tasks to start; runs counts the starts of
	// each task.
	pendingTasks []int
	runs         []int64
	// tickets are by worker id.
	tickets         map[string]string
	ticketsExpireAt time.Time
	adviceRequested bool
}

// NewBaseline returns a baseline for the load's fleet.
func NewBaseline(l Load) *Baseline {
	b := &Baseline{
		load:     l,
		jobsByID: make(map[tanagerwork.JobID]*baselineJob),
	}
	for range l.Workers {
		b.free = append(b.free, l.Capacity)
	}
	return b
}

// Submit implements Scheduler.
func (b *Baseline) Submit(_ time.Time, r tanagerwork.Record) (bool, time.Duration) {
	j := &baselineJob{record: r}
	j.startStep(0)
	b.jobs = append(b.jobs, j)
	b.jobsByID[r.ID] = j
	return true, 0
}

func (j *baselineJob) startStep(step int) {
	j.step = step
	count := j.record.Spec.Steps[step].TaskCount
	j.tasksLeft = count
	j.runs = make([]int64, count)
	j.pendingTasks = nil
	j.tickets = nil
	for i := range count {
		j.pendingTasks = append(j.pendingTasks, i)
	}
}

// Tick implements Scheduler.
func (b *Baseline) Tick(now time.Time) tanagerdispatch.Orders {
	var orders tanagerdispatch.Orders
	if !b.polled {
		b.polled = true
		for i := range b.load.Workers {
			b.pendingPolls = append(b.pendingPolls, newPoll(i, 0))
		}
	}
	orders.Polls, b.pendingPolls = b.pendingPolls, nil
	blocked := false
	for _, j := range b.jobs {
		if len(j.pendingTasks) == 0 {
			continue
		}
		if b.awaitsAdvice(j, now, &orders) || blocked {
			continue
		}
		blocked = !b.placeTasks(j, &orders)
	}
	return orders
}

// newPoll returns a poll that acknowledges ended runs up to a number.
func newPoll(worker int, acknowledged int64) tanagerdispatch.PollOrder {
	return tanagerdispatch.PollOrder{
		Worker: tanagerport.WorkerRef{
			ID:          workerID(worker),
			Incarnation: 1,
		},
		Poll: tanagerport.Poll{
			Acknowledged: acknowledged,
			Wait:         time.Second,
		},
	}
}

// awaitsAdvice reports whether a job has to wait for advice, and requests it if
// an adviser is free.
func (b *Baseline) awaitsAdvice(j *baselineJob, now time.Time, orders *tanagerdispatch.Orders) bool {
	policy := b.advicePolicy(j)
	if policy == nil || now.Before(j.ticketsExpireAt) {
		return false
	}
	if j.adviceRequested || b.adviceInFlight >= b.load.Advisers {
		return true
	}
	j.adviceRequested = true
	b.adviceInFlight++
	order := tanagerdispatch.AdviceOrder{
		Step:     j.stepName(),
		Expected: policy.DecisionTime + time.Duration(b.load.Workers)*policy.TimePerWorker,
	}
	for i := range b.load.Workers {
		order.Workers = append(order.Workers, workerID(i))
	}
	orders.Advice = append(orders.Advice, order)
	return true
}

func (j *baselineJob) stepName() tanagerwork.StepName {
	return tanagerwork.StepName{
		Job:  j.record.ID,
		Step: j.step,
	}
}

func (b *Baseline) advicePolicy(j *baselineJob) *tanagerport.AdvicePolicy {
	for _, k := range b.load.Kinds {
		if k.Queue.Name == j.record.Queue {
			return k.Queue.Advice
		}
	}
	return nil
}

// placeTasks starts the tasks that fit, a gang only as a whole, and reports
// whether all pending tasks were started.
func (b *Baseline) placeTasks(j *baselineJob, orders *tanagerdispatch.Orders) bool {
	spec := &j.record.Spec.Steps[j.step]
	var placement []int
	for range j.pendingTasks {
		i := b.firstFit(j, spec)
		if i < 0 {
			break
		}
		b.free[i] = b.free[i].Sub(spec.Resources)
		placement = append(placement, i)
	}
	if spec.Gang && len(placement) < len(j.pendingTasks) {
		for _, i := range placement {
			b.free[i] = b.free[i].Add(spec.Resources)
		}
		return false
	}
	for k, i := range placement {
		index := j.pendingTasks[k]
		j.runs[index]++
		orders.Starts = append(orders.Starts, tanagerdispatch.StartOrder{
			Worker: tanagerport.WorkerRef{
				ID:          workerID(i),
				Incarnation: 1,
			},
			Start: tanagerport.Start{
				Task: tanagerwork.TaskName{
					StepName: j.stepName(),
					Index:    index,
				},
				Run: j.runs[index],
			},
		})
	}
	j.pendingTasks = j.pendingTasks[len(placement):]
	return len(j.pendingTasks) == 0
}

// firstFit returns the first worker on which a task of a step fits, or -1.
func (b *Baseline) firstFit(j *baselineJob, spec *tanagerwork.Step) int {
	for i := range b.free {
		if spec.Resources.FitsIn(b.free[i]) && (j.tickets == nil || j.tickets[workerID(i)] != "") {
			return i
		}
	}
	return -1
}

// HandlePollResponse implements Scheduler.
func (b *Baseline) HandlePollResponse(_ time.Time, o tanagerdispatch.PollOrder, _ time.Time, r tanagerport.Report, _ error) {
	var index int
	for i := range b.load.Workers {
		if workerID(i) == o.Worker.ID {
			index = i
		}
	}
	acknowledged := o.Poll.Acknowledged
	for _, e := range r.Ended {
		acknowledged = max(acknowledged, e.SequenceNumber)
		j := b.jobsByID[e.Task.Job]
		b.free[index] = b.free[index].Add(j.record.Spec.Steps[e.Task.Step].Resources)
		if e.Reason != tanagerport.EndedDone {
			j.pendingTasks = append(j.pendingTasks, e.Task.Index)
			continue
		}
		if j.tasksLeft--; j.tasksLeft == 0 && j.step+1 < len(j.record.Spec.Steps) {
			j.ticketsExpireAt = time.Time{}
			j.startStep(j.step + 1)
		}
	}
	b.pendingPolls = append(b.pendingPolls, newPoll(index, acknowledged))
}

// HandleAdviceResponse implements Scheduler.
func (b *Baseline) HandleAdviceResponse(now time.Time, o tanagerdispatch.AdviceOrder, _ time.Time,
	a tanagerport.Advice, _ error) {
	b.adviceInFlight--
	j := b.jobsByID[o.Step.Job]
	j.adviceRequested = false
	if j.step == o.Step.Step {
		j.tickets = a.Tickets
		j.ticketsExpireAt = now.Add(a.Valid)
	}
}

// HandleStartResponse implements Scheduler.
func (b *Baseline) HandleStartResponse(time.Time, tanagerdispatch.StartOrder, tanagerport.Response, error) {
}

// HandleStopResponse implements Scheduler. Baseline stops no runs.
func (b *Baseline) HandleStopResponse(time.Time, tanagerdispatch.StopOrder, tanagerport.Response, error) {
}
