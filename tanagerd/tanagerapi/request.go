package tanagerapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanagerd/tanagermessage"
)

// handleIDs issues request ids: POST /v1/request_ids?count=N answers
// {"ids":[...]}.
func (a *API) handleIDs(w http.ResponseWriter, r *http.Request, _ identity) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIDs {
			a.fail(w, invalid("count", fmt.Sprintf("must be from 1 to %d", maxIDs)))
			return
		}
		count = n
	}
	ids, ok := ask[tanagermessage.IDs](r.Context(), a, controlTimeout, tanagermessage.TopicIDsWanted, func(waiter uint64) any {
		return tanagermessage.IDsWanted{
			Waiter: waiter,
			Count:  count,
		}
	})
	if !ok {
		a.fail(w, overloaded())
		return
	}
	a.write(w, http.StatusOK, ids)
}

func invalid(field, message string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, field+" "+message)
}

func tooLarge() *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.BodyTooLarge, fmt.Sprintf("the body has more than %d bytes", maxBodyBytes))
}

func isTooLarge(err error) bool {
	var limit *http.MaxBytesError
	return errors.As(err, &limit)
}

// handleRequest runs a request at a target: POST
// /v1/services/{service}/requests/{path}. Done and failed answers carry the
// target's status and body.
func (a *API) handleRequest(w http.ResponseWriter, r *http.Request, id identity) {
	spec, failure := a.requestSpec(w, r, id)
	if failure != nil {
		a.fail(w, failure)
		return
	}
	number, answer := a.Waiters.Add()
	defer a.Waiters.Remove(number)
	arrived := tanagermessage.RequestArrived{
		Waiter: number,
		Spec:   spec,
	}
	if !a.Inbox.TryDeliver(tanagermessage.TopicRequestArrived, tanagermessage.Local(arrived)) {
		a.fail(w, overloaded())
		return
	}
	select {
	case got := <-answer:
		a.answerRequest(w, got.(tanagermessage.RequestAnswer))
	case <-r.Context().Done():
		a.Inbox.TryDeliver(tanagermessage.TopicRequestGone, tanagermessage.Local(tanagermessage.RequestGone{
			Waiter: number,
		}))
	}
}

func (a *API) requestSpec(w http.ResponseWriter, r *http.Request, id identity) (tanagermessage.RequestSpec, *tanagerfailure.Failure) {
	spec := tanagermessage.RequestSpec{
		ID:         r.Header.Get(RequestIDHeader),
		Branch:     id.name,
		Service:    chi.URLParam(r, "service"),
		Path:       chi.URLParam(r, "*"),
		Idempotent: r.Header.Get(IdempotentHeader) == "true",
		Timeout:    defaultTimeout,
	}
	class, failure := tanagerqueue.ParseClass(r.Header.Get(ClassHeader))
	if failure != nil {
		return spec, failure
	}
	spec.Class = class
	if text := r.Header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout > a.settings.LongestRequest {
			return spec, invalid(TimeoutHeader, "must be a duration such as 2s, at most "+a.settings.LongestRequest.String())
		}
		if timeout <= 0 {
			return spec, tanagerfailure.New(tanagerfailure.DeadlinePassed, TimeoutHeader+" lies in the past")
		}
		spec.Timeout = timeout
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	switch {
	case err != nil && isTooLarge(err):
		return spec, tooLarge()
	case err != nil:
		return spec, tanagerfailure.New(tanagerfailure.MalformedBody, "the body did not arrive whole")
	}
	spec.Body = body
	return spec, nil
}

func (a *API) answerRequest(w http.ResponseWriter, answer tanagermessage.RequestAnswer) {
	h := w.Header()
	h.Set(RequestIDHeader, answer.ID)
	if answer.Target != "" {
		h.Set(TargetHeader, answer.Target)
		h.Set(QueuedHeader, answer.Queued.String())
	}
	outcome := tanagerfailure.Done
	if answer.Failure != nil {
		if answer.Failure.Code != tanagerfailure.TargetFailed {
			a.fail(w, answer.Failure)
			return
		}
		// The target's own answer says more than a failure could.
		outcome = tanagerfailure.Failed
	}
	h.Set(OutcomeHeader, string(outcome))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil {
		a.Log.Debug().Str("event", "answer_not_written").Err(err).Send()
	}
}
