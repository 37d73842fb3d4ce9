package tanagerapi

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// jobRequest is the JSON body of POST /v1/jobs.
type jobRequest struct {
	Key            string                 `json:"key"`
	Kind           tanagerjob.Kind        `json:"kind"`
	Class          string                 `json:"class"`
	Tasks          int                    `json:"tasks"`
	Resources      tanagerresource.Vector `json:"resources"`
	RunTime        string                 `json:"run_time,omitempty"`
	Family         string                 `json:"family,omitempty"`
	Idempotent     bool                   `json:"idempotent"`
	Checkpointable bool                   `json:"checkpointable,omitempty"`
	Attempts       int                    `json:"attempts,omitempty"`
	Payload        string                 `json:"payload,omitempty"`
}

// spec returns the validated specification of the job.
func (j jobRequest) spec() (*tanagerjob.Spec, *tanagerfailure.Failure) {
	class, failure := tanagerqueue.ParseClass(j.Class)
	if failure != nil {
		return nil, failure
	}
	var runTime time.Duration
	if j.RunTime != "" {
		d, err := time.ParseDuration(j.RunTime)
		if err != nil {
			return nil, invalidField("run_time", "must be a duration such as 90s")
		}
		runTime = d
	}
	spec := &tanagerjob.Spec{
		Key:            j.Key,
		Kind:           j.Kind,
		Class:          class,
		Tasks:          j.Tasks,
		Resources:      j.Resources,
		RunTime:        runTime,
		Family:         j.Family,
		Idempotent:     j.Idempotent,
		Checkpointable: j.Checkpointable,
		MaxAttempts:    j.Attempts,
		Payload:        []byte(j.Payload),
	}
	return spec, spec.Validate()
}

// handleSubmitJob submits a job: POST /v1/jobs. The status 202 means that the
// job is in the store. Submission is idempotent: a repeated key returns the job
// that was accepted first.
func (a *API) handleSubmitJob(w http.ResponseWriter, r *http.Request, p principal) {
	var request jobRequest
	if failure := decodeBody(w, r, &request); failure != nil {
		a.writeFailure(w, failure)
		return
	}
	spec, failure := request.spec()
	if failure != nil {
		a.writeFailure(w, failure)
		return
	}
	a.forwardJobCall(w, r, http.StatusAccepted, tanagermessage.JobCall{
		Kind:   tanagermessage.JobSubmit,
		Branch: p.name,
		Spec:   spec,
	})
}

// handleListJobs lists the caller's jobs: GET /v1/jobs.
func (a *API) handleListJobs(w http.ResponseWriter, r *http.Request, p principal) {
	a.forwardJobCall(w, r, http.StatusOK, tanagermessage.JobCall{
		Kind:   tanagermessage.JobList,
		Branch: p.name,
	})
}

// handleShowJob returns the status of a job: GET /v1/jobs/{id}?wait=10s. With
// wait it responds when the job has ended, or else after that time.
func (a *API) handleShowJob(w http.ResponseWriter, r *http.Request, p principal) {
	call := tanagermessage.JobCall{
		Kind: tanagermessage.JobShow,
	}
	if value := r.URL.Query().Get("wait"); value != "" {
		wait, err := time.ParseDuration(value)
		if err != nil || wait < 0 || wait > maxJobWait {
			a.writeFailure(w, invalidField("wait", fmt.Sprintf("must be a duration of at most %s", maxJobWait)))
			return
		}
		call.MaxWait = wait
	}
	a.forwardJobCallByID(w, r, p, call)
}

// handleCancelJob cancels a job: DELETE /v1/jobs/{id}.
func (a *API) handleCancelJob(w http.ResponseWriter, r *http.Request, p principal) {
	a.forwardJobCallByID(w, r, p, tanagermessage.JobCall{
		Kind: tanagermessage.JobCancel,
	})
}

// forwardJobCallByID forwards a call about the job whose ID is in the path.
func (a *API) forwardJobCallByID(w http.ResponseWriter, r *http.Request, p principal, call tanagermessage.JobCall) {
	call.ID = chi.URLParam(r, "id")
	call.Branch = p.name
	shard, ok := tanagerjob.ShardOf(call.ID)
	if !ok {
		a.writeFailure(w, tanagerfailure.New(tanagerfailure.UnknownJob, fmt.Sprintf("%.80q is not a job id", call.ID)))
		return
	}
	call.Shard = tanagershard.Shard(shard)
	a.forwardJobCall(w, r, http.StatusOK, call)
}

// forwardJobCall sends a call to the control goroutine and writes the response.
func (a *API) forwardJobCall(w http.ResponseWriter, r *http.Request, status int, call tanagermessage.JobCall) {
	response, ok := queryControl[tanagermessage.JobResponse](
		r.Context(), a, call.MaxWait+2*controlCallTimeout, tanagermessage.TopicJobCallArrived, func(waiter uint64) any {
			call.Waiter = waiter
			return tanagermessage.JobCallArrived{
				Call: call,
			}
		})
	switch {
	case !ok:
		a.writeFailure(w, tanagerfailure.New(tanagerfailure.OutcomeUnknown,
			"the daemon did not answer: repeat the call with the same key").WithRetryAfter(time.Second))
	case response.Failure != nil:
		a.writeFailure(w, response.Failure)
	case call.Kind == tanagermessage.JobList:
		a.writeJSON(w, status, struct {
			Jobs []tanagermessage.JobStatus `json:"jobs"`
		}{
			Jobs: response.Jobs,
		})
	default:
		a.writeJSON(w, status, response.Jobs[0])
	}
}
