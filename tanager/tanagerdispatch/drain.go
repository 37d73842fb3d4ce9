package tanagerdispatch

import "time"

// drainStopMargin is how long before a worker terminates its runs are stopped, in
// addition to the time that a stop takes. It covers the transfer of the order and
// the report of the end.
const drainStopMargin = 500 * time.Millisecond

// stopOnDrainingWorkers stops runs that would not end before their worker
// terminates. It does so while the worker can still report the end and the
// checkpoint, so that the task can be restarted elsewhere at once.
func (c *Cell) stopOnDrainingWorkers() {
	for _, w := range c.workerList {
		if !w.entry.Draining || len(w.attempts) == 0 {
			continue
		}
		left := w.drainDeadline.Sub(c.now)
		if left > c.settings.StopGrace+drainStopMargin {
			continue
		}
		for _, a := range w.attempts {
			if c.remainingTime(a) > left {
				c.stopAttempt(a, "worker terminates")
			}
		}
	}
}
