package tanagerkv

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
)

// expireInterval is how often lapsed leases are looked for.
const expireInterval = 50 * time.Millisecond

// Faults are the faults that a test has ordered.
type Faults struct {
	Outage      bool     `json:"outage"`
	SlowMS      int64    `json:"slow_ms"`
	LoseAnswers int      `json:"lose_answers"`
	Refuse      []string `json:"refuse,omitempty"`
}

// Calls counts the calls that were received.
type Calls struct {
	Writes        uint64 `json:"writes"`
	Reads         uint64 `json:"reads"`
	Watches       uint64 `json:"watches"`
	PeakPerSecond uint64 `json:"peak_per_second"`

	second  int64
	current uint64
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	timer tanagertimer.Service
	table *table

	mu     sync.Mutex
	faults Faults
	calls  Calls
	// afterLoss, if set, is called after a swap whose answer is lost.
	afterLoss func()
}

// New returns an empty service.
func New(timer tanagertimer.Service) *Server {
	return &Server{
		timer: timer,
		table: newTable(timer),
	}
}

// Run lets leases lapse until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticks := s.timer.Every(expireInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if !s.Faults().Outage {
				s.table.expire()
			}
		}
	}
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults orders faults. The end of an outage gives every lease its full
// length again.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	ended := s.faults.Outage && !f.Outage
	s.faults = f
	s.mu.Unlock()
	if ended {
		s.table.extend()
	}
}

// Calls returns the calls received so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.fault)
		r.Post("/v1/read", s.handleRead)
		r.Post("/v1/swap", s.handleSwap)
		r.Post("/v1/watch", s.handleWatch)
		r.Post("/v1/lease/grant", s.handleGrant)
		r.Post("/v1/lease/renew", s.handleRenew)
		r.Post("/v1/lease/revoke", s.handleRevoke)
	})
	r.Post("/control/faults", s.handleFaults)
	r.Get("/control/calls", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Calls()) })
	return r
}

func (s *Server) fault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.count(r.URL.Path)
		f := s.Faults()
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if f.Outage || slices.Contains(f.Refuse, r.UserAgent()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) count(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch path {
	case "/v1/read":
		s.calls.Reads++
	case "/v1/watch":
		s.calls.Watches++
	default:
		s.calls.Writes++
	}
	if now := s.timer.Now().Unix(); now != s.calls.second {
		s.calls.second = now
		s.calls.current = 0
	}
	s.calls.current++
	s.calls.PeakPerSecond = max(s.calls.PeakPerSecond, s.calls.current)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
	}
	if decode(w, r, &body) {
		answer(w, s.table.read(body.Prefix))
	}
}

func (s *Server) handleSwap(w http.ResponseWriter, r *http.Request) {
	var body tanagerstore.Swap
	if !decode(w, r, &body) {
		return
	}
	if len(body.Value) > tanagerstore.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	entry, swapped := s.table.swap(body)
	if s.loseAnswer() {
		if s.afterLoss != nil {
			s.afterLoss()
		}
		panic(http.ErrAbortHandler)
	}
	answer(w, struct {
		Swapped  bool               `json:"swapped"`
		Revision uint64             `json:"revision"`
		Current  tanagerstore.Entry `json:"current"`
	}{
		Swapped:  swapped,
		Revision: entry.Revision,
		Current:  entry,
	})
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
		After  uint64 `json:"after"`
		WaitMS int64  `json:"wait_ms"`
	}
	if !decode(w, r, &body) {
		return
	}
	deadline := s.timer.After(time.Duration(body.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		snapshot, changed := s.table.changes(body.Prefix, body.After)
		if s.Faults().Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(snapshot.Entries) > 0 || snapshot.Reset {
			answer(w, snapshot)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, snapshot)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if !decode(w, r, &body) {
		return
	}
	id := s.table.grant(time.Duration(body.TTLMS) * time.Millisecond)
	answer(w, leaseBody{Lease: id})
}

type leaseBody struct {
	Lease tanagerstore.LeaseID `json:"lease"`
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if decode(w, r, &body) {
		answer(w, map[string]bool{"alive": s.table.renew(body.Lease)})
	}
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if decode(w, r, &body) {
		s.table.revoke(body.Lease)
		answer(w, struct{}{})
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		answer(w, f)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away is no concern of the stand-in.
	_ = json.NewEncoder(w).Encode(v)
}
