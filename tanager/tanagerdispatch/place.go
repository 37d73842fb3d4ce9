package tanagerdispatch

import (
	"slices"
	"time"
)

// The position weights are the extra time, as a share of the estimate, that is
// accepted for a single task to keep it away from the end of the fleet where
// gangs find idle workers. Urgent tasks have less time to spare.
const (
	positionWeight       = 0.5
	urgentPositionWeight = 0.3
)

// placeStep starts as many tasks of a step as fit and reports whether none is
// left.
func (c *Cell) placeStep(s *step) bool {
	if s.blockedVersion == c.capacityVersion || !s.advice.allowsStart(c.now, s.job.queue) {
		return false
	}
	var placed bool
	if s.spec.Gang {
		placed = c.placeGang(s)
	} else {
		placed = c.placeTasks(s)
	}
	if !placed {
		s.blockedVersion = c.capacityVersion
	}
	return placed
}

func (c *Cell) placeTasks(s *step) bool {
	placed := true
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.attempt != nil {
			continue
		}
		var w *worker
		if s.suspect(i) {
			if !s.awaitsCrashVerdict(i) {
				w = c.isolatedWorker(s)
			}
			if w == nil {
				placed = false
				continue
			}
		} else if w = c.bestWorker(s); w == nil {
			return false
		}
		c.start(s, i, c.nextRun(s, i), w)
		c.recordStart(s, 1)
	}
	return placed
}

// recordStart records the start of tasks of a step for admission.
func (c *Cell) recordStart(s *step, tasks int) {
	if s.spec.LongRunning || s.spec.BestEffort {
		return
	}
	c.admission.RecordStart(c.now, s.job.class(), float64(tasks)*taskCoreSeconds(s.spec))
}

// bestWorker returns the worker on which a task of the step is expected to end
// soonest, preferring workers away from those where gangs are placed. It returns
// nil if there is none.
func (c *Cell) bestWorker(s *step) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.candidateWorkers(s) {
		if !c.canPlace(w, s) {
			continue
		}
		score := c.score(w, s)
		if best == nil || score < bestScore || score == bestScore && w.id < best.id {
			best = w
			bestScore = score
		}
	}
	return best
}

// canPlace reports whether a single task of a step may be started on a worker now.
func (c *Cell) canPlace(w *worker, s *step) bool {
	return s.spec.Allocation().FitsIn(w.free) && c.feasible(w, s) && c.remainingSpread(s, w) >= 1 &&
		!c.blockedByReservation(w, s)
}

// score rates a worker for a single task; lower is better.
func (c *Cell) score(w *worker, s *step) float64 {
	if s.rank.urgent {
		return c.timeFactor(w, s) + urgentPositionWeight*w.fleetPosition
	}
	return c.timeFactor(w, s) + positionWeight*w.fleetPosition
}

// timeFactor returns the expected ratio of a task's duration to its estimate on a
// worker.
func (c *Cell) timeFactor(w *worker, s *step) float64 {
	factor := w.health.slowdownFactor()
	if s.spec.DataRack != "" && s.spec.DataRack != w.entry.Rack {
		factor *= c.settings.RemoteFactor
	}
	return factor
}

// feasible reports whether a step's tasks may be started on a worker now, apart
// from capacity.
func (c *Cell) feasible(w *worker, s *step) bool {
	if !w.usable || c.now.Before(w.probationUntil) || !c.matchesConstraints(w, s) {
		return false
	}
	return s.job.queue.config.Advice == nil || s.advice.ticket(w, c.now) != ""
}

// matchesConstraints reports whether a worker has the service and the label that
// a step requires.
func (c *Cell) matchesConstraints(w *worker, s *step) bool {
	return w.entry.Service == s.job.queue.config.Service &&
		(s.spec.Label == "" || slices.Contains(w.entry.Labels, s.spec.Label))
}

// candidateWorkers returns the workers that a step may use as far as is known:
// those that advice has approved, or all usable ones.
func (c *Cell) candidateWorkers(s *step) []*worker {
	if s.job.queue.config.Advice != nil {
		return s.advice.approved
	}
	return c.usableWorkers
}

// acceptsWork reports whether a worker may be given new work.
func (c *Cell) acceptsWork(w *worker) bool {
	return w.listed && w.inRoster && !w.leavingRoster && w.synced && !w.entry.Draining && w.cordonedAt.IsZero() &&
		c.now.Sub(w.lastResponse) < silenceTimeout+c.idlePollAllowance(w) && !c.now.Before(w.health.avoidUntil)
}

// idlePollAllowance returns by how much longer a worker may be silent because it
// is idle and polled less often.
func (c *Cell) idlePollAllowance(w *worker) time.Duration {
	if len(w.attempts) > 0 {
		return 0
	}
	return c.idlePollPause
}

// remainingSpread returns how many more tasks of a step a worker may run.
func (c *Cell) remainingSpread(s *step, w *worker) int {
	if s.spec.SpreadLimit == 0 {
		return len(s.tasks)
	}
	return s.spec.SpreadLimit - s.attemptsByWorker[w]
}

// taskCapacity returns how many more tasks of a step fit on a worker.
func (c *Cell) taskCapacity(s *step, w *worker) int {
	return s.spec.Allocation().FitCount(w.free, c.remainingSpread(s, w))
}
