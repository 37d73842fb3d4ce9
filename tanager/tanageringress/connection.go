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
	place *list.Element
	// lastByte is the time of the last byte in either direction.
	lastByte time.Time
	// inHead is set until the server has read the head of a request, of which
	// headBytes have been read.
	inHead    bool
	headBytes int64
	// inBody is set while ReadBody reads. ended is set when it was told to give up.
	inBody, ended bool
	// reserved is the connection's part of the budget.
	reserved int64
	closed   bool
	finished bool
}

// fromRequest returns the connection of a request, or nil if its server has no gate.
func fromRequest(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// Begin limits the time that the client of a request may take: timeout, the time for
// the request, to send the body, and responseTimeout more to read the response. It
// does nothing for requests of a server without a gate, and nor does Received.
func Begin(r *http.Request, timeout time.Duration) {
	c := fromRequest(r)
	if c == nil {
		return
	}
	end := c.gate.timer.Now().Add(timeout)
	// A deadline cannot be set on a connection that is closed; it needs none.
	_ = c.SetWriteDeadline(end.Add(responseTimeout))
	if r.ContentLength != 0 {
		_ = c.SetReadDeadline(end)
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

// wait puts the connection at the end of the waiting ones.
func (c *connection) wait() {
	c.stopWaiting()
	c.lastByte = c.gate.timer.Now()
	c.place = c.gate.waiting.PushBack(c)
}

// enter follows the server through the states of the connection.
func (c *connection) enter(state http.ConnState) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch state {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle:
		c.expectHead()
	}
}

func (c *connection) expectHead() {
	c.inHead = true
	c.headBytes = 0
	c.release()
}

func (c *connection) release() {
	c.gate.usage.Bytes -= c.reserved
	c.reserved = 0
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.count(n) {
		return 0, &net.OpError{
			Op:   "read",
			Net:  "tcp",
			Addr: c.RemoteAddr(),
			Err:  net.ErrClosed,
		}
	}
	return n, err
}

// count notes that bytes were read. It closes the connection and returns false if
// they belong to a head for which the budget has no room.
func (c *connection) count(n int) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.place != nil {
		c.wait()
	}
	if !c.inHead {
		return true
	}
	c.headBytes += int64(n)
	missing := headFactor*max(c.headBytes-freeHeadBytes, 0) - c.reserved
	if missing <= 0 || c.gate.reserve(c, missing) {
		return true
	}
	c.end()
	return false
}

// end ends the request of a connection that waits for its client. ReadBody returns
// if it is reading; otherwise the connection is closed.
func (c *connection) end() {
	if !c.inBody {
		// The connection is closed whatever the error is.
		_ = c.closeLocked()
		return
	}
	c.limitReading(longAgo)
	c.ended = true
	c.stopWaiting()
	c.release()
}

// limitReading sets the deadline of reads, unless the request was ended.
func (c *connection) limitReading(t time.Time) {
	if !c.ended {
		// A deadline cannot be set on a connection that is closed; it needs none.
		_ = c.Conn.SetReadDeadline(t)
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. A connection to which something is written waits for
// its client.
func (c *connection) Write(b []byte) (int, error) {
	c.gate.mu.Lock()
	if !c.closed {
		c.wait()
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
	c.release()
	c.gate.usage.Connections--
	return c.Conn.Close()
}
