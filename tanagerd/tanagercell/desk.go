package tanagercell

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// Desk answers callers. It is safe for concurrent use.
type Desk struct {
	control   *control
	committer *committer

	mu    sync.Mutex
	final map[tanagerwork.JobID]tanagerwork.State
}

// Configuration returns the configuration in force, or false before the first.
func (d *Desk) Configuration() (tanagerport.Configuration, bool) {
	v := d.control.view.Load()
	if v.configuration == nil {
		return tanagerport.Configuration{}, false
	}
	return *v.configuration, true
}

// Stopping reports whether the daemon is about to end.
func (d *Desk) Stopping() bool { return d.control.view.Load().stopping }

// Ready reports whether the daemon should get new callers.
func (d *Desk) Ready() bool {
	v := d.control.view.Load()
	return v.configuration != nil && v.storeUp && !v.stopping
}

// Submit accepts a job once it is stored, and refuses it at once if its queue is
// closed or the store does not serve.
func (d *Desk) Submit(ctx context.Context, s tanagerport.Submission) tanagerport.Result {
	v := d.control.view.Load()
	now := d.control.timer.Now()
	hint := v.hints[s.Queue.Name]
	if hint.Closed && now.Sub(v.hintsAt) < staleHint {
		return d.answered(s.Queue.Name, s.ID, now, tanagerport.Result{
			Reply:      tanagerport.ReplyOverloaded,
			RetryAfter: hint.RetryAfter,
		})
	}
	result := tanagerport.Result{
		Reply: d.submit(ctx, tanagerwork.Record{
			ID:      s.ID,
			Queue:   s.Queue.Name,
			Service: s.Queue.Service,
			Arrived: s.Arrived,
			Spec:    s.Spec,
		}),
	}
	if result.Reply == tanagerport.ReplyUnavailable {
		result.RetryAfter = refusalPause
	}
	return d.answered(s.Queue.Name, s.ID, now, result)
}

func (d *Desk) answered(queue string, id tanagerwork.JobID, began time.Time, r tanagerport.Result) tanagerport.Result {
	v := d.control.view.Load()
	took := d.control.timer.Now().Sub(began)
	d.control.metrics.CallerAnswered(d.control.ctx, "submit", string(r.Reply), took)
	d.control.log.Info().Str("event", "job_"+string(r.Reply)).Str("job", string(id)).Str("queue", queue).
		Dur("took_ms", took).Dur("retry_after_ms", r.RetryAfter).Uint64("epoch", v.epoch).
		Dur("hint_age_ms", began.Sub(v.hintsAt)).Send()
	return r
}

// State tells the state of a job: what the scheduler says or, if it does not
// answer or does not know the job, what the store holds.
func (d *Desk) State(ctx context.Context, id tanagerwork.JobID) tanagerport.Result {
	began := d.control.timer.Now()
	state, source, err := d.state(ctx, id)
	d.remember(id, state)
	result := tanagerport.Result{
		Reply: tanagerport.ReplyState,
		State: state,
	}
	switch {
	case errorx.IsOfType(err, tanagerport.NotFound):
		result = tanagerport.Result{Reply: tanagerport.ReplyNoJob}
	case err != nil:
		result = tanagerport.Result{
			Reply:      tanagerport.ReplyUnavailable,
			RetryAfter: refusalPause,
		}
	}
	took := d.control.timer.Now().Sub(began)
	d.control.metrics.CallerAnswered(d.control.ctx, "state", string(result.Reply), took)
	if err != nil {
		d.control.log.Info().Str("event", "state_"+string(result.Reply)).Str("job", string(id)).
			Str("source", source).Dur("took_ms", took).Err(err).Send()
	}
	return result
}

func (d *Desk) state(ctx context.Context, id tanagerwork.JobID) (tanagerwork.State, string, error) {
	d.mu.Lock()
	state, known := d.final[id]
	d.mu.Unlock()
	if known {
		return state, "memory", nil
	}
	if told := d.ask(ctx, id); told.Known {
		return told.State, "scheduler", nil
	}
	state, err := d.stored(ctx, id)
	return state, "store", err
}

func (d *Desk) ask(ctx context.Context, id tanagerwork.JobID) stateTold {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	reply := make(chan stateTold, 1)
	d.control.post(question{
		asked: stateAsked{ID: id},
		reply: reply,
	})
	select {
	case told := <-reply:
		return told
	case <-ctx.Done():
		return stateTold{}
	}
}

// stored derives a job's state from the store. A job that is not there is an
// error of type NotFound.
func (d *Desk) stored(ctx context.Context, id tanagerwork.JobID) (tanagerwork.State, error) {
	store := d.control.ports.Store
	item, err := store.Get(ctx, outcomeKeys+string(id))
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

func (d *Desk) remember(id tanagerwork.JobID, state tanagerwork.State) {
	if !state.Final() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.final) >= finalStates {
		clear(d.final)
	}
	d.final[id] = state
}

// Cancel stores the cancellation of a job that exists.
func (d *Desk) Cancel(ctx context.Context, id tanagerwork.JobID) tanagerport.Result {
	began := d.control.timer.Now()
	v := d.control.view.Load()
	result := tanagerport.Result{Reply: tanagerport.ReplyUnavailable}
	if v.storeUp {
		here, done := context.WithTimeout(ctx, submitTimeout)
		result.Reply = d.cancelHere(here, id)
		done()
	}
	if result.Reply == tanagerport.ReplyUnavailable && d.mayForward(v) {
		result.Reply = d.forward(ctx, forwarded{Cancel: id})
	}
	if result.Reply == tanagerport.ReplyUnavailable {
		result.RetryAfter = refusalPause
	}
	took := d.control.timer.Now().Sub(began)
	d.control.metrics.CallerAnswered(d.control.ctx, "cancel", string(result.Reply), took)
	d.control.log.Info().Str("event", "cancel_"+string(result.Reply)).Str("job", string(id)).
		Dur("took_ms", took).Send()
	return result
}

// cancelHere cancels a job and tells the scheduler. Repeating it does no harm, so
// a cancellation that was not answered counts as refused.
func (d *Desk) cancelHere(ctx context.Context, id tanagerwork.JobID) tanagerport.Reply {
	err := d.cancel(ctx, id)
	switch {
	case errorx.IsOfType(err, tanagerport.NotFound):
		return tanagerport.ReplyNoJob
	case err != nil:
		d.control.log.Warn().Str("event", "cancel_not_stored").Str("job", string(id)).Err(err).Send()
		return tanagerport.ReplyUnavailable
	}
	d.control.post(tell{
		topic:   topicCancel,
		payload: cancelStored{ID: id},
	})
	return tanagerport.ReplyAccepted
}

func (d *Desk) cancel(ctx context.Context, id tanagerwork.JobID) error {
	store := d.control.ports.Store
	if _, err := store.Get(ctx, jobPrefix+string(id)); err != nil {
		return err
	}
	_, _, err := store.Commit(ctx, tanagerport.Transaction{
		Expect: []tanagerport.Expectation{},
		Writes: []tanagerport.Write{{
			Key:   cancelPrefix + string(id),
			Value: []byte{},
		}},
	})
	return err
}

// Pending counts the jobs of a queue of which nothing has started, as the
// scheduler told last.
func (d *Desk) Pending(_ context.Context, queue string) tanagerport.Result {
	v := d.control.view.Load()
	hint, known := v.hints[queue]
	if d.control.timer.Now().Sub(v.hintsAt) > staleHint {
		return tanagerport.Result{
			Reply:      tanagerport.ReplyUnavailable,
			RetryAfter: refusalPause,
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

// Rejected logs a request that could not be read.
func (d *Desk) Rejected(method, path string, status int, cause error) {
	d.control.log.Warn().Str("event", "request_rejected").Str("method", method).Str("path", path).
		Int("status", status).Err(cause).Send()
}
