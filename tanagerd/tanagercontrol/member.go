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

// storeEntry is a store entry as it was read. It is kept to be relayed to peers
// that lag behind.
type storeEntry = tanagerstore.Entry

// handleLeaseRenewed extends the store lease.
func (c *Control) handleLeaseRenewed(_ string, m tanagermessage.LeaseRenewed, _ time.Time) {
	c.storeLease.RecordRenewal(m.SentAt)
}

// handleLeaseLost invalidates the store lease, which the store has deleted.
func (c *Control) handleLeaseLost(_ string, _ struct{}, _ time.Time) {
	c.storeLease.Invalidate()
	c.Log.Warn().Str("event", "lease_lost").Send()
}

// handleStoreChanged applies the entries that the watch of the store has
// delivered.
func (c *Control) handleStoreChanged(_ string, m tanagermessage.StoreChanged, now time.Time) {
	if m.Snapshot.Reset && m.Snapshot.Revision >= c.watchRevision {
		c.removeAbsentMembers(m.Snapshot.Entries, now)
	}
	c.watchRevision = max(c.watchRevision, m.Snapshot.Revision)
	for _, e := range m.Snapshot.Entries {
		if strings.HasPrefix(e.Key, tanagermessage.MemberKeyPrefix) {
			c.memberChanged(e, now)
		}
	}
	for _, e := range m.Snapshot.Entries {
		c.applyEntry(e, now)
	}
}

// applyEntry applies a newer shard map or configuration record, which came from
// the store or from a peer.
func (c *Control) applyEntry(e tanagerstore.Entry, now time.Time) {
	if e.Key == tanagershard.Key {
		c.applyMap(e, now)
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

// removeAbsentMembers removes the members that are missing from a full read.
func (c *Control) removeAbsentMembers(entries []tanagerstore.Entry, now time.Time) {
	present := make(map[string]bool)
	for _, e := range entries {
		present[e.Key] = true
	}
	for id := range c.members {
		if !present[tanagermessage.MemberKeyPrefix+id] {
			c.removeMember(id, now)
		}
	}
}

func (c *Control) memberChanged(e tanagerstore.Entry, now time.Time) {
	id := strings.TrimPrefix(e.Key, tanagermessage.MemberKeyPrefix)
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
		c.promiseGrantor.Readmit(id)
	}
	c.members[id] = m
	c.Directory.Set(m)
}

func (c *Control) removeMember(id string, now time.Time) {
	if _, known := c.members[id]; !known {
		return
	}
	delete(c.members, id)
	delete(c.peerLoads, id)
	c.Log.Info().Str("event", "member_left").Str("member", id).Send()
	c.ownerLeft(id, now)
	c.markOffersRecovering(id)
}

// activeMembers returns the members that may be given shards, in sorted order.
// Members that are draining are left out.
func (c *Control) activeMembers() []string {
	ids := slices.Sorted(maps.Keys(c.members))
	return slices.DeleteFunc(ids, func(id string) bool {
		return c.peerLoads[id].draining || id == c.self && c.draining
	})
}

func (c *Control) handleConnectionLost(peer string, now time.Time) {
	c.suspect(peer)
	c.ownerUnreachable(peer, now)
	c.markOffersRecovering(peer)
}
