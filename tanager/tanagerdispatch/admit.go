package tanagerdispatch

import "time"

// Hint tells the daemons whether jobs of a queue are taken.
type Hint struct {
	// Closed queues turn jobs away, to come back after RetryAfter.
	Closed     bool          `json:"closed"`
	RetryAfter time.Duration `json:"retry_after"`
	// Pending is the number of jobs of which nothing has started.
	Pending int `json:"pending"`
}

// hintInterval spaces the hints: a small part of the shortest objective.
const hintInterval = 100 * time.Millisecond

// Hints returns the hints by queue and when they were made.
func (c *Cell) Hints() (map[string]Hint, time.Time) { return c.hints, c.hintsAt }

func (c *Cell) updateHints() {
	if c.now.Sub(c.hintsAt) < hintInterval {
		return
	}
	c.hintsAt = c.now
	hints := make(map[string]Hint, len(c.queues))
	for name, pending := range c.Pending() {
		hints[name] = Hint{Pending: pending}
	}
	c.hints = hints
}
