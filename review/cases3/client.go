package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

// callTimeout is how long an ordinary client waits for an answer.
const callTimeout = 3 * time.Second

// newClient returns a client with connections of its own.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
	}}
}

// jobID returns a new id.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a job.
func job(spec string, steps ...map[string]any) []byte {
	return tanagerwire.Encode(map[string]any{
		"spec":  spec,
		"steps": steps,
	})
}

// call sends a request and returns the status, 0 without an answer in time.
func call(c *http.Client, method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Time-Left-Ms", fmt.Sprint(timeout.Milliseconds()))
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/cbor")
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, content, nil
}
