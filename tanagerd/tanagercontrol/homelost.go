package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerd/tanagermessage"
)

// ownerUnreachable deals with the requests at an owner whose connection broke.
func (c *Control) ownerUnreachable(owner string, now time.Time) {
	for _, row := range c.homes.live {
		if row.owner == owner && row.unreachableSince.IsZero() {
			row.uncertain = true
			row.unreachableSince = now
			row.resendAt = now
		}
	}
	for number, r := range c.homes.relayed {
		if r.home == owner {
			c.answerRelayed(number, unknownAnswer("the connection to the daemon that issued the id broke"))
		}
	}
}

// ownerGone deals with the requests at an owner whose lease has lapsed.
func (c *Control) ownerGone(owner string, now time.Time) {
	c.ownerUnreachable(owner, now)
	for _, row := range c.homes.live {
		if row.owner == owner {
			c.giveUpOwner(row, now)
		}
	}
}

func unknownAnswer(message string) tanagermessage.RequestAnswer {
	return tanagermessage.RequestAnswer{
		Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, message),
	}
}

// giveUpOwner ends the wait for an owner that cannot be reached. The request may
// still run at a target, so even an idempotent one is not sent elsewhere: it
// would run in two places at once.
func (c *Control) giveUpOwner(row *homeRequest, now time.Time) {
	answer := unknownAnswer("the daemon that ran the request cannot be reached")
	answer.Failure = answer.Failure.After(c.jitter(c.settings.Right.TTL))
	c.finishHome(row, answer, now)
}

// ownerReached notes a sign of life of an owner to which requests were sent
// again after a broken connection: it knows them, so their answers will come.
func (c *Control) ownerReached(owner string) {
	for _, row := range c.homes.live {
		if row.owner == owner && row.resent {
			row.unreachableSince = time.Time{}
		}
	}
}

// sweepHomes resends requests to owners that were unreachable and ends those
// whose time is up.
func (c *Control) sweepHomes(now time.Time) {
	for _, row := range c.homes.live {
		switch {
		case !now.Before(row.deadline.Add(answerSlack)):
			c.expireHome(row, now)
		case row.unreachableSince.IsZero():
		case now.Sub(row.unreachableSince) > unreachableLimit:
			c.giveUpOwner(row, now)
		case !now.Before(row.resendAt):
			row.resendAt = now.Add(resendInterval)
			row.resent = c.sendPlace(row, now)
		}
	}
	for number, r := range c.homes.relayed {
		if !now.Before(r.deadline.Add(2 * answerSlack)) {
			c.answerRelayed(number, unknownAnswer("the daemon that issued the id did not answer in time"))
		}
	}
	c.homes.registry.Expire(now, func(r *homeRequest) bool { return r.answer != nil })
}

// answerSlack is the time that an owner's answer may take to its home after the
// deadline.
const answerSlack = 100 * time.Millisecond

// expireHome ends a request whose owner did not answer in time.
func (c *Control) expireHome(row *homeRequest, now time.Time) {
	c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
		ID: row.spec.ID,
	})
	c.finishHome(row, unknownAnswer("no answer arrived before the deadline"), now)
}

// requestGone tells an owner that the caller went away, if nobody else waits
// for the same id.
func (c *Control) requestGone(_ string, m tanagermessage.RequestGone, _ time.Time) {
	delete(c.homes.relayed, m.Waiter)
	row := c.homes.waiting[m.Waiter]
	if row == nil {
		return
	}
	delete(c.homes.waiting, m.Waiter)
	row.waiters = slices.DeleteFunc(row.waiters, func(w waiter) bool {
		return w.member == c.self && w.number == m.Waiter
	})
	if len(row.waiters) == 0 {
		c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
			ID: row.spec.ID,
		})
	}
}
