package tanagercontrol

import (
	"maps"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// fleetTables hold the platform's list and the targets that this daemon owns.
type fleetTables struct {
	vms map[string]tanagerplatform.VM
	// seen is since when each VM is in this daemon's list.
	seen map[string]time.Time
	// updated is when the list was last known to be fresh.
	updated time.Time
	targets map[string]*targetRow
	// routes names the owners of each service's targets.
	routes map[string][]string
	// workerOwners are the owners of workers.
	workerOwners []string
}

func newFleetTables() *fleetTables {
	return &fleetTables{
		vms:     make(map[string]tanagerplatform.VM),
		seen:    make(map[string]time.Time),
		targets: make(map[string]*targetRow),
		routes:  make(map[string][]string),
	}
}

// targetRow is the table row of one target.
type targetRow struct {
	vm       tanagerplatform.VM
	shard    tanagershard.Shard
	inFlight int
	// ghosts are slots that may still run requests which this daemon no longer
	// waits for, or which an earlier owner sent.
	ghosts int
	// counted is set once ghosts is known; until then the target gets nothing.
	counted   bool
	countedAt time.Time
	asking    bool
	// gated holds the target back until the earlier owners' end is confirmed.
	gated bool
	// idleSince is since when a gated target has said that it is idle.
	idleSince time.Time
	suspect   time.Time
	// ending are idempotent requests that may still run here.
	ending []*ownedRequest
}

// free returns the number of slots that may be used.
func (t *targetRow) free(now time.Time) int {
	if t.vm.State != tanagerplatform.Live || t.gated || !t.counted || now.Before(t.suspect) {
		return 0
	}
	return t.vm.Slots - t.inFlight - t.ghosts
}

// inFlight returns the number of requests at the targets of a shard.
func (f *fleetTables) inFlight(s tanagershard.Shard) int {
	n := 0
	for _, t := range f.targets {
		if t.shard == s {
			n += t.inFlight
		}
	}
	return n
}

// vmsChanged takes changes of the platform's list.
func (c *Control) vmsChanged(_ string, m tanagermessage.VMsChanged, now time.Time) {
	c.fleet.updated = m.Received
	for _, vm := range m.List.VMs {
		if vm.State == tanagerplatform.Gone {
			delete(c.fleet.vms, vm.Name)
			delete(c.fleet.seen, vm.Name)
		} else {
			c.fleet.notice(vm, now)
		}
		c.vmChanged(vm, now)
	}
	if len(m.List.VMs) > 0 && c.mapped() {
		c.fleet.rebuildRoutes(c.shardMap)
	}
}

// notice takes the record of a VM.
func (f *fleetTables) notice(vm tanagerplatform.VM, now time.Time) {
	f.vms[vm.Name] = vm
	if _, known := f.seen[vm.Name]; !known {
		f.seen[vm.Name] = now
	}
}

func (c *Control) vmChanged(vm tanagerplatform.VM, now time.Time) {
	if !c.mapped() || !c.owns(c.shardMap.Of(vm.Name)) {
		return
	}
	switch vm.Kind {
	case tanagerplatform.Worker:
		c.workers.vmChanged(c, vm, now)
	case tanagerplatform.Target:
		c.targetChanged(vm, now)
	}
}

// rebuildRoutes finds the owners of each service's targets anew.
func (f *fleetTables) rebuildRoutes(m tanagershard.Map) {
	owners := make(map[string]map[string]bool)
	workerOwners := make(map[string]bool)
	for _, vm := range f.vms {
		if vm.Kind == tanagerplatform.Worker {
			workerOwners[m.Shards[m.Of(vm.Name)].Owner] = true
			continue
		}
		if owners[vm.Service] == nil {
			owners[vm.Service] = make(map[string]bool)
		}
		if vm.State == tanagerplatform.Live {
			owners[vm.Service][m.Shards[m.Of(vm.Name)].Owner] = true
		}
	}
	f.workerOwners = slices.Sorted(maps.Keys(workerOwners))
	clear(f.routes)
	for service, set := range owners {
		f.routes[service] = slices.Sorted(maps.Keys(set))
	}
}

// gainTargets begins to own the targets of a shard.
func (c *Control) gainTargets(s tanagershard.Shard, a tanagershard.Assignment) {
	for _, vm := range c.fleet.vms {
		if vm.Kind == tanagerplatform.Target && c.shardMap.Of(vm.Name) == s {
			c.addTarget(vm, s, len(a.Unconfirmed) > 0)
		}
	}
}

func (c *Control) addTarget(vm tanagerplatform.VM, s tanagershard.Shard, gated bool) {
	c.fleet.targets[vm.Name] = &targetRow{
		vm:    vm,
		shard: s,
		gated: gated,
	}
	c.owned.service(c, vm.Service)
}

// targetChanged takes a change of a target's record.
func (c *Control) targetChanged(vm tanagerplatform.VM, now time.Time) {
	s := c.shardMap.Of(vm.Name)
	row := c.fleet.targets[vm.Name]
	switch {
	case vm.State == tanagerplatform.Gone:
		delete(c.fleet.targets, vm.Name)
		if row != nil {
			c.runsEnded(row, now)
		}
	case row == nil:
		_, confirmed := c.confirmed(s)
		c.addTarget(vm, s, !confirmed)
	default:
		row.vm = vm
	}
}

// loseTargets ends the ownership of the targets of a shard. Requests that run
// there are still answered; what waits is sent back when no target is left.
func (c *Control) loseTargets(s tanagershard.Shard, now time.Time) {
	for name, t := range c.fleet.targets {
		if t.shard == s {
			delete(c.fleet.targets, name)
			c.abandonEnding(t, now)
		}
	}
	c.owned.returnOrphans(c, now)
}

// askTargets opens gates and asks targets for their slots where the number of
// ghosts is not known.
func (c *Control) askTargets(now time.Time) {
	for name, t := range c.fleet.targets {
		if t.gated {
			if _, ok := c.confirmed(t.shard); ok {
				t.gated = false
				t.counted = false
			}
		}
		if t.ghosts > 0 && now.Sub(t.countedAt) > recountInterval {
			t.counted = false
		}
		if !t.counted && t.inFlight == 0 && !t.asking && now.After(t.suspect) {
			t.asking = true
			c.Effects.AskTarget(name, t.vm.Address)
		}
	}
}

// targetStatus counts the ghosts of a target that has nothing of this daemon's
// in flight. While the target is gated the answer opens it only if the target
// has been idle for longer than any request may take.
func (c *Control) targetStatus(_ string, m tanagermessage.TargetStatus, now time.Time) {
	t := c.fleet.targets[m.Target]
	if t == nil {
		return
	}
	t.asking = false
	if !m.Known {
		t.suspect = now.Add(suspectTime)
		t.idleSince = time.Time{}
		return
	}
	if t.gated {
		c.watchIdle(t, m, now)
		return
	}
	if t.counted || t.inFlight > 0 {
		return
	}
	t.ghosts = m.Busy
	t.counted = true
	t.countedAt = now
	if t.ghosts == 0 {
		c.runsEnded(t, now)
	}
}

func (c *Control) watchIdle(t *targetRow, m tanagermessage.TargetStatus, now time.Time) {
	if m.Busy > 0 {
		t.idleSince = time.Time{}
		return
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	if now.Sub(t.idleSince) > c.stretch(c.settings.LongestRequest) {
		t.gated = false
	}
}
