package main

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershare"
)

// The cluster and the workload. Loads are multiples of the capacity of the
// workers; all ordinary branches together have the load ordinaryTaskLoad. An
// urgent task that waits longer than urgentWaitTarget, the default objective of
// the class in package tanagerburn, is late.
const (
	taskWorkers        = 50
	taskBranches       = 10
	meanTaskRunTime    = 30 * time.Second
	ordinaryTaskLoad   = 0.8
	taskFloodLoad      = 10
	taskFloodStart     = 60 * time.Second
	taskFloodEnd       = 180 * time.Second
	taskSimulationEnd  = 240 * time.Second
	schedulingInterval = 20 * time.Millisecond
	urgentWaitTarget   = 3900 * time.Millisecond
)

// simTask is one task of the synthetic workload.
type simTask struct {
	id      string
	arrival time.Duration
	branch  string
	class   tanagerqueue.Class
	demand  tanagerresource.Vector
	runTime time.Duration
	// preempted is set from the preemption of the task until its scheduled end
	// is skipped.
	preempted bool
	// started is set once the start of the task was counted in the results.
	started bool
}

// taskEndHeap is a min-heap of running tasks by their end.
type taskEndHeap []taskEnd

// taskEnd is the scheduled end of a running task.
type taskEnd struct {
	at   time.Duration
	task *simTask
}

func (h *taskEndHeap) Len() int           { return len(*h) }
func (h *taskEndHeap) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }
func (h *taskEndHeap) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *taskEndHeap) Push(x any) { *h = append(*h, x.(taskEnd)) }

// Pop implements heap.Interface.
func (h *taskEndHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// taskScheduler is a task scheduler under measurement.
type taskScheduler interface {
	// push adds a task to the backlog.
	push(t *simTask)
	// scheduleRound starts tasks and returns the running tasks to preempt.
	scheduleRound(now time.Duration, start func(*simTask)) []*simTask
	// release frees the resources of a task that has ended or was preempted.
	release(t *simTask)
}

// daemonScheduler is the daemon's scheduler: a fair backlog, indexed placement and
// preemption.
type daemonScheduler struct {
	backlog *tanagershare.Backlog[*simTask]
	placer  *tanagerplace.Fleet
	tasks   map[string]*simTask
	random  *rand.Rand
}

func (d *daemonScheduler) push(t *simTask) { d.backlog.Push(t.branch, t.class, t.demand, t) }

func (d *daemonScheduler) release(t *simTask) {
	d.backlog.Refund(t.branch, t.class, t.demand)
	d.placer.Release(t.id)
	delete(d.tasks, t.id)
}

func (d *daemonScheduler) scheduleRound(now time.Duration, start func(*simTask)) []*simTask {
	at := time.Unix(0, 0).Add(now)
	var preempted []*simTask
	place := func(e *tanagershare.Entry[*simTask]) bool {
		worker, ok := d.placer.SelectWorker(tanagerplace.Demand{
			Job:       e.Value.id,
			Resources: e.Demand,
			Policy:    tanagerplace.BinPack,
		}, at)
		if !ok {
			preempted = append(preempted, d.preempt(e, at)...)
			return false
		}
		t := e.Value
		d.placer.Allocate(worker, tanagerplace.Allocation{
			Task:           t.id,
			Job:            t.id,
			Class:          t.class,
			Declared:       t.demand,
			Checkpointable: t.class == tanagerqueue.Batch,
			Started:        at,
		})
		d.tasks[t.id] = t
		start(t)
		return true
	}
	d.backlog.Round(place)
	return preempted
}

// preempt returns the checkpointable tasks to preempt so that an entry fits on a
// worker. Only urgent entries within their branch's urgent share preempt others.
func (d *daemonScheduler) preempt(e *tanagershare.Entry[*simTask], at time.Time) []*simTask {
	if !d.backlog.WithinUrgentShare(e) {
		return nil
	}
	_, victims, ok := d.placer.SelectVictims(e.Demand, at, d.random,
		func(a *tanagerplace.Allocation) bool { return a.Checkpointable })
	if !ok {
		return nil
	}
	var preempted []*simTask
	for _, v := range victims {
		preempted = append(preempted, d.tasks[v.Task])
	}
	return preempted
}

// fifoScheduler is the baseline: first come, first served with first fit.
type fifoScheduler struct {
	backlog   []*simTask
	placement *scanPlacement
}

func (f *fifoScheduler) push(t *simTask) { f.backlog = append(f.backlog, t) }

func (f *fifoScheduler) release(t *simTask) { f.placement.release(t.id) }

func (f *fifoScheduler) scheduleRound(_ time.Duration, start func(*simTask)) []*simTask {
	for len(f.backlog) > 0 {
		t := f.backlog[0]
		worker, ok := f.placement.choose(t.demand)
		if !ok {
			return nil
		}
		f.placement.allocate(worker, t.id, t.demand)
		f.backlog = f.backlog[1:]
		start(t)
	}
	return nil
}

// generateTasks returns the tasks of the ordinary branches and, during the flood,
// of one more branch, whose tasks all have the class flood.
func generateTasks(seed uint64, flood tanagerqueue.Class, total tanagerresource.Vector) []*simTask {
	random := rand.New(rand.NewPCG(seed, 5))
	meanDemand := tanagerresource.Vector{
		CPU: obermaier.capacity.CPU / 8,
	}
	taskSlots := float64(total.CPU) / float64(meanDemand.CPU)
	var list []*simTask
	draw := func(branch string, class func() tanagerqueue.Class, load float64, from, until time.Duration) {
		rate := load * taskSlots / meanTaskRunTime.Seconds()
		for at := from.Seconds(); at < until.Seconds(); {
			at += random.ExpFloat64() / rate
			list = append(list, &simTask{
				id:      fmt.Sprintf("%s-%d", branch, len(list)),
				arrival: time.Duration(at * float64(time.Second)),
				branch:  branch,
				class:   class(),
				demand: tanagerresource.Vector{
					CPU:    meanDemand.CPU/2 + random.Int64N(meanDemand.CPU),
					Memory: 1000 + random.Int64N(3000),
				},
				runTime: time.Duration(random.ExpFloat64() * float64(meanTaskRunTime)),
			})
		}
	}
	mixedClass := func() tanagerqueue.Class {
		if random.IntN(10) == 0 {
			return tanagerqueue.Urgent
		}
		return tanagerqueue.Normal
	}
	for i := range taskBranches {
		draw(fmt.Sprintf("b%d", i), mixedClass, ordinaryTaskLoad/taskBranches, 0, taskSimulationEnd)
	}
	draw("flood", func() tanagerqueue.Class { return flood }, taskFloodLoad, taskFloodStart, taskFloodEnd)
	return list
}

// taskResults covers the tasks of the ordinary branches that arrived during the
// flood; preemptions counts those of all tasks. Work is CPU demand multiplied by
// run time, in milli-core seconds.
type taskResults struct {
	requestedWork   float64
	startedWork     float64
	urgentWaits     *waitHistogram
	otherWaits      *waitHistogram
	lateUrgentTasks int
	urgentTasks     int
	preemptions     int
}

// simulateTasks schedules tasks in virtual time, in one round per
// schedulingInterval.
func simulateTasks(s taskScheduler, tasks []*simTask) taskResults {
	r := taskResults{
		urgentWaits: newWaitHistogram(),
		otherWaits:  newWaitHistogram(),
	}
	var ends taskEndHeap
	now := time.Duration(0)
	start := func(t *simTask) {
		heap.Push(&ends, taskEnd{
			at:   now + t.runTime,
			task: t,
		})
		if t.started || t.branch == "flood" || t.arrival < taskFloodStart || t.arrival >= taskFloodEnd {
			return
		}
		t.started = true
		r.startedWork += float64(t.demand.CPU) * t.runTime.Seconds()
		wait := now - t.arrival
		if t.class != tanagerqueue.Urgent {
			r.otherWaits.record(wait)
			return
		}
		r.urgentTasks++
		r.urgentWaits.record(wait)
		if wait > urgentWaitTarget {
			r.lateUrgentTasks++
		}
	}
	arrivalsByRound := make(map[int64][]*simTask)
	for _, t := range tasks {
		round := int64(t.arrival / schedulingInterval)
		arrivalsByRound[round] = append(arrivalsByRound[round], t)
		if t.branch != "flood" && t.arrival >= taskFloodStart && t.arrival < taskFloodEnd {
			r.requestedWork += float64(t.demand.CPU) * t.runTime.Seconds()
		}
	}
	for ; now < taskSimulationEnd; now += schedulingInterval {
		for len(ends) > 0 && ends[0].at <= now {
			e := heap.Pop(&ends).(taskEnd)
			if e.task.preempted {
				e.task.preempted = false
				continue
			}
			s.release(e.task)
		}
		for _, t := range arrivalsByRound[int64(now/schedulingInterval)] {
			s.push(t)
		}
		for _, t := range s.scheduleRound(now, start) {
			t.preempted = true
			s.release(t)
			r.preemptions++
		}
	}
	return r
}

// newTaskSchedulers returns the daemon's scheduler and the baseline, each for the
// same workers, and the total capacity of these.
func newTaskSchedulers(
	shape clusterShape, workers int, seed uint64,
) (*daemonScheduler, *fifoScheduler, tanagerresource.Vector) {
	indexed, firstFit, _, total := newPlacements(shape, workers)
	d := &daemonScheduler{
		backlog: tanagershare.New[*simTask](total),
		placer:  indexed.placer,
		tasks:   make(map[string]*simTask),
		random:  rand.New(rand.NewPCG(seed, 6)),
	}
	names := []string{"flood"}
	for i := range taskBranches {
		names = append(names, fmt.Sprintf("b%d", i))
	}
	for _, name := range names {
		d.backlog.SetBranch(name, tanagershare.BranchSettings{
			Weight:      1,
			UrgentShare: 0.05,
		})
	}
	return d, &fifoScheduler{
		placement: firstFit,
	}, total
}

// benchTasks compares the daemon's scheduler with the baseline while one branch
// floods the workers with batch tasks, and with urgent ones.
func benchTasks(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "\nTasks: %d Obermaier workers, %d branches that ask for %.0f%% of them, "+
		"and a branch that asks for %d times the fleet for %s; tasks run %s on average.\n",
		taskWorkers, taskBranches, ordinaryTaskLoad*100, taskFloodLoad, taskFloodEnd-taskFloodStart, meanTaskRunTime)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t,
		"FLOOD OF\tSCHEDULER\tOTHERS KEEP\tURGENT LATE\tPREEMPTED\tURGENT P50\tP99\tP99.9\tOTHER P50\tP99\tP99.9\t")
	for _, class := range []tanagerqueue.Class{tanagerqueue.Batch, tanagerqueue.Urgent} {
		fair, baseline, total := newTaskSchedulers(obermaier, taskWorkers, seed)
		printRow := func(name string, r taskResults) {
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%d of %d\t%d\t%s\t%s\t\n", class, name,
				100*r.startedWork/r.requestedWork, r.lateUrgentTasks, r.urgentTasks, r.preemptions,
				r.urgentWaits.percentileColumns(), r.otherWaits.percentileColumns())
		}
		printRow("fair", simulateTasks(fair, generateTasks(seed, class, total)))
		printRow("first come", simulateTasks(baseline, generateTasks(seed, class, total)))
	}
	_ = t.Flush()
}
