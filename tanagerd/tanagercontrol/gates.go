package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// gate holds targets back until the end of an earlier owner is confirmed.
type gate struct {
	gate *tanagerlease.Gate
	open bool
	// openedAt is when the gate opened.
	openedAt time.Time
}

// promiseRound remembers when questions for promises were sent.
type promiseRound struct {
	number uint64
	sent   time.Time
	roster uint64
}

// tendGates asks the roster to confirm the end of unconfirmed predecessors.
func (c *Control) tendGates(now time.Time) {
	wanted := make(map[string]bool)
	for _, s := range c.shardMap.Owned(c.self) {
		for _, p := range c.shardMap.Shards[s].Unconfirmed {
			wanted[p] = true
		}
	}
	for p := range c.gates {
		if !wanted[p] {
			delete(c.gates, p)
		}
	}
	for p := range wanted {
		c.tendGate(p, now)
	}
}

func (c *Control) tendGate(predecessor string, now time.Time) {
	g := c.gates[predecessor]
	if g == nil {
		g = &gate{
			gate: tanagerlease.NewGate(c.shardMap.Roster),
		}
		c.gates[predecessor] = g
	}
	if g.open {
		return
	}
	if c.declaredGone(predecessor) {
		c.confirmEnd(g, predecessor, now)
		return
	}
	for _, member := range c.shardMap.Roster.Members {
		c.send(member, tanagermessage.TopicConfirmAsk, tanagermessage.ConfirmAsk{
			Owner: predecessor,
		})
	}
	c.openGate(predecessor, now)
}

func (c *Control) openGate(predecessor string, now time.Time) {
	g := c.gates[predecessor]
	if g == nil || g.open || !g.gate.Open(now) {
		return
	}
	c.confirmEnd(g, predecessor, now)
}

func (c *Control) confirmEnd(g *gate, predecessor string, now time.Time) {
	g.open = true
	g.openedAt = now
	c.Log.Info().Str("event", "predecessor_confirmed").Str("member", predecessor).Send()
}

// declaredGone reports whether an operator has declared a daemon to be gone for
// good. A daemon that is a member is not, whatever was declared.
func (c *Control) declaredGone(member string) bool {
	_, live := c.members[member]
	return !live && slices.Contains(c.config.Gone, member)
}

// confirmAsked refuses all further promises to an owner that was taken over
// from, and gives up this daemon's own rights if it is the one.
func (c *Control) confirmAsked(from string, m tanagermessage.ConfirmAsk, now time.Time) {
	left := c.witness.Confirm(m.Owner, now)
	if m.Owner == c.self {
		c.right.Lost()
		c.grace.Adopt(tanagerlease.Roster{})
		left = 0
	}
	c.send(from, tanagermessage.TopicConfirmGive, tanagermessage.ConfirmGive{
		Owner: m.Owner,
		Left:  left,
	})
}

// confirmGiven counts a confirmation. The outstanding promise runs on the
// witness's clock, so the drift between the clocks is added.
func (c *Control) confirmGiven(from string, m tanagermessage.ConfirmGive, now time.Time) {
	g := c.gates[m.Owner]
	if g == nil {
		return
	}
	g.gate.Confirmed(from, now.Add(c.stretch(m.Left)))
	c.openGate(m.Owner, now)
}

// stretch adds the drift between two clocks to a wait.
func (c *Control) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.settings.ClockDrift)
}

// confirmed reports whether all predecessors of a shard are known to have
// ended, and since when.
func (c *Control) confirmed(s tanagershard.Shard) (time.Time, bool) {
	var since time.Time
	for _, p := range c.shardMap.Shards[s].Unconfirmed {
		g := c.gates[p]
		if g == nil || !g.open {
			return time.Time{}, false
		}
		if g.openedAt.After(since) {
			since = g.openedAt
		}
	}
	return since, true
}

// askPromises asks the roster for promises when the store lease is about to
// lapse, so that an outage of the store interrupts nothing.
func (c *Control) askPromises(now time.Time) {
	if !c.mapped() || now.Add(c.settings.Right.TTL/2).Before(c.right.Until()) {
		return
	}
	c.promise.number++
	c.promise.sent = now
	c.promise.roster = c.shardMap.Roster.Revision
	for _, member := range c.shardMap.Roster.Members {
		if member == c.self {
			continue
		}
		c.send(member, tanagermessage.TopicPromiseAsk, tanagermessage.PromiseAsk{
			Roster: c.shardMap.Roster,
			Number: c.promise.number,
		})
	}
}

func (c *Control) promiseAsked(from string, m tanagermessage.PromiseAsk, now time.Time) {
	granted := c.witness.Promise(from, m.Roster, c.shardMap.Roster, now)
	c.send(from, tanagermessage.TopicPromiseGive, tanagermessage.PromiseGive{
		Number:  m.Number,
		Roster:  m.Roster.Revision,
		Granted: granted,
	})
}

func (c *Control) promiseGiven(from string, m tanagermessage.PromiseGive, _ time.Time) {
	if m.Granted && m.Number == c.promise.number {
		c.grace.Promised(from, m.Roster, c.promise.sent)
	}
}
