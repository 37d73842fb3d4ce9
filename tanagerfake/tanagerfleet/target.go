package tanagerfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerplatform"
)

// requestBehavior tells a fake target how to handle a request. It is the
// request's body.
type requestBehavior struct {
	// WorkMS is the duration of the request in milliseconds.
	WorkMS int64 `json:"work_ms"`
	// Status is the status of the response; 0 stands for 200.
	Status int `json:"status"`
}

// targetResponse is the body of a fake target's response.
type targetResponse struct {
	RequestID string          `json:"request_id"`
	Target    string          `json:"target"`
	Path      string          `json:"path"`
	Echo      json.RawMessage `json:"echo,omitempty"`
}

type target struct {
	*fakeVM

	mu   sync.Mutex
	busy int
}

func newTarget(v *fakeVM) *target {
	return &target{
		fakeVM: v,
	}
}

func (t *target) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/run/*", t.run)
	r.Get("/status", t.status)
	return r
}

func (t *target) status(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, tanagerplatform.TargetStatus{
		Slots: t.record.Slots,
		Busy:  t.busy,
	})
}

func (t *target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(tanagerplatform.RequestIDHeader)
	t.beginRequest(id, r.Header.Get(tanagerplatform.IdempotentHeader) == "true")
	completed := false
	defer func() { t.endRequest(id, completed) }()
	var behavior requestBehavior
	if json.Unmarshal(body, &behavior) != nil {
		body = nil
	}
	t.simulateWork(r, time.Duration(behavior.WorkMS)*time.Millisecond)
	completed = true
	if behavior.Status == 0 {
		behavior.Status = http.StatusOK
	}
	writeJSON(w, behavior.Status, targetResponse{
		RequestID: id,
		Target:    t.record.Name,
		Path:      chi.URLParam(r, "*"),
		Echo:      body,
	})
}

// simulateWork waits for the duration of a request. Like most services, it does
// not stop when the client disconnects. It aborts the handler if the VM dies.
func (t *target) simulateWork(r *http.Request, d time.Duration) {
	done := t.timer.After(d)
	defer done.Stop()
	select {
	case <-done.C:
	case <-t.died:
		panic(http.ErrAbortHandler)
	}
	t.waitWhilePaused(r)
}

func (t *target) beginRequest(id string, idempotent bool) {
	t.checkLeaving(id)
	t.mu.Lock()
	t.busy++
	busy := t.busy
	t.mu.Unlock()
	t.observer.checkTargetSlots(t.record.Name, id, busy, t.record.Slots)
	t.observer.requestStarted(t.record.Name, id, idempotent, t.timer.Now())
}

func (t *target) endRequest(id string, completed bool) {
	t.mu.Lock()
	t.busy--
	t.mu.Unlock()
	t.observer.requestEnded(id, completed)
}
