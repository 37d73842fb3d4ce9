// Package tanagerrelay passes TCP connections on to one address and can cut, reset,
// delay or silence them, so that a test can part two processes that are both alive.
// A silenced direction keeps its bytes until it is heard again, as a network that
// loses packets does to a connection that lives on.
//
// POST /control/cut {"cut": true} closes all connections and refuses new ones
// until the same call with false.
//
// # Usage
//
//	relay := tanagerrelay.New(to)
//	go relay.Run(ctx, listener)
//	http.ListenAndServe(control, relay.Handler())
package tanagerrelay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Relay passes connections on. It is safe for concurrent use.
type Relay struct {
	to netip.AddrPort

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]struct{}
	fault       Fault
	// healed is closed when the fault changes.
	healed chan struct{}
}

// Fault is what happens to bytes on their way. The zero value is none.
type Fault struct {
	// Delay comes before each piece is passed on.
	Delay time.Duration
	// Deaf keeps what is sent to the address, Mute what it answers.
	Deaf, Mute bool
}

// New returns a relay to an address.
func New(to netip.AddrPort) *Relay {
	return &Relay{
		to:          to,
		connections: make(map[net.Conn]struct{}),
		healed:      make(chan struct{}),
	}
}

// SetFault replaces the present fault.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.healed)
	r.healed = make(chan struct{})
}

// Reset breaks all connections off; new ones are passed on.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if t, ok := c.(*net.TCPConn); ok {
			// Without lingering the close sends a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Run accepts connections until ctx ends.
func (r *Relay) Run(ctx context.Context, listener net.Listener) {
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.pass(connection)
	}
}

// Cut closes all connections and refuses new ones, or ends that.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.connections {
		_ = c.Close()
	}
}

// Handler returns the control of the relay.
func (r *Relay) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/control/cut", func(w http.ResponseWriter, request *http.Request) {
		var body struct {
			Cut bool `json:"cut"`
		}
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Cut(body.Cut)
	})
	return router
}

func (r *Relay) pass(in net.Conn) {
	defer in.Close()
	if !r.add(in) {
		return
	}
	defer r.remove(in)
	out, err := net.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	defer out.Close()
	if !r.add(out) {
		return
	}
	defer r.remove(out)
	go func() {
		defer in.Close()
		r.copy(in, out, func(f Fault) bool { return f.Mute })
	}()
	r.copy(out, in, func(f Fault) bool { return f.Deaf })
}

// copy passes on what one side sends until either side closes.
func (r *Relay) copy(to, from net.Conn, silenced func(Fault) bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.hold(silenced)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pieceBytes is passed on at a time.
const pieceBytes = 16 << 10

// hold waits while a direction is silenced, and for the delay.
func (r *Relay) hold(silenced func(Fault) bool) {
	for {
		r.mu.Lock()
		fault, healed := r.fault, r.healed
		r.mu.Unlock()
		if !silenced(fault) {
			time.Sleep(fault.Delay)
			return
		}
		<-healed
	}
}

// add notes a connection, and reports false while connections are cut.
func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *Relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}
