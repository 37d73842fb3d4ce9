package tanagersite

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// JobShape is what the observer has to know of a job that was handed in.
type JobShape struct {
	// Steps are the tasks of each step, MilliCPU what each of them needs. Each
	// step waits for the one before.
	Steps    []int
	MilliCPU int64
	// Gang tells that the tasks of a step work together: one end as done stands
	// for all.
	Gang bool
}

// observer notes what must never happen.
type observer struct {
	mu         sync.Mutex
	capacity   int64
	jobs       map[string]JobShape
	refused    map[string]bool
	cancelled  map[string]bool
	running    map[string]string
	done       map[string]bool
	taken      map[string]bool
	violations []string
	starts     int
}

func newObserver(capacity int64) *observer {
	return &observer{
		capacity:  capacity,
		jobs:      make(map[string]JobShape),
		refused:   make(map[string]bool),
		cancelled: make(map[string]bool),
		running:   make(map[string]string),
		done:      make(map[string]bool),
		taken:     make(map[string]bool),
	}
}

func (o *observer) violate(format string, a ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, a...))
}

// started checks a start on a worker that runs others already.
func (o *observer) started(order wireOrder, worker string, beside []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	job, step := jobOf(order.Task)
	shape, known := o.jobs[job]
	if !known {
		o.violate("%s started, and nobody handed it in", order.Task)
		return
	}
	if o.refused[job] {
		o.violate("%s started after its job was refused", order.Task)
	}
	if at, there := o.running[order.Task]; there {
		o.violate("%s started on %s while it runs on %s", order.Task, worker, at)
	}
	if o.taken[order.Task] {
		o.violate("%s started again after its end was acknowledged", order.Task)
	}
	load := shape.MilliCPU
	for _, name := range beside {
		other, _ := jobOf(name)
		load += o.jobs[other].MilliCPU
	}
	if load > o.capacity {
		o.violate("%s brings %s to %d of %d", order.Task, worker, load, o.capacity)
	}
	o.checkOrder(order.Task, job, step)
	o.running[order.Task] = worker
}

func (o *observer) checkOrder(task, job, step string) {
	number := o.number(job, step)
	if number == 0 {
		return
	}
	for _, before := range o.stepTasks(job, fmt.Sprintf("%s.0.%d", job, number-1)) {
		if !o.done[before] {
			o.violate("%s started before %s was done", task, before)
		}
	}
}

func (o *observer) ended(task string, _ int64, worker, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[task] == worker {
		delete(o.running, task)
	}
	if how != "done" {
		return
	}
	o.done[task] = true
	if job, step := jobOf(task); o.jobs[job].Gang {
		for _, name := range o.stepTasks(job, step) {
			o.done[name] = true
		}
	}
}

// number returns the number of a step from its name.
func (o *observer) number(job, step string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(step, job+".0."))
	if err != nil || n >= len(o.jobs[job].Steps) {
		o.violate("%s is not a step of a job that was handed in", step)
		return 0
	}
	return n
}

// stepTasks returns the names of the tasks of a step.
func (o *observer) stepTasks(job, step string) []string {
	number := o.number(job, step)
	names := make([]string, 0, o.jobs[job].Steps[number])
	for i := range o.jobs[job].Steps[number] {
		names = append(names, fmt.Sprintf("%s.%d", step, i))
	}
	return names
}

func (o *observer) left(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[task] == worker {
		delete(o.running, task)
	}
}

func (o *observer) acknowledged(task, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if how == "done" {
		o.taken[task] = true
	}
}

func (o *observer) isGang(job string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[job].Gang
}
