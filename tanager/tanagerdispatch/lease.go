package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// clockNow estimates the worker's clock, never ahead of it by more than the
// drift.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// clockAtLeast returns a time that the worker's clock has certainly reached.
func (w *worker) clockAtLeast(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockDrift))
}

func (w *worker) noteClock(clock time.Duration, at time.Time) {
	if clock > 0 && !at.Before(w.clockAt) {
		w.clock = clock
		w.clockAt = at
	}
}

// extend returns the end of a new lease and remembers that it was sent.
func (w *worker) extend(now time.Time, lease time.Duration) time.Duration {
	end := w.clockNow(now) + lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// reborn applies that another incarnation has taken a worker's place. Nothing of
// the former one runs any more, but orders that were sent before this was known
// may have reached the new one: its first report tells which attempts are left.
func (c *Cell) reborn(w *worker, life int64, reason string) {
	c.note(Note{
		Event:  "worker_reborn",
		Worker: w.id,
		Reason: reason,
		Age:    c.now.Sub(w.heard),
	})
	w.life = life
	w.synced = false
	w.giveUpAt = c.now.Add(2*c.settings.Lease + lapseSlack)
	w.cordonedAt = time.Time{}
	w.setStrays(tanagerwork.Resources{})
	w.clock, w.leaseEnd = 0, 0
	w.seen, w.acknowledged = 0, 0
	w.acks = nil
	w.polling = false
	w.pollDue = c.now
	delete(c.unaccounted, w.id)
}

// loseRuns removes all attempts of a worker whose runs have certainly ended.
func (c *Cell) loseRuns(w *worker, reason string) {
	for a := range w.attempts {
		c.counters.Lost++
		c.note(Note{
			Event:  "run_lost",
			Job:    a.step.job.record.ID,
			Task:   a.name(),
			Run:    a.run,
			Worker: w.id,
			Reason: reason,
		})
		c.lose(a)
	}
}

// lose removes an attempt whose run has certainly ended without being listed.
func (c *Cell) lose(a *attempt) {
	s := a.step
	c.endAttempt(a)
	if s.spec.Gang && a.run == s.gang.run {
		c.breakGang(s, "member lost")
	}
}

// expireLeases removes what ran on workers whose leases have certainly run out,
// and forgets workers that have left.
func (c *Cell) expireLeases() {
	for id, w := range c.workers {
		if c.lapsed(w) && !c.pausesIdle(w) {
			c.loseRuns(w, "lease ran out")
			w.synced = false
			w.giveUpAt = time.Time{}
		}
		_, awaited := c.unaccounted[id]
		if !w.listed && len(w.attempts) == 0 && !awaited && c.now.Sub(w.heard) > forgetAfter {
			delete(c.workers, id)
		}
	}
}

// pausesIdle reports whether a worker needs no lease: it runs nothing, and is not
// asked for a time because of that. A start brings its own lease.
func (c *Cell) pausesIdle(w *worker) bool {
	return w.synced && w.misses == 0 && len(w.attempts) == 0 && c.now.Sub(w.heard) < silentAfter+c.idlePause
}

// lapsed reports whether a worker's lease has certainly run out. One that has
// begun a new life and not answered since holds no lease of this scheduler, other
// than from orders that were on their way.
func (c *Cell) lapsed(w *worker) bool {
	if w.synced {
		return w.clockAtLeast(c.now) > w.leaseEnd+lapseSlack
	}
	return !w.giveUpAt.IsZero() && c.now.After(w.giveUpAt)
}

// leaseOver reports whether a worker certainly holds no lease of this scheduler.
func (c *Cell) leaseOver(w *worker) bool {
	return !w.synced && w.giveUpAt.IsZero() || c.lapsed(w)
}

// forgetAfter is how long a worker that has left the list keeps its row, longer
// than the platform's list may lag.
const forgetAfter = 10 * time.Second
