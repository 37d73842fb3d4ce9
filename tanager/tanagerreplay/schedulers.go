package tanagerreplay

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Dispatch is the cell of package tanagerdispatch, with a store that takes a
// tick to write.
type Dispatch struct {
	*tanagerdispatch.Cell
	begun   bool
	load    Load
	written []tanagerdispatch.Snapshot
}

// NewDispatch returns a cell for the load's fleet.
func NewDispatch(l Load) *Dispatch {
	return &Dispatch{load: l}
}

func (d *Dispatch) begin(now time.Time) {
	if d.begun {
		return
	}
	d.begun = true
	d.Cell = tanagerdispatch.New(tanagerdispatch.Settings{
		Lease:        5 * time.Second,
		StopGrace:    900 * time.Millisecond,
		Retention:    2 * time.Minute,
		RemoteFactor: 1.5,
	}, 1, now)
	d.Configure(d.load.Configuration())
	d.SetWorkers(now, d.load.Entries())
	ids := d.Roster()
	d.RosterStored(ids)
	var advisers []string
	for i := range d.load.Advisers {
		advisers = append(advisers, workerID(i))
	}
	d.SetAdvisers(advisers)
}

// Take implements Scheduler.
func (d *Dispatch) Take(now time.Time, r tanagerwork.Record) (bool, time.Duration) {
	d.begin(now)
	hints, _ := d.Hints()
	if h := hints[r.Queue]; h.Closed {
		return false, h.RetryAfter
	}
	d.AddJob(now, r, nil)
	return true, 0
}

// Tick implements Scheduler.
func (d *Dispatch) Tick(now time.Time) tanagerdispatch.Orders {
	d.begin(now)
	for _, s := range d.written {
		d.Written(s.Job, s.Version, true)
	}
	d.Cell.Tick(now)
	d.written = d.Unwritten(1000)
	return d.TakeOrders()
}

// Naive takes every job and starts its tasks first come, first served, on the
// first worker with room; nothing passes a job that does not fit.
type Naive struct {
	load    Load
	jobs    []*naiveJob
	free    []tanagerwork.Resources
	polled  bool
	asking  int
	byID    map[tanagerwork.JobID]*naiveJob
	pending []tanagerdispatch.PollOrder
}

type naiveJob struct {
	record  tanagerwork.Record
	step    int
	left    int
	waiting []int
	run     []int64
	tickets map[string]string
	until   time.Time
	asking  bool
}

// NewNaive returns the baseline for the load's fleet.
func NewNaive(l Load) *Naive {
	n := &Naive{
		load: l,
		byID: make(map[tanagerwork.JobID]*naiveJob),
	}
	for range l.Workers {
		n.free = append(n.free, l.Capacity)
	}
	return n
}

// Take implements Scheduler.
func (n *Naive) Take(_ time.Time, r tanagerwork.Record) (bool, time.Duration) {
	j := &naiveJob{record: r}
	j.enter(0)
	n.jobs = append(n.jobs, j)
	n.byID[r.ID] = j
	return true, 0
}

func (j *naiveJob) enter(step int) {
	j.step = step
	count := j.record.Spec.Steps[step].Count
	j.left = count
	j.run = make([]int64, count)
	j.waiting = nil
	j.tickets = nil
	for i := range count {
		j.waiting = append(j.waiting, i)
	}
}

// Tick implements Scheduler.
func (n *Naive) Tick(now time.Time) tanagerdispatch.Orders {
	var out tanagerdispatch.Orders
	if !n.polled {
		n.polled = true
		for i := range n.load.Workers {
			n.pending = append(n.pending, pollOf(i, 0))
		}
	}
	out.Polls, n.pending = n.pending, nil
	blocked := false
	for _, j := range n.jobs {
		if len(j.waiting) == 0 {
			continue
		}
		if n.ask(j, now, &out) || blocked {
			continue
		}
		blocked = !n.place(j, &out)
	}
	return out
}

func pollOf(worker int, seen int64) tanagerdispatch.PollOrder {
	return tanagerdispatch.PollOrder{
		Worker: tanagerport.WorkerRef{ID: workerID(worker)},
		Poll: tanagerport.Poll{
			Acknowledged: seen,
			Wait:         time.Second,
		},
	}
}

// ask reports whether a job has to wait for advice.
func (n *Naive) ask(j *naiveJob, now time.Time, out *tanagerdispatch.Orders) bool {
	policy := n.policy(j)
	if policy == nil || now.Before(j.until) {
		return false
	}
	if j.asking || n.asking >= n.load.Advisers {
		return true
	}
	j.asking = true
	n.asking++
	order := tanagerdispatch.AdviceOrder{
		Step:     j.name(),
		Expected: policy.Decision + time.Duration(n.load.Workers)*policy.Each,
	}
	for i := range n.load.Workers {
		order.Workers = append(order.Workers, workerID(i))
	}
	out.Advice = append(out.Advice, order)
	return true
}

func (j *naiveJob) name() tanagerwork.StepName {
	return tanagerwork.StepName{
		Job:  j.record.ID,
		Step: j.step,
	}
}

func (n *Naive) policy(j *naiveJob) *tanagerport.AdvicePolicy {
	for _, k := range n.load.Kinds {
		if k.Queue.Name == j.record.Queue {
			return k.Queue.Advice
		}
	}
	return nil
}

// place starts what fits, a gang only as a whole, and reports whether all did.
func (n *Naive) place(j *naiveJob, out *tanagerdispatch.Orders) bool {
	spec := &j.record.Spec.Steps[j.step]
	var at []int
	for range j.waiting {
		i := n.first(j, spec)
		if i < 0 {
			break
		}
		n.free[i] = n.free[i].Sub(spec.Need)
		at = append(at, i)
	}
	if spec.Gang && len(at) < len(j.waiting) {
		for _, i := range at {
			n.free[i] = n.free[i].Add(spec.Need)
		}
		return false
	}
	for k, i := range at {
		index := j.waiting[k]
		j.run[index]++
		out.Starts = append(out.Starts, tanagerdispatch.StartOrder{
			Worker: tanagerport.WorkerRef{ID: workerID(i)},
			Start: tanagerport.Start{
				Task: tanagerwork.TaskName{
					StepName: j.name(),
					Index:    index,
				},
				Run: j.run[index],
			},
		})
	}
	j.waiting = j.waiting[len(at):]
	return len(j.waiting) == 0
}

func (n *Naive) first(j *naiveJob, spec *tanagerwork.Step) int {
	for i := range n.free {
		if spec.Need.Within(n.free[i]) && (j.tickets == nil || j.tickets[workerID(i)] != "") {
			return i
		}
	}
	return -1
}

// PollAnswered implements Scheduler.
func (n *Naive) PollAnswered(_ time.Time, o tanagerdispatch.PollOrder, _ time.Time, r tanagerport.Report, _ error) {
	var index int
	for i := range n.load.Workers {
		if workerID(i) == o.Worker.ID {
			index = i
		}
	}
	seen := o.Poll.Acknowledged
	for _, e := range r.Ended {
		seen = max(seen, e.Number)
		j := n.byID[e.Task.Job]
		n.free[index] = n.free[index].Add(j.record.Spec.Steps[e.Task.Step].Need)
		if e.How != tanagerport.EndedDone {
			j.waiting = append(j.waiting, e.Task.Index)
			continue
		}
		if j.left--; j.left == 0 && j.step+1 < len(j.record.Spec.Steps) {
			j.until = time.Time{}
			j.enter(j.step + 1)
		}
	}
	n.pending = append(n.pending, pollOf(index, seen))
}

// AdviceAnswered implements Scheduler.
func (n *Naive) AdviceAnswered(now time.Time, o tanagerdispatch.AdviceOrder, _ time.Time, a tanagerport.Advice, _ error) {
	n.asking--
	j := n.byID[o.Step.Job]
	j.asking = false
	if j.step == o.Step.Step {
		j.tickets = a.Tickets
		j.until = now.Add(a.Valid)
	}
}

// StartAnswered implements Scheduler.
func (n *Naive) StartAnswered(time.Time, tanagerdispatch.StartOrder, tanagerport.Answer, error) {}

// StopAnswered implements Scheduler; it never stops anything.
func (n *Naive) StopAnswered(time.Time, tanagerdispatch.StopOrder, tanagerport.Answer, error) {}
