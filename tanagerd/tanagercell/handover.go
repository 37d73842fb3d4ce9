package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// Load pattern: the store turns away or loses one daemon, the scheduler, and serves
// the others. Jobs go on being accepted and nothing of them reaches the tables
// until the lease lapses. The scheduler therefore leaves its part, over the links
// between daemons, to one that the store serves. The same holds for a scheduler
// that cannot read its tables.

// handOver asks a daemon to stand at once, in place of the sender, which has
// stopped scheduling.
type handOver struct {
	Epoch uint64 `json:"epoch"`
	// Members are the daemons to tell of the result: those that do not reach the
	// store have no other way to learn of it.
	Members []string `json:"members"`
	// Patience is how long the successor may take to read its tables at least:
	// where all daemons are slow to, a part that passes on as fast as the first
	// time would never be carried out.
	Patience time.Duration `json:"patience"`
}

// leadTold carries the stored records of a newly elected scheduler.
type leadTold struct {
	Holder        holder `json:"holder"`
	Revision      int64  `json:"revision"`
	EpochRevision int64  `json:"epoch_revision"`
}

// considerHandOver ends this daemon's term if another could serve and it cannot.
func (c *control) considerHandOver(now time.Time) {
	since, unable := c.unableSince(now)
	if !unable || c.stopping {
		return
	}
	successor := c.served(now, since)
	if !c.askToFollow(successor) {
		return
	}
	c.log.Warn().Str("event", "scheduler_hand_over").Str("successor", successor).Uint64("epoch", c.lead.epoch).
		Bool("loading", c.loading).Dur("unable_ms", now.Sub(since)).
		Dur("successor_store_age_ms", now.Sub(c.members[successor].served)).Send()
	c.depose("the store serves another daemon and not this one")
	// The key still names this daemon until the successor stands.
	c.standAt = now.Add(c.settings.LeaderTTL)
}

// askToFollow asks a daemon to stand at once and reports whether the message is
// on its way.
func (c *control) askToFollow(successor string) bool {
	if successor == "" {
		return false
	}
	members := []string{c.member}
	for name := range c.members {
		if name != successor && name != c.member {
			members = append(members, name)
		}
	}
	h := handOver{
		Epoch:   c.lead.epoch,
		Members: members,
	}
	if c.loading {
		h.Patience = 2 * c.takeoverPatience()
	}
	return c.send(successor, topicHandOver, h)
}

// unableSince reports whether this daemon has been unable to serve as the
// scheduler for longer than a brief disturbance lasts, and since when.
func (c *control) unableSince(now time.Time) (time.Time, bool) {
	switch {
	case c.cell == nil:
		return time.Time{}, false
	case c.loading && now.Sub(c.termBegan) > c.takeoverPatience():
		return c.termBegan, true
	case !c.storeUp && now.Sub(c.storeServed) > handOverPatience && now.Sub(c.termBegan) > c.settings.LeaderTTL:
		return c.storeLost, true
	}
	return time.Time{}, false
}

func (c *control) takeoverPatience() time.Duration { return max(c.patience, takeoverPatience) }

// served returns the heaviest daemon that the store has served without a failure
// for a time, and last after a given one, empty if there is none. In an outage for
// all there is none: nobody is served after the first failure.
func (c *control) served(now, after time.Time) string {
	best := ""
	for name, m := range c.members {
		if name == c.member || m.stopping || now.Sub(m.heard) > memberTimeout {
			continue
		}
		if !m.served.After(after) || now.Sub(m.servedSince) < handOverPatience {
			continue
		}
		if best == "" || m.weight > c.members[best].weight {
			best = name
		}
	}
	return best
}

// handedOver stands in place of a scheduler that asks for it.
func (c *control) handedOver(from string, h handOver) {
	if c.stopping || c.standing || !c.storeUp || h.Epoch != c.lead.epoch || from != c.lead.holder.Member {
		c.log.Warn().Str("event", "hand_over_ignored").Str("from", from).Uint64("epoch", h.Epoch).
			Uint64("known_epoch", c.lead.epoch).Bool("store_up", c.storeUp).Send()
		return
	}
	c.heirOf = h.Members
	c.patience = h.Patience
	c.stand("handed over by " + from)
}

// tellLead tells daemons that may not reach the store who schedules now.
func (c *control) tellLead() {
	told := leadTold{
		Holder:        c.lead.holder,
		Revision:      c.lead.holderRevision,
		EpochRevision: c.lead.epochRevision,
	}
	for _, name := range c.heirOf {
		c.send(name, topicLeadTold, told)
	}
	c.heirOf = nil
}

// leadLearnedFrom applies what another daemon has read in the store. Revisions
// order it against what this one knows.
func (c *control) leadLearnedFrom(t leadTold) {
	c.learnLead(tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: t.Holder.Epoch}),
		Revision: t.EpochRevision,
	})
	c.learnLead(tanagerport.Item{
		Key:      holderKey,
		Value:    tanagerwire.Encode(t.Holder),
		Revision: t.Revision,
	})
}

const (
	// handOverPatience is how long the store must have failed a scheduler, and
	// served its successor: longer than the pause between two renewals of the
	// lease, shorter than the lease.
	handOverPatience = 700 * time.Millisecond
	// takeoverPatience bounds the reading of the tables: several times what the
	// largest measured cell needs, 0.4 s.
	takeoverPatience = 3 * time.Second
)
