package tanagercontrol

import (
	"slices"
	"time"
)

// awaitEnd keeps an idempotent request whose run went unanswered until its
// target is known to run nothing, and reports whether it did. Only then may the
// request run again, or it would run in two places at once.
func (c *Control) awaitEnd(r *ownedRequest, t *targetRow, now time.Time) bool {
	if !r.spec.Idempotent || !now.Before(r.deadline) || c.owned.budget < 1 {
		return false
	}
	r.attempted = true
	c.owned.budget--
	c.counters.retries++
	t.ending = append(t.ending, r)
	return true
}

// runsEnded admits the requests again that waited for their target to be idle.
func (c *Control) runsEnded(t *targetRow, now time.Time) {
	waiting := t.ending
	t.ending = nil
	for _, r := range waiting {
		if r.answer != nil {
			continue
		}
		if failure := c.admit(r, now); failure != nil {
			c.answerOwned(r, unknownAnswer("the request could not be run again: "+failure.Message), now)
		}
	}
}

// expireEnding answers the requests whose target was not known to be idle in
// time.
func (c *Control) expireEnding(t *targetRow, now time.Time) {
	t.ending = slices.DeleteFunc(t.ending, func(r *ownedRequest) bool {
		if r.answer == nil && now.Before(r.deadline) {
			return false
		}
		c.answerOwned(r, unknownAnswer("the target did not answer"), now)
		return true
	})
}

// abandonEnding answers the requests that wait for a target which this daemon
// owns no longer.
func (c *Control) abandonEnding(t *targetRow, now time.Time) {
	for _, r := range t.ending {
		c.answerOwned(r, unknownAnswer("the target has moved to another daemon"), now)
	}
	t.ending = nil
}
