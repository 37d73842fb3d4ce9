package tanagerapi

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanagerd/tanagermessage"
)

// handleRequestIDs issues request IDs: POST /v1/request_ids?count=N responds
// with {"ids":[...]}.
func (a *API) handleRequestIDs(w http.ResponseWriter, r *http.Request, _ principal) {
	count := 1
	if value := r.URL.Query().Get("count"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxRequestIDs {
			a.writeFailure(w, invalidField("count", fmt.Sprintf("must be from 1 to %d", maxRequestIDs)))
			return
		}
		count = n
	}
	ids, ok := queryControl[tanagermessage.IDs](
		r.Context(), a, controlCallTimeout, tanagermessage.TopicIDsRequested, func(waiter uint64) any {
			return tanagermessage.IDsRequested{
				Waiter: waiter,
				Count:  count,
			}
		})
	if !ok {
		a.writeFailure(w, overloadedFailure())
		return
	}
	a.writeJSON(w, http.StatusOK, ids)
}

func invalidField(field, message string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, field+" "+message)
}

// handleRequest sends a request to a target of a service: POST
// /v1/services/{service}/requests/{path}. If the outcome is done or failed, the
// response has the target's status and body.
func (a *API) handleRequest(w http.ResponseWriter, r *http.Request, p principal) {
	spec, failure := a.requestSpec(w, r, p)
	if failure != nil {
		a.writeFailure(w, failure)
		return
	}
	waiter, responses := a.Waiters.Add()
	defer a.Waiters.Remove(waiter)
	arrived := tanagermessage.RequestArrived{
		Waiter: waiter,
		Spec:   spec,
	}
	if !a.Inbox.TryDeliver(tanagermessage.TopicRequestArrived, tanagermessage.Local(arrived)) {
		a.writeFailure(w, overloadedFailure())
		return
	}
	select {
	case response := <-responses:
		a.writeRequestResult(w, response.(tanagermessage.RequestResult))
	case <-r.Context().Done():
		a.Inbox.TryDeliver(tanagermessage.TopicCallerDisconnected, tanagermessage.Local(tanagermessage.CallerDisconnected{
			Waiter: waiter,
		}))
	}
}

// requestSpec returns the specification of a request from its path, headers and
// body.
func (a *API) requestSpec(w http.ResponseWriter, r *http.Request,
	p principal) (tanagermessage.RequestSpec, *tanagerfailure.Failure) {
	spec := tanagermessage.RequestSpec{
		ID:         r.Header.Get(RequestIDHeader),
		Branch:     p.name,
		Service:    chi.URLParam(r, "service"),
		Path:       chi.URLParam(r, "*"),
		Idempotent: r.Header.Get(IdempotentHeader) == "true",
		Timeout:    defaultRequestTimeout,
	}
	class, failure := tanagerqueue.ParseClass(r.Header.Get(ClassHeader))
	if failure != nil {
		return spec, failure
	}
	spec.Class = class
	if value := r.Header.Get(TimeoutHeader); value != "" {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout > a.settings.MaxRequestTimeout {
			return spec, invalidField(TimeoutHeader,
				"must be a duration such as 2s, at most "+a.settings.MaxRequestTimeout.String())
		}
		if timeout <= 0 {
			return spec, tanagerfailure.New(tanagerfailure.DeadlinePassed, TimeoutHeader+" lies in the past")
		}
		spec.Timeout = timeout
	}
	tanageringress.Begin(r, spec.Timeout)
	spec.Body, failure = readBody(w, r)
	return spec, failure
}

// writeRequestResult responds with the result of a request.
func (a *API) writeRequestResult(w http.ResponseWriter, result tanagermessage.RequestResult) {
	h := w.Header()
	h.Set(RequestIDHeader, result.ID)
	if result.Target != "" {
		h.Set(TargetHeader, result.Target)
		h.Set(QueuedHeader, result.QueueTime.String())
	}
	outcome := tanagerfailure.Done
	if result.Failure != nil {
		if result.Failure.Code != tanagerfailure.TargetFailed {
			a.writeFailure(w, result.Failure)
			return
		}
		// The target's own response is more specific than a failure.
		outcome = tanagerfailure.Failed
	}
	h.Set(OutcomeHeader, string(outcome))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(result.Status)
	if _, err := w.Write(result.Body); err != nil {
		a.Log.Debug().Str("event", "response_write_failed").Err(err).Send()
	}
}
