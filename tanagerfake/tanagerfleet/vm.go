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

// VMFaults are the faults ordered for one VM.
type VMFaults struct {
	State     tanagerplatform.State `json:"state"`
	Dead      bool                  `json:"dead"`
	Paused    bool                  `json:"paused"`
	BlackHole bool                  `json:"black_hole"`
	// Reset cuts the VM's connections once; its work goes on.
	Reset bool `json:"reset"`
}

// machine is what workers and targets have in common: a listener, faults and
// the platform's record.
type machine struct {
	timer    tanagertimer.Service
	observer *Observer
	grace    time.Duration

	mu           sync.Mutex
	record       tanagerplatform.VM
	faults       VMFaults
	leavingSince time.Time
	resumed      chan struct{}
	died         chan struct{}
	server       *http.Server
	connections  map[net.Conn]struct{}
}

func newMachine(record tanagerplatform.VM, f *Fleet) *machine {
	return &machine{
		timer:    f.timer,
		observer: f.observer,
		grace:    f.settings.LeavingGrace + f.settings.ListLag,
		record:   record,
		resumed:  make(chan struct{}),
		died:     make(chan struct{}),

		connections: make(map[net.Conn]struct{}),
	}
}

// listen opens the VM's port and serves handler on it.
func (m *machine) listen(address netip.Addr, handler http.Handler) error {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return ListenFailed.Wrap(err, "VM %s", m.record.Name)
	}
	m.record.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	m.server = &http.Server{
		Handler:           m.hold(handler),
		ReadHeaderTimeout: time.Minute,
		ConnState:         m.track,
	}
	// Serve ends when the VM is told to be dead.
	go func() { _ = m.server.Serve(listener) }()
	return nil
}

// track keeps the open connections.
func (m *machine) track(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(m.connections, c)
		return
	}
	m.connections[c] = struct{}{}
}

// hold keeps calls waiting while the VM is paused.
func (m *machine) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.awaitResume(r)
		next.ServeHTTP(w, r)
	})
}

func (m *machine) awaitResume(r *http.Request) {
	for {
		m.mu.Lock()
		paused, resumed := m.faults.Paused, m.resumed
		m.mu.Unlock()
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

// order puts faults in force and reports whether the list has to change.
func (m *machine) order(f VMFaults) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Paused && !f.Paused {
		close(m.resumed)
		m.resumed = make(chan struct{})
	}
	if f.Dead && !m.faults.Dead {
		close(m.died)
		// Closing cuts every connection, as the death of a VM does.
		go func() { _ = m.server.Close() }()
	}
	if f.Reset {
		for c := range m.connections {
			_ = c.Close()
		}
	}
	m.faults = f
	state := f.State
	if f.Dead {
		state = tanagerplatform.Gone
	}
	if state == "" || state == m.record.State {
		return false
	}
	m.record.State = state
	if state == tanagerplatform.Leaving {
		m.leavingSince = m.timer.Now()
	}
	return true
}

// checkLeaving reports a violation if the VM has been leaving for too long to
// receive work.
func (m *machine) checkLeaving(id string) {
	m.mu.Lock()
	leaving := m.record.State == tanagerplatform.Leaving
	since := m.timer.Now().Sub(m.leavingSince)
	m.mu.Unlock()
	if leaving && since > m.grace {
		m.observer.leavingWork(m.record.Name, id, since)
	}
}

func (m *machine) blackHole() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.BlackHole
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away is no concern of the stand-in.
	_ = json.NewEncoder(w).Encode(v)
}
