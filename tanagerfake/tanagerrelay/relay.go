// Package tanagerrelay is a TCP relay for fault injection. It forwards
// connections to one address and can close, reset, delay or block them, so that a
// test can partition two running processes.
//
// A blocked direction buffers its bytes until it is unblocked, as TCP does when
// the network loses packets but the connection survives.
//
// POST /control/cut {"cut": true} closes all connections and rejects new ones
// until the same call with false.
//
// # Usage
//
//	relay := tanagerrelay.New(upstream)
//	go relay.Run(ctx, listener)
//	http.ListenAndServe(control, relay.Handler())
package tanagerrelay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// Relay forwards TCP connections to an upstream address. It is safe for
// concurrent use.
type Relay struct {
	upstream netip.AddrPort

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]struct{}
	fault       Fault
	// holds counts the reasons to hold back all bytes, under an empty source, and those
	// of connections of one source.
	holds map[string]int
	// faultChanged is closed when the fault or holds change.
	faultChanged chan struct{}
}

// Fault is a fault of the forwarded connections. The zero value is no fault.
type Fault struct {
	// Delay is added before each buffer is forwarded, in both directions.
	Delay time.Duration
	// BlockUpstream holds back the bytes sent to the upstream address,
	// BlockDownstream those that it sends.
	BlockUpstream, BlockDownstream bool
}

// New returns a relay to an upstream address.
func New(upstream netip.AddrPort) *Relay {
	return &Relay{
		upstream:     upstream,
		connections:  make(map[net.Conn]struct{}),
		holds:        make(map[string]int),
		faultChanged: make(chan struct{}),
	}
}

// SourceHeader is the header of the first request on a connection that names its
// source: the text up to the first slash.
const SourceHeader = "Tanager-Member"

// Hold holds back all bytes in both directions, or those of the connections of one
// source if source is not empty, until release is called. Holds may overlap, and
// connections stay open.
func (r *Relay) Hold(source string) (release func()) {
	r.changeHold(source, 1)
	return func() { r.changeHold(source, -1) }
}

func (r *Relay) changeHold(source string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds[source] += change
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// sourceOf returns the source that the first bytes of a connection name, or "".
func sourceOf(first []byte) string {
	_, after, found := strings.Cut(string(first), SourceHeader+": ")
	if !found {
		return ""
	}
	source, _, _ := strings.Cut(after, "/")
	return source
}

// SetFault replaces the fault in force.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// Reset closes all connections with a TCP reset. New ones are forwarded.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0 Close sends a TCP reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Run forwards the connections that listener accepts until ctx ends.
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
		go r.forward(connection)
	}
}

// Cut closes all connections and rejects new ones if cut is true. If it is false,
// new connections are forwarded again.
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

// Handler returns the HTTP handler of the fault control interface.
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

func (r *Relay) forward(downstream net.Conn) {
	defer downstream.Close()
	if !r.track(downstream) {
		return
	}
	defer r.untrack(downstream)
	upstream, err := net.Dial("tcp", r.upstream.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	if !r.track(upstream) {
		return
	}
	defer r.untrack(upstream)
	var source atomic.Value
	source.Store("")
	go func() {
		defer downstream.Close()
		r.copyBytes(downstream, upstream, func([]byte) string { return source.Load().(string) },
			func(f Fault) bool { return f.BlockDownstream })
	}()
	r.copyBytes(upstream, downstream, func(content []byte) string {
		if name := sourceOf(content); name != "" {
			source.Store(name)
		}
		return source.Load().(string)
	}, func(f Fault) bool { return f.BlockUpstream })
}

// copyBytes copies from one connection to the other until either is closed.
// blocked tells whether a fault blocks this direction, sourceAt returns the
// connection's source at some bytes.
func (r *Relay) copyBytes(to, from net.Conn, sourceAt func([]byte) string, blocked func(Fault) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.waitForFault(sourceAt(buffer[:n]), blocked)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// bufferBytes is the size of the buffer of one direction of a connection.
const bufferBytes = 16 << 10

// waitForFault waits while the fault in force blocks a direction, and then for
// the fault's delay.
func (r *Relay) waitForFault(source string, blocked func(Fault) bool) {
	for {
		r.mu.Lock()
		fault, changed := r.fault, r.faultChanged
		held := r.holds[""]+r.holds[source] > 0
		r.mu.Unlock()
		if !held && !blocked(fault) {
			time.Sleep(fault.Delay)
			return
		}
		<-changed
	}
}

// track records an open connection. It returns false if connections are cut.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}
