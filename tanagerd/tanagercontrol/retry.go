package tanagercontrol

import (
	"slices"
	"time"
)

// deferRetry keeps an idempotent request whose run has an unknown outcome until
// its target is known to be idle, and reports whether it did. Before that a
// retry could run the request in two places at once.
func (c *Control) deferRetry(r *ownedRequest, t *targetRow, now time.Time) bool {
	if !r.spec.Idempotent || !now.Before(r.deadline) || c.owned.retryBudget < 1 {
		return false
	}
	r.mayHaveRun = true
	c.owned.retryBudget--
	c.counters.retries++
	t.deferredRetries = append(t.deferredRetries, r)
	return true
}

// retryDeferred queues the deferred requests of a target that is idle.
func (c *Control) retryDeferred(t *targetRow, now time.Time) {
	deferred := t.deferredRetries
	t.deferredRetries = nil
	for _, r := range deferred {
		if r.result != nil {
			continue
		}
		if failure := c.admit(r, now); failure != nil {
			c.finishOwned(r, outcomeUnknownResult("the request could not be run again: "+failure.Message), now)
		}
	}
}

// expireDeferred finishes the deferred requests whose deadline passed before
// their target was known to be idle.
func (c *Control) expireDeferred(t *targetRow, now time.Time) {
	t.deferredRetries = slices.DeleteFunc(t.deferredRetries, func(r *ownedRequest) bool {
		if r.result == nil && now.Before(r.deadline) {
			return false
		}
		c.finishOwned(r, outcomeUnknownResult("the target did not answer"), now)
		return true
	})
}

// failDeferred finishes the deferred requests of a target that this daemon no
// longer owns.
func (c *Control) failDeferred(t *targetRow, now time.Time) {
	for _, r := range t.deferredRetries {
		c.finishOwned(r, outcomeUnknownResult("the target has moved to another daemon"), now)
	}
	t.deferredRetries = nil
}
