package tanagercell

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
)

// event is a change to the control state. The control goroutine applies it.
type event interface {
	apply(c *control)
}

// Metrics records latencies and the results of jobs.
type Metrics interface {
	// CountOutcome counts an accepted job by its result.
	CountOutcome(ctx context.Context, queue, result string)
	// ObserveForecast records the forecast and the actual wait of a job.
	ObserveForecast(ctx context.Context, queue string, forecast, actual time.Duration)
	ObserveOrder(ctx context.Context, order string, took time.Duration)
	ObserveCall(ctx context.Context, call, reply string, took time.Duration)
	// CountMessage counts a message to another daemon and its size in bytes.
	CountMessage(ctx context.Context, topic string, size int)
}

// control is the state of a daemon. Only the control goroutine may access it,
// except for post, view and the fields that never change.
type control struct {
	settings  Settings
	ports     Ports
	timer     tanagertimer.Service
	log       zerolog.Logger
	metrics   Metrics
	transport *tanagerpeer.Transport
	member    string
	candidate *candidate
	random    *rand.Rand
	ctx       context.Context
	events    chan event
	view      atomic.Pointer[view]

	leader        leaderState
	configuration *tanagerport.Configuration
	workers       map[string]tanagerport.WorkerEntry
	// workersRevision is the store's revision that workers reflects, and entryRevisions
	// are those of the entries by key.
	workersRevision int64
	entryRevisions  map[string]int64
	// missingWorkers are the workers whose entries were missing after an outage of
	// the store, with the time at which they are taken to be gone.
	missingWorkers map[string]time.Time

	// cell is nil unless this daemon is the scheduler. term is a local counter
	// that distinguishes the cells of one process; loading is set from the
	// election until the stored state has been read.
	cell     *tanagerdispatch.Cell
	term     uint64
	loading  bool
	deferred []event
	// authority is how long the present term may be relied on.
	authority *authority
	// followed is the last broadcast of a scheduler that this daemon has received.
	followed followedBroadcast
	// laterJobs are jobs that were accepted under a later epoch than that of the term.
	laterJobs []jobAdded
	// lastTermEpoch is the epoch of the present or last term. It is served once.
	lastTermEpoch uint64
	// termStartedAt is the start of the current or last term; announceTo lists
	// the daemons to notify after an election that a handover triggered.
	termStartedAt time.Time
	announceTo    []string
	// minTakeoverTimeout is the lower bound that the handover request set for
	// takeoverTimeout, 0 without one.
	minTakeoverTimeout time.Duration
	// waves holds the maintenance waves that the operator has requested, by
	// number; lastMachineList is when the list of machines was last requested.
	waves             map[int]tanagerport.Wave
	lastMachineList   time.Time
	listingMachines   bool
	writer            *storeWriter
	lastTick          time.Time
	lastHintBroadcast time.Time
	// lastHintsSent is when the last broadcast with hints was sent, hintBytes the size
	// of its message.
	lastHintsSent time.Time
	hintBytes     int
	// members holds the daemons that send heartbeats to this scheduler.
	members     map[string]member
	lastRemoval time.Time
	lastSummary time.Time
	// lastStep is when the last step began; longestStepGap is the longest time
	// between two steps since the last summary. What exceeds maxTickInterval is
	// the delay of the control goroutine.
	lastStep       time.Time
	longestStepGap time.Duration
	// longestTick is the longest time that a tick of the cell took since the last
	// summary.
	longestTick time.Duration
	// lastUsage is what the Go runtime used at the last summary.
	lastUsage runtimeUsage

	// exitedScheduler is the member name of a scheduler whose process has
	// exited although its key may still be in the store.
	exitedScheduler string
	startedAt       time.Time
	campaignAt      time.Time
	campaigning     bool
	leaseRenewedAt  time.Time
	lastRenewal     time.Time
	lastHeartbeat   time.Time
	// heartbeatInterval is what the scheduler last asked for.
	heartbeatInterval time.Duration
	// schedulerHeardAt is when the scheduler last sent a message with or without
	// hints, hintsReceivedAt when it last sent hints.
	schedulerHeardAt time.Time
	hintsReceivedAt  time.Time
	hints            map[string]tanagerdispatch.AdmissionHint
	// storeUp reports whether the last call to the store succeeded, and
	// lastStoreSuccess when a call last did. storeDownSince and storeUpSince are
	// when storeUp last became false and true.
	storeUp          bool
	lastStoreSuccess time.Time
	storeDownSince   time.Time
	storeUpSince     time.Time
	stopping         bool
	stateReplies     map[uint64]chan stateResponse
	forwardReplies   map[uint64]chan tanagerport.Reply
	// lastReset is when each member's connection was last reset.
	lastReset         map[string]time.Time
	lastCorrelationID uint64
	// frontend stores what other daemons forward.
	frontend *Frontend
}

// post sends an event to the control goroutine. It blocks while the queue is
// full.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

func (c *control) run(inbox <-chan *message.Message) {
	ticks := c.timer.Every(maxTickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.events:
			e.apply(c)
			c.applyPending(inbox)
		case m := <-inbox:
			c.receive(m)
			c.applyPending(inbox)
		case <-ticks.C:
		}
		c.step(c.timer.Now())
	}
}

// applyPending applies the queued events and messages, so that they share one
// step.
func (c *control) applyPending(inbox <-chan *message.Message) {
	for range eventQueueLength {
		select {
		case e := <-c.events:
			e.apply(c)
		case m := <-inbox:
			c.receive(m)
		default:
			return
		}
	}
}

// step runs whatever is due after events or a tick.
func (c *control) step(now time.Time) {
	if !c.lastStep.IsZero() {
		c.longestStepGap = max(c.longestStepGap, now.Sub(c.lastStep))
	}
	c.lastStep = now
	c.maintainMembership(now)
	c.removeMissing(now)
	if c.cell != nil && !c.loading {
		c.schedule(now)
	}
	c.publishView()
}

func (c *control) schedule(now time.Time) {
	tickDue := now.Sub(c.lastTick) >= minTickInterval
	if tickDue {
		c.lastTick = now
		c.updateAuthority(now)
		c.cell.Tick(now)
		c.longestTick = max(c.longestTick, c.timer.Now().Sub(now))
	}
	c.refreshMachines(now)
	c.execute(c.cell.TakeOrders())
	if c.cell.Fenced() {
		c.stepDown("a worker has seen a higher epoch")
		return
	}
	if tickDue {
		c.writeRoster()
	}
	c.writeProgress(now)
	c.removeExpired(c.ctx, now)
	c.broadcastHints(now)
	c.logSummary(now)
}

// logSummary logs a summary of the cell every summaryInterval.
func (c *control) logSummary(now time.Time) {
	if now.Sub(c.lastSummary) < summaryInterval {
		return
	}
	c.lastSummary = now
	load := c.cell.Load()
	counters := c.cell.Counters()
	usage := readRuntimeUsage()
	c.log.Info().Str("event", "cell_load").Uint64("epoch", c.leader.epoch).
		Int("workers", load.Workers).Int64("capacity_cpu", load.Capacity).Int64("used_cpu", load.Used).
		Int("lasting", load.LongRunningSteps).Int("on_time", load.OnTimeSteps).
		Int("late", load.LateSteps).Int("useless", load.ExpiredSteps).
		Int("gangs", load.GangSteps).Int("reserved", load.ReservedWorkers).Int("asking", load.StepsAwaitingAdvice).
		Int("advisers", load.Advisers).Int("advisers_busy", load.BusyAdvisers).
		Dur("lease_age_ms", now.Sub(c.leaseRenewedAt)).Bool("store_up", c.storeUp).
		Int("inherited_workers", load.PredecessorWorkers).Int("open_jobs", load.OpenJobs).
		Int64("starts", counters.Starts).Int64("stops", counters.Stops).Int64("polls", counters.Polls).
		Int64("advice_calls", counters.AdviceCalls).Int64("notes_dropped", counters.EventsDropped).
		Dur("longest_gap_ms", c.longestStepGap).Dur("longest_tick_ms", c.longestTick).
		Int("queues", load.Queues).Int("hint_bytes", c.hintBytes).Int("untried", load.UntriedSteps).
		Dur("gc_ms", usage.gcTime-c.lastUsage.gcTime).Uint64("heap_mb", usage.heapMB).
		Uint64("runtime_mb", usage.totalMB).Uint64("goroutines", usage.goroutines).
		Int("unwritten", load.UnwrittenJobs).Int("writes_in_flight", c.writer.progressInFlight).Send()
	c.longestStepGap, c.longestTick = 0, 0
	c.lastUsage = usage
}

// maintainMembership renews the lease or campaigns, and sends heartbeats.
func (c *control) maintainMembership(now time.Time) {
	if c.isLeader() {
		c.renewLease(now)
		c.maybeHandOver(now)
	} else {
		c.maybeCampaign(now)
	}
	if now.Sub(c.lastHeartbeat) >= max(c.heartbeatInterval, baseHeartbeatInterval) && c.leader.holder.Member != "" {
		c.lastHeartbeat = now
		hintsMissing := now.Sub(c.schedulerHeardAt) > memberTimeout
		if hintsMissing {
			c.resetConnection(c.leader.holder.Member, now)
		}
		c.send(c.leader.holder.Member, topicHeartbeat, heartbeat{
			HintsMissing: hintsMissing,
			Uptime:       now.Sub(c.startedAt),
			Stopping:     c.stopping,
			Weight:       c.settings.Weight,
			Followed:     c.followed,

			SinceStoreSuccess: now.Sub(c.lastStoreSuccess),
			StoreUptime:       c.storeUptime(now),
		})
	}
}

// resetConnection closes the connection to a daemon so that the next message
// opens a new one. It does so at most once per memberTimeout, since resets in
// quick succession would let no message through.
func (c *control) resetConnection(member string, now time.Time) {
	if now.Sub(c.lastReset[member]) < memberTimeout {
		return
	}
	c.lastReset[member] = now
	c.transport.CloseConnection(member)
	c.log.Info().Str("event", "link_reset").Str("member", member).Send()
}

func (e renewalFinished) apply(c *control) {
	if e.lease != c.leader.holder.Lease || !c.isLeader() {
		return
	}
	if e.err == nil {
		// The lease runs from the arrival of the renewal, which may have been any
		// time since it was sent.
		c.leaseRenewedAt = e.sentAt
		c.confirmAuthority(e.sentAt)
		c.lastStoreSuccess = c.timer.Now()
	}
	if e.ended {
		c.log.Warn().Str("event", "leadership_expired").Uint64("epoch", c.leader.epoch).Send()
		c.leader.clearHolder()
		c.campaignAt = c.timer.Now()
	}
}

func (e campaignFinished) apply(c *control) {
	c.campaigning = false
	if e.err != nil {
		c.announceTo = nil
		c.log.Info().Str("event", "election_lost").Err(e.err).Send()
		for _, item := range e.items {
			if item.Revision != 0 {
				c.applyLeaderItem(item)
			}
		}
		if !errorx.IsOfType(e.err, tanagerport.Conflict) {
			c.recordStoreError(e.err)
		}
		return
	}
	c.leader.holder = e.result.holder
	c.leader.holderRevision = e.result.holderRevision
	c.leader.epoch = e.result.holder.Epoch
	c.leader.epochRevision = e.result.epochRevision
	c.announceLeader()
	c.leaderChanged()
}

func (e leaderUpdate) apply(c *control) {
	first := !c.leader.initialized
	c.leader.initialized = true
	holderFound := false
	for _, item := range e.page.Items {
		switch {
		case !item.Deleted:
			holderFound = holderFound || item.Key == holderKey
			c.applyLeaderItem(item)
		case item.Key == holderKey:
			c.holderKeyRemoved(item.Revision)
		}
	}
	if e.snapshot && !holderFound {
		c.holderKeyRemoved(e.page.Revision)
	}
	if first && c.leader.holder.Member == "" {
		c.campaignAt = time.Time{}
	}
}

func (e operatorUpdate) apply(c *control) {
	for _, item := range e.page.Items {
		if item.Deleted {
			continue
		}
		if c.applyWave(item) {
			continue
		}
		configuration, ok, err := c.ports.Decoder.Configuration(item)
		if err != nil {
			c.log.Error().Str("event", "configuration_decode_failed").Str("key", item.Key).Err(err).Send()
			continue
		}
		if !ok || c.configuration != nil && configuration.Version <= c.configuration.Version {
			continue
		}
		c.configuration = &configuration
		c.log.Info().Str("event", "configuration_applied").
			Int64("version", configuration.Version).Int64("revision", item.Revision).
			Int("queues", len(configuration.Queues)).Send()
		if c.cell != nil {
			c.cell.Configure(configuration)
		}
	}
}

// apply ignores a listing from before a change that has been applied, and entries from
// before a later one: the pages of a takeover and of two watches can overtake each
// other.
func (e workerUpdate) apply(c *control) {
	if e.snapshot && e.page.Revision < c.workersRevision {
		return
	}
	c.workersRevision = max(c.workersRevision, e.page.Revision)
	prefix := c.ports.Decoder.WorkerPrefix()
	if e.snapshot {
		c.removeUnlisted(e.page.Items)
		maps.DeleteFunc(c.entryRevisions, func(_ string, revision int64) bool { return revision <= e.page.Revision })
	}
	for _, item := range e.page.Items {
		if item.Revision < c.entryRevisions[item.Key] {
			continue
		}
		c.entryRevisions[item.Key] = item.Revision
		if item.Deleted {
			c.removeWorker(strings.TrimPrefix(item.Key, prefix))
			continue
		}
		entry, err := c.ports.Decoder.Worker(item)
		if err != nil {
			c.log.Warn().Str("event", "worker_entry_ignored").Str("key", item.Key).Err(err).Send()
			delete(c.workers, strings.TrimPrefix(item.Key, prefix))
			continue
		}
		c.workers[entry.ID] = entry
		delete(c.missingWorkers, entry.ID)
	}
	if c.cell != nil {
		c.cell.SetWorkers(c.timer.Now(), c.workerList())
	}
}

// send queues a message for a daemon and reports whether it was queued.
func (c *control) send(to, topic string, payload any) bool {
	encoded, err := tanagerwire.Marshal(payload)
	if err != nil {
		c.log.Error().Str("event", "message_unencodable").Str("topic", topic).Str("to", to).Err(err).Send()
		return false
	}
	return c.sendEncoded(to, topic, encoded)
}

// sendEncoded is send for a payload that is already encoded.
func (c *control) sendEncoded(to, topic string, payload []byte) bool {
	m := message.NewMessage("", payload)
	m.Metadata.Set(tanagerpeer.ToKey, to)
	if err := c.transport.Publish(topic, m); err != nil {
		c.log.Debug().Str("event", "message_unsent").Str("topic", topic).Str("to", to).Err(err).Send()
		return false
	}
	c.metrics.CountMessage(c.ctx, topic, len(payload))
	return true
}

// broadcastHints sends the admission hints to each daemon and removes daemons
// whose heartbeats have stopped.
func (c *control) broadcastHints(now time.Time) {
	interval := baseHeartbeatInterval
	if len(c.members) > largeCellMembers {
		interval *= largeCellHeartbeatFactor
	}
	if now.Sub(c.lastHintBroadcast) < interval {
		return
	}
	c.lastHintBroadcast = now
	msg := c.encodeHints(now, interval)
	advisers := make([]string, 0, len(c.members))
	for name, m := range c.members {
		if now.Sub(m.lastHeartbeat) > memberTimeout {
			delete(c.members, name)
			c.log.Info().Str("event", "daemon_silent").
				Str("member", name).Dur("age_ms", now.Sub(m.lastHeartbeat)).Send()
			continue
		}
		advisers = append(advisers, name)
		c.sendEncoded(name, topicHints, msg)
	}
	c.cell.SetAdvisers(advisers)
}

// encodeHints returns the next message to the daemons. Large hints are sent less
// often, at hintBytesPerSecond; the messages in between have none.
func (c *control) encodeHints(now time.Time, heartbeatInterval time.Duration) []byte {
	msg := hintsMessage{
		HeartbeatInterval: heartbeatInterval,
		Epoch:             c.cell.Epoch(),
		Broadcast:         c.authority.nextBroadcast(now),
	}
	pause := time.Duration(c.hintBytes) * time.Second / hintBytesPerSecond
	if now.Sub(c.lastHintsSent) < min(pause, maxHintInterval) {
		msg.Unchanged = true
		return tanagerwire.Encode(msg)
	}
	msg.Hints, _ = c.cell.AdmissionHints()
	encoded := tanagerwire.Encode(msg)
	c.lastHintsSent = now
	c.hintBytes = len(encoded)
	return encoded
}

// jobState answers another daemon's request for the state of a job.
func (c *control) jobState(r stateRequest) stateResponse {
	response := stateResponse{CorrelationID: r.CorrelationID}
	if c.cell == nil || c.loading {
		return response
	}
	response.State, response.Known = c.cell.State(r.ID)
	if !response.Known && r.Bytes > 0 {
		response.HasRoom = c.cell.ReserveRoom(c.timer.Now(), r.ID, r.Bytes)
		response.NoRoom = !response.HasRoom
	}
	return response
}
