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

// hint is what a peer last told of its load.
type hint struct {
	received time.Time
	services map[string]serviceHint
	free     tanagerresource.Vector
	total    tanagerresource.Vector
	draining bool
}

// gossipState remembers what was told last.
type gossipState struct {
	last  tanagermessage.Gossip
	whole time.Time
	at    time.Time
}

// largeCellInterval is the time between two messages in a cell in which gossip
// only repairs what watches and answers have missed.
const largeCellInterval = 2 * time.Second

// wholeInterval is the longest time between two whole messages. A daemon that
// has just joined knows nothing until the next.
const wholeInterval = 2 * time.Second

// serviceHint is the load of a service at a peer, less what was sent there
// since.
type serviceHint struct {
	free   int
	queued int
	slots  int
}

// gossip tells some peers how far and how loaded this daemon is.
func (c *Control) gossip(now time.Time) {
	c.checkDrained()
	g := c.ownGossip()
	c.gossiped(c.self, g, now)
	if !c.everyoneTold() && now.Sub(c.told.at) < largeCellInterval {
		return
	}
	c.told.at = now
	if reflect.DeepEqual(g, c.told.last) && now.Sub(c.told.whole) < wholeInterval {
		g = tanagermessage.Gossip{
			Same: true,
		}
	} else {
		c.told.last = g
		c.told.whole = now
	}
	for _, to := range c.gossipTargets() {
		c.send(to, tanagermessage.TopicGossip, g)
	}
}

func (c *Control) ownGossip() tanagermessage.Gossip {
	return tanagermessage.Gossip{
		MapRevision:    c.mapRevision,
		ConfigRevision: c.follower.Sequence(),
		Services:       c.serviceHints(),
		Free:           c.workers.freeResources(),
		Total:          c.workers.fleet.Total(),
		Draining:       c.draining,
	}
}

// everyoneTold reports whether gossip goes to every member. In a larger cell it
// goes to a few at random, and loads are learnt from the owners' answers.
func (c *Control) everyoneTold() bool { return len(c.members) <= smallCell }

// gossipTargets returns the peers to tell.
func (c *Control) gossipTargets() []string {
	ids := slices.Sorted(maps.Keys(c.members))
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == c.self })
	c.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if c.everyoneTold() {
		return ids
	}
	return ids[:gossipPeers]
}

// gossiped takes a peer's load and sends it what it lacks.
func (c *Control) gossiped(from string, m tanagermessage.Gossip, now time.Time) {
	if m.Same {
		if h, known := c.hints[from]; known {
			h.received = now
			c.hints[from] = h
		}
		c.ownerReached(from)
		return
	}
	h := hint{
		received: now,
		services: make(map[string]serviceHint, len(m.Services)),
		free:     m.Free,
		total:    m.Total,
		draining: m.Draining,
	}
	for _, s := range m.Services {
		h.services[s.Service] = serviceHint{
			free:   s.Free,
			queued: s.Queued,
			slots:  s.Slots,
		}
	}
	c.hints[from] = h
	c.ownerReached(from)
	c.relay(from, m)
}

// hinted takes the load that an owner told with an answer.
func (c *Control) hinted(from string, h tanagermessage.ServiceHint, now time.Time) {
	if h.Service == "" {
		return
	}
	known, ok := c.hints[from]
	if !ok {
		known = hint{
			services: make(map[string]serviceHint),
		}
	}
	known.received = now
	c.hints[from] = known
	known.services[h.Service] = serviceHint{
		free:   h.Free,
		queued: h.Queued,
		slots:  h.Slots,
	}
}

// relay sends a peer the newer map and configuration, so that a daemon that is
// cut off from the store alone still learns of them.
func (c *Control) relay(to string, m tanagermessage.Gossip) {
	var entries []tanagerstore.Entry
	if m.MapRevision < c.mapRevision {
		entries = append(entries, c.mapEntry)
	}
	if m.ConfigRevision < c.follower.Sequence() {
		entries = append(entries, c.follower.Entries()...)
	}
	if len(entries) > 0 {
		c.send(to, tanagermessage.TopicEntries, tanagermessage.Entries{
			Entries: entries,
		})
	}
}

func (c *Control) entriesRelayed(_ string, m tanagermessage.Entries, now time.Time) {
	for _, e := range m.Entries {
		c.adopt(e, now)
	}
}
