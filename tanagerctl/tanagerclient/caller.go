package tanagerclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerresource"
)

// Request is one request to a service.
type Request struct {
	// ID is empty for a request that is never repeated.
	ID         string
	Service    string
	Path       string
	Class      string
	Idempotent bool
	Timeout    time.Duration
	Body       []byte
}

// Answer is the outcome of a request.
type Answer struct {
	ID      string
	Outcome tanagerfailure.Outcome
	Status  int
	Body    []byte
	Target  string
	Queued  time.Duration
}

// RequestIDs issues ids for requests that may have to be repeated.
func (c *Client) RequestIDs(ctx context.Context, count int) ([]string, error) {
	var body struct {
		IDs []string `json:"ids"`
	}
	err := c.getJSON(ctx, call{
		method: http.MethodPost,
		path:   "/v1/request_ids?count=" + strconv.Itoa(count),
	}, &body)
	return body.IDs, err
}

// Do runs a request. It returns a Refused error for every outcome but done. The
// answer of a target that failed comes with the error.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	header := http.Header{}
	if r.ID != "" {
		header.Set("Tanager-Request-Id", r.ID)
	}
	if r.Class != "" {
		header.Set("Tanager-Class", r.Class)
	}
	if r.Idempotent {
		header.Set("Tanager-Idempotent", "true")
	}
	if r.Timeout != 0 {
		header.Set("Tanager-Timeout", r.Timeout.String())
	}
	got, err := c.send(ctx, call{
		method: http.MethodPost,
		path:   "/v1/services/" + url.PathEscape(r.Service) + "/requests/" + r.Path,
		header: header,
		body:   r.Body,
	})
	if err != nil {
		return Answer{}, err
	}
	// A header that is missing or malformed counts as no wait.
	queued, _ := time.ParseDuration(got.header.Get("Tanager-Queued"))
	a := Answer{
		ID:      got.header.Get("Tanager-Request-Id"),
		Outcome: tanagerfailure.Outcome(got.header.Get("Tanager-Outcome")),
		Status:  got.status,
		Body:    got.body,
		Target:  got.header.Get("Tanager-Target"),
		Queued:  queued,
	}
	switch a.Outcome {
	case tanagerfailure.Done:
		return a, nil
	case tanagerfailure.Failed:
		return a, refused(tanagerfailure.New(tanagerfailure.TargetFailed, "the target answered with status "+strconv.Itoa(a.Status)))
	}
	return a, got.failure()
}

// Job is a job to submit.
type Job struct {
	Key            string                 `json:"key" yaml:"key"`
	Kind           string                 `json:"kind" yaml:"kind"`
	Class          string                 `json:"class,omitempty" yaml:"class"`
	Tasks          int                    `json:"tasks" yaml:"tasks"`
	Resources      tanagerresource.Vector `json:"resources" yaml:"resources"`
	RunTime        string                 `json:"run_time,omitempty" yaml:"run_time"`
	Family         string                 `json:"family,omitempty" yaml:"family"`
	Idempotent     bool                   `json:"idempotent" yaml:"idempotent"`
	Checkpointable bool                   `json:"checkpointable,omitempty" yaml:"checkpointable"`
	Attempts       int                    `json:"attempts,omitempty" yaml:"attempts"`
	Payload        string                 `json:"payload,omitempty" yaml:"payload"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	ID        string                 `json:"id"`
	Branch    string                 `json:"branch"`
	Key       string                 `json:"key"`
	Kind      string                 `json:"kind"`
	Class     string                 `json:"class"`
	Accepted  time.Time              `json:"accepted"`
	Cancelled bool                   `json:"cancelled"`
	Tasks     int                    `json:"tasks"`
	Pending   int                    `json:"pending"`
	Running   int                    `json:"running"`
	Ended     int                    `json:"ended"`
	Outcome   tanagerfailure.Outcome `json:"outcome"`
	Waited    time.Duration          `json:"waited"`
}

// Submit submits a job. Submitting the same key again returns the same job.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	var status JobStatus
	err = c.getJSON(ctx, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
	}, &status)
	return status, err
}

// Job shows a job, waiting for its end for wait at most.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (JobStatus, error) {
	var status JobStatus
	err := c.getJSON(ctx, call{
		method: http.MethodGet,
		path:   "/v1/jobs/" + url.PathEscape(id) + "?wait=" + wait.String(),
	}, &status)
	return status, err
}

// Jobs lists the jobs of the caller's branch.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	var body struct {
		Jobs []JobStatus `json:"jobs"`
	}
	err := c.getJSON(ctx, call{
		method: http.MethodGet,
		path:   "/v1/jobs",
	}, &body)
	return body.Jobs, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.getJSON(ctx, call{
		method: http.MethodDelete,
		path:   "/v1/jobs/" + url.PathEscape(id),
	}, &status)
	return status, err
}
