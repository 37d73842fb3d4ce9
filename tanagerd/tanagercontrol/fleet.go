package tanagercontrol

import (
	"maps"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// fleetTables hold the platform's VM list and the targets that this daemon
// owns.
type fleetTables struct {
	vms map[string]tanagerplatform.VM
	// listedSince is when each VM first appeared in this daemon's copy of the
	// list.
	listedSince map[string]time.Time
	// listFreshAt is when the list was last known to be current.
	listFreshAt time.Time
	targets     map[string]*targetRow
	// serviceOwners maps each service to the daemons that own live targets of
	// it.
	serviceOwners map[string][]string
	// workerOwners are the daemons that own workers.
	workerOwners []string
}

func newFleetTables() *fleetTables {
	return &fleetTables{
		vms:           make(map[string]tanagerplatform.VM),
		listedSince:   make(map[string]time.Time),
		targets:       make(map[string]*targetRow),
		serviceOwners: make(map[string][]string),
	}
}

// targetRow is the state of one target.
type targetRow struct {
	vm       tanagerplatform.VM
	shard    tanagershard.Shard
	inFlight int
	// orphanedSlots are slots that may still run requests which this daemon no
	// longer waits for, or which a previous owner sent.
	orphanedSlots int
	// orphansKnown is set once a probe has set orphanedSlots. Until then the
	// target receives no requests.
	orphansKnown bool
	probedAt     time.Time
	probing      bool
	// unconfirmed is set while the takeover from a previous owner is not confirmed.
	// The target receives no requests meanwhile.
	unconfirmed bool
	// idleSince is since when an unconfirmed target has reported no busy slots.
	idleSince      time.Time
	suspectedUntil time.Time
	// deferredRetries are idempotent requests whose run has an unknown outcome
	// and that are retried once the target is idle.
	deferredRetries []*ownedRequest
}

// freeSlots returns the number of slots to which requests may be sent.
func (t *targetRow) freeSlots(now time.Time) int {
	if t.vm.State != tanagerplatform.Live || t.unconfirmed || !t.orphansKnown || now.Before(t.suspectedUntil) {
		return 0
	}
	return t.vm.Slots - t.inFlight - t.orphanedSlots
}

// inFlight returns the number of requests running on the targets of a shard.
func (f *fleetTables) inFlight(s tanagershard.Shard) int {
	n := 0
	for _, t := range f.targets {
		if t.shard == s {
			n += t.inFlight
		}
	}
	return n
}

// handleVMListChanged applies changes of the platform's VM list.
func (c *Control) handleVMListChanged(_ string, m tanagermessage.VMListChanged, now time.Time) {
	c.fleet.listFreshAt = m.ReceivedAt
	for _, vm := range m.List.VMs {
		if vm.State == tanagerplatform.Gone {
			delete(c.fleet.vms, vm.Name)
			delete(c.fleet.listedSince, vm.Name)
		} else {
			c.fleet.setVM(vm, now)
		}
		c.vmChanged(vm, now)
	}
	if len(m.List.VMs) > 0 && c.mapKnown() {
		c.fleet.rebuildOwners(c.shardMap)
	}
}

// setVM adds or updates a VM of the list.
func (f *fleetTables) setVM(vm tanagerplatform.VM, now time.Time) {
	f.vms[vm.Name] = vm
	if _, known := f.listedSince[vm.Name]; !known {
		f.listedSince[vm.Name] = now
	}
}

func (c *Control) vmChanged(vm tanagerplatform.VM, now time.Time) {
	if !c.mapKnown() || !c.owns(c.shardMap.ShardOf(vm.Name)) {
		return
	}
	switch vm.Kind {
	case tanagerplatform.Worker:
		c.workers.vmChanged(c, vm, now)
	case tanagerplatform.Target:
		c.targetChanged(vm, now)
	}
}

// rebuildOwners recomputes the owners of each service's targets and of the
// workers.
func (f *fleetTables) rebuildOwners(m tanagershard.Map) {
	owners := make(map[string]map[string]bool)
	workerOwners := make(map[string]bool)
	for _, vm := range f.vms {
		if vm.Kind == tanagerplatform.Worker {
			workerOwners[m.Shards[m.ShardOf(vm.Name)].Owner] = true
			continue
		}
		if owners[vm.Service] == nil {
			owners[vm.Service] = make(map[string]bool)
		}
		if vm.State == tanagerplatform.Live {
			owners[vm.Service][m.Shards[m.ShardOf(vm.Name)].Owner] = true
		}
	}
	f.workerOwners = slices.Sorted(maps.Keys(workerOwners))
	clear(f.serviceOwners)
	for service, set := range owners {
		f.serviceOwners[service] = slices.Sorted(maps.Keys(set))
	}
}

// addTargets adds the targets of a shard that this daemon has gained.
func (c *Control) addTargets(s tanagershard.Shard, a tanagershard.Assignment) {
	for _, vm := range c.fleet.vms {
		if vm.Kind == tanagerplatform.Target && c.shardMap.ShardOf(vm.Name) == s {
			c.addTarget(vm, s, len(a.Unconfirmed) > 0)
		}
	}
}

func (c *Control) addTarget(vm tanagerplatform.VM, s tanagershard.Shard, unconfirmed bool) {
	c.fleet.targets[vm.Name] = &targetRow{
		vm:          vm,
		shard:       s,
		unconfirmed: unconfirmed,
	}
	c.owned.ensureService(c, vm.Service)
}

// targetChanged applies a change of a target's list entry.
func (c *Control) targetChanged(vm tanagerplatform.VM, now time.Time) {
	s := c.shardMap.ShardOf(vm.Name)
	row := c.fleet.targets[vm.Name]
	switch {
	case vm.State == tanagerplatform.Gone:
		delete(c.fleet.targets, vm.Name)
		if row != nil {
			c.retryDeferred(row, now)
		}
	case row == nil:
		_, confirmed := c.previousOwnersConfirmed(s)
		c.addTarget(vm, s, !confirmed)
	default:
		row.vm = vm
	}
}

// removeTargets removes the targets of a shard that this daemon has lost.
// Requests running there still get their results. Queued requests are returned
// to their coordinators if no target of their service is left.
func (c *Control) removeTargets(s tanagershard.Shard, now time.Time) {
	for name, t := range c.fleet.targets {
		if t.shard == s {
			delete(c.fleet.targets, name)
			c.failDeferred(t, now)
		}
	}
	c.owned.rejectUnservable(c, now)
}

// probeTargets releases targets once the takeovers from their previous owners
// are confirmed, and probes targets for their busy slots where the number of
// orphaned slots is not known.
func (c *Control) probeTargets(now time.Time) {
	for name, t := range c.fleet.targets {
		if t.unconfirmed {
			if _, ok := c.previousOwnersConfirmed(t.shard); ok {
				t.unconfirmed = false
				t.orphansKnown = false
			}
		}
		if t.orphanedSlots > 0 && now.Sub(t.probedAt) > reprobeInterval {
			t.orphansKnown = false
		}
		if !t.orphansKnown && t.inFlight == 0 && !t.probing && now.After(t.suspectedUntil) {
			t.probing = true
			c.Effects.ProbeTarget(name, t.vm.Address)
		}
	}
}

// handleTargetProbed sets the orphaned slots of a target that runs no request
// of this daemon. While the target is unconfirmed, probes release it only after
// it has been idle for longer than any request may take.
func (c *Control) handleTargetProbed(_ string, m tanagermessage.TargetProbed, now time.Time) {
	t := c.fleet.targets[m.Target]
	if t == nil {
		return
	}
	t.probing = false
	if !m.Responded {
		t.suspectedUntil = now.Add(suspectDuration)
		t.idleSince = time.Time{}
		return
	}
	if t.unconfirmed {
		c.trackIdle(t, m, now)
		return
	}
	if t.orphansKnown || t.inFlight > 0 {
		return
	}
	t.orphanedSlots = m.BusySlots
	t.orphansKnown = true
	t.probedAt = now
	if t.orphanedSlots == 0 {
		c.retryDeferred(t, now)
	}
}

func (c *Control) trackIdle(t *targetRow, m tanagermessage.TargetProbed, now time.Time) {
	if m.BusySlots > 0 {
		t.idleSince = time.Time{}
		return
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	if now.Sub(t.idleSince) > c.addClockDrift(c.settings.MaxRequestTimeout) {
		t.unconfirmed = false
	}
}
