package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// health is what is learned about a worker from the runs that end on it.
type health struct {
	// avoidUntil is when the worker may be given new work again.
	avoidUntil time.Time
	// slowdown is the moving average of the ratio of durations to estimates on
	// this worker; 0 before the first run.
	slowdown float64
	// failedEnds and doneEnds are exponentially decaying counts of ended runs.
	failedEnds, doneEnds float64
}

const (
	// unhealthyBackoff is how long a worker is avoided after it has reported that
	// it is unhealthy.
	unhealthyBackoff = time.Second
	// unreachableBackoff is how long a worker is avoided after it did not
	// respond.
	unreachableBackoff = 400 * time.Millisecond
	// capacityBackoff is how long a worker is avoided after it has refused a start
	// for want of capacity, a part of the time until its entry shows a change.
	capacityBackoff = 300 * time.Millisecond
	// failingBackoff is how long a worker is avoided on which most runs fail or a
	// run makes no progress, about as long as such faults commonly last.
	failingBackoff = 4 * time.Second
	// endDecay is the factor by which each ended run reduces the counts before
	// it, so that about ten ends count.
	endDecay = 0.9
	// A worker is avoided when failedEnds is at least minFailedEnds and the share
	// of failed ends at least failingRatio. Both are needed, as a job that cannot
	// succeed fails on every worker.
	failingRatio  = 0.6
	minFailedEnds = 2.5
	// inflationWeight is the weight of one end in estimateInflation. Hundreds of
	// ends count, as the errors of estimates vary widely.
	inflationWeight = 0.005
	// maxSlowdown and minSlowdown bound the learned slowdown, as estimates can be
	// far off.
	maxSlowdown = 8
	minSlowdown = 0.7
	// A task is stalled when it makes no progress for more than minStallTime and
	// for more than minStallRatio of its estimate.
	minStallTime  = 2500 * time.Millisecond
	minStallRatio = 0.6
)

// slowdownFactor returns the expected ratio of a run's duration to its estimate
// on the worker.
func (h *health) slowdownFactor() float64 {
	if h.slowdown == 0 {
		return 1
	}
	return h.slowdown
}

// recordEnd updates a worker's statistics with the end of a run, and avoids the
// worker if most of its runs fail. Workers that fail their runs quickly have free
// capacity and would otherwise be preferred for placement.
func (c *Cell) recordEnd(w *worker, a *attempt, reason tanagerport.EndReason) {
	h := &w.health
	switch reason {
	case tanagerport.EndedDone:
		h.failedEnds *= endDecay
		h.doneEnds = h.doneEnds*endDecay + 1
		c.updateSlowdown(w, a)
		c.counters.Done++
	case tanagerport.EndedFailed:
		h.doneEnds *= endDecay
		h.failedEnds = h.failedEnds*endDecay + 1
		c.counters.Failed++
	}
	if h.failedEnds >= minFailedEnds && h.failedEnds/(h.failedEnds+h.doneEnds) >= failingRatio {
		h.avoidUntil = c.now.Add(failingBackoff)
		h.failedEnds /= 2
		c.logEvent(LogEvent{
			Name:   "worker_avoided",
			Worker: w.id,
			Reason: "most of its runs fail",
		})
	}
}

// updateSlowdown compares the duration of a run with its estimate. Members of
// gangs are ignored: they wait for each other, so their durations say nothing
// about one worker.
func (c *Cell) updateSlowdown(w *worker, a *attempt) {
	if a == nil || a.step.spec.Gang || a.step.spec.LongRunning || a.startedAt.IsZero() || a.step.spec.Estimate <= 0 {
		return
	}
	ratio := float64(c.now.Sub(a.startedAt)) / float64(a.step.spec.Estimate)
	c.estimateInflation += inflationWeight * (min(ratio, maxSlowdown) - c.estimateInflation)
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	if w.health.slowdown == 0 {
		w.health.slowdown = 1
	}
	w.health.slowdown += averageWeight * (ratio - w.health.slowdown)
}

// stopStalledAttempts stops runs without progress, so that they are tried on
// another worker.
func (c *Cell) stopStalledAttempts() {
	for _, w := range c.workerList {
		for _, a := range w.attempts {
			if !c.stalled(a) {
				continue
			}
			w.health.avoidUntil = c.now.Add(failingBackoff)
			c.stopAttempt(a, "no progress")
		}
	}
}

func (c *Cell) stalled(a *attempt) bool {
	s := a.step.spec
	if a.phase != running || s.LongRunning || s.Gang ||
		a.cpuPercent < fullPercent || a.progressAt.IsZero() || a.worker.lastResponse.Before(a.progressAt) {
		return false
	}
	idle := a.worker.lastResponse.Sub(a.progressAt)
	return idle > minStallTime && idle > time.Duration(minStallRatio*float64(s.Estimate))
}
