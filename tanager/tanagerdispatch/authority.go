package tanagerdispatch

import "time"

// A successor starts the tasks of a worker that it cannot reach when the leases that
// this scheduler may have extended are over. It can rely on that only if a scheduler
// that is cut off from its successor, with some of the workers, stops by itself:
// none of these workers refuses its epoch. The caller says until when this scheduler
// may rely on nobody else having been elected for longer than RenewalWindow.

// RenewalWindow is how long after the election of its successor a scheduler may go on
// extending leases and starting tasks: one poll until a worker refuses its epoch, and
// the timeout of that call.
const RenewalWindow = pollWait + 700*time.Millisecond

// SetAuthority sets the time until which the scheduler may extend leases and start
// tasks. After it the cell still polls and stops, and acknowledges what is stored. A
// cell whose authority was never set has no such limit.
func (c *Cell) SetAuthority(until time.Time) { c.authorityUntil = until }

// hasAuthority reports whether the scheduler may extend leases and start tasks.
func (c *Cell) hasAuthority() bool {
	return c.authorityUntil.IsZero() || !c.now.After(c.authorityUntil)
}
