package tanagerdispatch

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// newAttempt notes that a task may run on a worker from now on.
func (c *Cell) newAttempt(s *step, index int, run int64, w *worker) *attempt {
	a := &attempt{
		step:   s,
		index:  index,
		run:    run,
		worker: w,
		since:  c.now,
		paced:  fullPace,
	}
	t := &s.tasks[index]
	t.attempt = a
	t.run = max(t.run, run)
	if s.spec.Gang {
		s.gang.run = max(s.gang.run, run)
	}
	s.active++
	s.pending--
	if s.spread == nil {
		s.spread = make(map[*worker]int)
	}
	s.spread[w]++
	w.hold(a)
	if soon := c.now.Add(pollGap); w.misses == 0 && w.pollDue.After(soon) {
		w.pollDue = soon
	}
	return a
}

// nextRun returns a number above all that were used for a task or a gang.
func (c *Cell) nextRun(s *step, index int) int64 {
	last := s.tasks[index].run
	if s.spec.Gang {
		last = s.gang.run
	}
	return max(last, int64(c.epoch-1)*runsPerEpoch) + 1
}

// start orders a worker to start a task.
func (c *Cell) start(s *step, index int, run int64, w *worker) {
	a := c.newAttempt(s, index, run, w)
	c.counters.Starts++
	c.note(Note{
		Event:  "run_start",
		Job:    s.job.record.ID,
		Queue:  s.job.record.Queue,
		Task:   a.name(),
		Run:    run,
		Worker: w.id,
		Age:    c.now.Sub(s.job.record.Arrived),
	})
	c.sendStart(a)
	c.begin(s.job)
}

func (c *Cell) sendStart(a *attempt) {
	a.tries++
	s := a.step
	c.out.Starts = append(c.out.Starts, StartOrder{
		Worker: a.worker.ref(),
		Start: tanagerport.Start{
			Task:       a.name(),
			Run:        a.run,
			Payload:    s.job.record.Spec.Payload,
			Deadline:   a.worker.extend(c.now, c.settings.Lease),
			Epoch:      c.epoch,
			Checkpoint: s.checkpoint(a.index),
			Ticket:     s.advice.ticket(a.worker, c.now),
		},
	})
}

// StartAnswered applies the answer to a start.
func (c *Cell) StartAnswered(now time.Time, order StartOrder, answer tanagerport.Answer, err error) {
	c.now = now
	a := c.attemptNamed(order.Worker, order.Start.Task, order.Start.Run)
	if a == nil {
		return
	}
	w := a.worker
	if err == nil {
		w.noteClock(answer.Clock, now)
	}
	switch {
	case err == nil && answer.Verdict == tanagerport.Accepted:
		c.startAccepted(a)
	case err == nil:
		c.startRefused(a, order.Start.Epoch, answer.Verdict)
	case errorx.IsOfType(err, tanagerport.Refused):
		c.unreached(a, err)
	default:
		c.startUnanswered(a)
	}
}

func (c *Cell) attemptNamed(at tanagerport.WorkerRef, name tanagerwork.TaskName, run int64) *attempt {
	w := c.workers[at.ID]
	s := c.stepOf(name)
	if w == nil || s == nil {
		return nil
	}
	a := s.tasks[name.Index].attempt
	if a == nil || a.worker != w || a.run != run {
		return nil
	}
	return a
}

func (c *Cell) startAccepted(a *attempt) {
	if a.phase == starting {
		a.phase = running
		a.since = c.now
	}
	if a.started.IsZero() {
		a.started = c.now
	}
}

// startRefused applies a verdict that proves that this order started nothing.
func (c *Cell) startRefused(a *attempt, epoch uint64, v tanagerport.Verdict) {
	c.counters.StartsRefused++
	c.noteAttempt("start_refused", a, string(v))
	switch v {
	case tanagerport.Fenced:
		c.fenced(epoch)
	case tanagerport.TicketRejected:
		a.step.advice.forget(a.worker)
	case tanagerport.Unhealthy:
		a.worker.health.avoidUntil = c.now.Add(unhealthyPause)
	case tanagerport.OtherLife:
		c.loseRuns(a.worker, "another incarnation answers at its address")
		a.worker.synced = false
		return
	}
	if a.tries > 1 {
		// An earlier copy of the order is unanswered and may have started it.
		c.stop(a, "start refused after an unanswered one")
		return
	}
	c.withdraw(a, string(v))
}

// unreached applies that no byte of a start was sent.
func (c *Cell) unreached(a *attempt, err error) {
	a.worker.health.avoidUntil = c.now.Add(unreachablePause)
	c.noteAttempt("start_unsent", a, kindOf(err))
	if a.tries > 1 {
		c.stop(a, "worker out of reach after an unanswered start")
		return
	}
	c.withdraw(a, "worker out of reach")
}

// startUnanswered sends the same order again, which the worker takes for the
// same run, and stops it if that brings no answer either.
func (c *Cell) startUnanswered(a *attempt) {
	if a.phase != starting {
		return
	}
	c.noteAttempt("start_unanswered", a, "")
	if a.tries < startTries {
		c.sendStart(a)
		return
	}
	a.worker.health.avoidUntil = c.now.Add(unreachablePause)
	c.stop(a, "start unanswered")
}

// withdraw removes an attempt that certainly never ran.
func (c *Cell) withdraw(a *attempt, reason string) {
	s := a.step
	c.endAttempt(a)
	s.notBefore = c.now.Add(withdrawDelay)
	if s.spec.Gang && a.run == s.gang.run {
		c.breakGang(s, "member refused: "+reason)
	}
}

// withdrawDelay is the pause before a refused start is placed again.
const withdrawDelay = 20 * time.Millisecond

func (c *Cell) noteAttempt(event string, a *attempt, reason string) {
	c.note(Note{
		Event:  event,
		Job:    a.step.job.record.ID,
		Task:   a.name(),
		Run:    a.run,
		Worker: a.worker.id,
		Reason: reason,
		Age:    c.now.Sub(a.since),
	})
}

// stop orders a worker to stop an attempt, and repeats it until it is answered.
func (c *Cell) stop(a *attempt, reason string) {
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	a.since = c.now
	a.reason = reason
	c.noteAttempt("run_stop", a, reason)
	c.sendStop(a)
}

func (c *Cell) sendStop(a *attempt) {
	a.stopSent = c.now
	a.stopInFlight = true
	c.counters.Stops++
	c.out.Stops = append(c.out.Stops, StopOrder{
		Worker: a.worker.ref(),
		Stop: tanagerport.Stop{
			Task:  a.name(),
			Run:   a.run,
			Epoch: c.epoch,
		},
	})
}

// stopStray stops a run that no attempt stands for.
func (c *Cell) stopStray(w *worker, row tanagerport.RunningRow) {
	c.note(Note{
		Event:  "stray_run_stop",
		Job:    row.Task.Job,
		Task:   row.Task,
		Run:    row.Run,
		Worker: w.id,
		Reason: "not wanted there",
	})
	c.out.Stops = append(c.out.Stops, StopOrder{
		Worker: w.ref(),
		Stop: tanagerport.Stop{
			Task:  row.Task,
			Run:   row.Run,
			Epoch: c.epoch,
		},
	})
}

// StopAnswered applies the answer to a stop. The room becomes free when the
// worker lists the end or, after this, no longer shows the run.
func (c *Cell) StopAnswered(now time.Time, order StopOrder, answer tanagerport.Answer, err error) {
	c.now = now
	a := c.attemptNamed(order.Worker, order.Stop.Task, order.Stop.Run)
	if a == nil {
		return
	}
	a.stopInFlight = false
	if err != nil {
		return
	}
	switch answer.Verdict {
	case tanagerport.Accepted, tanagerport.Outdated:
		a.worker.noteClock(answer.Clock, now)
		a.stopAnswered = now
	case tanagerport.Fenced:
		c.fenced(order.Stop.Epoch)
	}
}

// resendStops repeats stops that were not answered.
func (c *Cell) resendStops() {
	for _, w := range c.workers {
		for a := range w.attempts {
			if a.phase == stopping && !a.stopInFlight && a.stopAnswered.IsZero() && c.now.Sub(a.stopSent) > stopRetry {
				c.sendStop(a)
			}
		}
	}
}
