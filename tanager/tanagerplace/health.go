package tanagerplace

import "time"

// maxIsolationDoublings caps the isolation of a worker at 2^6 times the first.
const maxIsolationDoublings = 6

// health tracks the failures and the isolation of a worker.
type health struct {
	failedJobs    map[string]struct{}
	isolations    int
	isolatedUntil time.Time
}

func (h *health) acceptsTasks(now time.Time) bool { return !now.Before(h.isolatedUntil) }

// RecordTaskEnd records the end of a task and reports whether the worker is
// isolated as a result. Several failures of one job count once, so that a job
// that fails on every worker isolates none. A success resets the count and the
// length of the next isolation.
func (f *Fleet) RecordTaskEnd(worker, job string, failed bool, now time.Time) bool {
	w := f.workers[worker]
	if w == nil {
		return false
	}
	h := &w.health
	if !failed {
		h.failedJobs = nil
		h.isolations = 0
		return false
	}
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]struct{})
	}
	h.failedJobs[job] = struct{}{}
	if len(h.failedJobs) < f.settings.FailedJobsToIsolate {
		return false
	}
	h.isolatedUntil = now.Add(f.settings.InitialIsolation << min(h.isolations, maxIsolationDoublings))
	h.isolations++
	h.failedJobs = nil
	return true
}

// Isolated reports whether a worker accepts no tasks because of its failures.
func (f *Fleet) Isolated(worker string, now time.Time) bool {
	w := f.workers[worker]
	return w != nil && !w.health.acceptsTasks(now)
}
