package tanageringress

import (
	"container/list"
	"net"
	"net/http"
	"time"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connection is a connection of a Gate. The mutex of the gate guards its fields.
type connection struct {
	net.Conn
	gate *Gate

	// place is the place in the gate's list of waiting connections. It is nil while a
	// request is handled, and after the end.
	place    *list.Element
	closed   bool
	finished bool
}

// fromRequest returns the connection of a request, or nil if its server has no gate.
func fromRequest(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// Begin limits the time that the client of a request may take to read the response:
// timeout, the time for the request, and responseTimeout. It does nothing for
// requests of a server without a gate, and nor does Received.
func Begin(r *http.Request, timeout time.Duration) {
	if c := fromRequest(r); c != nil {
		// It fails only if the connection is closed, as do the writes then.
		_ = c.SetWriteDeadline(c.gate.timer.Now().Add(timeout + responseTimeout))
	}
}

// Received tells the gate that a request was received completely. Its connection
// is kept until the response is written.
func Received(r *http.Request) {
	if c := fromRequest(r); c != nil {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.stopWaiting()
	}
}

func (c *connection) stopWaiting() {
	if c.place != nil {
		c.gate.waiting.Remove(c.place)
		c.place = nil
	}
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gate.mu.Lock()
		if c.place != nil {
			c.gate.waiting.MoveToBack(c.place)
		}
		c.gate.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn. A connection to which something is written waits for
// its client.
func (c *connection) Write(b []byte) (int, error) {
	c.gate.mu.Lock()
	if !c.closed {
		c.stopWaiting()
		c.place = c.gate.waiting.PushBack(c)
	}
	c.gate.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite shuts down the writing side, so that the client reads the response to
// a request of which the server did not read all.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The server calls it when it has finished with the
// connection.
func (c *connection) Close() error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.finished {
		c.finished = true
		c.gate.unfinished--
	}
	return c.closeLocked()
}

// closeLocked closes the connection once.
func (c *connection) closeLocked() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.stopWaiting()
	c.gate.usage.Connections--
	return c.Conn.Close()
}
