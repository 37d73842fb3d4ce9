package tanagercontrol

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// syncsPerLease is the number of syncs in one task lease.
const syncsPerLease = 3

// maxFamilies bounds the task families whose usage is remembered.
const maxFamilies = 4096

// workerState is what this owner knows about a worker.
type workerState uint8

const (
	// workerUnknown workers have not responded to this owner yet. They receive no
	// tasks.
	workerUnknown workerState = iota
	// workerKnown workers have reported all their tasks and accepted this
	// epoch.
	workerKnown
	// workerLost workers have not responded for so long that their task lease
	// has certainly expired. They run nothing.
	workerLost
)

// workerRow is the state of one worker.
type workerRow struct {
	vm    tanagerplatform.VM
	shard tanagershard.Shard
	epoch uint64
	state workerState
	// gone is set once the platform's list shows the VM as gone.
	gone bool
	// fenced is set once the worker has rejected this owner because it has seen
	// a higher epoch.
	fenced bool
	// leaseBase is the worker's last clock reading, received at leaseBaseAt.
	leaseBase   int64
	leaseBaseAt time.Time
	// confirmedAt is since when no previous owner can renew the task lease.
	confirmedAt   time.Time
	reportVersion uint64
	syncing       bool
	nextSync      time.Time
	acks          []string
	pendingStarts []*taskRow
	starting      bool
	// tasks are the tasks on this worker, by attempt.
	tasks map[string]*taskRow
}

// workerTables hold the workers that this daemon owns and the tasks on them.
type workerTables struct {
	rows           map[string]*workerRow
	fleet          *tanagerplace.Fleet
	usageEstimator *tanagerplace.UsageEstimator
	tasks          map[string]*taskRow
	// unacknowledged are the ended tasks whose end the job's owner has not
	// acknowledged yet.
	unacknowledged map[string]*taskRow
	offers         *offerTables
	reservations   map[string]*reservation
	// gainedAt is when this daemon gained each shard.
	gainedAt map[tanagershard.Shard]time.Time
	// placementDue is set when offers, free resources or branch rules have
	// changed since the last placement.
	placementDue bool
	resendAt     time.Time
}

func newWorkerTables() *workerTables {
	return &workerTables{
		rows:           make(map[string]*workerRow),
		fleet:          tanagerplace.New(tanagerplace.Settings{}),
		usageEstimator: tanagerplace.NewUsageEstimator(maxFamilies),
		tasks:          make(map[string]*taskRow),
		unacknowledged: make(map[string]*taskRow),
		offers:         newOfferTables(),
		reservations:   make(map[string]*reservation),
		gainedAt:       make(map[tanagershard.Shard]time.Time),
	}
}

// addShard adds the workers of a shard that this daemon has gained.
func (w *workerTables) addShard(c *Control, s tanagershard.Shard, now time.Time) {
	w.gainedAt[s] = now
	for _, vm := range c.fleet.vms {
		if vm.Kind == tanagerplatform.Worker && c.shardMap.ShardOf(vm.Name) == s {
			w.addWorker(c, vm, s)
		}
	}
}

func (w *workerTables) addWorker(c *Control, vm tanagerplatform.VM, s tanagershard.Shard) {
	w.rows[vm.Name] = &workerRow{
		vm:    vm,
		shard: s,
		epoch: c.epoch(s),
		tasks: make(map[string]*taskRow),
	}
	w.fleet.SetWorker(tanagerplace.Worker{
		Name:          vm.Name,
		FailureDomain: vm.FailureDomain,
		Rack:          vm.Rack,
		Capacity:      vm.Capacity,
	})
	w.offers.backlog.SetCapacity(w.fleet.Capacity())
}

// removeShard removes the workers of a shard that this daemon has lost, and
// rejects the offers whose start was not sent yet.
func (w *workerTables) removeShard(c *Control, s tanagershard.Shard) {
	delete(w.gainedAt, s)
	for name, row := range w.rows {
		if row.shard != s {
			continue
		}
		for _, t := range row.pendingStarts {
			c.rejectOffer(t.offer, t.jobOwner)
		}
		w.removeWorker(name)
	}
	w.offers.backlog.SetCapacity(w.fleet.Capacity())
}

// removeWorker removes a worker and its tasks.
func (w *workerTables) removeWorker(name string) {
	for _, t := range w.rows[name].tasks {
		w.releaseTask(t)
		w.forgetTask(t)
	}
	w.fleet.RemoveWorker(name)
	delete(w.rows, name)
}

// startInProgress reports whether a start call to a worker of the shard is
// queued or in progress.
func (w *workerTables) startInProgress(s tanagershard.Shard) bool {
	for _, row := range w.rows {
		if row.shard == s && (row.starting || len(row.pendingStarts) > 0) {
			return true
		}
	}
	return false
}

// freeResources returns the unallocated resources of all workers.
func (w *workerTables) freeResources() tanagerresource.Vector {
	return w.fleet.Capacity().Sub(w.fleet.Allocated())
}

// vmChanged applies a change of a worker's list entry.
func (w *workerTables) vmChanged(c *Control, vm tanagerplatform.VM, _ time.Time) {
	row := w.rows[vm.Name]
	if row == nil {
		if vm.State != tanagerplatform.Gone {
			w.addWorker(c, vm, c.shardMap.ShardOf(vm.Name))
		}
		return
	}
	row.gone = vm.State == tanagerplatform.Gone
	if !row.gone {
		row.vm = vm
	}
	w.updateSchedulable(c, row)
	if vm.State == tanagerplatform.Leaving {
		c.evictServices(row)
	}
}

// updateSchedulable makes a worker accept new tasks, or not. A worker that has
// just appeared in the list has to wait until the list of every other daemon
// shows it too, because the successor must know each worker that this daemon
// has used.
func (w *workerTables) updateSchedulable(c *Control, row *workerRow) {
	listed := c.Timer.Now().Sub(c.fleet.listedSince[row.vm.Name]) >= c.settings.MaxListLag
	schedulable := listed && row.state == workerKnown && !row.gone && !row.fenced &&
		row.vm.State == tanagerplatform.Live && c.releasing[row.shard] == ""
	w.fleet.SetSchedulable(row.vm.Name, schedulable)
	w.placementDue = w.placementDue || schedulable
}

// reconcileWorkers syncs with the workers and detects those whose lease has
// expired.
func (c *Control) reconcileWorkers(now time.Time) {
	for _, row := range c.workers.rows {
		c.workers.updateSchedulable(c, row)
		c.checkLeaseExpiry(row, now)
		if row.gone && row.state == workerLost && len(row.tasks) == 0 {
			// Every job owner has acknowledged the lost tasks.
			c.workers.removeWorker(row.vm.Name)
			continue
		}
		if !row.syncing && !row.fenced && !now.Before(row.nextSync) {
			c.syncWorker(row, now)
		}
	}
	c.expireOffers(now)
	c.expireReservations(now)
	c.resendAttemptStatuses(now)
}

// syncWorker renews the task lease of a worker. If this daemon holds no lease
// itself, the call carries no lease base and so extends nothing.
func (c *Control) syncWorker(row *workerRow, now time.Time) {
	call := tanagerplatform.SyncCall{
		Epoch:        row.epoch,
		Lease:        c.settings.TaskLease,
		After:        row.reportVersion,
		Acknowledged: row.acks,
	}
	if row.state == workerKnown && c.holdsLease(now) {
		call.LeaseBase = row.leaseBase
		call.Wait = c.settings.TaskLease / syncsPerLease
	}
	row.syncing = true
	row.acks = nil
	row.nextSync = now.Add(syncDelay)
	c.Effects.Sync(SyncOrder{
		Worker:  row.vm.Name,
		Address: row.vm.Address,
		Call:    call,
	})
}

// The delays between two syncs with a worker, and the safety margin on the
// expiry of its lease.
const (
	syncDelay      = 20 * time.Millisecond
	syncRetryDelay = 300 * time.Millisecond
	// unleasedSyncDelay applies while this daemon holds no lease.
	unleasedSyncDelay = time.Second
	leaseExpirySlack  = 500 * time.Millisecond
)

func (c *Control) handleWorkerSynced(_ string, m tanagermessage.WorkerSynced, now time.Time) {
	row := c.workers.rows[m.Worker]
	if row == nil || row.epoch != m.Epoch {
		return
	}
	row.syncing = false
	switch {
	case errorx.IsOfType(m.Err, tanagerplatform.Fenced):
		row.fenced = true
		c.workers.updateSchedulable(c, row)
		c.counters.workersFenced++
		c.Log.Warn().Str("event", "worker_fenced").Str("vm", m.Worker).Send()
		return
	case m.Err != nil:
		row.acks = append(row.acks, m.Acknowledged...)
		row.nextSync = now.Add(syncRetryDelay)
		return
	}
	if !c.holdsLease(now) {
		row.nextSync = now.Add(unleasedSyncDelay)
	}
	c.applyReport(row, m, now)
}

// applyReport applies a worker's report. A version that went back means that
// the worker was restarted and runs none of its earlier tasks.
func (c *Control) applyReport(row *workerRow, m tanagermessage.WorkerSynced, now time.Time) {
	if m.Report.Version < row.reportVersion {
		c.endLostTasks(row, now)
		row.state = workerUnknown
		row.reportVersion = 0
		row.leaseBase = 0
		row.nextSync = now
		return
	}
	row.leaseBase = m.Report.LeaseBase
	row.leaseBaseAt = m.ReceivedAt
	row.reportVersion = m.Report.Version
	for _, report := range m.Report.Tasks {
		c.applyTaskReport(row, report, now)
	}
	c.resolveStarts(row, m.SentAt)
	if row.state != workerKnown {
		row.state = workerKnown
		c.workers.updateSchedulable(c, row)
	}
	c.reclaimOvercommitted(row, now)
}

// checkLeaseExpiry declares a worker lost once its task lease has certainly
// expired. The lease ends at the latest one lease length after this owner
// received the last lease base, or, for a worker that never responded, after the
// last of the previous owners could no longer renew it.
func (c *Control) checkLeaseExpiry(row *workerRow, now time.Time) {
	since := row.leaseBaseAt
	if row.state == workerUnknown && row.leaseBaseAt.IsZero() {
		since = c.unrenewableSince(row, now)
	}
	if row.state == workerLost || since.IsZero() {
		return
	}
	if now.Sub(since) <= c.addClockDrift(c.settings.TaskLease)+leaseExpirySlack {
		return
	}
	c.Log.Warn().Str("event", "worker_lost").Str("vm", row.vm.Name).Send()
	c.counters.workersLost++
	row.state = workerLost
	row.reportVersion = 0
	row.leaseBase = 0
	c.endLostTasks(row, now)
	c.workers.updateSchedulable(c, row)
}

// unrenewableSince returns since when no other daemon can renew the lease of a
// worker, or the zero time.
func (c *Control) unrenewableSince(row *workerRow, now time.Time) time.Time {
	if !row.confirmedAt.IsZero() {
		return row.confirmedAt
	}
	if _, ok := c.previousOwnersConfirmed(row.shard); ok {
		row.confirmedAt = now
	}
	return row.confirmedAt
}

// allTasksKnown reports whether all tasks on the workers of a shard are known:
// every worker has reported or is lost, and the list was read after the shard
// was gained. The previous owner used no worker that was missing from any
// daemon's list.
func (c *Control) allTasksKnown(s tanagershard.Shard) bool {
	if !c.owns(s) || !c.fleet.listFreshAt.After(c.workers.gainedAt[s]) {
		return false
	}
	for _, row := range c.workers.rows {
		if row.shard == s && row.state == workerUnknown {
			return false
		}
	}
	return true
}

// reclaimOvercommitted reclaims resources on a worker whose tasks use more than
// its capacity.
func (c *Control) reclaimOvercommitted(row *workerRow, now time.Time) {
	for _, v := range c.workers.fleet.ResolveOvercommit(row.vm.Name, now) {
		c.reclaimFromTask(row, v)
	}
}

// reclaimFromTask checkpoints, throttles or stops one task to reclaim its
// resources. It uses each way at most once per task.
func (c *Control) reclaimFromTask(row *workerRow, v tanagerplace.Victim) {
	mode := tanagerplatform.Stop
	switch v.Action {
	case tanagerplace.ActionCheckpoint:
		mode = tanagerplatform.Checkpoint
	case tanagerplace.ActionThrottle:
		mode = tanagerplatform.Throttle
	case tanagerplace.ActionStop:
	}
	t := c.workers.tasks[v.Task]
	if t == nil || t.reclaimedBy[mode] {
		return
	}
	t.reclaimedBy[mode] = true
	c.counters.tasksReclaimed++
	c.Log.Info().Str("event", "task_relieved").Str("task", v.Task).Str("mode", string(mode)).Send()
	c.sendStop(row, mode, v.Task)
}

func (c *Control) sendStop(row *workerRow, mode tanagerplatform.StopMode, ids ...string) {
	c.Effects.Stop(StopOrder{
		Address: row.vm.Address,
		Call: tanagerplatform.StopCall{
			Epoch: row.epoch,
			Mode:  mode,
			IDs:   ids,
		},
	})
}
