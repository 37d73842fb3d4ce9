package tanagercontrol

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// mapWriteState is the state of this daemon's writes of the shard map. At most
// one is in progress.
type mapWriteState struct {
	inProgress bool
	// orphanedSince is when shards of a member that left were first seen.
	orphanedSince   time.Time
	rosterChangedAt time.Time
	writes          uint64
}

// applyMap adopts a newer shard map and updates the tables for every shard
// whose owner or epoch has changed.
func (c *Control) applyMap(e tanagerstore.Entry, now time.Time) {
	if e.Revision <= c.mapRevision || e.Deleted {
		return
	}
	var next tanagershard.Map
	if err := tanagerwire.Decode(e.Value, &next); err != nil {
		c.Log.Error().Str("event", "map_malformed").Err(err).Send()
		return
	}
	previous := c.shardMap
	c.shardMap = next
	c.mapRevision = e.Revision
	c.mapEntry = e
	if previous.Roster.Revision != next.Roster.Revision {
		c.mapWrite.rosterChangedAt = now
		c.quorumLease.SetRoster(next.Roster)
	}
	for i, a := range next.Shards {
		s := tanagershard.Shard(i)
		var old tanagershard.Assignment
		if i < len(previous.Shards) {
			old = previous.Shards[i]
		}
		if old.Owner == a.Owner && old.Epoch == a.Epoch {
			continue
		}
		if old.Owner == c.self {
			c.shardLost(s, now)
		}
		if old.Owner != "" {
			c.workerShardMoved(s, old.Owner, slices.Contains(a.Unconfirmed, old.Owner))
		}
		if a.Owner == c.self {
			c.shardGained(s, a, now)
		}
	}
	c.requestConfirmations(now)
	c.fleet.rebuildOwners(c.shardMap)
}

// shardGained sets up the state of an owner for a shard.
func (c *Control) shardGained(s tanagershard.Shard, a tanagershard.Assignment, now time.Time) {
	c.Log.Info().Str("event", "shard_gained").Int("shard", int(s)).
		Uint64("epoch", a.Epoch).Strs("unconfirmed", a.Unconfirmed).Send()
	c.counters.shardsGained++
	c.workers.addShard(c, s, now)
	c.addTargets(s, a)
	c.openJournal(s, a.Epoch)
}

// shardLost removes the state of an owner for a shard.
func (c *Control) shardLost(s tanagershard.Shard, now time.Time) {
	c.Log.Info().Str("event", "shard_lost").Int("shard", int(s)).Send()
	delete(c.releasing, s)
	c.workers.removeShard(c, s)
	c.removeTargets(s, now)
	c.closeJournal(s)
}

// reconcileShards writes the shard map if it has to change: confirmed
// previous owners are removed, shards of members that left are taken over,
// released shards are handed over and the roster follows the members. Otherwise
// it starts to rebalance.
func (c *Control) reconcileShards(now time.Time) {
	if c.mapWrite.inProgress || !c.storeLease.Valid(now) || c.mapRevision > c.watchRevision {
		return
	}
	if !c.mapKnown() {
		if c.watchRevision > 0 && !c.draining {
			c.writeMap(tanagershard.New(c.settings.Shards, c.self))
		}
		return
	}
	active := c.activeMembers()
	switch {
	case c.removeConfirmed():
	case c.takeOver(active, now):
	case c.handOverReleased():
	case c.stepRoster(active, now):
	default:
		c.rebalance(active)
	}
}

// writeMap starts a compare-and-swap of the shard map.
func (c *Control) writeMap(next tanagershard.Map) {
	c.mapWrite.inProgress = true
	c.mapWrite.writes++
	next.Writer = c.self
	next.WriteSequence = c.mapWrite.writes
	c.Effects.WriteShardMap(next, c.mapRevision)
}

// handleShardMapWritten handles the result of a write of the shard map. A
// conflict returns the map that won, which the watch delivers too.
func (c *Control) handleShardMapWritten(_ string, m tanagermessage.ShardMapWritten, now time.Time) {
	c.mapWrite.inProgress = false
	if m.Err != nil && !errorx.IsOfType(m.Err, tanagerstore.Conflict) {
		c.Log.Warn().Str("event", "map_write_failed").Err(m.Err).Send()
		return
	}
	c.watchRevision = max(c.watchRevision, m.Entry.Revision)
	c.applyMap(m.Entry, now)
}

// takeOver assigns the shards of members that left to the active ones. The
// active members try one after the other, so that usually only one of them
// writes.
func (c *Control) takeOver(active []string, now time.Time) bool {
	if c.draining {
		return false
	}
	present := c.memberIDs()
	next, changed := c.shardMap.TakeOver(present, active)
	if !changed {
		c.mapWrite.orphanedSince = time.Time{}
		return false
	}
	if c.mapWrite.orphanedSince.IsZero() {
		c.mapWrite.orphanedSince = now
	}
	rank := slices.Index(active, c.self)
	if now.Sub(c.mapWrite.orphanedSince) < time.Duration(rank)*takeoverStagger {
		return false
	}
	c.counters.takeovers++
	c.writeMap(next)
	return true
}

func (c *Control) memberIDs() []string {
	ids := make([]string, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	return ids
}

// removeConfirmed removes the confirmed previous owners from this daemon's
// shards.
func (c *Control) removeConfirmed() bool {
	var confirmed []string
	for name, confirmation := range c.confirmations {
		if confirmation.confirmed {
			confirmed = append(confirmed, name)
		}
	}
	next, changed := c.shardMap.RemoveConfirmed(c.self, confirmed)
	if changed {
		c.writeMap(next)
	}
	return changed
}

// stepRoster moves the roster one step closer to the active members. Steps are
// at least one lease apart and none is made while a takeover is unconfirmed, so
// that a daemon that acts on promises knows a roster that is at most one step
// away.
func (c *Control) stepRoster(active []string, now time.Time) bool {
	if len(active) == 0 || active[0] != c.self || len(c.shardMap.UnconfirmedOwners()) > 0 {
		return false
	}
	if now.Sub(c.mapWrite.rosterChangedAt) < c.settings.StoreLease.TTL+c.settings.StoreLease.DriftMargin {
		return false
	}
	next, changed := c.shardMap.NextRoster(active)
	if changed {
		c.writeMap(next)
	}
	return changed
}

// rebalance starts to release shards that this daemon has too many of.
func (c *Control) rebalance(active []string) {
	if len(c.releasing) > 0 || !slices.Contains(active, c.self) && !c.draining {
		return
	}
	limit := maxConcurrentReleases
	if c.draining {
		limit = len(c.shardMap.Shards)
	}
	for _, move := range c.shardMap.RebalanceMoves(c.self, active, limit) {
		if len(c.shardMap.Shards[move.Shard].Unconfirmed) == 0 {
			c.releasing[move.Shard] = move.To
		}
	}
}

// handOverReleased hands over the released shards that are quiescent.
func (c *Control) handOverReleased() bool {
	next := c.shardMap
	changed := false
	for s, to := range c.releasing {
		if _, isMember := c.members[to]; !isMember || !c.owns(s) {
			delete(c.releasing, s)
			continue
		}
		if c.quiescent(s) {
			next = next.HandOver(s, to)
			changed = true
		}
	}
	if changed {
		c.counters.handovers++
		c.writeMap(next)
	}
	return changed
}

// quiescent reports whether this daemon has no operation in progress in a shard
// that the shard's next owner could not learn of.
func (c *Control) quiescent(s tanagershard.Shard) bool {
	return c.fleet.inFlight(s) == 0 && !c.jobs.journalBusy(s) && !c.workers.startInProgress(s)
}

// handleDrain starts a planned stop, in which every shard is handed over.
func (c *Control) handleDrain(_ string, _ struct{}, _ time.Time) {
	c.draining = true
	c.Log.Info().Str("event", "drain_started").Send()
}

// checkDrained reports once that this draining daemon has no pending requests
// and owns no shards, or that no active member is left to receive them.
func (c *Control) checkDrained() {
	if !c.draining || c.drained {
		return
	}
	owned := len(c.shardMap.Owned(c.self))
	if owned > 0 && len(c.activeMembers()) > 0 {
		return
	}
	if c.coordinated.pendingCount() > 0 || c.owned.pendingCount() > 0 {
		return
	}
	c.drained = true
	c.Effects.Drained()
}
