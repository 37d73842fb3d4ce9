package tanageringress

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagertimer"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanageringress")

// ListenFailed means that the gate cannot listen on an address.
var ListenFailed = Errors.NewType("listen_failed")

// unfinishedFactor bounds the connections that a server has not finished with, as
// a multiple of Limits.Connections. A server keeps a goroutine for half a second
// after it has answered a request that it did not read to the end.
const unfinishedFactor = 2

// Usage is a snapshot of what clients use, and the number of those that were turned
// away.
type Usage struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the use of the budget.
	Bytes int64
	// Displaced is the number of connections that were closed for another since the
	// start, and Refused the number that were closed as soon as they were made.
	Displaced, Refused uint64
	// Stalled is the number of requests that were ended while they stood still, to
	// make room in the budget, OverBudget the number that found no room, and TooLate
	// the number whose body was incomplete when their time was over.
	Stalled, OverBudget, TooLate uint64
}

// TurnedAway returns the numbers of clients that were turned away since the start, by
// reason.
func (u Usage) TurnedAway() map[string]uint64 {
	return map[string]uint64{
		"displaced":   u.Displaced,
		"refused":     u.Refused,
		"stalled":     u.Stalled,
		"over_budget": u.OverBudget,
		"too_late":    u.TooLate,
	}
}

// Gate bounds the connections of a process and what it holds for them. It is safe
// for concurrent use.
type Gate struct {
	limits Limits
	timer  tanagertimer.Service

	mu sync.Mutex
	// waiting holds the connections that wait for their client, the one without a
	// byte for the longest time first.
	waiting *list.List
	// unfinished is the number of connections that the server has not closed.
	unfinished int
	usage      Usage
}

// New returns a gate.
func New(l Limits, timer tanagertimer.Service) *Gate {
	return &Gate{
		limits:  l,
		timer:   timer,
		waiting: list.New(),
	}
}

// Usage returns a snapshot.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usage
}

// Listen listens on an address. The type of its error is ListenFailed.
func (g *Gate) Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, ListenFailed.Wrap(err, "address %s", address)
	}
	return &listener{
		Listener: l,
		gate:     g,
	}, nil
}

// setReceiveBuffer sets the receive buffer of a listener, which its connections
// inherit. It also keeps the kernel from enlarging that of a fast connection.
func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, controlErr)
}

// Configure prepares a server for the gate's listeners.
func (g *Gate) Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*connection); ok {
			c.enter(state)
		}
	}
	s.MaxHeaderBytes = g.limits.HeadBytes
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. It closes connections that the gate refuses.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit registers a connection. It returns nil if there is no room for it.
func (g *Gate) admit(raw net.Conn) *connection {
	g.mu.Lock()
	defer g.mu.Unlock()
	canFinish := g.unfinished < unfinishedFactor*g.limits.Connections
	if canFinish && g.usage.Connections >= g.limits.Connections {
		g.displaceOldest()
	}
	if !canFinish || g.usage.Connections >= g.limits.Connections {
		g.usage.Refused++
		return nil
	}
	c := &connection{
		Conn: raw,
		gate: g,
	}
	c.expectHead()
	c.wait()
	g.unfinished++
	g.usage.Connections++
	return c
}

// displaceOldest closes the connection that has waited the longest for its client.
func (g *Gate) displaceOldest() {
	oldest := g.waiting.Front()
	if oldest == nil {
		return
	}
	// The connection is closed whatever the error is.
	_ = oldest.Value.(*connection).closeLocked()
	g.usage.Displaced++
}

// reserve takes bytes of the budget for a connection. It ends requests that stand
// still if too few are left, and returns false if that does not suffice. A
// connection is never refused if no other has a part of the budget.
func (g *Gate) reserve(c *connection, n int64) bool {
	for g.usage.Bytes+n > g.limits.Bytes && g.usage.Bytes > c.reserved {
		if !g.endStalled(c) {
			g.usage.OverBudget++
			return false
		}
	}
	c.reserved += n
	g.usage.Bytes += n
	return true
}

// endStalled ends the request that has stood still for the longest time and has a
// part of the budget, if that is at least stallTimeout. It spares one connection.
func (g *Gate) endStalled(spared *connection) bool {
	now := g.timer.Now()
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if now.Sub(c.lastByte) < stallTimeout {
			return false
		}
		if c.reserved > 0 && c != spared {
			c.end()
			g.usage.Stalled++
			return true
		}
	}
	return false
}
