package tanageringress

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagertimer"
)

const testBodyBytes = 32 << 10

// bodyHandler responds with the length of the body, or with a status for the type
// of the error.
func bodyHandler(w http.ResponseWriter, r *http.Request) {
	Begin(r, time.Minute)
	body, err := ReadBody(w, r, testBodyBytes)
	for errorType, status := range map[*errorx.Type]int{
		TooLarge:   http.StatusRequestEntityTooLarge,
		OverBudget: http.StatusServiceUnavailable,
		TooLate:    http.StatusRequestTimeout,
		Incomplete: http.StatusBadRequest,
	} {
		if errorx.IsOfType(err, errorType) {
			w.WriteHeader(status)
			return
		}
	}
	_, _ = fmt.Fprint(w, len(body))
}

// post sends the head of a request with a body of a length, and as much of it as
// text has.
func post(c *qt.C, connection net.Conn, length int, text string) {
	send(c, connection, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, text))
}

// postChunked is like post with a chunked body, which is complete.
func postChunked(c *qt.C, connection net.Conn, text string) {
	chunk := ""
	if text != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	send(c, connection, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n")
}

// response reads a response and returns its status and body.
func response(c *qt.C, connection net.Conn) (int, string) {
	r, err := http.ReadResponse(bufio.NewReader(connection), nil)
	c.Assert(err, qt.IsNil)
	content, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	return r.StatusCode, string(content)
}

// Guards against bodies that take the memory of the process: one beyond the budget
// is rejected, and one that stands still makes room for another. Small bodies are
// received in any case.
func TestBodiesShareBudget(t *testing.T) {
	c := qt.New(t)
	timer := tanagertimer.NewManual(time.Now())
	g := New(Limits{
		Connections: 10,
		Bytes:       bodyFactor * (testBodyBytes - freeBodyBytes),
		HeadBytes:   16 << 10,
	}, timer)
	dial := serve(t, g, bodyHandler)
	whole := strings.Repeat("x", testBodyBytes)
	stalled := dial()
	post(c, stalled, testBodyBytes, whole[1:])
	for g.Usage().Bytes < bodyFactor*(testBodyBytes-freeBodyBytes) {
		runtime.Gosched()
	}
	second := dial()
	post(c, second, testBodyBytes, whole)
	status, _ := response(c, second)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	small := dial()
	post(c, small, freeBodyBytes, whole[:freeBodyBytes])
	_, content := response(c, small)
	c.Check(content, qt.Equals, fmt.Sprint(freeBodyBytes))
	postChunked(c, small, whole[:freeBodyBytes])
	_, content = response(c, small)
	c.Check(content, qt.Equals, fmt.Sprint(freeBodyBytes))
	timer.Advance(stallTimeout)
	third := dial()
	post(c, third, testBodyBytes, whole)
	status, content = response(c, third)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(content, qt.Equals, fmt.Sprint(testBodyBytes))
	status, _ = response(c, stalled)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(g.Usage().Stalled, qt.Equals, uint64(1))
	c.Check(g.Usage().Bytes <= g.limits.Bytes, qt.IsTrue)
}

// A body of any length up to the limit is received whole while it is alone, even
// without a budget, and a longer one is rejected, whether or not the length is
// announced.
func TestBodiesUpToLimit(t *testing.T) {
	c := qt.New(t)
	dial := serve(t, New(Limits{
		Connections: 10,
		HeadBytes:   16 << 10,
	}, tanagertimer.NewReal()), bodyHandler)
	for _, chunked := range []bool{false, true} {
		connection := dial()
		for _, length := range []int{0, 1, minBodyBuffer, freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1,
			2*freeBodyBytes + 2, testBodyBytes - 1, testBodyBytes, testBodyBytes + 1} {
			whole := strings.Repeat("x", length)
			if chunked {
				postChunked(c, connection, whole)
			} else {
				post(c, connection, length, whole)
			}
			status, content := response(c, connection)
			if length > testBodyBytes {
				c.Check(status, qt.Equals, http.StatusRequestEntityTooLarge)
				continue
			}
			c.Check(content, qt.Equals, fmt.Sprint(length))
		}
	}
}

// Guards against bodies that never end: the time for a request includes its body.
func TestTimeForBodyIsLimited(t *testing.T) {
	c := qt.New(t)
	g := New(Limits{Connections: 2}, tanagertimer.NewReal())
	dial := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
		Begin(r, 0)
		_, err := ReadBody(w, r, testBodyBytes)
		if errorx.IsOfType(err, TooLate) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	connection := dial()
	post(c, connection, 2, "x")
	status, _ := response(c, connection)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(g.Usage().TooLate, qt.Equals, uint64(1))
}

// Guards against a limit of the operator that overflows, with which no body could be
// read.
func TestBodyIsReadWithLargestLimit(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("x", 3*minBodyBuffer)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
	r.ContentLength = -1
	body, err := ReadBody(httptest.NewRecorder(), r, math.MaxInt64)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, text)
}
