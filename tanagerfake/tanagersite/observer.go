package tanagersite

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// JobSpec is the part of a submitted job that the observer checks.
type JobSpec struct {
	// TasksPerStep is the number of tasks of each step. Each step depends on the
	// one before.
	TasksPerStep []int
	// MilliCPU is the processor time that each task requests, in thousandths of a
	// core.
	MilliCPU int64
	// Gang tells that the tasks of a step run as a gang: if one is done, all are.
	Gang bool
	// Crashing tells that the first task of the first step crashes each worker that
	// starts it.
	Crashing bool
	// TaskDuration is the mean duration of the tasks, 0 for the site's.
	TaskDuration time.Duration
}

const (
	// A task may be given up once minCrashesToFail workers have crashed under it,
	// for whatever cause.
	minCrashesToFail = 2
	// A task under which maxCrashes workers have crashed must not be started
	// maxFurtherStarts times more.
	maxCrashes       = 3
	maxFurtherStarts = 3
)

// observer records violations of the scheduler's invariants.
type observer struct {
	mu sync.Mutex
	// now returns the time.
	now func() time.Time
	// capacities holds the capacities that each worker has had, the present one
	// last.
	capacities map[string][]capacity
	jobs       map[string]JobSpec
	refused    map[string]bool
	cancelled  map[string]bool
	// running maps each running task to its worker.
	running map[string]string
	done    map[string]bool
	// acknowledged holds the done tasks whose end the scheduler has acknowledged.
	acknowledged map[string]bool
	// crashes counts the workers that have crashed under a task, furtherStarts its
	// starts after maxCrashes of them.
	crashes, furtherStarts map[string]int
	// losses counts the runs of a task that were lost with their workers, also with
	// workers that another task crashed or that restarted by themselves.
	losses     map[string]int
	violations []string
	startCount int
	// second checks for second starts. If it is nil, starts beside a run and after an
	// acknowledged end are violations in any case.
	second *secondStarts
	notes  *Record
}

// capacity is a worker's capacity in thousandths of a core, since a time.
type capacity struct {
	milliCPU int64
	since    time.Time
}

// shrinkAllowance is how long after a worker's entry shows less capacity starts
// may still use the former one. It is the platform's bound for noticing a change,
// without the heartbeat that it adds: the fake writes the entry at once.
const shrinkAllowance = 3 * time.Second

func newObserver() *observer {
	return &observer{
		now:          time.Now,
		capacities:   make(map[string][]capacity),
		jobs:         make(map[string]JobSpec),
		refused:      make(map[string]bool),
		cancelled:    make(map[string]bool),
		running:      make(map[string]string),
		done:         make(map[string]bool),
		acknowledged: make(map[string]bool),

		crashes:       make(map[string]int),
		furtherStarts: make(map[string]int),
		losses:        make(map[string]int),
	}
}

// capacityChanged records a worker's new capacity, which its entry shows from now
// on.
func (o *observer) capacityChanged(worker string, milliCPU int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacities[worker] = append(o.capacities[worker], capacity{
		milliCPU: milliCPU,
		since:    o.now(),
	})
}

// usableMilliCPU returns the largest capacity that starts on a worker may use: the
// present one, or a former one that was replaced less than shrinkAllowance ago. The
// caller holds the lock.
func (o *observer) usableMilliCPU(worker string) int64 {
	var usable int64
	until := o.now()
	for i := len(o.capacities[worker]) - 1; i >= 0 && o.now().Sub(until) < shrinkAllowance; i-- {
		c := o.capacities[worker][i]
		usable = max(usable, c.milliCPU)
		until = c.since
	}
	return usable
}

// addViolation records a violation. The caller holds the lock.
func (o *observer) addViolation(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	o.violations = append(o.violations, text)
	o.notes.Note("violation", Fields{"text": text})
}

// runStarted checks the start of a task on a worker that already runs the tasks
// runningTasks.
func (o *observer) runStarted(command wireCommand, worker string, runningTasks []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startCount++
	job, step := splitTaskName(command.Task)
	spec, known := o.jobs[job]
	if !known {
		o.addViolation("task %s started, but its job was not submitted", command.Task)
		return
	}
	if o.refused[job] {
		o.addViolation("task %s started after its job was refused", command.Task)
	}
	if o.second != nil {
		o.checkSecondStart(command, worker)
	} else if other, running := o.running[command.Task]; running {
		o.addViolation("task %s started on worker %s while running on worker %s", command.Task, worker, other)
	}
	if o.acknowledged[command.Task] {
		o.addViolation("task %s started again after its end was acknowledged", command.Task)
	}
	load := spec.MilliCPU
	for _, name := range runningTasks {
		other, _ := splitTaskName(name)
		load += o.jobs[other].MilliCPU
	}
	if usable := o.usableMilliCPU(worker); load > usable {
		o.addViolation("task %s overcommits worker %s: %d of %d millicores", command.Task, worker, load, usable)
	}
	o.checkStepOrder(command.Task, job, step)
	o.checkCrashes(command.Task)
	o.running[command.Task] = worker
}

// checkCrashes checks that a task is not started on and on although it crashes its
// workers. The caller holds the lock.
func (o *observer) checkCrashes(task string) {
	if o.crashes[task] < maxCrashes {
		return
	}
	o.furtherStarts[task]++
	if o.furtherStarts[task] == maxFurtherStarts {
		o.addViolation("task %s started %d times after %d workers had crashed under it",
			task, maxFurtherStarts, maxCrashes)
	}
}

// checkStepOrder checks that all tasks of the preceding step are done.
func (o *observer) checkStepOrder(task, job, step string) {
	index := o.stepIndex(job, step)
	if index == 0 {
		return
	}
	for _, predecessor := range o.stepTasks(job, fmt.Sprintf("%s.0.%d", job, index-1)) {
		if !o.done[predecessor] {
			o.addViolation("task %s started before task %s was done", task, predecessor)
		}
	}
}

func (o *observer) runEnded(task string, number int64, worker, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.second != nil {
		o.second.ended(task, number, worker, reason)
	}
	if o.running[task] == worker {
		delete(o.running, task)
	}
	if reason != endDone {
		return
	}
	o.done[task] = true
	if job, step := splitTaskName(task); o.jobs[job].Gang {
		for _, name := range o.stepTasks(job, step) {
			o.done[name] = true
		}
	}
}

// crashingTask returns the name of the task of a crashing job that crashes its
// workers.
func crashingTask(job string) string { return job + ".0.0.0" }

// isCrashing reports whether a task crashes its worker.
func (o *observer) isCrashing(task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	job, _ := splitTaskName(task)
	return o.jobs[job].Crashing && task == crashingTask(job)
}

// workerNotReturned records that the fake itself failed.
func (o *observer) workerNotReturned(worker string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("worker %s did not return from a crash: %v", worker, err)
}

func (o *observer) workerCrashed(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes[task]++
}

// stepIndex returns the index of a step from its name. It records a violation and
// returns 0 if the job has no such step.
func (o *observer) stepIndex(job, step string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(step, job+".0."))
	if err != nil || n >= len(o.jobs[job].TasksPerStep) {
		o.addViolation("%s is not a step of a submitted job", step)
		return 0
	}
	return n
}

func (o *observer) stepTasks(job, step string) []string {
	index := o.stepIndex(job, step)
	names := make([]string, 0, o.jobs[job].TasksPerStep[index])
	for i := range o.jobs[job].TasksPerStep[index] {
		names = append(names, fmt.Sprintf("%s.%d", step, i))
	}
	return names
}

// runLost records that a run ended because its worker restarted.
func (o *observer) runLost(task, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losses[task]++
	if o.second != nil {
		o.second.removeLive(task, worker, 0)
	}
	if o.running[task] == worker {
		delete(o.running, task)
	}
}

func (o *observer) endAcknowledged(task, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reason == endDone {
		o.acknowledged[task] = true
	}
}

// meanTaskDuration returns the mean duration of the tasks of a task's job, 0 if it
// has none of its own.
func (o *observer) meanTaskDuration(task string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return o.jobs[job].TaskDuration
}

func (o *observer) isGang(job string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[job].Gang
}
