package tanagercontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// storeEntry is an entry as it was read, kept for peers that lag behind.
type storeEntry = tanagerstore.Entry

// leaseRenewed extends the right that the store lease gives.
func (c *Control) leaseRenewed(_ string, m tanagermessage.LeaseRenewed, _ time.Time) {
	c.right.Renewed(m.Sent)
}

// leaseLost ends the right: the store has dropped the lease.
func (c *Control) leaseLost(_ string, _ struct{}, _ time.Time) {
	c.right.Lost()
	c.Log.Warn().Str("event", "lease_lost").Send()
}

// storeChanged takes what the watch has delivered.
func (c *Control) storeChanged(_ string, m tanagermessage.StoreChanged, now time.Time) {
	if m.Snapshot.Reset && m.Snapshot.Revision >= c.watchRevision {
		c.dropAbsent(m.Snapshot.Entries, now)
	}
	c.watchRevision = max(c.watchRevision, m.Snapshot.Revision)
	for _, e := range m.Snapshot.Entries {
		if strings.HasPrefix(e.Key, tanagermessage.MemberPrefix) {
			c.memberChanged(e, now)
		}
	}
	for _, e := range m.Snapshot.Entries {
		c.adopt(e, now)
	}
}

// adopt takes a newer shard map or configuration, from the store or a peer.
func (c *Control) adopt(e tanagerstore.Entry, now time.Time) {
	if e.Key == tanagershard.Key {
		c.adoptMap(e, now)
		return
	}
	recovery, ok, err := c.follower.Observe(e)
	if err != nil {
		c.Log.Error().Str("event", "config_malformed").Err(err).Send()
		return
	}
	if !ok {
		return
	}
	next, err := tanagerconfig.Replay(c.config, recovery)
	if err != nil {
		c.Log.Error().Str("event", "config_malformed").Err(err).Send()
		return
	}
	c.config = next
	c.applyRules(now)
	c.Log.Info().Str("event", "config_in_force").Uint64("revision", next.Revision).Send()
}

// dropAbsent removes the members that a full read did not show.
func (c *Control) dropAbsent(entries []tanagerstore.Entry, now time.Time) {
	present := make(map[string]bool)
	for _, e := range entries {
		present[e.Key] = true
	}
	for id := range c.members {
		if !present[tanagermessage.MemberPrefix+id] {
			c.removeMember(id, now)
		}
	}
}

func (c *Control) memberChanged(e tanagerstore.Entry, now time.Time) {
	id := strings.TrimPrefix(e.Key, tanagermessage.MemberPrefix)
	if e.Revision <= c.memberRevisions[id] {
		return
	}
	c.memberRevisions[id] = e.Revision
	if e.Deleted {
		c.removeMember(id, now)
		return
	}
	var m tanagermessage.Member
	if err := tanagerwire.Decode(e.Value, &m); err != nil {
		c.Log.Error().Str("event", "member_malformed").Str("member", id).Err(err).Send()
		return
	}
	if _, known := c.members[id]; !known {
		c.Log.Info().Str("event", "member_joined").Str("member", id).Send()
		c.witness.Readmit(id)
	}
	c.members[id] = m
	c.Directory.Set(m)
}

func (c *Control) removeMember(id string, now time.Time) {
	if _, known := c.members[id]; !known {
		return
	}
	delete(c.members, id)
	delete(c.hints, id)
	c.Log.Info().Str("event", "member_left").Str("member", id).Send()
	c.ownerGone(id, now)
	c.offersLost(id)
}

// live returns the members that take shards, in order.
func (c *Control) live() []string {
	ids := slices.Sorted(maps.Keys(c.members))
	return slices.DeleteFunc(ids, func(id string) bool {
		return c.hints[id].draining || id == c.self && c.draining
	})
}

// peerLost notes that the connection to a daemon broke.
func (c *Control) peerLost(peer string, now time.Time) {
	c.suspect(peer)
	c.ownerUnreachable(peer, now)
	c.offersLost(peer)
}
