package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const callerHost = "site.example"

// caller is a client that submits jobs and asks for their states.
type caller struct {
	environment *environment
	http        *http.Client
}

func (e *environment) newCaller() *caller {
	return &caller{
		environment: e,
		http:        &http.Client{Timeout: 4 * time.Second},
	}
}

// call sends a request and returns the status and the body, or 0 if there was no
// answer.
func (c *caller) call(d *daemon, method, path string, body any) (int, map[string]any) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(tanagerwire.Encode(body))
	}
	request, err := http.NewRequest(method, "http://"+d.caller.String()+path, content)
	if err != nil {
		return 0, nil
	}
	request.Host = callerHost
	request.Header.Set("Content-Type", "application/cbor")
	request.Header.Set("Time-Left-Ms", "3000")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var fields map[string]any
	if len(answer) > 0 {
		// A body of another form has no fields.
		_ = tanagerwire.Decode(answer, &fields)
	}
	return response.StatusCode, fields
}

// submit submits a job until it is accepted, at one daemon after the other.
func (c *caller) submit(route, id string, body any) bool {
	daemons := c.environment.daemons
	for i := range 20 {
		d := daemons[i%len(daemons)]
		status, _ := c.call(d, http.MethodPost, "/"+route+"/"+id, body)
		c.environment.note("client: POST /%s/%s to %s: %d", route, id, d.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks a daemon for the state of a job. It returns "" without a state.
func (c *caller) state(d *daemon, route, id string) string {
	status, fields := c.call(d, http.MethodGet, "/"+route+"/"+id, nil)
	state, _ := fields["state"].(string)
	c.environment.note("client: GET /%s/%s from %s: %d %s", route, id, d.name, status, state)
	return state
}

// jobID returns the id of the nth job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0xa000000000000000+uint64(n)) }
