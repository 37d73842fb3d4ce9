package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerd/tanagermessage"
)

// ownerUnreachable handles the requests placed with an owner to which the
// connection broke.
func (c *Control) ownerUnreachable(owner string, now time.Time) {
	for _, row := range c.coordinated.pending {
		if row.owner == owner && row.unreachableSince.IsZero() {
			row.deliveryUncertain = true
			row.unreachableSince = now
			row.resendAt = now
		}
	}
	for waiterID, r := range c.coordinated.relayed {
		if r.coordinator == owner {
			c.respondToRelayed(waiterID, outcomeUnknownResult("the connection to the daemon that issued the id broke"))
		}
	}
}

// ownerLeft fails the requests placed with an owner whose store lease has
// expired.
func (c *Control) ownerLeft(owner string, now time.Time) {
	c.ownerUnreachable(owner, now)
	for _, row := range c.coordinated.pending {
		if row.owner == owner {
			c.failUnreachable(row, now)
		}
	}
}

func outcomeUnknownResult(message string) tanagermessage.RequestResult {
	return tanagermessage.RequestResult{
		Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, message),
	}
}

// failUnreachable finishes a request whose owner cannot be reached. The request
// may still run on a target, so not even an idempotent request is placed
// elsewhere: it would run in two places at once.
func (c *Control) failUnreachable(row *coordinatedRequest, now time.Time) {
	result := outcomeUnknownResult("the daemon that ran the request cannot be reached")
	result.Failure = result.Failure.WithRetryAfter(c.jitter(c.settings.StoreLease.TTL))
	c.finishRequest(row, result, now)
}

// ownerReached handles a message from an owner to which requests were resent
// after a broken connection. The owner has them, so their results will arrive.
func (c *Control) ownerReached(owner string) {
	for _, row := range c.coordinated.pending {
		if row.owner == owner && row.resent {
			row.unreachableSince = time.Time{}
		}
	}
}

// resendAndExpireRequests resends requests to owners that were unreachable, and
// finishes the requests whose deadline or wait for an owner has passed.
func (c *Control) resendAndExpireRequests(now time.Time) {
	for _, row := range c.coordinated.pending {
		switch {
		case !now.Before(row.deadline.Add(maxResultDelay)):
			c.expireRequest(row, now)
		case row.unreachableSince.IsZero():
		case now.Sub(row.unreachableSince) > unreachableTimeout:
			c.failUnreachable(row, now)
		case !now.Before(row.resendAt):
			row.resendAt = now.Add(resendInterval)
			row.resent = c.sendPlacement(row, now)
		}
	}
	for waiterID, r := range c.coordinated.relayed {
		if !now.Before(r.deadline.Add(2 * maxResultDelay)) {
			c.respondToRelayed(waiterID, outcomeUnknownResult("the daemon that issued the id did not answer in time"))
		}
	}
	c.coordinated.registry.Expire(now, func(r *coordinatedRequest) bool { return r.result != nil })
}

// maxResultDelay is how long after the deadline an owner's result may take to
// reach the coordinator.
const maxResultDelay = 100 * time.Millisecond

// expireRequest finishes a request whose owner did not respond in time.
func (c *Control) expireRequest(row *coordinatedRequest, now time.Time) {
	c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
		ID: row.spec.ID,
	})
	c.finishRequest(row, outcomeUnknownResult("no answer arrived before the deadline"), now)
}

// handleCallerDisconnected removes a caller from its request, and cancels the
// request at its owner if nobody else waits for the same id.
func (c *Control) handleCallerDisconnected(_ string, m tanagermessage.CallerDisconnected, _ time.Time) {
	delete(c.coordinated.relayed, m.Waiter)
	row := c.coordinated.byWaiter[m.Waiter]
	if row == nil {
		return
	}
	delete(c.coordinated.byWaiter, m.Waiter)
	row.waiters = slices.DeleteFunc(row.waiters, func(w waiter) bool {
		return w.member == c.self && w.id == m.Waiter
	})
	if len(row.waiters) == 0 {
		c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
			ID: row.spec.ID,
		})
	}
}
