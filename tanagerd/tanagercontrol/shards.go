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

// swapState is the one write of the shard map that may be under way.
type swapState struct {
	busy bool
	// orphanedSince is when shards of a member that left were first seen.
	orphanedSince time.Time
	rosterAt      time.Time
	writes        uint64
}

// adoptMap takes a newer shard map and adjusts the tables to it.
func (c *Control) adoptMap(e tanagerstore.Entry, now time.Time) {
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
		c.swap.rosterAt = now
		c.grace.Adopt(next.Roster)
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
			c.workersMoved(s, old.Owner, slices.Contains(a.Unconfirmed, old.Owner))
		}
		if a.Owner == c.self {
			c.shardGained(s, a, now)
		}
	}
	c.tendGates(now)
	c.fleet.rebuildRoutes(c.shardMap)
}

// shardGained begins the work of an owner for a shard.
func (c *Control) shardGained(s tanagershard.Shard, a tanagershard.Assignment, now time.Time) {
	c.Log.Info().Str("event", "shard_gained").Int("shard", int(s)).Uint64("epoch", a.Epoch).Strs("unconfirmed", a.Unconfirmed).Send()
	c.counters.shardsGained++
	c.workers.gained(c, s, now)
	c.gainTargets(s, a)
	c.openJournal(s, a.Epoch)
}

// shardLost ends the work of an owner for a shard.
func (c *Control) shardLost(s tanagershard.Shard, now time.Time) {
	c.Log.Info().Str("event", "shard_lost").Int("shard", int(s)).Send()
	delete(c.releasing, s)
	c.workers.lost(c, s)
	c.loseTargets(s, now)
	c.closeJournal(s)
}

// tendShards writes the shard map when something has to change: shards of
// members that left, confirmed predecessors, the roster, the balance, or the
// hand-over when this daemon stops.
func (c *Control) tendShards(now time.Time) {
	if c.swap.busy || !c.right.Holds(now) || c.mapRevision > c.watchRevision {
		return
	}
	if !c.mapped() {
		if c.watchRevision > 0 && !c.draining {
			c.writeMap(tanagershard.New(c.settings.Shards, c.self))
		}
		return
	}
	live := c.live()
	switch {
	case c.settle():
	case c.takeOver(live, now):
	case c.handOver():
	case c.changeRoster(live, now):
	default:
		c.balance(live)
	}
}

// writeMap starts a compare-and-swap of the shard map.
func (c *Control) writeMap(next tanagershard.Map) {
	c.swap.busy = true
	c.swap.writes++
	next.Writer = c.self
	next.Write = c.swap.writes
	c.Effects.SwapMap(next, c.mapRevision)
}

// mapSwapped takes the result of a write of the shard map. A conflict brings
// the map that won, which the watch delivers too.
func (c *Control) mapSwapped(_ string, m tanagermessage.MapSwapped, now time.Time) {
	c.swap.busy = false
	if m.Err != nil && !errorx.IsOfType(m.Err, tanagerstore.Conflict) {
		c.Log.Warn().Str("event", "map_write_failed").Err(m.Err).Send()
		return
	}
	c.watchRevision = max(c.watchRevision, m.Entry.Revision)
	c.adoptMap(m.Entry, now)
}

// takeOver gives the shards of members that left to the live ones. The live
// members try one after the other, so that usually one write is made.
func (c *Control) takeOver(live []string, now time.Time) bool {
	if c.draining {
		return false
	}
	present := c.liveOrDraining()
	next, changed := c.shardMap.TakeOver(present, live)
	if !changed {
		c.swap.orphanedSince = time.Time{}
		return false
	}
	if c.swap.orphanedSince.IsZero() {
		c.swap.orphanedSince = now
	}
	rank := slices.Index(live, c.self)
	if now.Sub(c.swap.orphanedSince) < time.Duration(rank)*takeOverSpacing {
		return false
	}
	c.counters.takeOvers++
	c.writeMap(next)
	return true
}

func (c *Control) liveOrDraining() []string {
	ids := make([]string, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	return ids
}

// settle clears the predecessors whose end is confirmed.
func (c *Control) settle() bool {
	var confirmed []string
	for name, g := range c.gates {
		if g.open {
			confirmed = append(confirmed, name)
		}
	}
	next, changed := c.shardMap.Settle(c.self, confirmed)
	if changed {
		c.writeMap(next)
	}
	return changed
}

// changeRoster brings the roster one step closer to the live members. Steps are
// a lease apart and none is taken while a takeover is unconfirmed, so that a
// daemon that acts on promises knows a roster at most one step away.
func (c *Control) changeRoster(live []string, now time.Time) bool {
	if len(live) == 0 || live[0] != c.self || len(c.shardMap.Unconfirmed()) > 0 {
		return false
	}
	if now.Sub(c.swap.rosterAt) < c.settings.Right.TTL+c.settings.Right.Margin {
		return false
	}
	next, changed := c.shardMap.RosterStep(live)
	if changed {
		c.writeMap(next)
	}
	return changed
}

// balance begins to release shards that this daemon has too many of.
func (c *Control) balance(live []string) {
	if len(c.releasing) > 0 || !slices.Contains(live, c.self) && !c.draining {
		return
	}
	limit := releasesAtOnce
	if c.draining {
		limit = len(c.shardMap.Shards)
	}
	for _, move := range c.shardMap.Surplus(c.self, live, limit) {
		if len(c.shardMap.Shards[move.Shard].Unconfirmed) == 0 {
			c.releasing[move.Shard] = move.To
		}
	}
}

// handOver writes the map for the shards that are released and quiet.
func (c *Control) handOver() bool {
	next := c.shardMap
	changed := false
	for s, to := range c.releasing {
		if _, live := c.members[to]; !live || !c.owns(s) {
			delete(c.releasing, s)
			continue
		}
		if c.quiet(s) {
			next = next.HandOver(s, to)
			changed = true
		}
	}
	if changed {
		c.counters.handOvers++
		c.writeMap(next)
	}
	return changed
}

// quiet reports whether nothing of this daemon's is under way in a shard that
// its successor could not learn of.
func (c *Control) quiet(s tanagershard.Shard) bool {
	return c.fleet.inFlight(s) == 0 && !c.jobs.writing(s) && !c.workers.starting(s)
}

// drain begins a planned stop: every shard is handed over.
func (c *Control) drain(_ string, _ struct{}, _ time.Time) {
	c.draining = true
	c.Log.Info().Str("event", "drain_started").Send()
}

// checkDrained tells once nothing is left at this daemon.
func (c *Control) checkDrained() {
	if !c.draining || c.drained {
		return
	}
	owned := len(c.shardMap.Owned(c.self))
	if owned > 0 && len(c.live()) > 0 {
		return
	}
	if c.homes.open() > 0 || c.owned.open() > 0 {
		return
	}
	c.drained = true
	c.Effects.Drained()
}
