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

// syncParts is the number of syncs in one task lease.
const syncParts = 3

// maxFamilies bounds the families whose use is remembered.
const maxFamilies = 4096

// workerState is what is known of a worker.
type workerState uint8

const (
	// workerUnknown workers have not answered this owner yet: they count as
	// full.
	workerUnknown workerState = iota
	// workerKnown workers have told all their tasks and know this epoch.
	workerKnown
	// workerLost workers have not answered for so long that their task lease
	// has certainly lapsed: they run nothing.
	workerLost
)

// workerRow is the table row of one worker.
type workerRow struct {
	vm    tanagerplatform.VM
	shard tanagershard.Shard
	epoch uint64
	state workerState
	// gone is set once the platform's list shows the VM as gone.
	gone bool
	// fenced is set once the worker has seen a higher epoch.
	fenced bool
	// base is the worker's last reading of its clock, received at baseAt.
	base   int64
	baseAt time.Time
	// confirmedAt is since when no earlier owner can renew the task lease.
	confirmedAt time.Time
	version     uint64
	syncing     bool
	nextSync    time.Time
	acks        []string
	toStart     []*taskRow
	starting    bool
	// tasks are the rows of the tasks on this worker.
	tasks map[string]*taskRow
}

// workerTables hold the workers that this daemon owns and the tasks on them.
type workerTables struct {
	rows    map[string]*workerRow
	fleet   *tanagerplace.Fleet
	learner *tanagerplace.Learner
	tasks   map[string]*taskRow
	// ended are the tasks whose end was not acknowledged yet.
	ended        map[string]*taskRow
	offers       *offerTables
	reservations map[string]*reservation
	// gainedAt is when each shard was gained.
	gainedAt map[tanagershard.Shard]time.Time
	dirty    bool
	resendAt time.Time
}

func newWorkerTables() *workerTables {
	return &workerTables{
		rows:         make(map[string]*workerRow),
		fleet:        tanagerplace.New(tanagerplace.Settings{}),
		learner:      tanagerplace.NewLearner(maxFamilies),
		tasks:        make(map[string]*taskRow),
		ended:        make(map[string]*taskRow),
		offers:       newOfferTables(),
		reservations: make(map[string]*reservation),
		gainedAt:     make(map[tanagershard.Shard]time.Time),
	}
}

// gained begins to own the workers of a shard.
func (w *workerTables) gained(c *Control, s tanagershard.Shard, now time.Time) {
	w.gainedAt[s] = now
	for _, vm := range c.fleet.vms {
		if vm.Kind == tanagerplatform.Worker && c.shardMap.Of(vm.Name) == s {
			w.add(c, vm, s)
		}
	}
}

func (w *workerTables) add(c *Control, vm tanagerplatform.VM, s tanagershard.Shard) {
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
	w.offers.backlog.SetTotal(w.fleet.Total())
}

// lost ends the ownership of the workers of a shard.
func (w *workerTables) lost(c *Control, s tanagershard.Shard) {
	delete(w.gainedAt, s)
	for name, row := range w.rows {
		if row.shard != s {
			continue
		}
		for _, t := range row.toStart {
			c.refuseOffer(t.offer, t.from)
		}
		w.removeRow(name)
	}
	w.offers.backlog.SetTotal(w.fleet.Total())
}

// removeRow forgets a worker and its tasks.
func (w *workerTables) removeRow(name string) {
	for _, t := range w.rows[name].tasks {
		w.refund(t)
		w.forget(t)
	}
	w.fleet.RemoveWorker(name)
	delete(w.rows, name)
}

// starting reports whether a start call to a worker of the shard is under way.
func (w *workerTables) starting(s tanagershard.Shard) bool {
	for _, row := range w.rows {
		if row.shard == s && (row.starting || len(row.toStart) > 0) {
			return true
		}
	}
	return false
}

// freeResources returns what the workers that take tasks have left.
func (w *workerTables) freeResources() tanagerresource.Vector {
	return w.fleet.Total().Minus(w.fleet.Held())
}

// vmChanged takes a change of a worker's record.
func (w *workerTables) vmChanged(c *Control, vm tanagerplatform.VM, _ time.Time) {
	row := w.rows[vm.Name]
	if row == nil {
		if vm.State != tanagerplatform.Gone {
			w.add(c, vm, c.shardMap.Of(vm.Name))
		}
		return
	}
	row.gone = vm.State == tanagerplatform.Gone
	if !row.gone {
		row.vm = vm
	}
	w.open(c, row)
	if vm.State == tanagerplatform.Leaving {
		c.moveServices(row)
	}
}

// open makes a worker take tasks if all is well with it. A worker that has just
// appeared in the list waits until every other daemon's list shows it too: an
// heir must know each worker that this daemon has used.
func (w *workerTables) open(c *Control, row *workerRow) {
	shown := c.Timer.Now().Sub(c.fleet.seen[row.vm.Name]) >= c.settings.ListLag
	open := shown && row.state == workerKnown && !row.gone && !row.fenced && row.vm.State == tanagerplatform.Live && c.releasing[row.shard] == ""
	w.fleet.Open(row.vm.Name, open)
	w.dirty = w.dirty || open
}

// tendWorkers syncs with the workers and finds those whose lease has lapsed.
func (c *Control) tendWorkers(now time.Time) {
	for _, row := range c.workers.rows {
		c.workers.open(c, row)
		c.checkLapse(row, now)
		if row.gone && row.state == workerLost && len(row.tasks) == 0 {
			// Every owner of a job has taken note of what was lost.
			c.workers.removeRow(row.vm.Name)
			continue
		}
		if !row.syncing && !row.fenced && !now.Before(row.nextSync) {
			c.syncWorker(row, now)
		}
	}
	c.tendOffers(now)
	c.tendReservations(now)
	c.resendWords(now)
}

// syncWorker renews the task lease of a worker. Without the right to act the
// call carries no base and so extends nothing.
func (c *Control) syncWorker(row *workerRow, now time.Time) {
	call := tanagerplatform.SyncCall{
		Epoch:        row.epoch,
		Lease:        c.settings.TaskLease,
		After:        row.version,
		Acknowledged: row.acks,
	}
	if row.state == workerKnown && c.mayAct(now) {
		call.LeaseBase = row.base
		call.Wait = c.settings.TaskLease / syncParts
	}
	row.syncing = true
	row.acks = nil
	row.nextSync = now.Add(syncPause)
	c.Effects.Sync(SyncOrder{
		Worker:  row.vm.Name,
		Address: row.vm.Address,
		Call:    call,
	})
}

// The pauses between two syncs with a worker.
const (
	syncPause  = 20 * time.Millisecond
	syncRetry  = 300 * time.Millisecond
	idlePause  = time.Second
	lapseSlack = 500 * time.Millisecond
)

// workerSynced takes the result of a sync.
func (c *Control) workerSynced(_ string, m tanagermessage.WorkerSynced, now time.Time) {
	row := c.workers.rows[m.Worker]
	if row == nil || row.epoch != m.Epoch {
		return
	}
	row.syncing = false
	switch {
	case errorx.IsOfType(m.Err, tanagerplatform.Fenced):
		row.fenced = true
		c.workers.open(c, row)
		c.counters.fenced++
		c.Log.Warn().Str("event", "worker_fenced").Str("vm", m.Worker).Send()
		return
	case m.Err != nil:
		row.acks = append(row.acks, m.Acknowledged...)
		row.nextSync = now.Add(syncRetry)
		return
	}
	if !c.mayAct(now) {
		row.nextSync = now.Add(idlePause)
	}
	c.takeReport(row, m, now)
}

// takeReport takes a worker's report. A version that went back means that the
// worker was restarted and runs nothing of what it ran before.
func (c *Control) takeReport(row *workerRow, m tanagermessage.WorkerSynced, now time.Time) {
	if m.Report.Version < row.version {
		c.loseTasks(row, now)
		row.state = workerUnknown
		row.version = 0
		row.base = 0
		row.nextSync = now
		return
	}
	row.base = m.Report.LeaseBase
	row.baseAt = m.Received
	row.version = m.Report.Version
	for _, report := range m.Report.Tasks {
		c.taskReported(row, report, now)
	}
	c.settleStarts(row, m.Sent)
	if row.state != workerKnown {
		row.state = workerKnown
		c.workers.open(c, row)
	}
	c.relieve(row, now)
}

// checkLapse declares a worker lost once its task lease has certainly lapsed.
// The lease ends at the latest one length after this owner received the last
// base, or, for a worker that never answered, after the last earlier owner lost
// the right to renew it.
func (c *Control) checkLapse(row *workerRow, now time.Time) {
	since := row.baseAt
	if row.state == workerUnknown && row.baseAt.IsZero() {
		since = c.unknownSince(row, now)
	}
	if row.state == workerLost || since.IsZero() {
		return
	}
	if now.Sub(since) <= c.stretch(c.settings.TaskLease)+lapseSlack {
		return
	}
	c.Log.Warn().Str("event", "worker_lost").Str("vm", row.vm.Name).Send()
	c.counters.workersLost++
	row.state = workerLost
	row.version = 0
	row.base = 0
	c.loseTasks(row, now)
	c.workers.open(c, row)
}

// unknownSince returns since when nobody else can renew the lease of a worker,
// or the zero time.
func (c *Control) unknownSince(row *workerRow, now time.Time) time.Time {
	if !row.confirmedAt.IsZero() {
		return row.confirmedAt
	}
	if _, ok := c.confirmed(row.shard); ok {
		row.confirmedAt = now
	}
	return row.confirmedAt
}

// complete reports whether all tasks of a worker shard are known: every worker
// has answered or is lost, and the list was read since the shard was gained. The
// earlier owner used no worker that the list did not show to everybody.
func (c *Control) complete(s tanagershard.Shard) bool {
	if !c.owns(s) || !c.fleet.updated.After(c.workers.gainedAt[s]) {
		return false
	}
	for _, row := range c.workers.rows {
		if row.shard == s && row.state == workerUnknown {
			return false
		}
	}
	return true
}

// relieve makes room on a worker whose tasks use more than it has.
func (c *Control) relieve(row *workerRow, now time.Time) {
	for _, v := range c.workers.fleet.Relieve(row.vm.Name, now) {
		c.takeRoom(row, v)
	}
}

// takeRoom takes resources from one task.
func (c *Control) takeRoom(row *workerRow, v tanagerplace.Victim) {
	mode := tanagerplatform.Stop
	switch v.Relief {
	case tanagerplace.ByCheckpoint:
		mode = tanagerplatform.Checkpoint
	case tanagerplace.ByThrottle:
		mode = tanagerplatform.Throttle
	case tanagerplace.ByStop:
	}
	t := c.workers.tasks[v.Task]
	if t == nil || t.relieved[mode] {
		return
	}
	t.relieved[mode] = true
	c.counters.relieved++
	c.Log.Info().Str("event", "task_relieved").Str("task", v.Task).Str("mode", string(mode)).Send()
	c.stopOn(row, mode, v.Task)
}

func (c *Control) stopOn(row *workerRow, mode tanagerplatform.StopMode, ids ...string) {
	c.Effects.Stop(StopOrder{
		Address: row.vm.Address,
		Call: tanagerplatform.StopCall{
			Epoch: row.epoch,
			Mode:  mode,
			IDs:   ids,
		},
	})
}
