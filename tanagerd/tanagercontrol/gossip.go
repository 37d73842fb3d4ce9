package tanagercontrol

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanagerd/tanagermessage"
)

// peerLoad is the load that a peer last reported.
type peerLoad struct {
	receivedAt time.Time
	services   map[string]serviceLoad
	free       tanagerresource.Vector
	capacity   tanagerresource.Vector
	draining   bool
}

// gossipState is what was last sent, and when.
type gossipState struct {
	last       tanagermessage.Gossip
	fullSentAt time.Time
	sentAt     time.Time
}

// sparseGossipInterval is the time between two messages in a cell that is too
// large for gossip to every member. There, gossip only repairs what watches and
// responses have missed.
const sparseGossipInterval = 2 * time.Second

// fullGossipInterval is the longest time between two messages with full
// content. A daemon that has just joined knows no loads until the next one.
const fullGossipInterval = 2 * time.Second

// serviceLoad is the load of a service at a peer, as last reported, less the
// requests that this daemon has sent there since.
type serviceLoad struct {
	free   int
	queued int
	slots  int
}

// sendGossip sends this daemon's revisions and load to its peers.
func (c *Control) sendGossip(now time.Time) {
	c.checkDrained()
	g := c.buildGossip()
	c.handleGossip(c.self, g, now)
	if !c.gossipsToAll() && now.Sub(c.gossipState.sentAt) < sparseGossipInterval {
		return
	}
	c.gossipState.sentAt = now
	if reflect.DeepEqual(g, c.gossipState.last) && now.Sub(c.gossipState.fullSentAt) < fullGossipInterval {
		g = tanagermessage.Gossip{
			Unchanged: true,
		}
	} else {
		c.gossipState.last = g
		c.gossipState.fullSentAt = now
	}
	for _, to := range c.gossipRecipients() {
		c.send(to, tanagermessage.TopicGossip, g)
	}
}

func (c *Control) buildGossip() tanagermessage.Gossip {
	return tanagermessage.Gossip{
		MapRevision:    c.mapRevision,
		ConfigRevision: c.follower.Sequence(),
		ServiceLoads:   c.serviceLoads(),
		Free:           c.workers.freeResources(),
		Capacity:       c.workers.fleet.Capacity(),
		Draining:       c.draining,
	}
}

// gossipsToAll reports whether gossip goes to every member. In a larger cell it
// goes to a few random members, and loads are taken from the results that owners
// return.
func (c *Control) gossipsToAll() bool { return len(c.members) <= maxFullMeshMembers }

// gossipRecipients returns the peers to send gossip to.
func (c *Control) gossipRecipients() []string {
	ids := slices.Sorted(maps.Keys(c.members))
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == c.self })
	c.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if c.gossipsToAll() {
		return ids
	}
	return ids[:gossipFanout]
}

// handleGossip stores a peer's load and sends the peer the store entries that
// it lacks.
func (c *Control) handleGossip(from string, m tanagermessage.Gossip, now time.Time) {
	if m.Unchanged {
		if load, known := c.peerLoads[from]; known {
			load.receivedAt = now
			c.peerLoads[from] = load
		}
		c.ownerReached(from)
		return
	}
	load := peerLoad{
		receivedAt: now,
		services:   make(map[string]serviceLoad, len(m.ServiceLoads)),
		free:       m.Free,
		capacity:   m.Capacity,
		draining:   m.Draining,
	}
	for _, s := range m.ServiceLoads {
		load.services[s.Service] = serviceLoad{
			free:   s.Free,
			queued: s.Queued,
			slots:  s.Slots,
		}
	}
	c.peerLoads[from] = load
	c.ownerReached(from)
	c.relayEntries(from, m)
}

// serviceLoadReceived stores the load that an owner reported with a result.
func (c *Control) serviceLoadReceived(from string, load tanagermessage.ServiceLoad, now time.Time) {
	if load.Service == "" {
		return
	}
	known, ok := c.peerLoads[from]
	if !ok {
		known = peerLoad{
			services: make(map[string]serviceLoad),
		}
	}
	known.receivedAt = now
	c.peerLoads[from] = known
	known.services[load.Service] = serviceLoad{
		free:   load.Free,
		queued: load.Queued,
		slots:  load.Slots,
	}
}

// relayEntries sends a peer the newer shard map and configuration, so that they
// also reach a daemon that has lost only its own connection to the store.
func (c *Control) relayEntries(to string, m tanagermessage.Gossip) {
	var entries []tanagerstore.Entry
	if m.MapRevision < c.mapRevision {
		entries = append(entries, c.mapEntry)
	}
	if m.ConfigRevision < c.follower.Sequence() {
		entries = append(entries, c.follower.Entries()...)
	}
	if len(entries) > 0 {
		c.send(to, tanagermessage.TopicStoreEntries, tanagermessage.StoreEntries{
			Entries: entries,
		})
	}
}

func (c *Control) handleStoreEntries(_ string, m tanagermessage.StoreEntries, now time.Time) {
	for _, e := range m.Entries {
		c.applyEntry(e, now)
	}
}
