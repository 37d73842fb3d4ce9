// Package tanagerrelay passes TCP connections on to one address and can cut
// them, so that a test can part two processes that are both alive.
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
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Relay passes connections on. It is safe for concurrent use.
type Relay struct {
	to netip.AddrPort

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]struct{}
}

// New returns a relay to an address.
func New(to netip.AddrPort) *Relay {
	return &Relay{
		to:          to,
		connections: make(map[net.Conn]struct{}),
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
		// The copy ends when either side closes.
		_, _ = io.Copy(in, out)
	}()
	_, _ = io.Copy(out, in)
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
