package tanagerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagermessage"
	"tanagersail.example/tanagerd/tanagermetric"
	"tanagersail.example/tanagerd/tanagersettings"
	"tanagersail.example/tanagerd/tanagertraffic"
)

// Headers of requests and responses.
const (
	RequestIDHeader  = "Tanager-Request-Id"
	ClassHeader      = "Tanager-Class"
	TimeoutHeader    = "Tanager-Timeout"
	IdempotentHeader = "Tanager-Idempotent"
	OutcomeHeader    = "Tanager-Outcome"
	TargetHeader     = "Tanager-Target"
	QueuedHeader     = "Tanager-Queued"
)

// Limits and timeouts of the API.
const (
	maxBodyBytes          = 1 << 20
	defaultRequestTimeout = 5 * time.Second
	maxRequestIDs         = 1000
	maxJobWait            = time.Minute
	controlCallTimeout    = 5 * time.Second
	// maxCallTime is the longest time for a call without a body, and maxBodyTime that
	// for a call with a body, except for requests to services.
	maxCallTime = maxJobWait + 2*controlCallTimeout
	maxBodyTime = 2 * controlCallTimeout
)

// Inbox receives messages for the control goroutine.
type Inbox interface {
	// TryDeliver adds a message. It returns false, without blocking, if the inbox
	// is full.
	TryDeliver(topic string, m *message.Message) bool
}

// Settings configures an API.
type Settings struct {
	// Self is the daemon's member ID.
	Self      string
	Callers   []tanagersettings.Caller
	Operators []tanagersettings.Operator
	// MaxRequestTimeout is the longest timeout that a request may have.
	MaxRequestTimeout time.Duration
}

// Dependencies holds the services that an API uses.
type Dependencies struct {
	Timer        tanagertimer.Service
	WallClock    func() time.Time
	Inbox        Inbox
	Waiters      *tanagertraffic.Waiters
	Store        tanagerstore.Store
	StoreCalls   func() tanagerstore.CallCounts
	Peers        *tanagerpeer.Transport
	BurnRecorder *tanagerburn.Recorder
	// Clients returns what the clients of the API use.
	Clients func() tanageringress.Usage
	Log     zerolog.Logger
}

// API serves the HTTP API of one daemon.
type API struct {
	Dependencies
	settings Settings
	draining atomic.Bool
}

// New returns an API. It reports that it is not ready until the control
// goroutine has a shard map.
func New(s Settings, d Dependencies) *API {
	return &API{
		Dependencies: d,
		settings:     s,
	}
}

// Drain makes the readiness check fail, so that the load balancer sends callers
// to other daemons. Requests that still arrive are served.
func (a *API) Drain() { a.draining.Store(true) }

// Handler returns the handler for callers, operators, health checks and metrics.
func (a *API) Handler(metrics *tanagermetric.Metrics) http.Handler {
	r := chi.NewRouter()
	r.Use(limitTime)
	r.Get("/health/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/health/ready", a.handleReady)
	r.Handle("/metrics", metrics.Handler())
	r.Route("/v1", func(r chi.Router) {
		r.Post("/request_ids", a.requireCaller(a.handleRequestIDs))
		r.Post("/services/{service}/requests/*", a.requireCaller(a.handleRequest))
		r.Post("/jobs", a.requireCaller(a.handleSubmitJob))
		r.Get("/jobs", a.requireCaller(a.handleListJobs))
		r.Get("/jobs/{id}", a.requireCaller(a.handleShowJob))
		r.Delete("/jobs/{id}", a.requireCaller(a.handleCancelJob))
		r.Get("/config", a.requireOperator(a.handleConfig))
		r.Post("/plans", a.requireOperator(a.handlePlan))
		r.Post("/plans/confirm", a.requireOperator(a.handleConfirm))
		r.Get("/status", a.requireOperator(a.handleStatus))
		r.Get("/burn", a.requireOperator(a.handleBurn))
	})
	return r
}

// limitTime limits the time for which a client may occupy its connection with a
// request.
func limitTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			tanageringress.Begin(r, maxCallTime)
			tanageringress.Received(r)
		} else {
			tanageringress.Begin(r, maxBodyTime)
		}
		next.ServeHTTP(w, r)
	})
}

// PeerHandler returns the handler for connections from other daemons.
func (a *API) PeerHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle(tanagerpeer.Path, a.Peers)
	return r
}

// handleReady handles the load balancer's readiness check: GET /health/ready.
// The daemon is ready if it has a shard map and is not draining.
func (a *API) handleReady(w http.ResponseWriter, r *http.Request) {
	status, ok := a.status(r.Context())
	if !ok || a.draining.Load() || status.MapRevision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// principal is an authenticated caller or operator.
type principal struct {
	// name is a caller's branch or an operator's name.
	name string
}

// requireCaller passes requests with a caller's token to next.
func (a *API) requireCaller(next func(http.ResponseWriter, *http.Request, principal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearerToken(r)
		branch := ""
		for _, c := range a.settings.Callers {
			if equalTokens(c.Token, token) {
				branch = c.Branch
			}
		}
		a.authorize(w, r, branch, a.operatorName(token) != "", next)
	}
}

// requireOperator passes requests with an operator's token to next.
func (a *API) requireOperator(next func(http.ResponseWriter, *http.Request, principal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearerToken(r)
		known := false
		for _, c := range a.settings.Callers {
			known = equalTokens(c.Token, token) || known
		}
		a.authorize(w, r, a.operatorName(token), known, next)
	}
}

// authorize passes a request to next if the principal's name is not empty.
// Otherwise the request is forbidden if its token is known to be of the other
// kind of principal, and unauthenticated if not.
func (a *API) authorize(w http.ResponseWriter, r *http.Request, name string, known bool,
	next func(http.ResponseWriter, *http.Request, principal)) {
	switch {
	case name != "":
		next(w, r, principal{
			name: name,
		})
	case known:
		a.writeFailure(w, tanagerfailure.New(tanagerfailure.Forbidden, "the token is not allowed to do this"))
	default:
		a.writeFailure(w, tanagerfailure.New(tanagerfailure.Unauthenticated, "the token is missing or not known"))
	}
}

// operatorName returns the name of the operator with a token, or an empty
// string.
func (a *API) operatorName(token string) string {
	name := ""
	for _, o := range a.settings.Operators {
		if equalTokens(o.Token, token) {
			name = o.Name
		}
	}
	return name
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// equalTokens compares two tokens in constant time. It compares their hashes,
// because the comparison of strings of different lengths would return early.
func equalTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// failureBody is the JSON body of a response with a failure.
type failureBody struct {
	Code         tanagerfailure.Code    `json:"code"`
	Message      string                 `json:"message"`
	Hint         string                 `json:"hint"`
	Outcome      tanagerfailure.Outcome `json:"outcome"`
	RetryAfterMS int64                  `json:"retry_after_ms,omitempty"`
}

// writeFailure responds with a failure.
func (a *API) writeFailure(w http.ResponseWriter, f *tanagerfailure.Failure) {
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", f.RetryAfterSeconds())
	}
	a.writeJSON(w, f.Status(), failureBody{
		Code:         f.Code,
		Message:      f.Message,
		Hint:         f.Hint,
		Outcome:      f.Outcome,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	})
}

// writeJSON responds with the JSON encoding of v.
func (a *API) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.Log.Debug().Str("event", "response_write_failed").Err(err).Send()
	}
}

// decodeBody decodes the JSON body of a request into v. It rejects unknown
// fields.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) *tanagerfailure.Failure {
	body, failure := readBody(w, r)
	if failure != nil {
		return failure
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return tanagerfailure.New(tanagerfailure.MalformedBody, "the body is not valid: "+err.Error())
	}
	return nil
}

// readBody returns the body of a request.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *tanagerfailure.Failure) {
	body, err := tanageringress.ReadBody(w, r, maxBodyBytes)
	switch {
	case err == nil:
		return body, nil
	case errorx.IsOfType(err, tanageringress.TooLarge):
		return nil, tanagerfailure.New(tanagerfailure.BodyTooLarge,
			fmt.Sprintf("the body has more than %d bytes", maxBodyBytes))
	case errorx.IsOfType(err, tanageringress.OverBudget):
		return nil, overloadedFailure()
	case errorx.IsOfType(err, tanageringress.TooLate):
		return nil, tanagerfailure.New(tanagerfailure.DeadlinePassed, "the body was not complete in time")
	}
	return nil, tanagerfailure.New(tanagerfailure.MalformedBody, "the body did not arrive whole")
}

// queryControl sends a message to the control goroutine and waits for its
// response. It returns false if the control goroutine's inbox is full, or if it
// does not respond before the timeout or the end of ctx.
func queryControl[T any](ctx context.Context, a *API, timeout time.Duration, topic string,
	newMessage func(waiter uint64) any) (T, bool) {
	var zero T
	waiter, responses := a.Waiters.Add()
	defer a.Waiters.Remove(waiter)
	if !a.Inbox.TryDeliver(topic, tanagermessage.Local(newMessage(waiter))) {
		return zero, false
	}
	timer := a.Timer.After(timeout)
	defer timer.Stop()
	select {
	case value := <-responses:
		response, ok := value.(T)
		return response, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return zero, false
}

// overloadedFailure is the failure of a call to which the control goroutine
// did not respond in time.
func overloadedFailure() *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.QueueFull, "the daemon is overloaded").WithRetryAfter(time.Second)
}
