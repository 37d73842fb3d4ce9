package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// takeoverConfirmation tracks whether a quorum of the roster has confirmed
// that a previous owner can no longer act. Until then the targets taken over
// from it receive no requests.
type takeoverConfirmation struct {
	quorum    *tanagerlease.TakeoverQuorum
	confirmed bool
	// confirmedAt is when the takeover was confirmed.
	confirmedAt time.Time
}

// promiseRound identifies the last round of promise requests. A promise counts
// from the time at which its request was sent.
type promiseRound struct {
	correlationID  uint64
	sentAt         time.Time
	rosterRevision uint64
}

// requestConfirmations asks the roster to confirm the takeover from each
// unconfirmed previous owner of this daemon's shards.
func (c *Control) requestConfirmations(now time.Time) {
	previousOwners := make(map[string]bool)
	for _, s := range c.shardMap.Owned(c.self) {
		for _, p := range c.shardMap.Shards[s].Unconfirmed {
			previousOwners[p] = true
		}
	}
	for p := range c.confirmations {
		if !previousOwners[p] {
			delete(c.confirmations, p)
		}
	}
	for p := range previousOwners {
		c.requestConfirmation(p, now)
	}
}

func (c *Control) requestConfirmation(previousOwner string, now time.Time) {
	confirmation := c.confirmations[previousOwner]
	if confirmation == nil {
		confirmation = &takeoverConfirmation{
			quorum: tanagerlease.NewTakeoverQuorum(c.shardMap.Roster),
		}
		c.confirmations[previousOwner] = confirmation
	}
	if confirmation.confirmed {
		return
	}
	if c.declaredGone(previousOwner) {
		c.markConfirmed(confirmation, previousOwner, now)
		return
	}
	for _, member := range c.shardMap.Roster.Members {
		c.send(member, tanagermessage.TopicConfirmRequest, tanagermessage.ConfirmRequest{
			Owner: previousOwner,
		})
	}
	c.checkConfirmation(previousOwner, now)
}

func (c *Control) checkConfirmation(previousOwner string, now time.Time) {
	confirmation := c.confirmations[previousOwner]
	if confirmation == nil || confirmation.confirmed || !confirmation.quorum.Reached(now) {
		return
	}
	c.markConfirmed(confirmation, previousOwner, now)
}

func (c *Control) markConfirmed(confirmation *takeoverConfirmation, previousOwner string, now time.Time) {
	confirmation.confirmed = true
	confirmation.confirmedAt = now
	c.Log.Info().Str("event", "predecessor_confirmed").Str("member", previousOwner).Send()
}

// declaredGone reports whether an operator has declared a daemon to be
// permanently gone. The declaration has no effect while the daemon is a member.
func (c *Control) declaredGone(member string) bool {
	_, isMember := c.members[member]
	return !isMember && slices.Contains(c.config.Gone, member)
}

// handleConfirmRequest refuses all further promises to an owner whose shards
// were taken over. If that owner is this daemon, it gives up its own leases.
func (c *Control) handleConfirmRequest(from string, m tanagermessage.ConfirmRequest, now time.Time) {
	remaining := c.promiseGrantor.ConfirmTakeover(m.Owner, now)
	if m.Owner == c.self {
		c.storeLease.Invalidate()
		c.quorumLease.SetRoster(tanagerlease.Roster{})
		remaining = 0
	}
	c.send(from, tanagermessage.TopicConfirmResponse, tanagermessage.ConfirmResponse{
		Owner:            m.Owner,
		PromiseRemaining: remaining,
	})
}

// handleConfirmResponse counts a confirmation. The outstanding promise expires
// on the clock of its grantor, so the clock drift is added to the wait.
func (c *Control) handleConfirmResponse(from string, m tanagermessage.ConfirmResponse, now time.Time) {
	confirmation := c.confirmations[m.Owner]
	if confirmation == nil {
		return
	}
	confirmation.quorum.AddConfirmation(from, now.Add(c.addClockDrift(m.PromiseRemaining)))
	c.checkConfirmation(m.Owner, now)
}

// addClockDrift extends a duration by the largest drift between two clocks.
func (c *Control) addClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.settings.ClockDrift)
}

// previousOwnersConfirmed returns the time at which the last of the takeovers
// from previous owners of a shard was confirmed, or the zero time if the shard
// has none. It returns false while a confirmation is missing.
func (c *Control) previousOwnersConfirmed(s tanagershard.Shard) (time.Time, bool) {
	var since time.Time
	for _, p := range c.shardMap.Shards[s].Unconfirmed {
		confirmation := c.confirmations[p]
		if confirmation == nil || !confirmation.confirmed {
			return time.Time{}, false
		}
		if confirmation.confirmedAt.After(since) {
			since = confirmation.confirmedAt
		}
	}
	return since, true
}

// requestPromises requests promises from the roster when the store lease is
// about to expire, so that an outage of the store interrupts nothing.
func (c *Control) requestPromises(now time.Time) {
	if !c.mapKnown() || now.Add(c.settings.StoreLease.TTL/2).Before(c.storeLease.Expiry()) {
		return
	}
	c.promiseRound.correlationID++
	c.promiseRound.sentAt = now
	c.promiseRound.rosterRevision = c.shardMap.Roster.Revision
	for _, member := range c.shardMap.Roster.Members {
		if member == c.self {
			continue
		}
		c.send(member, tanagermessage.TopicPromiseRequest, tanagermessage.PromiseRequest{
			Roster:        c.shardMap.Roster,
			CorrelationID: c.promiseRound.correlationID,
		})
	}
}

func (c *Control) handlePromiseRequest(from string, m tanagermessage.PromiseRequest, now time.Time) {
	granted := c.promiseGrantor.Grant(from, m.Roster, c.shardMap.Roster, now)
	c.send(from, tanagermessage.TopicPromiseResponse, tanagermessage.PromiseResponse{
		CorrelationID:  m.CorrelationID,
		RosterRevision: m.Roster.Revision,
		Granted:        granted,
	})
}

func (c *Control) handlePromiseResponse(from string, m tanagermessage.PromiseResponse, _ time.Time) {
	if m.Granted && m.CorrelationID == c.promiseRound.correlationID {
		c.quorumLease.AddPromise(from, m.RosterRevision, c.promiseRound.sentAt)
	}
}
