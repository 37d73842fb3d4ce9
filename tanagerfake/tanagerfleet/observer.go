package tanagerfleet

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// ViolationKind names an invariant that was seen broken.
type ViolationKind string

// The violations that an Observer looks for.
const (
	OverCapacity  ViolationKind = "over_capacity"
	OverSlots     ViolationKind = "over_slots"
	DoubleTask    ViolationKind = "double_task"
	DoubleRequest ViolationKind = "double_request"
	RepeatedRun   ViolationKind = "repeated_run"
	LeavingWork   ViolationKind = "leaving_work"
)

// Violation is one broken invariant.
type Violation struct {
	Kind ViolationKind `json:"kind"`
	VM   string        `json:"vm"`
	ID   string        `json:"id"`
	Note string        `json:"note"`
}

// Observations is what an Observer has seen.
type Observations struct {
	TaskStarts  int         `json:"task_starts"`
	RequestRuns int         `json:"request_runs"`
	RunsByID    []RunCount  `json:"runs_by_id"`
	Violations  []Violation `json:"violations"`
	// Work is when each VM received work.
	Work []VMWork `json:"work"`
}

// RunCount is how often a request id was run, and how often to its end.
type RunCount struct {
	ID    string `json:"id"`
	Runs  int    `json:"runs"`
	Ended int    `json:"ended"`
}

// VMWork is when a VM first and last received work, and the longest time
// between two pieces of work.
type VMWork struct {
	VM          string        `json:"vm"`
	First       time.Time     `json:"first"`
	Last        time.Time     `json:"last"`
	LongestIdle time.Duration `json:"longest_idle"`
}

type requestRecord struct {
	running int
	runs    int
	ended   int
}

// Observer records what ran where. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex
	tasks      map[string]string
	requests   map[string]*requestRecord
	starts     int
	violations []Violation
	work       map[string]*VMWork
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{
		tasks:    make(map[string]string),
		requests: make(map[string]*requestRecord),
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
	o.worked(vm, now)
	key := taskKey(id)
	if other, ok := o.tasks[key]; ok {
		o.add(DoubleTask, vm, id, "already runs on "+other)
	}
	o.tasks[key] = vm
}

func (o *Observer) taskStopped(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.tasks, taskKey(id))
}

func (o *Observer) workerUse(vm, id string, used, capacity tanagerresource.Vector) {
	if used.Fits(capacity) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(OverCapacity, vm, id, fmt.Sprintf("used %v of %v", used, capacity))
}

func (o *Observer) targetUse(vm, id string, busy, slots int) {
	if busy <= slots {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(OverSlots, vm, id, fmt.Sprintf("%d of %d slots", busy, slots))
}

func (o *Observer) leavingWork(vm, id string, since time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(LeavingWork, vm, id, "leaving for "+since.String())
}

func (o *Observer) requestStarted(vm, id string, idempotent bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.worked(vm, now)
	r := o.requests[id]
	if r == nil {
		r = &requestRecord{}
		o.requests[id] = r
	}
	r.running++
	r.runs++
	if r.runs > 1 && !idempotent {
		o.add(RepeatedRun, vm, id, fmt.Sprintf("run %d", r.runs))
	}
	if r.running > 1 {
		o.add(DoubleRequest, vm, id, fmt.Sprintf("%d at once", r.running))
	}
}

func (o *Observer) requestStopped(id string, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	r.running--
	if ended {
		r.ended++
	}
}

func (o *Observer) worked(vm string, now time.Time) {
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

func (o *Observer) add(kind ViolationKind, vm, id, note string) {
	o.violations = append(o.violations, Violation{
		Kind: kind,
		VM:   vm,
		ID:   id,
		Note: note,
	})
}

// Observations returns what was seen so far.
func (o *Observer) Observations() Observations {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := Observations{
		TaskStarts: o.starts,
		Violations: append([]Violation{}, o.violations...),
	}
	for id, r := range o.requests {
		seen.RequestRuns += r.runs
		seen.RunsByID = append(seen.RunsByID, RunCount{
			ID:    id,
			Runs:  r.runs,
			Ended: r.ended,
		})
	}
	for _, w := range o.work {
		seen.Work = append(seen.Work, *w)
	}
	return seen
}
