package tanagerdispatch

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// newAttempt records that a task may run on a worker from now on, and allocates
// its capacity there.
func (c *Cell) newAttempt(s *step, index int, run int64, w *worker) *attempt {
	a := &attempt{
		step:        s,
		index:       index,
		run:         run,
		worker:      w,
		incarnation: w.incarnation,
		startSentAt: c.now,
		phaseSince:  c.now,
		cpuPercent:  fullPercent,
	}
	t := &s.tasks[index]
	t.attempt = a
	t.lastRun = max(t.lastRun, run)
	if s.spec.Gang {
		c.watchAssembly(s, run)
		s.gang.lastRun = max(s.gang.lastRun, run)
	}
	s.activeAttempts++
	s.pendingTasks--
	if s.attemptsByWorker == nil {
		s.attemptsByWorker = make(map[*worker]int)
	}
	s.attemptsByWorker[w]++
	w.allocate(a)
	if earliest := c.now.Add(minPollInterval); w.missedPolls == 0 && w.nextPollAt.After(earliest) {
		w.nextPollAt = earliest
	}
	return a
}

// nextRun returns a run number above all that were used for a task or its gang.
func (c *Cell) nextRun(s *step, index int) int64 {
	last := s.tasks[index].lastRun
	if s.spec.Gang {
		last = s.gang.lastRun
	}
	return max(last, int64(c.epoch-1)*runsPerEpoch) + 1
}

// start starts a task on a worker.
func (c *Cell) start(s *step, index int, run int64, w *worker) {
	a := c.newAttempt(s, index, run, w)
	w.lastStartAt = c.now
	if s.suspect(index) {
		w.probationUntil = c.now.Add(crashWindow)
	}
	c.counters.Starts++
	c.sendStart(a)
	c.logEvent(LogEvent{
		Name:   "run_start",
		Job:    s.job.record.ID,
		Queue:  s.job.record.Queue,
		Task:   a.name(),
		Run:    run,
		Worker: w.id,
		Age:    c.now.Sub(s.job.record.Arrived),

		Incarnation: w.incarnation,
		LeaseEnd:    w.leaseEnd,
	})
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

// HandleStartResponse applies the result of a start: the worker's response, or
// the error of the call.
func (c *Cell) HandleStartResponse(now time.Time, order StartOrder, response tanagerport.Response, err error) {
	c.now = now
	a := c.findAttempt(order.Worker, order.Start.Task, order.Start.Run)
	if a == nil {
		return
	}
	w := a.worker
	if err == nil {
		w.recordResponseClock(order.Worker, response, now)
	}
	switch {
	case err == nil && response.Status == tanagerport.Accepted:
		w.recordAlive(now)
		c.startAccepted(a)
	case err == nil:
		c.startRefused(a, order, response.Status)
	case errorx.IsOfType(err, tanagerport.NotSent):
		c.startNotSent(a)
	case errorx.IsOfType(err, tanagerport.NotReached):
		w.recordSilent(now)
		c.startNotReached(a, err)
	case errorx.IsOfType(err, tanagerport.Refused):
		w.recordSilent(now)
		c.startUnsent(a, err)
	default:
		w.recordSilent(now)
		c.startOutcomeUnknown(a)
	}
}

func (c *Cell) findAttempt(ref tanagerport.WorkerRef, name tanagerwork.TaskName, run int64) *attempt {
	w := c.workers[ref.ID]
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
	c.markStarted(a.step.job)
}

// startRefused applies a status that proves that this order has started nothing.
func (c *Cell) startRefused(a *attempt, order StartOrder, status tanagerport.Status) {
	c.counters.StartsRefused++
	c.logAttempt("start_refused", a, string(status))
	switch status {
	case tanagerport.Fenced:
		c.handleFenced(order.Start.Epoch)
	case tanagerport.TicketRejected:
		a.step.advice.discardTicket(a.worker)
	case tanagerport.InsufficientCapacity:
		a.worker.health.avoidUntil = c.now.Add(capacityBackoff)
	case tanagerport.Unhealthy:
		a.worker.health.avoidUntil = c.now.Add(unhealthyBackoff)
	case tanagerport.OtherIncarnation:
		c.startMisdirected(a, order)
		return
	}
	if a.startsUnanswered > 0 {
		c.stopAttempt(a, "start refused, an earlier one got no response")
		return
	}
	c.discardUnstarted(a, string(status))
}

// startMisdirected handles a start that reached another worker, at the address
// that the addressed incarnation had. If that is still the latest one known, all
// its runs have ended. The refused start is not among them.
func (c *Cell) startMisdirected(a *attempt, order StartOrder) {
	w := a.worker
	if a.startsUnanswered == 0 {
		c.discardUnstarted(a, string(tanagerport.OtherIncarnation))
	}
	if order.Worker.Incarnation == w.incarnation {
		c.loseAttempts(w, "another incarnation responded at its address", true)
		w.synced = false
		return
	}
	if a.startsUnanswered > 0 {
		c.stopAttempt(a, "start misdirected, an earlier one got no response")
	}
}

// startNotReached handles a start that was not sent, as the worker has not answered on a
// new connection. It sends the start again, as after no response, unless an earlier one
// is known to have started the run.
func (c *Cell) startNotReached(a *attempt, err error) {
	switch {
	case a.phase == running:
	case a.phase == starting && c.mayRepeatStart(a):
		c.logAttempt("start_unsent", a, errorKind(err))
		c.sendStart(a)
	default:
		c.startUnsent(a, err)
	}
}

// startUnsent handles a start of which no byte was sent.
func (c *Cell) startUnsent(a *attempt, err error) {
	a.worker.health.avoidUntil = c.now.Add(unreachableBackoff)
	c.logAttempt("start_unsent", a, errorKind(err))
	if a.startsUnanswered > 0 {
		c.stopAttempt(a, "worker unreachable, an earlier start got no response")
		return
	}
	c.discardUnstarted(a, "worker unreachable")
}

// startNotSent handles a start that this scheduler has not sent, as it was paused. It
// says nothing of the worker.
func (c *Cell) startNotSent(a *attempt) {
	c.logAttempt("start_not_sent", a, "scheduler paused")
	if a.startsUnanswered > 0 {
		c.stopAttempt(a, "scheduler paused, an earlier start got no response")
		return
	}
	c.discardUnstarted(a, "scheduler paused")
}

// mayRepeatStart reports whether the start of an attempt may be sent again. A worker
// that has restarted may have crashed because of the start.
func (c *Cell) mayRepeatStart(a *attempt) bool {
	return a.startsSent < maxStartSends && c.hasAuthority() && a.incarnation == a.worker.incarnation &&
		!a.worker.entry.Draining && !a.worker.overcommitted()
}

// startOutcomeUnknown sends the start again, which is idempotent as it names the
// same run. After maxStartSends, or if the worker may no longer be given the run,
// it stops the run.
func (c *Cell) startOutcomeUnknown(a *attempt) {
	if a.phase != starting {
		return
	}
	c.logAttempt("start_unanswered", a, "")
	a.startsUnanswered++
	if c.mayRepeatStart(a) {
		c.sendStart(a)
		return
	}
	a.worker.health.avoidUntil = c.now.Add(unreachableBackoff)
	c.stopAttempt(a, "no response to the start")
}

// discardUnstarted removes an attempt that certainly never ran.
func (c *Cell) discardUnstarted(a *attempt, reason string) {
	s := a.step
	c.removeAttempt(a)
	s.notBefore = c.now.Add(refusedStartDelay)
	if s.spec.Gang && a.run == s.gang.lastRun {
		c.abortGang(s, "start of a gang member refused: "+reason)
	}
}

// refusedStartDelay is the pause before a step is placed again after a refused
// start.
const refusedStartDelay = 20 * time.Millisecond

func (c *Cell) logAttempt(event string, a *attempt, reason string) {
	c.logEvent(LogEvent{
		Name:   event,
		Job:    a.step.job.record.ID,
		Task:   a.name(),
		Run:    a.run,
		Worker: a.worker.id,
		Reason: reason,
		Age:    c.now.Sub(a.phaseSince),
	})
}

// stopAttempt asks the worker to stop an attempt. With a member of a gang's
// current run it stops the others, which could only wait for it.
func (c *Cell) stopAttempt(a *attempt, reason string) {
	s := a.step
	if s.spec.Gang && a.run == s.gang.lastRun && !s.gang.aborting && !s.job.state.Final() {
		c.abortGang(s, reason)
		return
	}
	c.stopSingly(a, reason)
}

// stopSingly asks the worker to stop an attempt. The stop is sent again until the
// worker responds.
func (c *Cell) stopSingly(a *attempt, reason string) {
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
func (c *Cell) stopOrphan(w *worker, active tanagerport.ActiveRun) {
	c.logEvent(LogEvent{
		Name:   "orphan_run_stop",
		Job:    active.Task.Job,
		Task:   active.Task,
		Run:    active.Run,
		Worker: w.id,
		Reason: "orphaned run",
	})
	c.orders.Stops = append(c.orders.Stops, StopOrder{
		Worker: w.ref(),
		Stop: tanagerport.Stop{
			Task:  active.Task,
			Run:   active.Run,
			Epoch: c.epoch,
		},
	})
}

// HandleStopResponse applies the result of a stop. The capacity becomes free when
// the worker reports the end of the run, or when the report to a poll sent after
// the response no longer shows it.
func (c *Cell) HandleStopResponse(now time.Time, order StopOrder, response tanagerport.Response, err error) {
	c.now = now
	a := c.findAttempt(order.Worker, order.Stop.Task, order.Stop.Run)
	if a == nil {
		return
	}
	a.stopInFlight = false
	if err != nil {
		return
	}
	switch response.Status {
	case tanagerport.Accepted, tanagerport.Outdated:
		a.worker.recordResponseClock(order.Worker, response, now)
		a.stopAcceptedAt = now
	case tanagerport.Fenced:
		c.handleFenced(order.Stop.Epoch)
	}
}

// resendStops sends stops again that got no response within stopRetryInterval.
func (c *Cell) resendStops() {
	for _, w := range c.workerList {
		for _, a := range w.attempts {
			if a.phase == stopping && !a.stopInFlight && a.stopAcceptedAt.IsZero() &&
				c.now.Sub(a.stopSentAt) > stopRetryInterval {
				c.sendStop(a)
			}
		}
	}
}
