package tanageringress

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagertimer"
)

// serve starts a server behind a gate and returns a function that connects to it.
func serve(t *testing.T, g *Gate, handler http.HandlerFunc) (dial func() net.Conn) {
	c := qt.New(t)
	l, err := g.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	g.Configure(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return func() net.Conn {
		connection, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
}

func send(c *qt.C, w io.Writer, text string) {
	_, err := io.WriteString(w, text)
	c.Assert(err, qt.IsNil)
}

// isClosed waits until the server closes a connection without a response.
func isClosed(connection net.Conn) bool {
	n, _ := connection.Read(make([]byte, 1))
	return n == 0
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a crowd that locks out a client that connects later: the
// connection that has waited the longest makes room.
func TestOldestWaitingConnectionIsDisplaced(t *testing.T) {
	c := qt.New(t)
	g := New(Limits{Connections: 2}, tanagertimer.NewReal())
	dial := serve(t, g, func(_ http.ResponseWriter, r *http.Request) { Received(r) })
	answered := func(connection net.Conn) {
		send(c, connection, request)
		_, err := io.ReadFull(connection, make([]byte, len("HTTP/1.1 200 OK")))
		c.Assert(err, qt.IsNil)
	}
	first, second := dial(), dial()
	answered(second)
	answered(first)
	third := dial()
	answered(third)
	answered(first)
	c.Check(g.Usage(), qt.Equals, Usage{
		Connections: 2,
		Displaced:   1,
	})
	_, err := io.Copy(io.Discard, second)
	c.Check(err, qt.IsNil)
}

// Guards against a request that is dropped while it is handled: if all connections
// are in this state, a new one is refused.
func TestHandledRequestIsNotDisplaced(t *testing.T) {
	c := qt.New(t)
	g := New(Limits{Connections: 1}, tanagertimer.NewReal())
	started, finish := make(chan struct{}), make(chan struct{})
	dial := serve(t, g, func(_ http.ResponseWriter, r *http.Request) {
		Received(r)
		close(started)
		<-finish
	})
	first := dial()
	send(c, first, request)
	<-started
	c.Check(isClosed(dial()), qt.IsTrue)
	close(finish)
	response := make([]byte, len("HTTP/1.1 200 OK"))
	_, err := io.ReadFull(first, response)
	c.Assert(err, qt.IsNil)
	c.Check(string(response), qt.Equals, "HTTP/1.1 200 OK")
	c.Check(g.Usage().Refused, qt.Equals, uint64(1))
}

// Descriptors and memory both bound the connections.
func TestNewLimits(t *testing.T) {
	c := qt.New(t)
	c.Check(NewLimits(1<<30, 100, 0).Connections, qt.Equals, 40)
	c.Check(NewLimits(100<<20, 1<<20, 0).Connections, qt.Equals, 320)
	c.Check(NewLimits(1<<20, 1<<20, 0).Connections, qt.Equals, minConnections)
}

// Guards against a client that never reads its response: the connection ends when
// the time for it is over.
func TestTimeForResponseIsLimited(t *testing.T) {
	c := qt.New(t)
	passed := tanagertimer.NewManual(time.Now().Add(-time.Hour))
	dial := serve(t, New(Limits{Connections: 2}, passed), func(_ http.ResponseWriter, r *http.Request) {
		Begin(r, time.Second)
	})
	connection := dial()
	send(c, connection, request)
	c.Check(isClosed(connection), qt.IsTrue)
}

// Guards against heads that take the memory of the process: a head beyond the
// budget ends its connection, and one that stands still makes room for another.
func TestHeadsShareBudget(t *testing.T) {
	c := qt.New(t)
	timer := tanagertimer.NewManual(time.Now())
	const rest = 4 << 10
	g := New(Limits{
		Connections: 10,
		Bytes:       headFactor*rest + rest,
		HeadBytes:   16 << 10,
	}, timer)
	dial := serve(t, g, func(http.ResponseWriter, *http.Request) {})
	head := "GET / HTTP/1.1\r\nHost: a\r\nX: "
	head += strings.Repeat("x", freeHeadBytes+rest-len(head))
	first, second, third := dial(), dial(), dial()
	send(c, first, head)
	for g.Usage().Bytes < headFactor*rest {
		runtime.Gosched()
	}
	send(c, second, head)
	c.Check(isClosed(second), qt.IsTrue)
	timer.Advance(stallTimeout)
	send(c, third, head+"\r\n\r\n")
	c.Check(isClosed(third), qt.IsFalse)
	c.Check(isClosed(first), qt.IsTrue)
	usage := g.Usage()
	c.Check(usage.OverBudget, qt.Equals, uint64(1))
	c.Check(usage.Stalled, qt.Equals, uint64(1))
	c.Check(usage.Bytes <= g.limits.Bytes, qt.IsTrue)
}
