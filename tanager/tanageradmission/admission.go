package tanageradmission

import "time"

// Class identifies jobs that wait alike: the gangs of a queue, or its other jobs.
type Class struct {
	Queue string
	Gang  bool
}

// Line describes the work of a class that waits for its start.
type Line struct {
	// Work is in core-seconds. It does not include work whose result is of no use
	// any more, as that runs after all other work.
	Work float64
	// MaxWait is the longest time that a new job can wait and still have a result
	// of use.
	MaxWait time.Duration
	// Model is the wait that follows from the capacity, for use while too few
	// starts were observed.
	Model time.Duration
}

// Decision tells whether a class takes new jobs.
type Decision struct {
	// Closed classes reject jobs, with RetryAfter as the time until a retry is
	// worthwhile.
	Closed     bool          `json:"closed,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Wait is the forecast of the time until a job that is accepted now starts.
	Wait time.Duration `json:"wait,omitempty"`
	// Observed is set if the forecast rests on observed starts, and not on the
	// model of the capacity.
	Observed bool `json:"observed,omitempty"`
}

const (
	// minRetryAfter and maxRetryAfter bound RetryAfter: the Retry-After header
	// has a resolution of a second, and callers give up after a few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// Controller holds the observed starts of all classes.
type Controller struct {
	rates map[Class]*startRate
}

// New returns a controller without observations.
func New() *Controller {
	return &Controller{rates: make(map[Class]*startRate)}
}

// RecordStart records the start of work, in core-seconds.
func (c *Controller) RecordStart(now time.Time, class Class, work float64) {
	c.rate(class).record(now, work)
}

func (c *Controller) rate(class Class) *startRate {
	r := c.rates[class]
	if r == nil {
		r = &startRate{}
		c.rates[class] = r
	}
	return r
}

// Forget discards the observations of a queue that no longer exists.
func (c *Controller) Forget(queue string) {
	delete(c.rates, Class{Queue: queue})
	delete(c.rates, Class{
		Queue: queue,
		Gang:  true,
	})
}

// Decide returns the decision on a class whose line is given. It must be called
// several times per second, as it also records whether work waits.
func (c *Controller) Decide(now time.Time, class Class, line Line) Decision {
	if line.Work > 0 {
		c.rate(class).markBacklogged(now)
	}
	d := c.forecast(now, class, line)
	if line.MaxWait == 0 || d.Wait <= line.MaxWait {
		return d
	}
	d.Closed = true
	// A line that takes no new jobs gets shorter by a second per second.
	d.RetryAfter = min(max(d.Wait-line.MaxWait, minRetryAfter), maxRetryAfter)
	return d
}

// forecast returns a decision that has only Wait and Observed set.
func (c *Controller) forecast(now time.Time, class Class, line Line) Decision {
	if line.Work == 0 {
		return Decision{}
	}
	if rate, known := c.rate(class).perSecond(now, rateSpan(line.MaxWait)); known {
		return Decision{
			Wait:     time.Duration(line.Work / rate * float64(time.Second)),
			Observed: true,
		}
	}
	return Decision{Wait: line.Model}
}
