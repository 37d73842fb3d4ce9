package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// Hint tells the daemons whether jobs of a queue are taken.
type Hint struct {
	// Closed queues turn jobs away, to come back after RetryAfter.
	Closed     bool          `json:"closed"`
	RetryAfter time.Duration `json:"retry_after"`
	// Pending is the number of jobs of which nothing has started.
	Pending int `json:"pending"`
	// Wait is how long a job that is taken now is expected to wait.
	Wait time.Duration `json:"wait"`
}

const (
	// hintInterval spaces the hints: a small part of the shortest objective.
	hintInterval = 100 * time.Millisecond
	// achievableUtilization of the fleet's capacity is what placement fills under load;
	// the rest is lost to sizes that do not fit together.
	achievableUtilization = 0.85
	// Below saturatedUtilization no job is turned away: what waits then waits for other
	// things than capacity.
	saturatedUtilization = 0.92
	// maxWaitSlackRatio of a queue's slack may be spent waiting for room; the rest is
	// for wrong estimates, failed runs and slow workers.
	maxWaitSlackRatio = 0.4
	// reopenWaitRatio of that wait must be reached before a turned-away job comes
	// back.
	reopenWaitRatio = 0.5
	// minRetryAfter and mostRetry bound the time after which callers come back:
	// the header counts whole seconds, and a caller gives up after some tries.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// Hints returns the hints by queue and when they were made.
func (c *Cell) Hints() (map[string]Hint, time.Time) { return c.hints, c.hintsAt }

// updateHints answers floods: a queue whose new jobs would wait too long to meet
// their objective is closed until the work before them has drained, so that what
// is taken is done in time instead of everything being late. Urgent queues wait
// only for urgent work.
func (c *Cell) updateHints() {
	if c.now.Sub(c.hintsAt) < hintInterval {
		return
	}
	c.hintsAt = c.now
	c.capacityVersion++
	hints := make(map[string]Hint, len(c.queues))
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

func (c *Cell) admissionHint(q *queue, pending int, work float64) Hint {
	h := Hint{Pending: pending}
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

// backlog returns the work in core-seconds that waits and can still be on time,
// by service: that of urgent queues, and all.
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

// pendingCoreSeconds returns the core-seconds of a job's tasks that wait, 0 for a job
// that cannot be on time any more, since it runs after those that can.
func (c *Cell) pendingCoreSeconds(j *job) float64 {
	work := 0.0
	for _, s := range j.steps {
		if s.pendingTasks == 0 || s.spec.Lasting || s.spec.Fills {
			continue
		}
		if s.unmetDependencies == 0 && c.rank(s).tier > tierOnTime {
			return 0
		}
		work += float64(s.pendingTasks) * taskCoreSeconds(s.spec)
	}
	return work * c.estimateInflation
}

// taskCoreSeconds returns the core-seconds of a task by its estimate.
func taskCoreSeconds(s *tanagerwork.Step) float64 {
	return float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// utilization returns the share of a service's usable capacity that is taken.
func (c *Cell) utilization(service string) float64 {
	taken := 0.0
	for _, w := range c.workers {
		if w.entry.Service == service && c.acceptsWork(w) {
			taken += float64(w.entry.Capacity.MilliCPU-w.free.MilliCPU) / 1000
		}
	}
	return taken / max(c.serviceCores(service), 1)
}

// serviceCores returns the cores of the workers of a service that are in use.
func (c *Cell) serviceCores(service string) float64 {
	total := int64(0)
	for _, w := range c.workers {
		if w.entry.Service == service && c.acceptsWork(w) {
			total += w.entry.Capacity.MilliCPU
		}
	}
	return float64(total) / 1000
}
