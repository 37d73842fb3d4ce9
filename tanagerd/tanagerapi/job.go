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

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
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

func (b jobBody) spec() (*tanagerjob.Spec, *tanagerfailure.Failure) {
	class, failure := tanagerqueue.ParseClass(b.Class)
	if failure != nil {
		return nil, failure
	}
	var runTime time.Duration
	if b.RunTime != "" {
		d, err := time.ParseDuration(b.RunTime)
		if err != nil {
			return nil, invalid("run_time", "must be a duration such as 90s")
		}
		runTime = d
	}
	spec := &tanagerjob.Spec{
		Key:            b.Key,
		Kind:           b.Kind,
		Class:          class,
		Tasks:          b.Tasks,
		Resources:      b.Resources,
		RunTime:        runTime,
		Family:         b.Family,
		Idempotent:     b.Idempotent,
		Checkpointable: b.Checkpointable,
		Attempts:       b.Attempts,
		Payload:        []byte(b.Payload),
	}
	return spec, spec.Validate()
}

// handleSubmit accepts a job: POST /v1/jobs. The answer 202 means that the job
// is in the store; a repeated key gets the job that was accepted first.
func (a *API) handleSubmit(w http.ResponseWriter, r *http.Request, id identity) {
	var body jobBody
	if failure := read(w, r, &body); failure != nil {
		a.fail(w, failure)
		return
	}
	spec, failure := body.spec()
	if failure != nil {
		a.fail(w, failure)
		return
	}
	a.callJob(w, r, http.StatusAccepted, tanagermessage.JobCall{
		Kind:   tanagermessage.JobSubmit,
		Branch: id.name,
		Spec:   spec,
	})
}

// handleList lists the caller's jobs: GET /v1/jobs.
func (a *API) handleList(w http.ResponseWriter, r *http.Request, id identity) {
	a.callJob(w, r, http.StatusOK, tanagermessage.JobCall{
		Kind:   tanagermessage.JobList,
		Branch: id.name,
	})
}

// handleShow shows a job: GET /v1/jobs/{id}?wait=10s. With wait the answer
// comes when the job has ended or the time has passed.
func (a *API) handleShow(w http.ResponseWriter, r *http.Request, id identity) {
	call := tanagermessage.JobCall{
		Kind: tanagermessage.JobShow,
	}
	if text := r.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxJobWait {
			a.fail(w, invalid("wait", fmt.Sprintf("must be a duration of at most %s", maxJobWait)))
			return
		}
		call.Wait = wait
	}
	a.callJobByID(w, r, id, call)
}

// handleCancel cancels a job: DELETE /v1/jobs/{id}.
func (a *API) handleCancel(w http.ResponseWriter, r *http.Request, id identity) {
	a.callJobByID(w, r, id, tanagermessage.JobCall{
		Kind: tanagermessage.JobCancel,
	})
}

func (a *API) callJobByID(w http.ResponseWriter, r *http.Request, id identity, call tanagermessage.JobCall) {
	call.ID = chi.URLParam(r, "id")
	call.Branch = id.name
	shard, ok := tanagerjob.ShardOf(call.ID)
	if !ok {
		a.fail(w, tanagerfailure.New(tanagerfailure.UnknownJob, fmt.Sprintf("%.80q is not a job id", call.ID)))
		return
	}
	call.Shard = tanagershard.Shard(shard)
	a.callJob(w, r, http.StatusOK, call)
}

func (a *API) callJob(w http.ResponseWriter, r *http.Request, status int, call tanagermessage.JobCall) {
	answer, ok := ask[tanagermessage.JobAnswer](r.Context(), a, call.Wait+2*controlTimeout, tanagermessage.TopicJobWanted, func(waiter uint64) any {
		call.Waiter = waiter
		return tanagermessage.JobWanted{
			Call: call,
		}
	})
	switch {
	case !ok:
		a.fail(w, tanagerfailure.New(tanagerfailure.OutcomeUnknown, "the daemon did not answer: repeat the call with the same key").After(time.Second))
	case answer.Failure != nil:
		a.fail(w, answer.Failure)
	case call.Kind == tanagermessage.JobList:
		a.write(w, status, struct {
			Jobs []tanagermessage.JobStatus `json:"jobs"`
		}{
			Jobs: answer.Jobs,
		})
	default:
		a.write(w, status, answer.Jobs[0])
	}
}
