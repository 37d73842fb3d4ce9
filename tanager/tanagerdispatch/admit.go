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
	// usableShare of the fleet's capacity is what placement fills under load;
	// the rest is lost to sizes that do not fit together.
	usableShare = 0.85
	// Below fullShare no job is turned away: what waits then waits for other
	// things than capacity.
	fullShare = 0.92
	// waitShare of a queue's slack may be spent waiting for room; the rest is
	// for wrong estimates, failed runs and slow workers.
	waitShare = 0.4
	// reopenShare of that wait must be reached before a turned-away job comes
	// back.
	reopenShare = 0.5
	// leastRetry and mostRetry bound the time after which callers come back:
	// the header counts whole seconds, and a caller gives up after some tries.
	leastRetry = time.Second
	mostRetry  = 8 * time.Second
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
	c.roomVersion++
	hints := make(map[string]Hint, len(c.queues))
	urgent, all := c.backlog()
	pending := c.Pending()
	for name, q := range c.queues {
		work := all[q.config.Service]
		if q.config.Priority == 0 {
			work = urgent[q.config.Service]
		}
		hints[name] = c.hint(q, pending[name], work)
	}
	c.hints = hints
}

func (c *Cell) hint(q *queue, pending int, work float64) Hint {
	h := Hint{Pending: pending}
	capacity := c.capacity(q.config.Service) * usableShare
	if capacity <= 0 {
		return h
	}
	h.Wait = time.Duration(work / capacity * float64(time.Second))
	limit := time.Duration(waitShare * float64(q.slack))
	if q.slack == 0 || h.Wait <= limit || c.used(q.config.Service) < fullShare {
		return h
	}
	h.Closed = true
	h.RetryAfter = min(max(h.Wait-time.Duration(reopenShare*float64(limit)), leastRetry), mostRetry)
	return h
}

// backlog returns the work in core-seconds that waits and can still be on time,
// by service: that of urgent queues, and all.
func (c *Cell) backlog() (urgent, all map[string]float64) {
	urgent = make(map[string]float64)
	all = make(map[string]float64)
	for _, j := range c.open {
		work := c.waitingWork(j)
		service := j.queue.config.Service
		all[service] += work
		if j.queue.config.Priority == 0 {
			urgent[service] += work
		}
	}
	return urgent, all
}

// waitingWork returns the core-seconds of a job's tasks that wait, 0 for a job
// that cannot be on time any more, since it runs after those that can.
func (c *Cell) waitingWork(j *job) float64 {
	work := 0.0
	for _, s := range j.steps {
		if s.pending == 0 || s.spec.Lasting || s.spec.Fills {
			continue
		}
		if s.waitsFor == 0 && c.rank(s).tier > onTime {
			return 0
		}
		work += float64(s.pending) * taskWork(s.spec)
	}
	return work * c.inflation
}

// taskWork returns the core-seconds of a task by its estimate.
func taskWork(s *tanagerwork.Step) float64 {
	return float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// used returns the share of a service's usable capacity that is taken.
func (c *Cell) used(service string) float64 {
	taken := 0.0
	for _, w := range c.workers {
		if w.entry.Service == service && c.inUse(w) {
			taken += float64(w.entry.Capacity.MilliCPU-w.free.MilliCPU) / 1000
		}
	}
	return taken / max(c.capacity(service), 1)
}

// capacity returns the cores of the workers of a service that are in use.
func (c *Cell) capacity(service string) float64 {
	total := int64(0)
	for _, w := range c.workers {
		if w.entry.Service == service && c.inUse(w) {
			total += w.entry.Capacity.MilliCPU
		}
	}
	return float64(total) / 1000
}
