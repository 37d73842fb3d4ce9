package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// health is what is learned of a worker from the runs that end on it.
type health struct {
	// avoidUntil keeps new work away for a time.
	avoidUntil time.Time
	// slow is the running average of how much longer than their estimates runs
	// take, relative to all workers; 0 before the first run.
	slow float64
	// failed and done are decaying counts of ends.
	failed, done float64
}

const (
	// unhealthyPause keeps work from a worker that says it cannot take it.
	unhealthyPause = time.Second
	// unreachablePause keeps work from a worker that does not answer.
	unreachablePause = 400 * time.Millisecond
	// failingPause keeps work from a worker that fails most of what it starts,
	// as long as the troubles of a worker commonly last.
	failingPause = 4 * time.Second
	// endDecay is what an end leaves of the counts before it: about ten ends
	// count.
	endDecay = 0.9
	// failingShare of failed ends, and failingCount of them, make a worker one
	// that fails; a job that cannot succeed fails on every worker.
	failingShare = 0.6
	failingCount = 2.5
	// inflationWeight is the weight of one end in the cell's average: hundreds
	// of ends count, as estimates are wild.
	inflationWeight = 0.005
	// most and least bound the learned slowness, against wild estimates.
	mostSlowness  = 8
	leastSlowness = 0.7
	// A task without progress for stallTime, and for stallShare of its
	// estimate, stands still.
	stallTime  = 2500 * time.Millisecond
	stallShare = 0.6
)

// slowness is how much longer than its estimate a run takes on the worker.
func (h *health) slowness() float64 {
	if h.slow == 0 {
		return 1
	}
	return h.slow
}

// learn answers workers that fail or slow down all that they run: being idle,
// they would otherwise win each placement.
func (c *Cell) learn(w *worker, a *attempt, how tanagerport.How) {
	h := &w.health
	switch how {
	case tanagerport.EndedDone:
		h.failed *= endDecay
		h.done = h.done*endDecay + 1
		c.learnSpeed(w, a)
		c.counters.Done++
	case tanagerport.EndedFailed:
		h.done *= endDecay
		h.failed = h.failed*endDecay + 1
		c.counters.Failed++
	}
	if h.failed >= failingCount && h.failed/(h.failed+h.done) >= failingShare {
		h.avoidUntil = c.now.Add(failingPause)
		h.failed /= 2
		c.note(Note{
			Event:  "worker_avoided",
			Worker: w.id,
			Reason: "most of its runs fail",
		})
	}
}

// learnSpeed compares a run's duration with its estimate. A gang's members wait
// for each other, so they tell nothing of one worker.
func (c *Cell) learnSpeed(w *worker, a *attempt) {
	if a == nil || a.step.spec.Gang || a.step.spec.Lasting || a.started.IsZero() || a.step.spec.Estimate <= 0 {
		return
	}
	ratio := float64(c.now.Sub(a.started)) / float64(a.step.spec.Estimate)
	c.inflation += inflationWeight * (min(ratio, mostSlowness) - c.inflation)
	ratio = min(max(ratio, leastSlowness), mostSlowness)
	if w.health.slow == 0 {
		w.health.slow = 1
	}
	w.health.slow += learnWeight * (ratio - w.health.slow)
}

// watchProgress stops runs that stand still, so that they can be tried on
// another worker.
func (c *Cell) watchProgress() {
	for _, w := range c.workers {
		for a := range w.attempts {
			if !c.stalled(a) {
				continue
			}
			w.health.avoidUntil = c.now.Add(failingPause)
			c.stop(a, "no progress")
		}
	}
}

func (c *Cell) stalled(a *attempt) bool {
	s := a.step.spec
	if a.phase != running || s.Lasting || s.Gang || a.paced < fullPace || a.progressAt.IsZero() || a.worker.heard.Before(a.progressAt) {
		return false
	}
	stood := a.worker.heard.Sub(a.progressAt)
	return stood > stallTime && stood > time.Duration(stallShare*float64(s.Estimate))
}
