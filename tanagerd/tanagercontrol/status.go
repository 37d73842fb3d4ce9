package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanagerd/tanagermessage"
)

// counters count events since the start of the daemon.
type counters struct {
	requestsDone    uint64
	requestsOther   map[tanagerfailure.Code]uint64
	retries         uint64
	tasksStarted    uint64
	tasksEnded      uint64
	takeovers       uint64
	handovers       uint64
	shardsGained    uint64
	workersLost     uint64
	workersIsolated uint64
	tasksReclaimed  uint64
	workersFenced   uint64
}

// Status is a snapshot of the state of a daemon.
type Status struct {
	Self           string                  `json:"self"`
	FailureDomain  string                  `json:"failure_domain"`
	Region         string                  `json:"region"`
	Uptime         time.Duration           `json:"uptime"`
	ConfigRevision uint64                  `json:"config_revision"`
	MapRevision    uint64                  `json:"map_revision"`
	Members        []tanagermessage.Member `json:"members"`
	Roster         []string                `json:"roster"`
	// StoreLeaseValid and QuorumLeaseValid report whether the leases are valid
	// now.
	StoreLeaseValid  bool          `json:"store_right"`
	QuorumLeaseValid bool          `json:"grace"`
	Draining         bool          `json:"draining"`
	Shards           []ShardStatus `json:"shards"`
	Targets          int           `json:"targets"`
	// TargetSlots is the number of slots of these targets.
	// TargetsAwaitingTakeover counts those that receive no requests until the
	// takeover from a previous owner is confirmed.
	TargetSlots             int                    `json:"target_slots"`
	TargetsAwaitingTakeover int                    `json:"gated_targets"`
	InFlight                int                    `json:"in_flight"`
	QueuedRequests          int                    `json:"queued_requests"`
	Workers                 int                    `json:"workers"`
	KnownWorkers            int                    `json:"known_workers"`
	Capacity                tanagerresource.Vector `json:"total"`
	Allocated               tanagerresource.Vector `json:"held"`
	Tasks                   int                    `json:"tasks"`
	WaitingOffers           int                    `json:"waiting_offers"`
	Jobs                    int                    `json:"jobs"`
	Recovering              int                    `json:"recovering"`
	Counters                Counters               `json:"counters"`
}

// ShardStatus describes a shard that the daemon owns.
type ShardStatus struct {
	Shard       int      `json:"shard"`
	Epoch       uint64   `json:"epoch"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Counters are the daemon's event counts since its start.
type Counters struct {
	RequestsDone    uint64                         `json:"requests_done"`
	RequestsOther   map[tanagerfailure.Code]uint64 `json:"requests_other"`
	Retries         uint64                         `json:"retries"`
	TasksStarted    uint64                         `json:"tasks_started"`
	TasksEnded      uint64                         `json:"tasks_ended"`
	Takeovers       uint64                         `json:"take_overs"`
	Handovers       uint64                         `json:"hand_overs"`
	ShardsGained    uint64                         `json:"shards_gained"`
	WorkersLost     uint64                         `json:"workers_lost"`
	WorkersIsolated uint64                         `json:"workers_isolated"`
	TasksReclaimed  uint64                         `json:"tasks_relieved"`
	WorkersFenced   uint64                         `json:"workers_fenced"`
}

// handleStatusRequested responds to a goroutine with the daemon's status.
func (c *Control) handleStatusRequested(_ string, m tanagermessage.StatusRequested, now time.Time) {
	c.Effects.Respond(m.Waiter, c.status(now))
}

func (c *Control) status(now time.Time) Status {
	s := Status{
		Self:             c.self,
		FailureDomain:    c.settings.Self.FailureDomain,
		Region:           c.settings.Self.Region,
		Uptime:           now.Sub(c.start),
		ConfigRevision:   c.config.Revision,
		MapRevision:      c.mapRevision,
		Roster:           c.shardMap.Roster.Members,
		StoreLeaseValid:  c.storeLease.Valid(now),
		QuorumLeaseValid: c.quorumLease.Valid(now),
		Draining:         c.draining,
		Workers:          len(c.workers.rows),
		Capacity:         c.workers.fleet.Capacity(),
		Allocated:        c.workers.fleet.Allocated(),
		Tasks:            len(c.workers.tasks),
		WaitingOffers:    len(c.workers.offers.rows),
		Counters:         c.countersSnapshot(),
	}
	for _, m := range c.members {
		s.Members = append(s.Members, m)
	}
	for _, shard := range c.shardMap.Owned(c.self) {
		a := c.shardMap.Shards[shard]
		s.Shards = append(s.Shards, ShardStatus{
			Shard:       int(shard),
			Epoch:       a.Epoch,
			Unconfirmed: a.Unconfirmed,
		})
	}
	c.addTargetCounts(&s)
	for _, row := range c.workers.rows {
		if row.state == workerKnown {
			s.KnownWorkers++
		}
	}
	for _, js := range c.jobs.shards {
		s.Jobs += len(js.table.Jobs())
		if !js.loaded || len(js.unrecovered) > 0 {
			s.Recovering++
		}
	}
	return s
}

func (c *Control) addTargetCounts(s *Status) {
	for _, t := range c.fleet.targets {
		s.Targets++
		s.TargetSlots += t.vm.Slots
		s.InFlight += t.inFlight
		if t.unconfirmed {
			s.TargetsAwaitingTakeover++
		}
	}
	for _, service := range c.owned.services {
		s.QueuedRequests += service.queue.Len()
	}
}

func (c *Control) countersSnapshot() Counters {
	counts := c.counters
	other := make(map[tanagerfailure.Code]uint64, len(counts.requestsOther))
	for code, n := range counts.requestsOther {
		other[code] = n
	}
	return Counters{
		RequestsDone:    counts.requestsDone,
		RequestsOther:   other,
		Retries:         counts.retries,
		TasksStarted:    counts.tasksStarted,
		TasksEnded:      counts.tasksEnded,
		Takeovers:       counts.takeovers,
		Handovers:       counts.handovers,
		ShardsGained:    counts.shardsGained,
		WorkersLost:     counts.workersLost,
		WorkersIsolated: counts.workersIsolated,
		TasksReclaimed:  counts.tasksReclaimed,
		WorkersFenced:   counts.workersFenced,
	}
}

// recordRequest adds a finished request to the counters and the burn-rate
// recorder.
func (c *Control) recordRequest(row *coordinatedRequest, result tanagermessage.RequestResult, now time.Time) {
	known := result.Failure == nil || result.Failure.Outcome == tanagerfailure.Failed
	if known {
		c.counters.requestsDone++
	} else {
		if c.counters.requestsOther == nil {
			c.counters.requestsOther = make(map[tanagerfailure.Code]uint64)
		}
		c.counters.requestsOther[result.Failure.Code]++
	}
	wait := max(now.Sub(row.arrivedAt)-result.RunTime, 0)
	c.BurnRecorder.Observe(tanagerburn.Key{
		Branch: row.spec.Branch,
		Class:  row.spec.Class.String(),
	}, wait, known, c.WallClock())
}

// recordTaskStart adds the first start of a task to the burn-rate recorder.
func (c *Control) recordTaskStart(j *tanagerjob.Job, t *tanagerjob.Task) {
	c.BurnRecorder.Observe(tanagerburn.Key{
		Branch: j.Branch,
		Class:  j.Spec.Class.String(),
	}, t.WaitTime, true, c.WallClock())
}

// waitingTasks returns the number of tasks of a branch that wait to be offered
// by this daemon, or 0 if another daemon owns the branch's shard.
func (c *Control) waitingTasks(branch string) int {
	js := c.jobs.shards[c.shardMap.ShardOf(branch)]
	if js == nil {
		return 0
	}
	n := 0
	for key, cq := range js.queue.queues {
		if key.branch == branch {
			n += len(cq.ready) + len(cq.delayed)
		}
	}
	return n
}
