package tanagerdial

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func post(url string) error {
	response, err := http.Post(url, "text/plain", strings.NewReader("x"))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestFailedOnlyIfNotConnected(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	err := post(server.URL)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Check(Failed(err), qt.IsFalse, qt.Commentf("the request was received: %v", err))
	server.Close()
	err = post(server.URL)
	c.Check(Failed(err), qt.IsTrue, qt.Commentf("connection refused: %v", err))
	c.Check(Failed(nil), qt.IsFalse)
}
