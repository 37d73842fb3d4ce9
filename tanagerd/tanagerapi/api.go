package tanagerapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagermessage"
	"tanagersail.example/tanagerd/tanagermetric"
	"tanagersail.example/tanagerd/tanagersettings"
	"tanagersail.example/tanagerd/tanagertraffic"
)

// The headers of requests and answers.
const (
	RequestIDHeader  = "Tanager-Request-Id"
	ClassHeader      = "Tanager-Class"
	TimeoutHeader    = "Tanager-Timeout"
	IdempotentHeader = "Tanager-Idempotent"
	OutcomeHeader    = "Tanager-Outcome"
	TargetHeader     = "Tanager-Target"
	QueuedHeader     = "Tanager-Queued"
)

// The bounds of the interface.
const (
	maxBodyBytes   = 1 << 20
	defaultTimeout = 5 * time.Second
	maxIDs         = 1000
	maxJobWait     = time.Minute
	controlTimeout = 5 * time.Second
)

// Inbox takes messages for the control goroutine.
type Inbox interface {
	// TryDeliver reports false, without waiting, if the inbox is full.
	TryDeliver(topic string, m *message.Message) bool
}

// Settings of an API.
type Settings struct {
	Self           string
	Callers        []tanagersettings.Caller
	Operators      []tanagersettings.Operator
	LongestRequest time.Duration
}

// Dependencies are the parts that an API works with.
type Dependencies struct {
	Timer   tanagertimer.Service
	Wall    func() time.Time
	Inbox   Inbox
	Waiters *tanagertraffic.Waiters
	Store   tanagerstore.Store
	Calls   func() tanagerstore.Calls
	Peers   *tanagerpeer.Transport
	Burn    *tanagerburn.Ledger
	Log     zerolog.Logger
}

// API is the HTTP interface.
type API struct {
	Dependencies
	settings Settings
	draining atomic.Bool
}

// New returns an interface that is not ready yet.
func New(s Settings, d Dependencies) *API {
	return &API{
		Dependencies: d,
		settings:     s,
	}
}

// Drain makes the daemon say that it is not ready, so that the balancer sends
// callers elsewhere. Callers that come all the same are still served.
func (a *API) Drain() { a.draining.Store(true) }

// Handler returns the routes.
func (a *API) Handler(metrics *tanagermetric.Metrics) http.Handler {
	r := chi.NewRouter()
	r.Get("/health/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/health/ready", a.handleReady)
	r.Handle("/metrics", metrics.Handler())
	r.Route("/v1", func(r chi.Router) {
		r.Post("/request_ids", a.caller(a.handleIDs))
		r.Post("/services/{service}/requests/*", a.caller(a.handleRequest))
		r.Post("/jobs", a.caller(a.handleSubmit))
		r.Get("/jobs", a.caller(a.handleList))
		r.Get("/jobs/{id}", a.caller(a.handleShow))
		r.Delete("/jobs/{id}", a.caller(a.handleCancel))
		r.Get("/config", a.operator(a.handleConfig))
		r.Post("/plans", a.operator(a.handlePlan))
		r.Post("/plans/confirm", a.operator(a.handleConfirm))
		r.Get("/status", a.operator(a.handleStatus))
		r.Get("/burn", a.operator(a.handleBurn))
	})
	return r
}

// PeerHandler returns the routes for other daemons.
func (a *API) PeerHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle(tanagerpeer.Path, a.Peers)
	return r
}

// handleReady tells the balancer whether to send callers here.
func (a *API) handleReady(w http.ResponseWriter, r *http.Request) {
	status, ok := a.status(r.Context())
	if !ok || a.draining.Load() || status.MapRevision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type identity struct {
	name string
}

// caller admits a token of a caller; its name is the branch.
func (a *API) caller(next func(http.ResponseWriter, *http.Request, identity)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearer(r)
		found := ""
		for _, c := range a.settings.Callers {
			if same(c.Token, token) {
				found = c.Branch
			}
		}
		a.admit(w, r, found, a.isOperator(token) != "", next)
	}
}

// operator admits a token of an operator; its name is the operator's.
func (a *API) operator(next func(http.ResponseWriter, *http.Request, identity)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearer(r)
		known := false
		for _, c := range a.settings.Callers {
			known = same(c.Token, token) || known
		}
		a.admit(w, r, a.isOperator(token), known, next)
	}
}

func (a *API) admit(w http.ResponseWriter, r *http.Request, name string, known bool, next func(http.ResponseWriter, *http.Request, identity)) {
	switch {
	case name != "":
		next(w, r, identity{
			name: name,
		})
	case known:
		a.fail(w, tanagerfailure.New(tanagerfailure.Forbidden, "the token is not allowed to do this"))
	default:
		a.fail(w, tanagerfailure.New(tanagerfailure.Unauthenticated, "the token is missing or not known"))
	}
}

func (a *API) isOperator(token string) string {
	found := ""
	for _, o := range a.settings.Operators {
		if same(o.Token, token) {
			found = o.Name
		}
	}
	return found
}

func bearer(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// same compares two tokens in a time that depends on neither.
func same(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// failureBody is the public form of a failure.
type failureBody struct {
	Code         tanagerfailure.Code    `json:"code"`
	Message      string                 `json:"message"`
	Hint         string                 `json:"hint"`
	Outcome      tanagerfailure.Outcome `json:"outcome"`
	RetryAfterMS int64                  `json:"retry_after_ms,omitempty"`
}

// fail writes a failure.
func (a *API) fail(w http.ResponseWriter, f *tanagerfailure.Failure) {
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", f.RetryAfterSeconds())
	}
	a.write(w, f.Status(), failureBody{
		Code:         f.Code,
		Message:      f.Message,
		Hint:         f.Hint,
		Outcome:      f.Outcome,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	})
}

func (a *API) write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.Log.Debug().Str("event", "answer_not_written").Err(err).Send()
	}
}

// read decodes a JSON body. Unknown fields are refused.
func read(w http.ResponseWriter, r *http.Request, v any) *tanagerfailure.Failure {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	switch {
	case err == nil:
		return nil
	case isTooLarge(err):
		return tooLarge()
	}
	return tanagerfailure.New(tanagerfailure.MalformedBody, "the body is not valid: "+err.Error())
}

// ask sends a message to the control goroutine and waits for its answer. It
// reports false if the control goroutine is overloaded or ctx ends.
func ask[T any](ctx context.Context, a *API, timeout time.Duration, topic string, value func(waiter uint64) any) (T, bool) {
	var none T
	number, answer := a.Waiters.Add()
	defer a.Waiters.Remove(number)
	if !a.Inbox.TryDeliver(topic, tanagermessage.Local(value(number))) {
		return none, false
	}
	limit := a.Timer.After(timeout)
	defer limit.Stop()
	select {
	case got := <-answer:
		typed, ok := got.(T)
		return typed, ok
	case <-limit.C:
	case <-ctx.Done():
	}
	return none, false
}

func overloaded() *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.QueueFull, "the daemon is overloaded").After(time.Second)
}
