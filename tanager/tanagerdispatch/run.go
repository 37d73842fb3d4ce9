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
		step:       s,
		index:      index,
		run:        run,
		worker:     w,
		phaseSince: c.now,
		cpuPercent: fullPercent,
	}
	t := &s.tasks[index]
	t.attempt = a
	t.lastRun = max(t.lastRun, run)
	if s.spec.Gang {
		s.gang.lastRun = max(s.gang.lastRun, run)
	}
	s.activeAttempts++
	s.pendingTasks--
	if s.attemptsByWorker == nil {
		s.attemptsByWorker = make(map[*worker]int)
	}
	s.attemptsByWorker[w]++
	w.allocate(a)
	if soon := c.now.Add(minPollInterval); w.missedPolls == 0 && w.nextPollAt.After(soon) {
		w.nextPollAt = soon
	}
	return a
}

// nextRun returns a number above all that were used for a task or a gang.
func (c *Cell) nextRun(s *step, index int) int64 {
	last := s.tasks[index].lastRun
	if s.spec.Gang {
		last = s.gang.lastRun
	}
	return max(last, int64(c.epoch-1)*runsPerEpoch) + 1
}

// start orders a worker to start a task.
func (c *Cell) start(s *step, index int, run int64, w *worker) {
	a := c.newAttempt(s, index, run, w)
	c.counters.Starts++
	c.logEvent(Note{
		Event:  "run_start",
		Job:    s.job.record.ID,
		Queue:  s.job.record.Queue,
		Task:   a.name(),
		Run:    run,
		Worker: w.id,
		Age:    c.now.Sub(s.job.record.Arrived),
	})
	c.sendStart(a)
	c.markStarted(s.job)
}

func (c *Cell) sendStart(a *attempt) {
	a.startsSent++
	s := a.step
	c.orders.Starts = append(c.orders.Starts, StartOrder{
		Worker: a.worker.ref(),
		Start: tanagerport.Start{
			Task:       a.name(),
			Run:        a.run,
			Payload:    s.job.record.Spec.Payload,
			Deadline:   a.worker.extendLease(c.now, c.settings.Lease),
			Epoch:      c.epoch,
			Checkpoint: s.checkpoint(a.index),
			Ticket:     s.advice.ticket(a.worker, c.now),
		},
	})
}

// StartAnswered applies the answer to a start.
func (c *Cell) StartAnswered(now time.Time, order StartOrder, answer tanagerport.Answer, err error) {
	c.now = now
	a := c.findAttempt(order.Worker, order.Start.Task, order.Start.Run)
	if a == nil {
		return
	}
	w := a.worker
	if err == nil {
		w.recordClock(answer.Clock, now)
	}
	switch {
	case err == nil && answer.Verdict == tanagerport.Accepted:
		c.startAccepted(a)
	case err == nil:
		c.startRefused(a, order.Start.Epoch, answer.Verdict)
	case errorx.IsOfType(err, tanagerport.Refused):
		c.startUnsent(a, err)
	default:
		c.startUnanswered(a)
	}
}

func (c *Cell) findAttempt(at tanagerport.WorkerRef, name tanagerwork.TaskName, run int64) *attempt {
	w := c.workers[at.ID]
	s := c.findStep(name)
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
		a.phaseSince = c.now
	}
	if a.startedAt.IsZero() {
		a.startedAt = c.now
	}
}

// startRefused applies a verdict that proves that this order started nothing.
func (c *Cell) startRefused(a *attempt, epoch uint64, v tanagerport.Verdict) {
	c.counters.StartsRefused++
	c.logAttempt("start_refused", a, string(v))
	switch v {
	case tanagerport.Fenced:
		c.handleFenced(epoch)
	case tanagerport.TicketRejected:
		a.step.advice.discardTicket(a.worker)
	case tanagerport.Unhealthy:
		a.worker.health.avoidUntil = c.now.Add(unhealthyBackoff)
	case tanagerport.OtherLife:
		c.loseAttempts(a.worker, "another incarnation answers at its address")
		a.worker.synced = false
		return
	}
	if a.startsSent > 1 {
		// An earlier copy of the order is unanswered and may have started it.
		c.stopAttempt(a, "start refused after an unanswered one")
		return
	}
	c.discardUnstarted(a, string(v))
}

// startUnsent applies that no byte of a start was sent.
func (c *Cell) startUnsent(a *attempt, err error) {
	a.worker.health.avoidUntil = c.now.Add(unreachableBackoff)
	c.logAttempt("start_unsent", a, errorKind(err))
	if a.startsSent > 1 {
		c.stopAttempt(a, "worker out of reach after an unanswered start")
		return
	}
	c.discardUnstarted(a, "worker out of reach")
}

// startUnanswered sends the same order again, which the worker takes for the
// same run, and stops it if that brings no answer either.
func (c *Cell) startUnanswered(a *attempt) {
	if a.phase != starting {
		return
	}
	c.logAttempt("start_unanswered", a, "")
	if a.startsSent < maxStartSends {
		c.sendStart(a)
		return
	}
	a.worker.health.avoidUntil = c.now.Add(unreachableBackoff)
	c.stopAttempt(a, "start unanswered")
}

// discardUnstarted removes an attempt that certainly never ran.
func (c *Cell) discardUnstarted(a *attempt, reason string) {
	s := a.step
	c.removeAttempt(a)
	s.notBefore = c.now.Add(refusedStartDelay)
	if s.spec.Gang && a.run == s.gang.lastRun {
		c.abortGang(s, "member refused: "+reason)
	}
}

// refusedStartDelay is the pause before a refused start is placed again.
const refusedStartDelay = 20 * time.Millisecond

func (c *Cell) logAttempt(event string, a *attempt, reason string) {
	c.logEvent(Note{
		Event:  event,
		Job:    a.step.job.record.ID,
		Task:   a.name(),
		Run:    a.run,
		Worker: a.worker.id,
		Reason: reason,
		Age:    c.now.Sub(a.phaseSince),
	})
}

// stopAttempt orders a worker to stopAttempt an attempt, and repeats it until it is answered.
func (c *Cell) stopAttempt(a *attempt, reason string) {
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	a.phaseSince = c.now
	a.stopReason = reason
	c.logAttempt("run_stop", a, reason)
	c.sendStop(a)
}

func (c *Cell) sendStop(a *attempt) {
	a.stopSentAt = c.now
	a.stopInFlight = true
	c.counters.Stops++
	c.orders.Stops = append(c.orders.Stops, StopOrder{
		Worker: a.worker.ref(),
		Stop: tanagerport.Stop{
			Task:  a.name(),
			Run:   a.run,
			Epoch: c.epoch,
		},
	})
}

// stopOrphan stops a run that no attempt stands for.
func (c *Cell) stopOrphan(w *worker, row tanagerport.RunningRow) {
	c.logEvent(Note{
		Event:  "stray_run_stop",
		Job:    row.Task.Job,
		Task:   row.Task,
		Run:    row.Run,
		Worker: w.id,
		Reason: "not wanted there",
	})
	c.orders.Stops = append(c.orders.Stops, StopOrder{
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
	a := c.findAttempt(order.Worker, order.Stop.Task, order.Stop.Run)
	if a == nil {
		return
	}
	a.stopInFlight = false
	if err != nil {
		return
	}
	switch answer.Verdict {
	case tanagerport.Accepted, tanagerport.Outdated:
		a.worker.recordClock(answer.Clock, now)
		a.stopAcceptedAt = now
	case tanagerport.Fenced:
		c.handleFenced(order.Stop.Epoch)
	}
}

// resendStops repeats stops that were not answered.
func (c *Cell) resendStops() {
	for _, w := range c.workers {
		for a := range w.attempts {
			if a.phase == stopping && !a.stopInFlight && a.stopAcceptedAt.IsZero() && c.now.Sub(a.stopSentAt) > stopRetryInterval {
				c.sendStop(a)
			}
		}
	}
}
