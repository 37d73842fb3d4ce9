package tanagerfleet

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// ViolationKind identifies an invariant that was violated.
type ViolationKind string

// The violations that an Observer detects.
const (
	// OverCapacity means that the tasks of a worker declare more than its capacity.
	OverCapacity ViolationKind = "over_capacity"
	// OverSlots means that a target runs more requests than it has slots.
	OverSlots ViolationKind = "over_slots"
	// DoubleTask means that a task runs in two places at once.
	DoubleTask ViolationKind = "double_task"
	// DoubleRequest means that a request runs in two places at once.
	DoubleRequest ViolationKind = "double_request"
	// RepeatedRun means that a non-idempotent request ran more than once.
	RepeatedRun ViolationKind = "repeated_run"
	// LeavingWork means that a VM received work after its leaving grace time.
	LeavingWork ViolationKind = "leaving_work"
)

// Violation is one violation of an invariant. ID is that of the task or request.
type Violation struct {
	Kind ViolationKind `json:"kind"`
	VM   string        `json:"vm"`
	ID   string        `json:"id"`
	Note string        `json:"note"`
}

// Observations is what an Observer has recorded.
type Observations struct {
	TaskStarts  int         `json:"task_starts"`
	RequestRuns int         `json:"request_runs"`
	RunsByID    []RunCount  `json:"runs_by_id"`
	Violations  []Violation `json:"violations"`
	// Work tells for each VM when it received work.
	Work []VMWork `json:"work"`
}

// RunCount is how often the request with an id was started and how often it
// completed.
type RunCount struct {
	ID        string `json:"id"`
	Runs      int    `json:"runs"`
	Completed int    `json:"ended"`
}

// VMWork is when a VM first and last received work, and the longest time between
// two successive arrivals.
type VMWork struct {
	VM          string        `json:"vm"`
	First       time.Time     `json:"first"`
	Last        time.Time     `json:"last"`
	LongestIdle time.Duration `json:"longest_idle"`
}

type requestCounts struct {
	running   int
	runs      int
	completed int
}

// Observer records what ran where and detects violations of the scheduler's
// invariants. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex
	tasks      map[string]string
	requests   map[string]*requestCounts
	starts     int
	violations []Violation
	work       map[string]*VMWork
}

// NewObserver returns an observer without observations.
func NewObserver() *Observer {
	return &Observer{
		tasks:    make(map[string]string),
		requests: make(map[string]*requestCounts),
		work:     make(map[string]*VMWork),
	}
}

// taskKey removes the attempt from a task id of the form job/index/attempt, so
// that two attempts of one task count as the same task.
func taskKey(id string) string {
	if i := strings.LastIndexByte(id, '/'); i > 0 {
		return id[:i]
	}
	return id
}

func (o *Observer) taskStarted(vm, id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	o.recordWork(vm, now)
	key := taskKey(id)
	if other, running := o.tasks[key]; running {
		o.addViolation(DoubleTask, vm, id, "already running on "+other)
	}
	o.tasks[key] = vm
}

func (o *Observer) taskStopped(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.tasks, taskKey(id))
}

func (o *Observer) checkWorkerUsage(vm, id string, used, capacity tanagerresource.Vector) {
	if used.FitsIn(capacity) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(OverCapacity, vm, id, fmt.Sprintf("used %v of %v", used, capacity))
}

func (o *Observer) checkTargetSlots(vm, id string, busy, slots int) {
	if busy <= slots {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(OverSlots, vm, id, fmt.Sprintf("%d of %d slots", busy, slots))
}

func (o *Observer) addLeavingWork(vm, id string, elapsed time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(LeavingWork, vm, id, "leaving for "+elapsed.String())
}

func (o *Observer) requestStarted(vm, id string, idempotent bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordWork(vm, now)
	r := o.requests[id]
	if r == nil {
		r = &requestCounts{}
		o.requests[id] = r
	}
	r.running++
	r.runs++
	if r.runs > 1 && !idempotent {
		o.addViolation(RepeatedRun, vm, id, fmt.Sprintf("run %d", r.runs))
	}
	if r.running > 1 {
		o.addViolation(DoubleRequest, vm, id, fmt.Sprintf("%d at once", r.running))
	}
}

func (o *Observer) requestEnded(id string, completed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	r.running--
	if completed {
		r.completed++
	}
}

// recordWork records that a VM received work. The caller holds the lock.
func (o *Observer) recordWork(vm string, now time.Time) {
	w := o.work[vm]
	if w == nil {
		o.work[vm] = &VMWork{
			VM:    vm,
			First: now,
			Last:  now,
		}
		return
	}
	w.LongestIdle = max(w.LongestIdle, now.Sub(w.Last))
	w.Last = now
}

// addViolation records a violation. The caller holds the lock.
func (o *Observer) addViolation(kind ViolationKind, vm, id, note string) {
	o.violations = append(o.violations, Violation{
		Kind: kind,
		VM:   vm,
		ID:   id,
		Note: note,
	})
}

// Observations returns what was recorded so far.
func (o *Observer) Observations() Observations {
	o.mu.Lock()
	defer o.mu.Unlock()
	observations := Observations{
		TaskStarts: o.starts,
		Violations: append([]Violation{}, o.violations...),
	}
	for id, r := range o.requests {
		observations.RequestRuns += r.runs
		observations.RunsByID = append(observations.RunsByID, RunCount{
			ID:        id,
			Runs:      r.runs,
			Completed: r.completed,
		})
	}
	for _, w := range o.work {
		observations.Work = append(observations.Work, *w)
	}
	return observations
}
