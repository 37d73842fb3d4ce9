package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// estimatedClock returns the expected value of the worker's clock. It can be
// ahead of that clock by at most the drift.
func (w *worker) estimatedClock(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// minClock returns a lower bound of the worker's clock.
func (w *worker) minClock(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockDrift))
}

// recordClock stores a value of the worker's clock that was received at the given
// time. Values older than the stored one are ignored.
func (w *worker) recordClock(clock time.Duration, at time.Time) {
	if clock > 0 && !at.Before(w.clockAt) {
		w.clock = clock
		w.clockAt = at
	}
}

// recordResponseClock stores the clock of a response to an order, unless the order was
// meant for a former incarnation, whose clock has nothing to do with the present one.
func (w *worker) recordResponseClock(to tanagerport.WorkerRef, r tanagerport.Response, at time.Time) {
	if to.Incarnation == w.incarnation && r.Status != tanagerport.OtherIncarnation {
		w.recordClock(r.Clock, at)
	}
}

// extendLease returns the deadline of a new lease on the worker's clock, and
// includes it in the latest deadline that was sent.
func (w *worker) extendLease(now time.Time, lease time.Duration) time.Duration {
	end := w.estimatedClock(now) + lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// replaceIncarnation resets a worker that has restarted. No run of its former
// incarnation continues, but orders that were in flight may have reached the new
// one, so the attempts are kept until its first report. A predecessor may have
// started tasks on the new incarnation too.
func (c *Cell) replaceIncarnation(w *worker, incarnation int64, reason string) {
	c.suspectAttempts(w, true)
	c.logEvent(LogEvent{
		Name:   "worker_reborn",
		Worker: w.id,
		Reason: reason,
		Age:    c.now.Sub(w.lastResponse),

		Incarnation: incarnation,
	})
	if w.ended == nil {
		w.ended = make(map[int64]bool)
	}
	w.ended[w.incarnation] = true
	w.replacedAt = c.now
	w.incarnation = incarnation
	w.synced = false
	w.attemptsExpireAt = c.now.Add(2*c.settings.Lease + leaseExpiryMargin)
	w.cordonedAt = time.Time{}
	w.orphans = nil
	w.setOrphanUsage(tanagerwork.Resources{})
	w.lastStartAt, w.probationUntil = time.Time{}, time.Time{}
	w.clock, w.leaseEnd = 0, 0
	w.lastAppliedEnd, w.acknowledgedEnd = 0, 0
	w.pendingAcks = nil
	w.reportedIdle = false
	w.pollInFlight = false
	w.nextPollAt = c.now
	if c.now.Before(c.predecessorEndsAt) {
		// The new incarnation does not refuse the predecessor's epoch yet.
		c.awaitPredecessorLease(w.id)
	}
}

// loseAttempts removes all attempts and orphans of a worker after their runs have
// certainly ended, because the worker has restarted or its lease has expired.
func (c *Cell) loseAttempts(w *worker, reason string, restarted bool) {
	c.suspectAttempts(w, restarted)
	for _, a := range slices.Clone(w.attempts) {
		c.counters.Lost++
		c.logEvent(LogEvent{
			Name:   "run_lost",
			Job:    a.step.job.record.ID,
			Task:   a.name(),
			Run:    a.run,
			Worker: w.id,
			Reason: reason,

			Incarnation: a.incarnation,
			Clock:       w.estimatedClock(c.now),
			LeaseEnd:    w.leaseEnd,
		})
		c.loseAttempt(a)
	}
	w.orphans = nil
	w.setOrphanUsage(tanagerwork.Resources{})
}

// loseAttempt removes an attempt whose run has certainly ended without a reported
// end.
func (c *Cell) loseAttempt(a *attempt) {
	s := a.step
	c.removeAttempt(a)
	c.recordCrash(a)
	if s.spec.Gang && a.run == s.gang.lastRun {
		c.abortGang(s, "gang member lost")
	}
}

// expireLeases removes the attempts of workers whose leases have certainly
// expired. It deletes unlisted workers that run nothing and have not responded
// for unlistedRetention.
func (c *Cell) expireLeases() {
	for _, w := range slices.Clone(c.workerList) {
		if c.leaseExpired(w) && !c.idleWithoutLease(w) {
			c.loseAttempts(w, "lease expired", false)
			w.synced = false
			w.attemptsExpireAt = time.Time{}
		}
		_, inherited := c.predecessorLeases[w.id]
		if !w.listed && len(w.attempts) == 0 && !inherited && c.now.Sub(w.lastResponse) > unlistedRetention {
			c.removeWorker(w)
		}
	}
}

// idleWithoutLease reports whether a worker needs no lease because it is idle and
// therefore polled at longer intervals. A start brings its own lease.
func (c *Cell) idleWithoutLease(w *worker) bool {
	return w.synced && w.missedPolls == 0 && len(w.attempts) == 0 &&
		c.now.Sub(w.lastResponse) < silenceTimeout+c.idlePollPause
}

// leaseExpired reports whether a worker's lease has certainly expired. A new
// incarnation that has not responded holds no lease of this scheduler, except
// through orders that were in flight when it restarted.
func (c *Cell) leaseExpired(w *worker) bool {
	if w.synced {
		return w.minClock(c.now) > w.leaseEnd+leaseExpiryMargin
	}
	return !w.attemptsExpireAt.IsZero() && c.now.After(w.attemptsExpireAt)
}

// holdsNoLease reports whether a worker certainly holds no lease of this
// scheduler.
func (c *Cell) holdsNoLease(w *worker) bool {
	return !w.synced && w.attemptsExpireAt.IsZero() || c.leaseExpired(w)
}

// unlistedRetention is how long a worker that is no longer listed is kept. It
// exceeds the lag of the platform's list.
const unlistedRetention = 10 * time.Second
