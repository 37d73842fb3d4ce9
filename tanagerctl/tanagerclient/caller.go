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
	// ID is an id from RequestIDs. It may be empty if the request is never
	// resent.
	ID      string
	Service string
	// Path is the path on the target.
	Path string
	// Class is urgent, normal or batch; empty selects the daemon's default.
	Class      string
	Idempotent bool
	// Timeout limits the time to the outcome; zero selects the daemon's default.
	Timeout time.Duration
	Body    []byte
}

// Response is the outcome of a request and the target's response.
type Response struct {
	ID      string
	Outcome tanagerfailure.Outcome
	// Status is the HTTP status of the response.
	Status int
	Body   []byte
	// Target is the name of the target that ran the request.
	Target string
	// Queued is the time that the request waited for a slot of a target.
	Queued time.Duration
}

// RequestIDs issues count ids for requests that may have to be resent.
func (c *Client) RequestIDs(ctx context.Context, count int) ([]string, error) {
	var body struct {
		IDs []string `json:"ids"`
	}
	err := c.sendJSON(ctx, httpRequest{
		method: http.MethodPost,
		path:   "/v1/request_ids?count=" + strconv.Itoa(count),
	}, &body)
	return body.IDs, err
}

// Do sends a request to a service. For every outcome but done it returns an error
// of type ErrorResponse, or Unreachable or OutcomeUnknown if there is no valid
// response. If the target itself failed, its response is returned with the error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
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
	response, err := c.send(ctx, httpRequest{
		method: http.MethodPost,
		path:   "/v1/services/" + url.PathEscape(r.Service) + "/requests/" + r.Path,
		header: header,
		body:   r.Body,
	})
	if err != nil {
		return Response{}, err
	}
	// A missing or malformed header leaves the wait at zero.
	queued, _ := time.ParseDuration(response.header.Get("Tanager-Queued"))
	result := Response{
		ID:      response.header.Get("Tanager-Request-Id"),
		Outcome: tanagerfailure.Outcome(response.header.Get("Tanager-Outcome")),
		Status:  response.status,
		Body:    response.body,
		Target:  response.header.Get("Tanager-Target"),
		Queued:  queued,
	}
	switch result.Outcome {
	case tanagerfailure.Done:
		return result, nil
	case tanagerfailure.Failed:
		return result, newErrorResponse(tanagerfailure.New(tanagerfailure.TargetFailed,
			"the target responded with status "+strconv.Itoa(result.Status)))
	}
	return result, response.err()
}

// Job is the specification of a job to submit. Key makes the submission
// idempotent within the caller's branch; RunTime is the expected run time of a
// task as a duration such as 1500ms.
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

// JobStatus is the state of a job. Tasks is the number of its tasks; Pending,
// Running and Ended count them by state. Outcome is empty until the job has
// ended. Waited is the longest wait of a task for its first start.
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
	MaxWait   time.Duration          `json:"waited"`
}

// Submit submits a job. Submitting the same key again returns the existing job.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	var status JobStatus
	err = c.sendJSON(ctx, httpRequest{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
	}, &status)
	return status, err
}

// Job returns the state of a job. It waits for the job to end, but not longer
// than wait.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (JobStatus, error) {
	var status JobStatus
	err := c.sendJSON(ctx, httpRequest{
		method: http.MethodGet,
		path:   "/v1/jobs/" + url.PathEscape(id) + "?wait=" + wait.String(),
	}, &status)
	return status, err
}

// Jobs returns the jobs of the caller's branch.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	var body struct {
		Jobs []JobStatus `json:"jobs"`
	}
	err := c.sendJSON(ctx, httpRequest{
		method: http.MethodGet,
		path:   "/v1/jobs",
	}, &body)
	return body.Jobs, err
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.sendJSON(ctx, httpRequest{
		method: http.MethodDelete,
		path:   "/v1/jobs/" + url.PathEscape(id),
	}, &status)
	return status, err
}
