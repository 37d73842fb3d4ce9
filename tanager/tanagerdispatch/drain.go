package tanagerdispatch

import "time"

// drainStopMargin is the time before a worker leaves at which its runs are
// stopped, beside the time that a stop takes: the order's way and the listing of
// the end.
const drainStopMargin = 500 * time.Millisecond

// stopOnDrainingWorkers answers workers that are taken away: what would not end in time is
// stopped while the worker can still list the end and its checkpoint, so that
// the task starts elsewhere at once.
func (c *Cell) stopOnDrainingWorkers() {
	for _, w := range c.workers {
		if !w.entry.Draining || len(w.attempts) == 0 {
			continue
		}
		left := w.drainDeadline.Sub(c.now)
		if left > c.settings.StopGrace+drainStopMargin {
			continue
		}
		for a := range w.attempts {
			if c.remainingTime(a) > left {
				c.stopAttempt(a, "worker leaves")
			}
		}
	}
}
