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

// throttledCPUFraction is the fraction of its processor time that a throttled
// task keeps.
const throttledCPUFraction = 0.25

// taskBehavior tells a fake worker how a task behaves. It is the task's payload.
// A task with Usage zero uses the resources that it declares.
type taskBehavior struct {
	Fail  bool                   `json:"fail"`
	Usage tanagerresource.Vector `json:"usage,omitzero"`
}

type workerTask struct {
	tanagerplatform.Task
	behavior  taskBehavior
	state     tanagerplatform.TaskState
	throttled bool
	started   time.Time
	// version is the worker's version at the task's last change.
	version uint64
}

type worker struct {
	*fakeVM
	usageLag time.Duration

	mu sync.Mutex
	// epoch is the highest epoch received.
	epoch       uint64
	leaseExpiry time.Time
	started     time.Time
	// version counts the changes of tasks.
	version uint64
	tasks   map[string]*workerTask
	// changed is closed at the next change of a task.
	changed chan struct{}
}

func newWorker(v *fakeVM, usageLag time.Duration) *worker {
	return &worker{
		fakeVM:   v,
		usageLag: usageLag,
		started:  v.timer.Now(),
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

// clock returns the worker's own clock in nanoseconds. It is monotonic, also
// across restarts of the worker.
func (w *worker) clock() int64 {
	return w.started.UnixNano() + int64(w.timer.Now().Sub(w.started))
}

// checkEpoch reports whether an epoch is at least the highest one received. It
// responds with status 409 to a lower one. The caller holds the lock.
func (w *worker) checkEpoch(rw http.ResponseWriter, epoch uint64) bool {
	if epoch < w.epoch {
		writeJSON(rw, http.StatusConflict, tanagerplatform.FencedResponse{
			HighestEpoch: w.epoch,
		})
		return false
	}
	w.epoch = epoch
	return true
}

func (w *worker) sync(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.SyncCall
	if !decodeBody(rw, r, &call) {
		return
	}
	w.mu.Lock()
	if !w.checkEpoch(rw, call.Epoch) {
		w.mu.Unlock()
		return
	}
	w.renewLease(call)
	for _, id := range call.Acknowledged {
		w.removeEnded(id)
	}
	w.mu.Unlock()
	w.awaitChange(r, call)
	w.waitWhilePaused(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checkEpoch(rw, call.Epoch) {
		writeJSON(rw, http.StatusOK, w.report(call.After))
	}
}

// renewLease extends the lease to the call's base plus its length. A call without
// a base does not extend the lease; its response holds the base for the next.
func (w *worker) renewLease(call tanagerplatform.SyncCall) {
	if call.LeaseBase == 0 {
		return
	}
	expiry := w.timer.Now().Add(time.Duration(call.LeaseBase-w.clock()) + call.Lease)
	if expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

func (w *worker) removeEnded(id string) {
	if t := w.tasks[id]; t != nil && t.state.Final() {
		delete(w.tasks, id)
	}
}

// awaitChange waits for a change after the version that the call names, at most
// for the call's Wait. It does not wait for a call without a lease base.
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

// report returns the tasks that changed after a version. The caller holds the
// lock.
func (w *worker) report(after uint64) tanagerplatform.SyncResponse {
	response := tanagerplatform.SyncResponse{
		LeaseBase: w.clock(),
		Version:   w.version,
	}
	for _, t := range w.tasks {
		if t.version > after {
			response.Tasks = append(response.Tasks, w.taskReport(t))
		}
	}
	return response
}

func (w *worker) taskReport(t *workerTask) tanagerplatform.TaskReport {
	report := tanagerplatform.TaskReport{
		ID:        t.ID,
		State:     t.state,
		Throttled: t.throttled,
		Record:    t.Record,
	}
	if w.timer.Now().Sub(t.started) >= w.usageLag {
		report.Usage = t.usage()
	}
	return report
}

// usage returns the resources that the task uses, as opposed to those it declares.
func (t *workerTask) usage() tanagerresource.Vector {
	usage := t.Resources
	if !t.behavior.Usage.IsZero() {
		usage = t.behavior.Usage
	}
	if t.throttled {
		usage.CPU = int64(float64(usage.CPU) * throttledCPUFraction)
	}
	return usage
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.StartCall
	if !decodeBody(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkEpoch(rw, call.Epoch) {
		return
	}
	var response tanagerplatform.StartResponse
	expired := w.clock() > call.LeaseBase+int64(call.Lease)
	if expired || w.timer.Now().After(w.leaseExpiry) {
		writeJSON(rw, http.StatusOK, response)
		return
	}
	for _, t := range call.Tasks {
		if w.tasks[t.ID] == nil {
			w.startTask(t)
		}
		response.Started = append(response.Started, t.ID)
	}
	writeJSON(rw, http.StatusOK, response)
}

func (w *worker) startTask(t tanagerplatform.Task) {
	w.checkLeaving(t.ID)
	now := w.timer.Now()
	task := &workerTask{
		Task:    t,
		state:   tanagerplatform.Running,
		started: now,
	}
	// A payload that is not JSON gives the default behavior.
	_ = json.Unmarshal(t.Payload, &task.behavior)
	w.tasks[t.ID] = task
	w.observer.taskStarted(w.record.Name, t.ID, now)
	w.observer.checkWorkerUsage(w.record.Name, t.ID, w.reserved(), w.record.Capacity)
	w.markChanged(task)
	if w.isBlackHole() {
		w.endTask(task, tanagerplatform.Failed)
	}
}

// reserved returns the sum of the resources that the running tasks declare.
func (w *worker) reserved() tanagerresource.Vector {
	var sum tanagerresource.Vector
	for _, t := range w.tasks {
		if !t.state.Final() {
			sum = sum.Add(t.Resources)
		}
	}
	return sum
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.StopCall
	if !decodeBody(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkEpoch(rw, call.Epoch) {
		return
	}
	for _, id := range call.IDs {
		t := w.tasks[id]
		if t == nil || t.state.Final() {
			continue
		}
		switch call.Mode {
		case tanagerplatform.Checkpoint:
			w.endTask(t, tanagerplatform.Checkpointed)
		case tanagerplatform.Throttle:
			t.throttled = true
			w.markChanged(t)
		case tanagerplatform.Stop:
			w.endTask(t, tanagerplatform.Stopped)
		}
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}

func (w *worker) endTask(t *workerTask, state tanagerplatform.TaskState) {
	if t.state.Final() {
		return
	}
	t.state = state
	w.observer.taskStopped(t.ID)
	w.markChanged(t)
}

// markChanged makes the next report include a task and wakes waiting calls.
func (w *worker) markChanged(t *workerTask) {
	w.version++
	t.version = w.version
	close(w.changed)
	w.changed = make(chan struct{})
}

// endDueTasks ends the tasks whose run time has passed, or all tasks if the lease
// has expired or the VM is dead.
func (w *worker) endDueTasks() {
	w.fakeVM.mu.Lock()
	dead := w.faults.Dead
	w.fakeVM.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	stopAll := dead || now.After(w.leaseExpiry)
	for _, t := range w.tasks {
		switch {
		case t.state.Final():
		case stopAll:
			w.endTask(t, tanagerplatform.Stopped)
		case t.RunTime > 0 && now.Sub(t.started) >= t.RunTime:
			w.endTask(t, t.finalState())
		}
	}
}

func (t *workerTask) finalState() tanagerplatform.TaskState {
	if t.behavior.Fail {
		return tanagerplatform.Failed
	}
	return tanagerplatform.Ended
}
