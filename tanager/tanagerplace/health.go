package tanagerplace

import "time"

// isolationDoublings bounds the growth of a worker's isolation.
const isolationDoublings = 6

// health is what is known of a worker's failures.
type health struct {
	failedJobs map[string]struct{}
	isolated   int
	until      time.Time
}

func (h *health) accepts(now time.Time) bool { return !now.Before(h.until) }

// Ended notes the end of a task. It reports whether the worker was isolated for
// it. Failures of one job count once, so that a job that fails everywhere
// isolates nobody.
func (f *Fleet) Ended(worker, job string, failed bool, now time.Time) bool {
	row := f.workers[worker]
	if row == nil {
		return false
	}
	h := &row.health
	if !failed {
		h.failedJobs = nil
		h.isolated = 0
		return false
	}
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]struct{})
	}
	h.failedJobs[job] = struct{}{}
	if len(h.failedJobs) < f.settings.FailuresToIsolate {
		return false
	}
	h.until = now.Add(f.settings.Isolation << min(h.isolated, isolationDoublings))
	h.isolated++
	h.failedJobs = nil
	return true
}

// Isolated reports whether a worker takes no tasks because of its failures.
func (f *Fleet) Isolated(worker string, now time.Time) bool {
	row := f.workers[worker]
	return row != nil && !row.health.accepts(now)
}
