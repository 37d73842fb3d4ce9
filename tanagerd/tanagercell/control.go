package tanagercell

import (
	"context"
	"math/rand/v2"
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
	"tanagersail.example/tanager/tanagerwork"
)

// event is a change that the control goroutine applies to its state.
type event interface {
	apply(c *control)
}

// Metrics receives what happens.
type Metrics interface {
	OrderAnswered(ctx context.Context, order string, took time.Duration)
	CallerAnswered(ctx context.Context, call, reply string, took time.Duration)
}

// control is the state of a daemon. Only the control goroutine touches it, but
// for post, view and the constant fields.
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

	lead          lead
	configuration *tanagerport.Configuration
	fleet         map[string]tanagerport.WorkerEntry

	// cell is nil unless this daemon is the scheduler. term tells the cells of
	// one process apart; loading is set between election and the first tables.
	cell    *tanagerdispatch.Cell
	term    uint64
	loading bool
	waiting []event
	// termBegan is when the present or last term began; heirOf are the daemons
	// to tell when this one is elected in place of one that handed over.
	termBegan time.Time
	heirOf    []string
	// patience is what the daemon that handed over left for the reading.
	patience time.Duration
	// waves are those that the operator has written; machinesRead is when the
	// list of machines was last asked for.
	waves           map[int]tanagerport.Wave
	machinesRead    time.Time
	readingMachines bool
	recorder        *recorder
	ticked          time.Time
	lastHints       time.Time
	// members are the daemons heard of by the scheduler.
	members     map[string]member
	lastRemoval time.Time
	lastLoad    time.Time
	// stepped is when the last step began, longestGap the longest time between
	// two since the last summary: with tickInterval, the lag of the goroutine.
	stepped    time.Time
	longestGap time.Duration

	// gone is a scheduler whose process has ended, whatever the store says.
	gone      string
	started   time.Time
	standAt   time.Time
	standing  bool
	renewedAt time.Time
	lastRenew time.Time
	helloAt   time.Time
	// helloEvery is what the scheduler last asked for.
	helloEvery time.Duration
	hintsAt    time.Time
	hints      map[string]tanagerdispatch.Hint
	// storeUp tells whether the last call to the store was served, storeServed
	// when one last was, storeLost and storeBack when that last changed.
	storeUp     bool
	storeServed time.Time
	storeLost   time.Time
	storeBack   time.Time
	stopping    bool
	questions   map[uint64]chan stateTold
	forwards    map[uint64]chan tanagerport.Reply
	// resets are the last resets of connections, by member.
	resets map[string]time.Time
	asked  uint64
	// desk serves what other daemons forward.
	desk *Desk
}

// post hands an event to the control goroutine.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

func (c *control) run(inbox <-chan *message.Message) {
	ticks := c.timer.Every(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.events:
			e.apply(c)
			c.drain(inbox)
		case m := <-inbox:
			c.receive(m)
			c.drain(inbox)
		case <-ticks.C:
		}
		c.step(c.timer.Now())
	}
}

// drain applies what has gathered, so that it shares one step.
func (c *control) drain(inbox <-chan *message.Message) {
	for range eventQueue {
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

// step does what is due.
func (c *control) step(now time.Time) {
	if !c.stepped.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.stepped))
	}
	c.stepped = now
	c.follow(now)
	if c.cell != nil && !c.loading {
		c.schedule(now)
	}
	c.publishView()
}

func (c *control) schedule(now time.Time) {
	ticks := now.Sub(c.ticked) >= tickGap
	if ticks {
		c.ticked = now
		c.cell.Tick(now)
	}
	c.watchMachines(now)
	c.execute(c.cell.TakeOrders())
	if c.cell.Deposed() {
		c.depose("a worker has seen a higher epoch")
		return
	}
	if ticks {
		c.storeRoster()
	}
	c.flush(now)
	c.removeExpired(c.ctx, now)
	c.tellHints(now)
	c.logLoad(now)
}

// logLoad writes a summary of the cell once a second.
func (c *control) logLoad(now time.Time) {
	if now.Sub(c.lastLoad) < loadInterval {
		return
	}
	c.lastLoad = now
	l := c.cell.Load()
	n := c.cell.Counters()
	c.log.Info().Str("event", "cell_load").Uint64("epoch", c.lead.epoch).
		Int("workers", l.Workers).Int64("capacity_cpu", l.Capacity).Int64("used_cpu", l.Used).
		Int("lasting", l.Lasting).Int("on_time", l.OnTime).Int("late", l.Late).Int("useless", l.Useless).
		Int("gangs", l.Gangs).Int("reserved", l.Reserved).Int("asking", l.Asking).
		Int("advisers", l.Advisers).Int("advisers_busy", l.BusyAdvisers).
		Int("inherited_workers", l.Inherited).Int("open_jobs", l.Open).
		Int64("starts", n.Starts).Int64("stops", n.Stops).Int64("polls", n.Polls).
		Int64("advice_calls", n.AdviceCalls).Int64("notes_dropped", n.NotesDropped).
		Dur("longest_gap_ms", c.longestGap).Int("unwritten", l.Unwritten).Int("writes_in_flight", c.recorder.inFlight).Send()
	c.longestGap = 0
}

// follow does what each daemon does: say hello, renew or stand for election.
func (c *control) follow(now time.Time) {
	if c.leading() {
		c.renew(now)
		c.considerHandOver(now)
	} else {
		c.considerStanding(now)
	}
	if now.Sub(c.helloAt) >= max(c.helloEvery, helloInterval) && c.lead.holder.Member != "" {
		c.helloAt = now
		deaf := now.Sub(c.hintsAt) > memberTimeout
		if deaf {
			c.reset(c.lead.holder.Member, now)
		}
		c.send(c.lead.holder.Member, topicHello, hello{
			Deaf:     deaf,
			UpTime:   now.Sub(c.started),
			Stopping: c.stopping,
			Weight:   c.settings.Weight,

			StoreAge:    now.Sub(c.storeServed),
			StoreSteady: c.storeSteady(now),
		})
	}
}

// reset opens the connection to a daemon anew, but not so often that nothing gets
// through the new one.
func (c *control) reset(member string, now time.Time) {
	if now.Sub(c.resets[member]) < memberTimeout {
		return
	}
	c.resets[member] = now
	c.transport.Reset(member)
	c.log.Info().Str("event", "link_reset").Str("member", member).Send()
}

func (e renewed) apply(c *control) {
	if e.lease != c.lead.holder.Lease || !c.leading() {
		return
	}
	if e.err == nil {
		c.renewedAt = c.timer.Now()
		c.storeServed = c.renewedAt
	}
	if e.ended {
		c.log.Warn().Str("event", "leadership_lapsed").Uint64("epoch", c.lead.epoch).Send()
		c.lead.vacate()
		c.standAt = c.timer.Now()
	}
}

func (e stood) apply(c *control) {
	c.standing = false
	if e.err != nil {
		c.heirOf = nil
		c.log.Info().Str("event", "election_lost").Err(e.err).Send()
		for _, i := range e.items {
			if i.Revision != 0 {
				c.learnLead(i)
			}
		}
		if !errorx.IsOfType(e.err, tanagerport.Conflict) {
			c.noteStore(e.err)
		}
		return
	}
	c.lead.holder = e.won.holder
	c.lead.holderRevision = e.won.holderRevision
	c.lead.epoch = e.won.holder.Epoch
	c.lead.epochRevision = e.won.epochRevision
	c.tellLead()
	c.leadChanged()
}

func (e leadRead) apply(c *control) {
	first := !c.lead.known
	c.lead.known = true
	held := false
	for _, i := range e.page.Items {
		switch {
		case !i.Deleted:
			held = held || i.Key == holderKey
			c.learnLead(i)
		case i.Key == holderKey:
			c.holderRemoved(i.Revision)
		}
	}
	if e.whole && !held {
		c.holderRemoved(e.page.Revision)
	}
	if first && c.lead.holder.Member == "" {
		c.standAt = time.Time{}
	}
}

func (e operatorRead) apply(c *control) {
	for _, i := range e.page.Items {
		if i.Deleted {
			continue
		}
		if c.waveRead(i) {
			continue
		}
		configuration, ok, err := c.ports.Decoder.Configuration(i)
		if err != nil {
			c.log.Error().Str("event", "configuration_unreadable").Str("key", i.Key).Err(err).Send()
			continue
		}
		if !ok || c.configuration != nil && configuration.Version <= c.configuration.Version {
			continue
		}
		c.configuration = &configuration
		c.log.Info().Str("event", "configuration_applied").Int64("version", configuration.Version).Int64("revision", i.Revision).Send()
		if c.cell != nil {
			c.cell.Configure(configuration)
		}
	}
}

func (e fleetRead) apply(c *control) {
	prefix := c.ports.Decoder.WorkerPrefix()
	if e.whole {
		c.fleet = make(map[string]tanagerport.WorkerEntry, len(e.page.Items))
	}
	for _, i := range e.page.Items {
		if i.Deleted {
			delete(c.fleet, i.Key[len(prefix):])
			continue
		}
		entry, err := c.ports.Decoder.Worker(i)
		if err != nil {
			c.log.Warn().Str("event", "worker_entry_ignored").Str("key", i.Key).Err(err).Send()
			delete(c.fleet, i.Key[len(prefix):])
			continue
		}
		c.fleet[entry.ID] = entry
	}
	if c.cell != nil {
		c.cell.SetWorkers(c.timer.Now(), c.fleetList())
	}
}

// send queues a message for a daemon and reports whether that was possible.
func (c *control) send(to, topic string, payload any) bool {
	m := message.NewMessage("", tanagerwire.Encode(payload))
	m.Metadata.Set(tanagerpeer.ToKey, to)
	if err := c.transport.Publish(topic, m); err != nil {
		c.log.Debug().Str("event", "message_unsent").Str("topic", topic).Str("to", to).Err(err).Send()
		return false
	}
	return true
}

// tellHints sends each daemon the hints, and forgets daemons that are silent.
func (c *control) tellHints(now time.Time) {
	every := helloInterval
	if len(c.members) > manyMembers {
		every *= slowFactor
	}
	if now.Sub(c.lastHints) < every {
		return
	}
	c.lastHints = now
	hints, _ := c.cell.Hints()
	told := hintsTold{
		Every: every,
		Epoch: c.cell.Epoch(),
		Hints: hints,
	}
	advisers := make([]string, 0, len(c.members))
	for name, m := range c.members {
		if now.Sub(m.heard) > memberTimeout {
			delete(c.members, name)
			c.log.Info().Str("event", "daemon_silent").Str("member", name).Dur("age_ms", now.Sub(m.heard)).Send()
			continue
		}
		advisers = append(advisers, name)
		c.send(name, topicHints, told)
	}
	c.cell.SetAdvisers(advisers)
}

// stateOf answers a question for the state of a job.
func (c *control) stateOf(id tanagerwork.JobID, question uint64) stateTold {
	told := stateTold{Question: question}
	if c.cell != nil && !c.loading {
		told.State, told.Known = c.cell.State(id)
	}
	return told
}
