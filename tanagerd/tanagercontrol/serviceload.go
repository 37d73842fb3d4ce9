package tanagercontrol

import (
	"maps"
	"slices"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanagerd/tanagermessage"
)

func (c *Control) ownsService(service string) bool {
	for _, t := range c.fleet.targets {
		if t.vm.Service == service && c.releasing[t.shard] == "" {
			return true
		}
	}
	return false
}

func (c *Control) usableSlots(service string) int {
	n := 0
	for _, t := range c.fleet.targets {
		if t.vm.Service == service && t.vm.State == tanagerplatform.Live && !t.unconfirmed {
			n += t.vm.Slots - t.orphanedSlots
		}
	}
	return n
}

// serviceLoads returns the load of each service that this daemon owns targets
// of.
func (c *Control) serviceLoads() []tanagermessage.ServiceLoad {
	var loads []tanagermessage.ServiceLoad
	for _, name := range slices.Sorted(maps.Keys(c.owned.services)) {
		if load := c.serviceLoad(name); load.Slots > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// serviceLoad returns the load of one service on this daemon's targets.
func (c *Control) serviceLoad(service string) tanagermessage.ServiceLoad {
	now := c.Timer.Now()
	load := tanagermessage.ServiceLoad{
		Service: service,
	}
	for _, t := range c.fleet.targets {
		if t.vm.Service == service {
			load.Slots += t.vm.Slots
			load.Free += max(t.freeSlots(now), 0)
		}
	}
	if s := c.owned.services[service]; s != nil {
		load.Queued = s.queue.Len()
	}
	return load
}
