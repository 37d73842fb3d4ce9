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

// The fleet and the work of the flood of tasks.
const (
	taskWorkers    = 50
	taskBranches   = 10
	taskRun        = 30 * time.Second
	taskLoad       = 0.8
	taskFloodLoad  = 10
	taskFloodStart = 60 * time.Second
	taskFloodEnd   = 180 * time.Second
	taskEnd        = 240 * time.Second
	taskStep       = 20 * time.Millisecond
	urgentTarget   = 3900 * time.Millisecond
)

// simTask is one task of the synthetic work.
type simTask struct {
	id     string
	at     time.Duration
	branch string
	class  tanagerqueue.Class
	demand tanagerresource.Vector
	run    time.Duration
	// stopped is set when the task was ended to make room.
	stopped bool
	waited  bool
}

// taskEnds is a heap of running tasks by their end.
type taskEnds []taskEnding

type taskEnding struct {
	at   time.Duration
	task *simTask
}

func (h *taskEnds) Len() int           { return len(*h) }
func (h *taskEnds) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }
func (h *taskEnds) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *taskEnds) Push(x any) { *h = append(*h, x.(taskEnding)) }

// Pop implements heap.Interface.
func (h *taskEnds) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// taskScheduler is a way to schedule tasks under measurement.
type taskScheduler interface {
	push(t *simTask)
	// round starts tasks and returns those that it ended to make room.
	round(now time.Duration, start func(*simTask)) []*simTask
	release(t *simTask)
}

// daemonScheduler is the daemon's: fair backlog, indexed placement, preemption.
type daemonScheduler struct {
	backlog *tanagershare.Backlog[*simTask]
	fleet   *tanagerplace.Fleet
	tasks   map[string]*simTask
	random  *rand.Rand
}

func (d *daemonScheduler) push(t *simTask) { d.backlog.Push(t.branch, t.class, t.demand, t) }

func (d *daemonScheduler) release(t *simTask) {
	d.backlog.Refund(t.branch, t.class, t.demand)
	d.fleet.Release(t.id)
	delete(d.tasks, t.id)
}

func (d *daemonScheduler) round(now time.Duration, start func(*simTask)) []*simTask {
	at := time.Unix(0, 0).Add(now)
	var ended []*simTask
	place := func(e *tanagershare.Entry[*simTask]) bool {
		worker, ok := d.fleet.SelectWorker(tanagerplace.Demand{
			Job:       e.Value.id,
			Resources: e.Demand,
			Policy:    tanagerplace.BinPack,
		}, at)
		if !ok {
			ended = append(ended, d.preempt(e, at)...)
			return false
		}
		t := e.Value
		d.fleet.Allocate(worker, tanagerplace.Allocation{
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
	return ended
}

func (d *daemonScheduler) preempt(e *tanagershare.Entry[*simTask], at time.Time) []*simTask {
	if !d.backlog.WithinUrgentShare(e) {
		return nil
	}
	_, victims, ok := d.fleet.SelectVictims(e.Demand, at, d.random, func(h *tanagerplace.Allocation) bool { return h.Checkpointable })
	if !ok {
		return nil
	}
	var ended []*simTask
	for _, v := range victims {
		ended = append(ended, d.tasks[v.Task])
	}
	return ended
}

// fifoScheduler is the baseline: first come first served, first fit.
type fifoScheduler struct {
	waiting []*simTask
	placer  *scan
}

func (f *fifoScheduler) push(t *simTask) { f.waiting = append(f.waiting, t) }

func (f *fifoScheduler) release(t *simTask) { f.placer.release(t.id) }

func (f *fifoScheduler) round(_ time.Duration, start func(*simTask)) []*simTask {
	for len(f.waiting) > 0 {
		t := f.waiting[0]
		worker, ok := f.placer.choose(t.demand)
		if !ok {
			return nil
		}
		f.placer.hold(worker, t.id, t.demand)
		f.waiting = f.waiting[1:]
		start(t)
	}
	return nil
}

// taskWork draws the work: ordinary branches and a flood of one more.
func taskWork(seed uint64, flood tanagerqueue.Class, total tanagerresource.Vector) []*simTask {
	random := rand.New(rand.NewPCG(seed, 5))
	mean := tanagerresource.Vector{
		CPU: obermaier.capacity.CPU / 8,
	}
	capacity := float64(total.CPU) / float64(mean.CPU)
	var list []*simTask
	draw := func(branch string, class func() tanagerqueue.Class, load float64, from, until time.Duration) {
		rate := load * capacity / taskRun.Seconds()
		for at := from.Seconds(); at < until.Seconds(); {
			at += random.ExpFloat64() / rate
			list = append(list, &simTask{
				id:     fmt.Sprintf("%s-%d", branch, len(list)),
				at:     time.Duration(at * float64(time.Second)),
				branch: branch,
				class:  class(),
				demand: tanagerresource.Vector{
					CPU:    mean.CPU/2 + random.Int64N(mean.CPU),
					Memory: 1000 + random.Int64N(3000),
				},
				run: time.Duration(random.ExpFloat64() * float64(taskRun)),
			})
		}
	}
	mixed := func() tanagerqueue.Class {
		if random.IntN(10) == 0 {
			return tanagerqueue.Urgent
		}
		return tanagerqueue.Normal
	}
	for i := range taskBranches {
		draw(fmt.Sprintf("b%d", i), mixed, taskLoad/taskBranches, 0, taskEnd)
	}
	draw("flood", func() tanagerqueue.Class { return flood }, taskFloodLoad, taskFloodStart, taskFloodEnd)
	return list
}

// taskFigures are what happened to the ordinary branches during the flood.
type taskFigures struct {
	asked    float64
	held     float64
	urgent   *waits
	ordinary *waits
	late     int
	urgents  int
	ended    int
}

// schedule runs the work through a scheduler in virtual time.
func schedule(s taskScheduler, work []*simTask) taskFigures {
	f := taskFigures{
		urgent:   newWaits(),
		ordinary: newWaits(),
	}
	var ends taskEnds
	now := time.Duration(0)
	start := func(t *simTask) {
		heap.Push(&ends, taskEnding{
			at:   now + t.run,
			task: t,
		})
		if t.waited || t.branch == "flood" || t.at < taskFloodStart || t.at >= taskFloodEnd {
			return
		}
		t.waited = true
		f.held += float64(t.demand.CPU) * t.run.Seconds()
		wait := now - t.at
		if t.class != tanagerqueue.Urgent {
			f.ordinary.add(wait)
			return
		}
		f.urgents++
		f.urgent.add(wait)
		if wait > urgentTarget {
			f.late++
		}
	}
	byArrival := make(map[int64][]*simTask)
	for _, t := range work {
		step := int64(t.at / taskStep)
		byArrival[step] = append(byArrival[step], t)
		if t.branch != "flood" && t.at >= taskFloodStart && t.at < taskFloodEnd {
			f.asked += float64(t.demand.CPU) * t.run.Seconds()
		}
	}
	for ; now < taskEnd; now += taskStep {
		for len(ends) > 0 && ends[0].at <= now {
			e := heap.Pop(&ends).(taskEnding)
			if e.task.stopped {
				e.task.stopped = false
				continue
			}
			s.release(e.task)
		}
		for _, t := range byArrival[int64(now/taskStep)] {
			s.push(t)
		}
		for _, t := range s.round(now, start) {
			t.stopped = true
			s.release(t)
			f.ended++
		}
	}
	return f
}

func newDaemonScheduler(kind cellKind, workers int, seed uint64) (*daemonScheduler, *fifoScheduler, tanagerresource.Vector) {
	own, first, _, total := fleetOf(kind, workers)
	d := &daemonScheduler{
		backlog: tanagershare.New[*simTask](total),
		fleet:   own.fleet,
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
		placer: first,
	}, total
}

// benchTasks floods a fleet with the least and the most urgent tasks.
func benchTasks(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "\nTasks: %d Obermaier workers, %d branches that ask for %.0f%% of them, and a branch that asks for %d times the fleet for %s; tasks run %s on average.\n",
		taskWorkers, taskBranches, taskLoad*100, taskFloodLoad, taskFloodEnd-taskFloodStart, taskRun)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "FLOOD OF\tSCHEDULER\tOTHERS KEEP\tURGENT LATE\tPREEMPTED\tURGENT P50\tP99\tP99.9\tOTHER P50\tP99\tP99.9\t")
	for _, class := range []tanagerqueue.Class{tanagerqueue.Batch, tanagerqueue.Urgent} {
		own, baseline, total := newDaemonScheduler(obermaier, taskWorkers, seed)
		row := func(name string, f taskFigures) {
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%d of %d\t%d\t%s\t%s\t\n", class, name, 100*f.held/f.asked, f.late, f.urgents, f.ended, f.urgent.columns(), f.ordinary.columns())
		}
		row("fair", schedule(own, taskWork(seed, class, total)))
		row("first come", schedule(baseline, taskWork(seed, class, total)))
	}
	_ = t.Flush()
}
