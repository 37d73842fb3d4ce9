package tanageringress

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
)

// Types of the errors of ReadBody. After each of them the request has not been
// received, and the connection is closed after the response.
var (
	// TooLarge means that the body is larger than allowed.
	TooLarge = Errors.NewType("too_large")
	// OverBudget means that the budget has no room for the body, or that the body
	// stood still and made room for another.
	OverBudget = Errors.NewType("over_budget")
	// TooLate means that the time for the request is over.
	TooLate = Errors.NewType("too_late")
	// Incomplete means that the body ended early or is malformed.
	Incomplete = Errors.NewType("incomplete")
)

// longAgo is a deadline that has passed, whatever the clock.
var longAgo = time.Unix(1, 0)

// minBodyBuffer is the first buffer of a body of unknown length, in bytes.
const minBodyBuffer = 1 << 10

// ReadBody reads the body of a request for which Begin was called. The body may
// have maxBytes bytes. Those beyond the first freeBodyBytes take from the budget as
// they come, until the response is written, and so does what the body makes when it
// is decoded. When the body is complete, ReadBody does the same as Received.
//
// ReadBody panics with http.ErrAbortHandler if the connection has been closed for
// another one.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	c := fromRequest(r)
	c.beginBody()
	// One byte more must not overflow.
	maxBytes = min(maxBytes, math.MaxInt64-1)
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBytes), c, r.ContentLength, maxBytes)
	if err = c.endBody(err); err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	Received(r)
	return body, nil
}

// readAll reads a body into a buffer that grows as bytes come. The length is that
// which the client has announced, or -1.
func readAll(body io.Reader, c *connection, length, maxBytes int64) ([]byte, error) {
	size := int64(minBodyBuffer)
	if length >= 0 {
		size = min(length, freeBodyBytes)
	}
	// The last byte of each buffer is for the end of the body.
	buffer := make([]byte, 0, size+1)
	for {
		if len(buffer) == cap(buffer) {
			old := int64(cap(buffer))
			grown := nextBufferSize(old, maxBytes)
			if err := c.reserveBody(grown - max(old, freeBodyBytes+1)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBufferSize returns twice the size of a buffer, but first as much as a body may
// have without a part of the budget, and at most as much as any body may have.
func nextBufferSize(size, maxBytes int64) int64 {
	if size <= freeBodyBytes {
		return min(2*size, freeBodyBytes+1, maxBytes+1)
	}
	return min(2*size, maxBytes+1)
}

func (c *connection) beginBody() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.inBody = true
}

// reserveBody takes room for bytes of a body, and for what they make when they are
// decoded.
func (c *connection) reserveBody(n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.closed && !c.ended && !c.gate.reserve(c, bodyFactor*n) {
		return OverBudget.New("%d bytes of %d are in use", c.gate.usage.Bytes, c.gate.limits.Bytes)
	}
	return nil
}

// endBody returns the typed error for an error of the reading, or nil. After an
// error the rest of the body is not read.
func (c *connection) endBody(err error) error {
	if c == nil {
		return typedError(err, false)
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.inBody = false
	if c.closed {
		panic(http.ErrAbortHandler)
	}
	if err == nil {
		c.limitReading(time.Time{})
		return nil
	}
	c.limitReading(longAgo)
	c.release()
	err = typedError(err, c.ended)
	if errorx.IsOfType(err, TooLate) {
		c.gate.usage.TooLate++
	}
	return err
}

func typedError(err error, ended bool) error {
	tooLarge := new(http.MaxBytesError)
	switch {
	case err == nil, errorx.IsOfType(err, OverBudget):
		return err
	case ended:
		return OverBudget.New("the body stood still")
	case errors.As(err, &tooLarge):
		return TooLarge.New("the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TooLate.New("the time for the request is over")
	}
	return Incomplete.Wrap(err, "the body is incomplete")
}
