package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// AdmissionHint tells the daemons whether to accept jobs of a queue.
type AdmissionHint struct {
	// Closed queues reject jobs, with RetryAfter as the time until a retry is
	// worthwhile.
	Closed     bool          `json:"closed"`
	RetryAfter time.Duration `json:"retry_after"`
	// Pending is the number of jobs of which no task has started.
	Pending int `json:"pending"`
	// Wait is the expected time in the queue of a job that is accepted now.
	Wait time.Duration `json:"wait"`
}

const (
	// hintInterval is the time between updates of the hints, a small part of the
	// shortest objective.
	hintInterval = 100 * time.Millisecond
	// achievableUtilization is the share of a service's cores that placement
	// fills under load; the rest is lost to fragmentation.
	achievableUtilization = 0.85
	// Below saturatedUtilization no job is rejected: what waits then does not
	// wait for capacity.
	saturatedUtilization = 0.92
	// maxWaitSlackRatio is the part of a queue's slack that jobs may spend
	// waiting for capacity. The rest is left for wrong estimates, failed runs and
	// slow workers.
	maxWaitSlackRatio = 0.4
	// reopenWaitRatio times the maximum wait is the wait at which a rejected job
	// may be submitted again.
	reopenWaitRatio = 0.5
	// minRetryAfter and maxRetryAfter bound RetryAfter: the Retry-After header
	// has a resolution of a second, and callers give up after a few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// AdmissionHints returns the hints by queue and the time at which they were
// computed.
func (c *Cell) AdmissionHints() (map[string]AdmissionHint, time.Time) { return c.hints, c.hintsAt }

// updateHints closes queues whose new jobs would wait too long to meet their
// objective, until the work ahead of them has drained. Under overload the
// accepted jobs are then done in time instead of all jobs being late. Jobs of
// urgent queues wait only for urgent work.
func (c *Cell) updateHints() {
	if c.now.Sub(c.hintsAt) < hintInterval {
		return
	}
	c.hintsAt = c.now
	c.capacityVersion++
	hints := make(map[string]AdmissionHint, len(c.queues))
	urgent, all := c.backlog()
	pending := c.Pending()
	for name, q := range c.queues {
		work := all[q.config.Service]
		if q.config.Priority == 0 {
			work = urgent[q.config.Service]
		}
		hints[name] = c.admissionHint(q, pending[name], work)
	}
	c.hints = hints
}

// admissionHint returns the hint for a queue with work core-seconds ahead of a
// new job.
func (c *Cell) admissionHint(q *queue, pending int, work float64) AdmissionHint {
	h := AdmissionHint{Pending: pending}
	capacity := c.serviceCores(q.config.Service) * achievableUtilization
	if capacity <= 0 {
		return h
	}
	h.Wait = time.Duration(work / capacity * float64(time.Second))
	limit := time.Duration(maxWaitSlackRatio * float64(q.meanSlack))
	if q.meanSlack == 0 || h.Wait <= limit || c.utilization(q.config.Service) < saturatedUtilization {
		return h
	}
	h.Closed = true
	h.RetryAfter = min(max(h.Wait-time.Duration(reopenWaitRatio*float64(limit)), minRetryAfter), maxRetryAfter)
	return h
}

// backlog returns the core-seconds of pending tasks that can still be on time, by
// service: for urgent queues, and in total.
func (c *Cell) backlog() (urgent, all map[string]float64) {
	urgent = make(map[string]float64)
	all = make(map[string]float64)
	for _, j := range c.openJobs {
		work := c.pendingCoreSeconds(j)
		service := j.queue.config.Service
		all[service] += work
		if j.queue.config.Priority == 0 {
			urgent[service] += work
		}
	}
	return urgent, all
}

// pendingCoreSeconds returns the core-seconds of a job's pending tasks, or 0 if
// the job can no longer be on time, as it then runs after those that can.
func (c *Cell) pendingCoreSeconds(j *job) float64 {
	work := 0.0
	for _, s := range j.steps {
		if s.pendingTasks == 0 || s.spec.LongRunning || s.spec.BestEffort {
			continue
		}
		if s.unmetDependencies == 0 && c.rank(s).tier > tierOnTime {
			return 0
		}
		work += float64(s.pendingTasks) * taskCoreSeconds(s.spec)
	}
	return work * c.estimateInflation
}

// taskCoreSeconds returns the core-seconds of a task according to its estimate.
func taskCoreSeconds(s *tanagerwork.Step) float64 {
	return float64(s.Resources.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// utilization returns the allocated share of a service's cores.
func (c *Cell) utilization(service string) float64 {
	used := 0.0
	for _, w := range c.workers {
		if w.entry.Service == service && c.acceptsWork(w) {
			used += float64(w.entry.Capacity.MilliCPU-w.free.MilliCPU) / 1000
		}
	}
	return used / max(c.serviceCores(service), 1)
}

// serviceCores returns the cores of the workers of a service that may be given
// new work.
func (c *Cell) serviceCores(service string) float64 {
	total := int64(0)
	for _, w := range c.workers {
		if w.entry.Service == service && c.acceptsWork(w) {
			total += w.entry.Capacity.MilliCPU
		}
	}
	return float64(total) / 1000
}
