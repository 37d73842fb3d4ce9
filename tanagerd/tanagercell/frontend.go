package tanagercell

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// Frontend handles the callers' requests. It is safe for concurrent use.
type Frontend struct {
	control   *control
	committer *committer

	mu          sync.Mutex
	finalStates map[tanagerwork.JobID]tanagerwork.State
	// ownRoomTaken is the size of the large jobs that were stored without the
	// scheduler's room since it last kept any.
	ownRoomTaken int64
}

// Configuration returns the current configuration, or false before the first
// one has been read.
func (f *Frontend) Configuration() (tanagerport.Configuration, bool) {
	v := f.control.view.Load()
	if v.configuration == nil {
		return tanagerport.Configuration{}, false
	}
	return *v.configuration, true
}

// Stopping reports whether the daemon is shutting down.
func (f *Frontend) Stopping() bool { return f.control.view.Load().stopping }

// Ready reports whether the daemon should receive new connections.
func (f *Frontend) Ready() bool {
	v := f.control.view.Load()
	return v.configuration != nil && v.storeUp && !v.stopping
}

// Submit accepts a job once it is stored. It rejects the job at once if the
// hints say that its queue is closed, or if the store is unavailable and the
// scheduler cannot be asked. A job that the scheduler already has is never
// rejected: its caller submits it again if the first response was lost.
func (f *Frontend) Submit(ctx context.Context, s tanagerport.Submission) tanagerport.Result {
	v := f.control.view.Load()
	start := f.control.timer.Now()
	decision := v.hints[s.Queue.Name].Decision(&s.Spec)
	if decision.Closed && start.Sub(v.hintsReceivedAt) < maxHintAge {
		return f.reportSubmit(s.Queue.Name, s.ID, start, decision, f.acceptedOr(ctx, s.ID, tanagerport.Result{
			Reply:      tanagerport.ReplyOverloaded,
			RetryAfter: decision.RetryAfter,
		}))
	}
	if result, rejected := f.rejectLarge(ctx, &s); rejected {
		return f.reportSubmit(s.Queue.Name, s.ID, start, decision, result)
	}
	result := tanagerport.Result{
		Reply: f.submit(ctx, tanagerwork.Record{
			ID:      s.ID,
			Queue:   s.Queue.Name,
			Service: s.Queue.Service,
			Policy:  s.Queue.Policy(v.configurationVersion()),
			Arrived: s.Arrived,
			Spec:    s.Spec,
		}),
	}
	if result.Reply == tanagerport.ReplyUnavailable {
		result.RetryAfter = unavailableRetryAfter
		result = f.acceptedOr(ctx, s.ID, result)
	}
	return f.reportSubmit(s.Queue.Name, s.ID, start, decision, result)
}

// Refuse rejects a job whose submission could not be read for want of room, unless the
// scheduler has the job. Such requests can be many, so they are only counted.
func (f *Frontend) Refuse(ctx context.Context, id tanagerwork.JobID) tanagerport.Result {
	start := f.control.timer.Now()
	result := f.acceptedOr(ctx, id, tanagerport.Result{
		Reply:      tanagerport.ReplyUnavailable,
		RetryAfter: unavailableRetryAfter,
	})
	f.control.metrics.ObserveCall(f.control.ctx, "refuse", string(result.Reply), f.control.timer.Now().Sub(start))
	return result
}

// rejectLarge returns the result for a large job that must not be stored, and whether
// it must not: the scheduler has it already, or there is no room for it.
func (f *Frontend) rejectLarge(ctx context.Context, s *tanagerport.Submission) (tanagerport.Result, bool) {
	size := s.Spec.Size()
	if size <= tanagerdispatch.LargeJobBytes {
		return tanagerport.Result{}, false
	}
	response := f.askScheduler(ctx, stateRequest{
		ID:    s.ID,
		Bytes: size,
	})
	switch {
	case response.Known:
		return tanagerport.Result{Reply: tanagerport.ReplyAccepted}, true
	case response.HasRoom:
		f.returnOwnRoom()
		return tanagerport.Result{}, false
	case !response.NoRoom && f.takeOwnRoom(size):
		return tanagerport.Result{}, false
	}
	return tanagerport.Result{
		Reply:      tanagerport.ReplyOverloaded,
		RetryAfter: largeJobRetryAfter,
	}, true
}

func (f *Frontend) returnOwnRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownRoomTaken = 0
}

// takeOwnRoom takes room for a large job while no scheduler keeps any: this daemon's
// share, until a scheduler says again which room it has.
func (f *Frontend) takeOwnRoom(size int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownRoomTaken > 0 && f.ownRoomTaken+size > f.control.settings.Dispatch.MaxLargeJobBytes/ownRoomShare {
		return false
	}
	f.ownRoomTaken += size
	return true
}

// acceptedOr returns an acceptance if the scheduler has the job, and the rejection
// otherwise, or if the scheduler does not respond within acceptedRequestTimeout.
func (f *Frontend) acceptedOr(ctx context.Context, id tanagerwork.JobID, rejection tanagerport.Result) tanagerport.Result {
	ctx, cancel := context.WithTimeout(ctx, acceptedRequestTimeout)
	defer cancel()
	if f.stateFromScheduler(ctx, id).Known {
		return tanagerport.Result{Reply: tanagerport.ReplyAccepted}
	}
	return rejection
}

func (f *Frontend) reportSubmit(queue string, id tanagerwork.JobID, start time.Time,
	d tanageradmission.Decision, r tanagerport.Result) tanagerport.Result {
	v := f.control.view.Load()
	took := f.control.timer.Now().Sub(start)
	f.control.metrics.ObserveCall(f.control.ctx, "submit", string(r.Reply), took)
	f.control.log.Info().Str("event", "job_"+string(r.Reply)).Str("job", string(id)).Str("queue", queue).
		Dur("took_ms", took).Dur("retry_after_ms", r.RetryAfter).Uint64("epoch", v.epoch).
		Dur("hint_age_ms", start.Sub(v.hintsReceivedAt)).
		Dur("forecast_ms", d.Wait).Bool("observed", d.Observed).Send()
	return r
}

// State returns the state of a job as known to the scheduler. If the scheduler
// does not respond or does not know the job, the state comes from the store.
func (f *Frontend) State(ctx context.Context, id tanagerwork.JobID) tanagerport.Result {
	start := f.control.timer.Now()
	state, source, err := f.lookUpState(ctx, id)
	f.cacheFinalState(id, state)
	result := tanagerport.Result{
		Reply: tanagerport.ReplyState,
		State: state,
	}
	switch {
	case errorx.IsOfType(err, tanagerport.NotFound):
		result = tanagerport.Result{Reply: tanagerport.ReplyJobNotFound}
	case err != nil:
		result = tanagerport.Result{
			Reply:      tanagerport.ReplyUnavailable,
			RetryAfter: unavailableRetryAfter,
		}
	}
	took := f.control.timer.Now().Sub(start)
	f.control.metrics.ObserveCall(f.control.ctx, "state", string(result.Reply), took)
	if err != nil {
		f.control.log.Info().Str("event", "state_"+string(result.Reply)).Str("job", string(id)).
			Str("source", source).Dur("took_ms", took).Err(err).Send()
	}
	return result
}

// lookUpState returns the state of a job and where it was found: in memory, at
// the scheduler or in the store.
func (f *Frontend) lookUpState(ctx context.Context, id tanagerwork.JobID) (tanagerwork.State, string, error) {
	f.mu.Lock()
	state, known := f.finalStates[id]
	f.mu.Unlock()
	if known {
		return state, "memory", nil
	}
	if response := f.stateFromScheduler(ctx, id); response.Known {
		return response.State, "scheduler", nil
	}
	state, err := f.stateFromStore(ctx, id)
	return state, "store", err
}

// stateFromScheduler asks the scheduler for the state of a job. Without a
// response within stateRequestTimeout the job counts as not known.
func (f *Frontend) stateFromScheduler(ctx context.Context, id tanagerwork.JobID) stateResponse {
	return f.askScheduler(ctx, stateRequest{ID: id})
}

// askScheduler returns the scheduler's response, or the zero value without one within
// stateRequestTimeout.
func (f *Frontend) askScheduler(ctx context.Context, request stateRequest) stateResponse {
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout)
	defer cancel()
	reply := make(chan stateResponse, 1)
	f.control.post(stateCall{
		request: request,
		reply:   reply,
	})
	select {
	case response := <-reply:
		return response
	case <-ctx.Done():
		return stateResponse{}
	}
}

// stateFromStore derives a job's state from the store. It returns an error of
// type NotFound for an unknown job.
func (f *Frontend) stateFromStore(ctx context.Context, id tanagerwork.JobID) (tanagerwork.State, error) {
	store := f.control.ports.Store
	item, err := store.Get(ctx, outcomePrefix+string(id))
	if err == nil {
		var progress tanagerwork.Progress
		if err := tanagerwire.Decode(item.Value, &progress); err != nil {
			return "", err
		}
		return progress.State, nil
	}
	if !errorx.IsOfType(err, tanagerport.NotFound) {
		return "", err
	}
	if _, err := store.Get(ctx, jobPrefix+string(id)); err != nil {
		return "", err
	}
	return tanagerwork.Queued, nil
}

func (f *Frontend) cacheFinalState(id tanagerwork.JobID, state tanagerwork.State) {
	if !state.Final() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.finalStates) >= maxCachedFinalStates {
		clear(f.finalStates)
	}
	f.finalStates[id] = state
}

// Cancel stores the cancellation of an existing job, through the scheduler if
// this daemon cannot reach the store.
func (f *Frontend) Cancel(ctx context.Context, id tanagerwork.JobID) tanagerport.Result {
	start := f.control.timer.Now()
	v := f.control.view.Load()
	result := tanagerport.Result{Reply: tanagerport.ReplyUnavailable}
	if v.storeUp {
		storeCtx, cancel := context.WithTimeout(ctx, storeSubmitTimeout)
		result.Reply = f.cancelInStore(storeCtx, id)
		cancel()
	}
	if result.Reply == tanagerport.ReplyUnavailable && f.canForward(v) {
		result.Reply = f.forward(ctx, forwardRequest{Cancel: id})
	}
	if result.Reply == tanagerport.ReplyUnavailable {
		result.RetryAfter = unavailableRetryAfter
	}
	took := f.control.timer.Now().Sub(start)
	f.control.metrics.ObserveCall(f.control.ctx, "cancel", string(result.Reply), took)
	f.control.log.Info().Str("event", "cancel_"+string(result.Reply)).Str("job", string(id)).
		Dur("took_ms", took).Send()
	return result
}

// cancelInStore stores a cancellation and notifies the scheduler. Cancelling is
// idempotent, so a write without a response is reported as unavailable and the
// caller retries.
func (f *Frontend) cancelInStore(ctx context.Context, id tanagerwork.JobID) tanagerport.Reply {
	err := f.writeCancellation(ctx, id)
	switch {
	case errorx.IsOfType(err, tanagerport.NotFound):
		return tanagerport.ReplyJobNotFound
	case err != nil:
		f.control.log.Warn().Str("event", "cancel_not_stored").Str("job", string(id)).Err(err).Send()
		return tanagerport.ReplyUnavailable
	}
	f.control.post(notifyScheduler{
		topic:   topicCancel,
		payload: cancelStored{ID: id},
	})
	return tanagerport.ReplyAccepted
}

func (f *Frontend) writeCancellation(ctx context.Context, id tanagerwork.JobID) error {
	store := f.control.ports.Store
	if _, err := store.Get(ctx, jobPrefix+string(id)); err != nil {
		return err
	}
	_, _, err := store.Commit(ctx, tanagerport.Transaction{
		Preconditions: []tanagerport.Precondition{},
		Writes: []tanagerport.Write{{
			Key:   cancelPrefix + string(id),
			Value: []byte{},
		}},
	})
	return err
}

// Pending returns the number of jobs of a queue of which no task has started,
// from the last hints. It returns ReplyUnavailable if they are older than
// maxHintAge.
func (f *Frontend) Pending(_ context.Context, queue string) tanagerport.Result {
	v := f.control.view.Load()
	hint, known := v.hints[queue]
	if f.control.timer.Now().Sub(v.hintsReceivedAt) > maxHintAge {
		return tanagerport.Result{
			Reply:      tanagerport.ReplyUnavailable,
			RetryAfter: unavailableRetryAfter,
		}
	}
	if !known {
		hint.Pending = 0
	}
	return tanagerport.Result{
		Reply:   tanagerport.ReplyPending,
		Pending: hint.Pending,
	}
}

// maxLoggedPath is the length to which the path of an invalid request is cut in the
// log, in bytes. Lines wait in memory for the output.
const maxLoggedPath = 100

// Rejected logs an invalid request and the error status of its response.
func (f *Frontend) Rejected(method, path string, status int, cause error) {
	path = path[:min(len(path), maxLoggedPath)]
	f.control.log.Warn().Str("event", "request_rejected").Str("method", method).Str("path", path).
		Int("status", status).Err(cause).Send()
}
