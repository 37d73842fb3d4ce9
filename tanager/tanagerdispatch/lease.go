package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// estimatedClock estimates the worker's clock, never ahead of it by more than the
// drift.
func (w *worker) estimatedClock(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// minClock returns a time that the worker's clock has certainly reached.
func (w *worker) minClock(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockDrift))
}

func (w *worker) recordClock(clock time.Duration, at time.Time) {
	if clock > 0 && !at.Before(w.clockAt) {
		w.clock = clock
		w.clockAt = at
	}
}

// extendLease returns the end of a new lease and remembers that it was sent.
func (w *worker) extendLease(now time.Time, lease time.Duration) time.Duration {
	end := w.estimatedClock(now) + lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// replaceIncarnation applies that another incarnation has taken a worker's place. Nothing of
// the former one runs any more, but orders that were sent before this was known
// may have reached the new one: its first report tells which attempts are left.
func (c *Cell) replaceIncarnation(w *worker, life int64, reason string) {
	c.logEvent(Note{
		Event:  "worker_reborn",
		Worker: w.id,
		Reason: reason,
		Age:    c.now.Sub(w.lastResponse),
	})
	w.incarnation = life
	w.synced = false
	w.attemptsExpireAt = c.now.Add(2*c.settings.Lease + leaseExpiryMargin)
	w.cordonedAt = time.Time{}
	w.setOrphanUsage(tanagerwork.Resources{})
	w.clock, w.leaseEnd = 0, 0
	w.lastAppliedEnd, w.acknowledgedEnd = 0, 0
	w.pendingAcks = nil
	w.pollInFlight = false
	w.nextPollAt = c.now
	delete(c.predecessorLeases, w.id)
}

// loseAttempts removes all attempts of a worker whose runs have certainly ended.
func (c *Cell) loseAttempts(w *worker, reason string) {
	for a := range w.attempts {
		c.counters.Lost++
		c.logEvent(Note{
			Event:  "run_lost",
			Job:    a.step.job.record.ID,
			Task:   a.name(),
			Run:    a.run,
			Worker: w.id,
			Reason: reason,
		})
		c.loseAttempt(a)
	}
}

// loseAttempt removes an attempt whose run has certainly ended without being listed.
func (c *Cell) loseAttempt(a *attempt) {
	s := a.step
	c.removeAttempt(a)
	if s.spec.Gang && a.run == s.gang.lastRun {
		c.abortGang(s, "member lost")
	}
}

// expireLeases removes what ran on workers whose leases have certainly run out,
// and forgets workers that have left.
func (c *Cell) expireLeases() {
	for id, w := range c.workers {
		if c.leaseExpired(w) && !c.idleWithoutLease(w) {
			c.loseAttempts(w, "lease ran out")
			w.synced = false
			w.attemptsExpireAt = time.Time{}
		}
		_, awaited := c.predecessorLeases[id]
		if !w.listed && len(w.attempts) == 0 && !awaited && c.now.Sub(w.lastResponse) > unlistedRetention {
			delete(c.workers, id)
		}
	}
}

// idleWithoutLease reports whether a worker needs no lease: it runs nothing, and is not
// asked for a time because of that. A start brings its own lease.
func (c *Cell) idleWithoutLease(w *worker) bool {
	return w.synced && w.missedPolls == 0 && len(w.attempts) == 0 && c.now.Sub(w.lastResponse) < silenceTimeout+c.idlePollPause
}

// leaseExpired reports whether a worker's lease has certainly run out. One that has
// begun a new life and not answered since holds no lease of this scheduler, other
// than from orders that were on their way.
func (c *Cell) leaseExpired(w *worker) bool {
	if w.synced {
		return w.minClock(c.now) > w.leaseEnd+leaseExpiryMargin
	}
	return !w.attemptsExpireAt.IsZero() && c.now.After(w.attemptsExpireAt)
}

// holdsNoLease reports whether a worker certainly holds no lease of this scheduler.
func (c *Cell) holdsNoLease(w *worker) bool {
	return !w.synced && w.attemptsExpireAt.IsZero() || c.leaseExpired(w)
}

// unlistedRetention is how long a worker that has left the list keeps its row, longer
// than the platform's list may lag.
const unlistedRetention = 10 * time.Second
