package tanagercheck

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerport"
)

const (
	callerTimeout = 3 * time.Second
	// submitRetry and askInterval separate the attempts of a caller.
	submitRetry = 300 * time.Millisecond
	askInterval = 600 * time.Millisecond
	// lateAskInterval separates questions about a job that was shown as completed.
	lateAskInterval = 4 * time.Second
)

// ask calls a daemon as a caller does. It returns false without an answer in time.
func (w *world) ask(m *machine, call func(ctx context.Context, p *process) tanagerport.Result) (tanagerport.Result, bool) {
	p := m.current()
	if p == nil || m.pauseEnd() > 0 {
		w.sleep(submitRetry)
		return tanagerport.Result{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	results := make(chan tanagerport.Result, 1)
	w.spawn(func() {
		r := call(ctx, p)
		select {
		case <-p.ended:
		default:
			results <- r
		}
	})
	select {
	case r := <-results:
		return r, true
	case <-ctx.Done():
	case <-p.ended:
	case <-w.done:
	}
	return tanagerport.Result{}, false
}

// runCaller submits a job until it is accepted, and then asks for its state until the
// walk ends.
func (w *world) runCaller(j *plannedJob) {
	r := w.random("caller " + string(j.id))
	if !w.sleep(j.at) {
		return
	}
	for !w.submit(w.machines[r.IntN(len(w.machines))], j) {
		if !w.sleep(submitRetry + latency(r)) {
			return
		}
	}
	if j.repeatAfter > 0 {
		w.spawn(func() {
			if w.sleep(j.repeatAfter) {
				w.submit(w.machines[r.IntN(len(w.machines))], j)
			}
		})
	}
	states := w.random("asker " + string(j.id))
	for interval := askInterval; w.sleep(interval + latency(states)); {
		m := w.machines[states.IntN(len(w.machines))]
		result, answered := w.ask(m, func(ctx context.Context, p *process) tanagerport.Result {
			return p.daemon.Frontend().State(ctx, j.id)
		})
		if !answered {
			continue
		}
		w.mu.Lock()
		w.rules.shown(m, j.id, result)
		if w.rules.jobs[j.id].shown {
			interval = lateAskInterval
		}
		w.mu.Unlock()
	}
}

// submit submits a job and reports whether it was accepted.
func (w *world) submit(m *machine, j *plannedJob) bool {
	if m.current() == nil {
		return false
	}
	result, answered := w.ask(m, func(ctx context.Context, p *process) tanagerport.Result {
		return p.daemon.Frontend().Submit(ctx, tanagerport.Submission{
			Queue:   queue,
			ID:      j.id,
			Spec:    j.spec,
			Arrived: time.Now(),
		})
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	if !answered {
		result.Reply = tanagerport.ReplyOutcomeUnknown
	}
	w.rules.submitted(j.id, result.Reply)
	w.log("caller", m.name, string(j.id), "submits the job: %s", result.Reply)
	return result.Reply == tanagerport.ReplyAccepted
}
