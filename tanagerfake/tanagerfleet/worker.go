package tanagerfleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerresource"
)

// throttledShare is the part of its processor time that a throttled task
// keeps.
const throttledShare = 0.25

// taskOrder is what a task's payload may ask of the stand-in.
type taskOrder struct {
	Fail  bool                   `json:"fail"`
	Usage tanagerresource.Vector `json:"usage,omitzero"`
}

type workerTask struct {
	tanagerplatform.Task
	order     taskOrder
	state     tanagerplatform.TaskState
	throttled bool
	started   time.Time
	version   uint64
}

// worker is the stand-in for one worker.
type worker struct {
	*machine
	usageLag time.Duration

	mu      sync.Mutex
	epoch   uint64
	due     time.Time
	started time.Time
	version uint64
	tasks   map[string]*workerTask
	changed chan struct{}
}

func newWorker(m *machine, usageLag time.Duration) *worker {
	return &worker{
		machine:  m,
		usageLag: usageLag,
		started:  m.timer.Now(),
		tasks:    make(map[string]*workerTask),
		changed:  make(chan struct{}),
	}
}

func (w *worker) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/sync", w.sync)
	r.Post("/v1/start", w.start)
	r.Post("/v1/stop", w.stop)
	return r
}

// clock is the worker's own reading. It never goes back, also across restarts
// of the worker.
func (w *worker) clock() int64 {
	return w.started.UnixNano() + int64(w.timer.Now().Sub(w.started))
}

// admit checks the epoch and answers 409 to one that has been fenced.
func (w *worker) admit(rw http.ResponseWriter, epoch uint64) bool {
	if epoch < w.epoch {
		answer(rw, http.StatusConflict, tanagerplatform.FencedAnswer{
			HighestEpoch: w.epoch,
		})
		return false
	}
	w.epoch = epoch
	return true
}

func (w *worker) sync(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.SyncCall
	if !decode(rw, r, &call) {
		return
	}
	w.mu.Lock()
	if !w.admit(rw, call.Epoch) {
		w.mu.Unlock()
		return
	}
	w.renew(call)
	for _, id := range call.Acknowledged {
		w.forget(id)
	}
	w.mu.Unlock()
	w.awaitChange(r, call)
	w.awaitResume(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.admit(rw, call.Epoch) {
		answer(rw, http.StatusOK, w.report(call.After))
	}
}

// renew extends the lease to the caller's base plus its length. A call without
// a base extends nothing; its answer holds the base for the next.
func (w *worker) renew(call tanagerplatform.SyncCall) {
	if call.LeaseBase == 0 {
		return
	}
	due := w.timer.Now().Add(time.Duration(call.LeaseBase-w.clock()) + call.Lease)
	if due.After(w.due) {
		w.due = due
	}
}

func (w *worker) forget(id string) {
	if t := w.tasks[id]; t != nil && t.state.Final() {
		delete(w.tasks, id)
	}
}

func (w *worker) awaitChange(r *http.Request, call tanagerplatform.SyncCall) {
	deadline := w.timer.After(call.Wait)
	defer deadline.Stop()
	for {
		w.mu.Lock()
		version, changed := w.version, w.changed
		w.mu.Unlock()
		if call.LeaseBase == 0 || version > call.After {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *worker) report(after uint64) tanagerplatform.SyncReport {
	report := tanagerplatform.SyncReport{
		LeaseBase: w.clock(),
		Version:   w.version,
	}
	for _, t := range w.tasks {
		if t.version > after {
			report.Tasks = append(report.Tasks, w.taskReport(t))
		}
	}
	return report
}

func (w *worker) taskReport(t *workerTask) tanagerplatform.TaskReport {
	report := tanagerplatform.TaskReport{
		ID:        t.ID,
		State:     t.state,
		Throttled: t.throttled,
		Record:    t.Record,
	}
	if w.timer.Now().Sub(t.started) >= w.usageLag {
		report.Usage = t.use()
	}
	return report
}

// use is what the task really takes.
func (t *workerTask) use() tanagerresource.Vector {
	use := t.Resources
	if !t.order.Usage.IsZero() {
		use = t.order.Usage
	}
	if t.throttled {
		use.CPU = int64(float64(use.CPU) * throttledShare)
	}
	return use
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.StartCall
	if !decode(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(rw, call.Epoch) {
		return
	}
	var report tanagerplatform.StartReport
	late := w.clock() > call.LeaseBase+int64(call.Lease)
	if late || w.timer.Now().After(w.due) {
		answer(rw, http.StatusOK, report)
		return
	}
	for _, t := range call.Tasks {
		if w.tasks[t.ID] == nil {
			w.startTask(t)
		}
		report.Started = append(report.Started, t.ID)
	}
	answer(rw, http.StatusOK, report)
}

func (w *worker) startTask(t tanagerplatform.Task) {
	w.checkLeaving(t.ID)
	now := w.timer.Now()
	task := &workerTask{
		Task:    t,
		state:   tanagerplatform.Running,
		started: now,
	}
	// A payload that is no order asks for nothing.
	_ = json.Unmarshal(t.Payload, &task.order)
	w.tasks[t.ID] = task
	w.observer.taskStarted(w.record.Name, t.ID, now)
	w.observer.workerUse(w.record.Name, t.ID, w.held(), w.record.Capacity)
	w.touch(task)
	if w.blackHole() {
		w.end(task, tanagerplatform.Failed)
	}
}

// held is the sum of what the running tasks declared.
func (w *worker) held() tanagerresource.Vector {
	var sum tanagerresource.Vector
	for _, t := range w.tasks {
		if !t.state.Final() {
			sum = sum.Plus(t.Resources)
		}
	}
	return sum
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.StopCall
	if !decode(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(rw, call.Epoch) {
		return
	}
	for _, id := range call.IDs {
		t := w.tasks[id]
		if t == nil || t.state.Final() {
			continue
		}
		switch call.Mode {
		case tanagerplatform.Checkpoint:
			w.end(t, tanagerplatform.Checkpointed)
		case tanagerplatform.Throttle:
			t.throttled = true
			w.touch(t)
		case tanagerplatform.Stop:
			w.end(t, tanagerplatform.Stopped)
		}
	}
	answer(rw, http.StatusOK, struct{}{})
}

func (w *worker) end(t *workerTask, state tanagerplatform.TaskState) {
	if t.state.Final() {
		return
	}
	t.state = state
	w.observer.taskStopped(t.ID)
	w.touch(t)
}

func (w *worker) touch(t *workerTask) {
	w.version++
	t.version = w.version
	close(w.changed)
	w.changed = make(chan struct{})
}

// step ends the tasks whose time has come, or all of them once the lease has
// lapsed or the VM is dead.
func (w *worker) step() {
	w.machine.mu.Lock()
	dead := w.faults.Dead
	w.machine.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	lapsed := dead || now.After(w.due)
	for _, t := range w.tasks {
		switch {
		case t.state.Final():
		case lapsed:
			w.end(t, tanagerplatform.Stopped)
		case t.RunTime > 0 && now.Sub(t.started) >= t.RunTime:
			w.end(t, t.result())
		}
	}
}

func (t *workerTask) result() tanagerplatform.TaskState {
	if t.order.Fail {
		return tanagerplatform.Failed
	}
	return tanagerplatform.Ended
}
