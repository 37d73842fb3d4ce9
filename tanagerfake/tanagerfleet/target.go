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

// targetOrder is what a request's body may ask of the stand-in.
type targetOrder struct {
	WorkMS int64 `json:"work_ms"`
	Status int   `json:"status"`
}

// targetAnswer is the body of a stand-in's answer.
type targetAnswer struct {
	RequestID string          `json:"request_id"`
	Target    string          `json:"target"`
	Path      string          `json:"path"`
	Echo      json.RawMessage `json:"echo,omitempty"`
}

// target is the stand-in for one target.
type target struct {
	*machine

	mu   sync.Mutex
	busy int
}

func newTarget(m *machine) *target {
	return &target{
		machine: m,
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
	answer(w, http.StatusOK, tanagerplatform.TargetStatus{
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
	t.begin(id, r.Header.Get(tanagerplatform.IdempotentHeader) == "true")
	ended := false
	defer func() { t.finish(id, ended) }()
	var order targetOrder
	if json.Unmarshal(body, &order) != nil {
		body = nil
	}
	t.work(r, time.Duration(order.WorkMS)*time.Millisecond)
	ended = true
	if order.Status == 0 {
		order.Status = http.StatusOK
	}
	answer(w, order.Status, targetAnswer{
		RequestID: id,
		Target:    t.record.Name,
		Path:      chi.URLParam(r, "*"),
		Echo:      body,
	})
}

// work passes the time that a request takes. The work goes on when the caller
// goes away, as it does in most services, but not when the VM dies.
func (t *target) work(r *http.Request, d time.Duration) {
	done := t.timer.After(d)
	defer done.Stop()
	select {
	case <-done.C:
	case <-t.died:
		panic(http.ErrAbortHandler)
	}
	t.awaitResume(r)
}

func (t *target) begin(id string, idempotent bool) {
	t.checkLeaving(id)
	t.mu.Lock()
	t.busy++
	busy := t.busy
	t.mu.Unlock()
	t.observer.targetUse(t.record.Name, id, busy, t.record.Slots)
	t.observer.requestStarted(t.record.Name, id, idempotent, t.timer.Now())
}

func (t *target) finish(id string, ended bool) {
	t.mu.Lock()
	t.busy--
	t.mu.Unlock()
	t.observer.requestStopped(id, ended)
}
