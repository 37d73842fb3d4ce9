package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// health is what is learned of a worker from the runs that end on it.
type health struct {
	// avoidUntil keeps new work away for a time.
	avoidUntil time.Time
	// slowdown is the running average of how much longer than their estimates runs
	// take, relative to all workers; 0 before the first run.
	slowdown float64
	// failedEnds and doneEnds are decaying counts of ends.
	failedEnds, doneEnds float64
}

const (
	// unhealthyBackoff keeps work from a worker that says it cannot take it.
	unhealthyBackoff = time.Second
	// unreachableBackoff keeps work from a worker that does not answer.
	unreachableBackoff = 400 * time.Millisecond
	// failingBackoff keeps work from a worker that fails most of what it starts,
	// as long as the troubles of a worker commonly last.
	failingBackoff = 4 * time.Second
	// endDecay is what an end leaves of the counts before it: about ten ends
	// count.
	endDecay = 0.9
	// failingRatio of failed ends, and failingCount of them, make a worker one
	// that fails; a job that cannot succeed fails on every worker.
	failingRatio  = 0.6
	minFailedEnds = 2.5
	// inflationWeight is the weight of one end in the cell's average: hundreds
	// of ends count, as estimates are wild.
	inflationWeight = 0.005
	// most and least bound the learned slowness, against wild estimates.
	maxSlowdown = 8
	minSlowdown = 0.7
	// A task without progress for minStallTime, and for stallShare of its
	// estimate, stands still.
	minStallTime  = 2500 * time.Millisecond
	minStallRatio = 0.6
)

// slowdownFactor is how much longer than its estimate a run takes on the worker.
func (h *health) slowdownFactor() float64 {
	if h.slowdown == 0 {
		return 1
	}
	return h.slowdown
}

// recordEnd answers workers that fail or slow down all that they run: being idle,
// they would otherwise win each placement.
func (c *Cell) recordEnd(w *worker, a *attempt, how tanagerport.How) {
	h := &w.health
	switch how {
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
		c.logEvent(Note{
			Event:  "worker_avoided",
			Worker: w.id,
			Reason: "most of its runs fail",
		})
	}
}

// updateSlowdown compares a run's duration with its estimate. A gang's members wait
// for each other, so they tell nothing of one worker.
func (c *Cell) updateSlowdown(w *worker, a *attempt) {
	if a == nil || a.step.spec.Gang || a.step.spec.Lasting || a.startedAt.IsZero() || a.step.spec.Estimate <= 0 {
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

// stopStalledAttempts stops runs that stand still, so that they can be tried on
// another worker.
func (c *Cell) stopStalledAttempts() {
	for _, w := range c.workers {
		for a := range w.attempts {
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
	if a.phase != running || s.Lasting || s.Gang || a.cpuPercent < fullPercent || a.progressAt.IsZero() || a.worker.lastResponse.Before(a.progressAt) {
		return false
	}
	stood := a.worker.lastResponse.Sub(a.progressAt)
	return stood > minStallTime && stood > time.Duration(minStallRatio*float64(s.Estimate))
}
