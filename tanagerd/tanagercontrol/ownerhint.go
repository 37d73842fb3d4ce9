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

func (c *Control) slots(service string) int {
	n := 0
	for _, t := range c.fleet.targets {
		if t.vm.Service == service && t.vm.State == tanagerplatform.Live && !t.gated {
			n += t.vm.Slots - t.ghosts
		}
	}
	return n
}

// serviceHints returns the load of this daemon's services.
func (c *Control) serviceHints() []tanagermessage.ServiceHint {
	var hints []tanagermessage.ServiceHint
	for _, name := range slices.Sorted(maps.Keys(c.owned.services)) {
		if h := c.serviceHint(name); h.Slots > 0 {
			hints = append(hints, h)
		}
	}
	return hints
}

// serviceHint returns the load of one service.
func (c *Control) serviceHint(service string) tanagermessage.ServiceHint {
	now := c.Timer.Now()
	h := tanagermessage.ServiceHint{
		Service: service,
	}
	for _, t := range c.fleet.targets {
		if t.vm.Service == service {
			h.Slots += t.vm.Slots
			h.Free += max(t.free(now), 0)
		}
	}
	if s := c.owned.services[service]; s != nil {
		h.Queued = s.queue.Len()
	}
	return h
}
