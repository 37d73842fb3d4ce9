package tanagerfleet

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagertimer"
)

// VMFaults are the faults injected into one VM.
type VMFaults struct {
	// State is the state that the list shows; empty leaves it unchanged.
	State     tanagerplatform.State `json:"state"`
	Dead      bool                  `json:"dead"`
	Paused    bool                  `json:"paused"`
	BlackHole bool                  `json:"black_hole"`
	// Reset closes the VM's connections once; its work continues.
	Reset bool `json:"reset"`
}

// fakeVM holds what workers and targets have in common: a listener, the faults
// in force and the VM's record in the list.
type fakeVM struct {
	timer        tanagertimer.Service
	observer     *Observer
	leavingGrace time.Duration

	mu           sync.Mutex
	record       tanagerplatform.VM
	faults       VMFaults
	leavingSince time.Time
	// resumed is closed when the VM is no longer paused, died when it fails.
	resumed     chan struct{}
	died        chan struct{}
	server      *http.Server
	connections map[net.Conn]struct{}
}

func newFakeVM(record tanagerplatform.VM, f *Fleet) *fakeVM {
	return &fakeVM{
		timer:        f.timer,
		observer:     f.observer,
		leavingGrace: f.settings.LeavingGrace + f.settings.ListLag,
		record:       record,
		resumed:      make(chan struct{}),
		died:         make(chan struct{}),
		connections:  make(map[net.Conn]struct{}),
	}
}

// listen opens a listener on a port that the operating system chooses, and
// serves handler on it. It returns an error of type ListenFailed.
func (v *fakeVM) listen(address netip.Addr, handler http.Handler) error {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return ListenFailed.Wrap(err, "VM %s", v.record.Name)
	}
	v.record.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	v.server = &http.Server{
		Handler:           v.blockWhilePaused(handler),
		ReadHeaderTimeout: time.Minute,
		ConnState:         v.trackConnection,
	}
	// Serve returns when the fault Dead closes the server.
	go func() { _ = v.server.Serve(listener) }()
	return nil
}

func (v *fakeVM) trackConnection(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(v.connections, c)
		return
	}
	v.connections[c] = struct{}{}
}

// blockWhilePaused wraps a handler so that it does not run while the VM is
// paused.
func (v *fakeVM) blockWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.waitWhilePaused(r)
		next.ServeHTTP(w, r)
	})
}

// waitWhilePaused returns once the VM is not paused. It aborts the handler if the
// request is cancelled before.
func (v *fakeVM) waitWhilePaused(r *http.Request) {
	for {
		v.mu.Lock()
		paused, resumed := v.faults.Paused, v.resumed
		v.mu.Unlock()
		if !paused {
			return
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// applyFaults replaces the faults in force. It returns the VM's record and whether
// its state in the list has changed.
func (v *fakeVM) applyFaults(f VMFaults) (tanagerplatform.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faults.Paused && !f.Paused {
		close(v.resumed)
		v.resumed = make(chan struct{})
	}
	if f.Dead && !v.faults.Dead {
		close(v.died)
		// Close closes every connection, as the failure of a VM does.
		go func() { _ = v.server.Close() }()
	}
	if f.Reset {
		for c := range v.connections {
			_ = c.Close()
		}
	}
	v.faults = f
	state := f.State
	if f.Dead {
		state = tanagerplatform.Gone
	}
	if state == "" || state == v.record.State {
		return v.record, false
	}
	v.record.State = state
	if state == tanagerplatform.Leaving {
		v.leavingSince = v.timer.Now()
	}
	return v.record, true
}

// checkLeaving records a violation if the VM receives work although it has been
// leaving for longer than the grace time.
func (v *fakeVM) checkLeaving(id string) {
	v.mu.Lock()
	leaving := v.record.State == tanagerplatform.Leaving
	elapsed := v.timer.Now().Sub(v.leavingSince)
	v.mu.Unlock()
	if leaving && elapsed > v.leavingGrace {
		v.observer.addLeavingWork(v.record.Name, id, elapsed)
	}
}

func (v *fakeVM) isBlackHole() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults.BlackHole
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
