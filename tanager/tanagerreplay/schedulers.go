package tanagerreplay

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// CellScheduler is the Scheduler made of the cell of package tanagerdispatch and a
// store whose writes take one tick.
type CellScheduler struct {
	*tanagerdispatch.Cell
	initialized    bool
	load           Load
	inFlightWrites []tanagerdispatch.Snapshot
}

// NewCellScheduler returns a cell for the load's fleet.
func NewCellScheduler(l Load) *CellScheduler {
	return &CellScheduler{load: l}
}

func (d *CellScheduler) initialize(now time.Time) {
	if d.initialized {
		return
	}
	d.initialized = true
	d.Cell = tanagerdispatch.New(tanagerdispatch.Settings{
		Lease:        5 * time.Second,
		StopGrace:    900 * time.Millisecond,
		Retention:    2 * time.Minute,
		RemoteFactor: 1.5,
	}, 1, now)
	d.Configure(d.load.Configuration())
	d.SetWorkers(now, d.load.WorkerEntries())
	ids := d.Roster()
	d.RosterStored(ids)
	var advisers []string
	for i := range d.load.Advisers {
		advisers = append(advisers, workerID(i))
	}
	d.SetAdvisers(advisers)
}

// Submit implements Scheduler.
func (d *CellScheduler) Submit(now time.Time, r tanagerwork.Record) (bool, time.Duration) {
	d.initialize(now)
	hints, _ := d.AdmissionHints()
	if h := hints[r.Queue]; h.Closed {
		return false, h.RetryAfter
	}
	d.AddJob(now, r, nil)
	return true, 0
}

// Tick implements Scheduler.
func (d *CellScheduler) Tick(now time.Time) tanagerdispatch.Orders {
	d.initialize(now)
	for _, s := range d.inFlightWrites {
		d.SnapshotWritten(s.Job, s.Version, true)
	}
	d.Cell.Tick(now)
	d.inFlightWrites = d.TakeSnapshots(1000)
	return d.TakeOrders()
}

// Baseline is the baseline: a first-come, first-served scheduler with first-fit
// placement. It accepts every job, and a job that does not fit blocks those
// behind it.
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

// NewBaseline returns the baseline for the load's fleet.
func NewBaseline(l Load) *Baseline {
	n := &Baseline{
		load:     l,
		jobsByID: make(map[tanagerwork.JobID]*baselineJob),
	}
	for range l.Workers {
		n.free = append(n.free, l.Capacity)
	}
	return n
}

// Submit implements Scheduler.
func (n *Baseline) Submit(_ time.Time, r tanagerwork.Record) (bool, time.Duration) {
	j := &baselineJob{record: r}
	j.startStep(0)
	n.jobs = append(n.jobs, j)
	n.jobsByID[r.ID] = j
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
func (n *Baseline) Tick(now time.Time) tanagerdispatch.Orders {
	var out tanagerdispatch.Orders
	if !n.polled {
		n.polled = true
		for i := range n.load.Workers {
			n.pendingPolls = append(n.pendingPolls, newPoll(i, 0))
		}
	}
	out.Polls, n.pendingPolls = n.pendingPolls, nil
	blocked := false
	for _, j := range n.jobs {
		if len(j.pendingTasks) == 0 {
			continue
		}
		if n.awaitsAdvice(j, now, &out) || blocked {
			continue
		}
		blocked = !n.placeTasks(j, &out)
	}
	return out
}

// newPoll returns a poll that acknowledges ended runs up to a number.
func newPoll(worker int, acknowledged int64) tanagerdispatch.PollOrder {
	return tanagerdispatch.PollOrder{
		Worker: tanagerport.WorkerRef{ID: workerID(worker)},
		Poll: tanagerport.Poll{
			Acknowledged: acknowledged,
			Wait:         time.Second,
		},
	}
}

// awaitsAdvice reports whether a job has to wait for advice, and requests it if
// an adviser is free.
func (n *Baseline) awaitsAdvice(j *baselineJob, now time.Time, out *tanagerdispatch.Orders) bool {
	policy := n.advicePolicy(j)
	if policy == nil || now.Before(j.ticketsExpireAt) {
		return false
	}
	if j.adviceRequested || n.adviceInFlight >= n.load.Advisers {
		return true
	}
	j.adviceRequested = true
	n.adviceInFlight++
	order := tanagerdispatch.AdviceOrder{
		Step:     j.stepName(),
		Expected: policy.DecisionTime + time.Duration(n.load.Workers)*policy.TimePerWorker,
	}
	for i := range n.load.Workers {
		order.Workers = append(order.Workers, workerID(i))
	}
	out.Advice = append(out.Advice, order)
	return true
}

func (j *baselineJob) stepName() tanagerwork.StepName {
	return tanagerwork.StepName{
		Job:  j.record.ID,
		Step: j.step,
	}
}

func (n *Baseline) advicePolicy(j *baselineJob) *tanagerport.AdvicePolicy {
	for _, k := range n.load.Kinds {
		if k.Queue.Name == j.record.Queue {
			return k.Queue.Advice
		}
	}
	return nil
}

// placeTasks starts the tasks that fit, a gang only as a whole, and reports
// whether all pending tasks were started.
func (n *Baseline) placeTasks(j *baselineJob, out *tanagerdispatch.Orders) bool {
	spec := &j.record.Spec.Steps[j.step]
	var placement []int
	for range j.pendingTasks {
		i := n.firstFit(j, spec)
		if i < 0 {
			break
		}
		n.free[i] = n.free[i].Sub(spec.Resources)
		placement = append(placement, i)
	}
	if spec.Gang && len(placement) < len(j.pendingTasks) {
		for _, i := range placement {
			n.free[i] = n.free[i].Add(spec.Resources)
		}
		return false
	}
	for k, i := range placement {
		index := j.pendingTasks[k]
		j.runs[index]++
		out.Starts = append(out.Starts, tanagerdispatch.StartOrder{
			Worker: tanagerport.WorkerRef{ID: workerID(i)},
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
func (n *Baseline) firstFit(j *baselineJob, spec *tanagerwork.Step) int {
	for i := range n.free {
		if spec.Resources.FitsIn(n.free[i]) && (j.tickets == nil || j.tickets[workerID(i)] != "") {
			return i
		}
	}
	return -1
}

// PollAnswered implements Scheduler.
func (n *Baseline) PollAnswered(_ time.Time, o tanagerdispatch.PollOrder, _ time.Time, r tanagerport.Report, _ error) {
	var index int
	for i := range n.load.Workers {
		if workerID(i) == o.Worker.ID {
			index = i
		}
	}
	acknowledged := o.Poll.Acknowledged
	for _, e := range r.Ended {
		acknowledged = max(acknowledged, e.SequenceNumber)
		j := n.jobsByID[e.Task.Job]
		n.free[index] = n.free[index].Add(j.record.Spec.Steps[e.Task.Step].Resources)
		if e.Reason != tanagerport.EndedDone {
			j.pendingTasks = append(j.pendingTasks, e.Task.Index)
			continue
		}
		if j.tasksLeft--; j.tasksLeft == 0 && j.step+1 < len(j.record.Spec.Steps) {
			j.ticketsExpireAt = time.Time{}
			j.startStep(j.step + 1)
		}
	}
	n.pendingPolls = append(n.pendingPolls, newPoll(index, acknowledged))
}

// AdviceAnswered implements Scheduler.
func (n *Baseline) AdviceAnswered(now time.Time, o tanagerdispatch.AdviceOrder, _ time.Time,
	a tanagerport.Advice, _ error) {
	n.adviceInFlight--
	j := n.jobsByID[o.Step.Job]
	j.adviceRequested = false
	if j.step == o.Step.Step {
		j.tickets = a.Tickets
		j.ticketsExpireAt = now.Add(a.Valid)
	}
}

// StartAnswered implements Scheduler.
func (n *Baseline) StartAnswered(time.Time, tanagerdispatch.StartOrder, tanagerport.Response, error) {
}

// StopAnswered implements Scheduler. Naive stops no runs.
func (n *Baseline) StopAnswered(time.Time, tanagerdispatch.StopOrder, tanagerport.Response, error) {}
