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

const leaseCheckInterval = 50 * time.Millisecond

// Faults are the faults in force.
type Faults struct {
	// Outage rejects all calls with status 503.
	Outage bool `json:"outage"`
	// DelayMS is the delay of each call in milliseconds.
	DelayMS int64 `json:"slow_ms"`
	// LoseResponses is the number of coming swaps that take effect but get no
	// response.
	LoseResponses int `json:"lose_answers"`
	// Refuse lists the User-Agents whose calls are rejected with status 503.
	Refuse []string `json:"refuse,omitempty"`
}

// Calls counts the calls that were received. Swaps and all lease calls are
// writes.
type Calls struct {
	Writes        uint64 `json:"writes"`
	Reads         uint64 `json:"reads"`
	Watches       uint64 `json:"watches"`
	PeakPerSecond uint64 `json:"peak_per_second"`

	// second is the Unix time of the last call in seconds, callsInSecond the number
	// of calls in that second.
	second        int64
	callsInSecond uint64
}

// Server is a fake of the key-value service. It is safe for concurrent use.
type Server struct {
	timer tanagertimer.Service
	table *table

	mu     sync.Mutex
	faults Faults
	calls  Calls
	// afterLostResponse, if set, is called after a swap that gets no response.
	afterLostResponse func()
}

// New returns a server without entries. Leases follow timer's clock.
func New(timer tanagertimer.Service) *Server {
	return &Server{
		timer: timer,
		table: newTable(timer),
	}
}

// Run expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticks := s.timer.Every(leaseCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if !s.Faults().Outage {
				s.table.expireLeases()
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

// SetFaults replaces the faults in force. The end of an outage renews every
// lease.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	outageEnded := s.faults.Outage && !f.Outage
	s.faults = f
	s.mu.Unlock()
	if outageEnded {
		s.table.renewAllLeases()
	}
}

// Calls returns the counts of the calls received so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP handler of the service and of the fault control
// interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.injectFaults)
		r.Post("/v1/read", s.handleRead)
		r.Post("/v1/swap", s.handleSwap)
		r.Post("/v1/watch", s.handleWatch)
		r.Post("/v1/lease/grant", s.handleGrant)
		r.Post("/v1/lease/renew", s.handleRenew)
		r.Post("/v1/lease/revoke", s.handleRevoke)
	})
	r.Post("/control/faults", s.handleFaults)
	r.Get("/control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return r
}

func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.countCall(r.URL.Path)
		f := s.Faults()
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Outage || slices.Contains(f.Refuse, r.UserAgent()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) countCall(path string) {
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
		s.calls.callsInSecond = 0
	}
	s.calls.callsInSecond++
	s.calls.PeakPerSecond = max(s.calls.PeakPerSecond, s.calls.callsInSecond)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
	}
	if decodeBody(w, r, &body) {
		writeJSON(w, s.table.read(body.Prefix))
	}
}

func (s *Server) handleSwap(w http.ResponseWriter, r *http.Request) {
	var body tanagerstore.Swap
	if !decodeBody(w, r, &body) {
		return
	}
	if len(body.Value) > tanagerstore.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	entry, swapped := s.table.swap(body)
	if s.dropsResponse() {
		if s.afterLostResponse != nil {
			s.afterLostResponse()
		}
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Swapped  bool               `json:"swapped"`
		Revision uint64             `json:"revision"`
		Current  tanagerstore.Entry `json:"current"`
	}{
		Swapped:  swapped,
		Revision: entry.Revision,
		Current:  entry,
	})
}

// dropsResponse reports whether to drop the response to a swap, and uses up one of
// the drops that remain.
func (s *Server) dropsResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
		After  uint64 `json:"after"`
		WaitMS int64  `json:"wait_ms"`
	}
	if !decodeBody(w, r, &body) {
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
			writeJSON(w, snapshot)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, snapshot)
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
	if !decodeBody(w, r, &body) {
		return
	}
	id := s.table.grant(time.Duration(body.TTLMS) * time.Millisecond)
	writeJSON(w, leaseBody{Lease: id})
}

type leaseBody struct {
	Lease tanagerstore.LeaseID `json:"lease"`
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if decodeBody(w, r, &body) {
		writeJSON(w, map[string]bool{"alive": s.table.renew(body.Lease)})
	}
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if decodeBody(w, r, &body) {
		s.table.revoke(body.Lease)
		writeJSON(w, struct{}{})
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeBody(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, f)
	}
}

// decodeBody decodes the JSON body of a request into v. If it cannot, it responds
// with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
