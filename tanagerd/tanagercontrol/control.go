package tanagercontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagermessage"
)

// Directory learns the addresses of members.
type Directory interface {
	// Set notes the address of a member.
	Set(m tanagermessage.Member)
}

// Dependencies are the parts that a Control works with.
type Dependencies struct {
	Timer   tanagertimer.Service
	Random  *rand.Rand
	Peers   message.Publisher
	Effects Effects
	// Directory is told of members as they join.
	Directory Directory
	Burn      *tanagerburn.Ledger
	Log       zerolog.Logger
	// Wall returns wall-clock time, for the times that operators write.
	Wall func() time.Time
}

// Control owns the control tables of a daemon.
type Control struct {
	Dependencies
	settings Settings
	self     string
	start    time.Time
	handlers map[string]func(*message.Message, time.Time)
	loopback []*message.Message
	schedule schedule

	right   *tanagerlease.Right
	grace   *tanagerlease.Grace
	witness *tanagerlease.Witness
	promise promiseRound

	members map[string]tanagermessage.Member
	// memberRevisions are the revisions at which members were last seen to
	// change, also of those that left.
	memberRevisions map[string]uint64
	suspects        map[string]time.Time
	hints           map[string]hint
	told            gossipState
	plans           planTables
	shardMap        tanagershard.Map
	mapRevision     uint64
	watchRevision   uint64
	mapEntry        storeEntry
	swap            swapState
	gates           map[string]*gate
	releasing       map[tanagershard.Shard]string
	draining        bool
	drained         bool

	follower *tanagerjournal.Follower
	config   tanagerconfig.State

	fleet    *fleetTables
	homes    *homeTables
	owned    *ownerTables
	jobs     *jobTables
	workers  *workerTables
	counters counters
}

// New returns a control without any knowledge of the cell.
func New(s Settings, d Dependencies) *Control {
	c := &Control{
		Dependencies:    d,
		settings:        s,
		self:            s.Self.ID,
		start:           d.Timer.Now(),
		right:           tanagerlease.NewRight(s.Right),
		grace:           tanagerlease.NewGrace(s.Self.ID, s.Promise),
		witness:         tanagerlease.NewWitness(s.Promise),
		members:         make(map[string]tanagermessage.Member),
		memberRevisions: make(map[string]uint64),
		suspects:        make(map[string]time.Time),
		hints:           make(map[string]hint),
		gates:           make(map[string]*gate),
		releasing:       make(map[tanagershard.Shard]string),
		follower:        tanagerjournal.NewFollower(ConfigPrefix),
		config:          tanagerconfig.New(),
	}
	c.fleet = newFleetTables()
	c.homes = newHomeTables(s, c.start)
	c.owned = newOwnerTables()
	c.jobs = newJobTables()
	c.workers = newWorkerTables()
	c.handlers = c.routes()
	return c
}

// ConfigPrefix is the prefix of the configuration journal in the store.
const ConfigPrefix = "tanager/config"

// inboxBatch is the number of messages that are handled between two runs of
// the systems.
const inboxBatch = 256

// Run handles messages and runs the systems until ctx ends.
func (c *Control) Run(ctx context.Context, messages <-chan *message.Message) {
	ticks := c.Timer.Every(c.settings.Tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			c.Handle(m)
			c.drainInbox(messages)
		case <-ticks.C:
		}
		c.Step()
	}
}

func (c *Control) drainInbox(messages <-chan *message.Message) {
	for range inboxBatch {
		select {
		case m := <-messages:
			c.Handle(m)
		default:
			return
		}
	}
}

// Handle changes the tables by one message.
func (c *Control) Handle(m *message.Message) {
	topic := m.Metadata.Get(tanagerpeer.TopicKey)
	handler := c.handlers[topic]
	if handler == nil {
		c.Log.Warn().Str("event", "message_unknown").Str("topic", topic).Send()
		return
	}
	handler(m, c.Timer.Now())
	c.flushLoopback()
}

// Step runs the systems once.
func (c *Control) Step() {
	now := c.Timer.Now()
	for _, s := range c.schedule.due(now) {
		s(now)
	}
	c.dispatchTargets(now)
	c.writeJournals(now)
	c.offerTasks(now)
	c.flushLoopback()
	c.placeTasks(now)
	c.flushLoopback()
}

// flushLoopback handles the messages that systems sent to this daemon itself.
func (c *Control) flushLoopback() {
	for len(c.loopback) > 0 {
		next := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.Handle(next)
	}
}

// handle registers a handler of a typed message.
func handle[T any](c *Control, f func(from string, value T, now time.Time)) func(*message.Message, time.Time) {
	return func(m *message.Message, now time.Time) {
		if tanagermessage.Unsent(m) {
			return
		}
		value, err := tanagermessage.Decode[T](m)
		if err != nil {
			c.Log.Warn().Str("event", "message_malformed").Str("topic", m.Metadata.Get(tanagerpeer.TopicKey)).Err(err).Send()
			return
		}
		f(m.Metadata.Get(tanagerpeer.FromKey), value, now)
	}
}

// handleBoth registers handlers of a typed message and of the same message
// when it is handed back because it certainly was not sent.
func handleBoth[T any](c *Control, f, unsent func(peer string, value T, now time.Time)) func(*message.Message, time.Time) {
	received := handle(c, f)
	return func(m *message.Message, now time.Time) {
		if !tanagermessage.Unsent(m) {
			received(m, now)
			return
		}
		m.Metadata.Set(tanagerpeer.UnsentKey, "")
		handle(c, unsent)(m, now)
	}
}

// send sends a message to a daemon, and reports false if it certainly was not
// sent. Messages to this daemon itself are handled before the end of the step.
func (c *Control) send(to, topic string, value any) bool {
	if to == c.self {
		m := tanagermessage.Local(value)
		m.Metadata.Set(tanagerpeer.TopicKey, topic)
		m.Metadata.Set(tanagerpeer.FromKey, c.self)
		c.loopback = append(c.loopback, m)
		return true
	}
	err := c.Peers.Publish(topic, tanagermessage.Remote(to, value))
	if err != nil {
		c.suspect(to)
		return false
	}
	return true
}

// suspect keeps work away from a daemon for a short time.
func (c *Control) suspect(member string) {
	c.suspects[member] = c.Timer.Now().Add(suspectTime)
}

// suspected reports whether work is kept away from a daemon: its connection
// broke lately, or it has not told of its load for so long that it may be
// paused. In a cell in which gossip goes to a part of the daemons only, silence
// tells nothing.
func (c *Control) suspected(member string, now time.Time) bool {
	if now.Before(c.suspects[member]) {
		return true
	}
	h, known := c.hints[member]
	return known && c.everyoneTold() && now.Sub(h.received) > hintLife
}

// mayAct reports whether this daemon may use what it owns.
func (c *Control) mayAct(now time.Time) bool {
	return c.right.Holds(now) || c.grace.Holds(now)
}

// owns reports whether this daemon owns a shard.
func (c *Control) owns(s tanagershard.Shard) bool {
	return int(s) < len(c.shardMap.Shards) && c.shardMap.Shards[s].Owner == c.self
}

// epoch returns the epoch of a shard.
func (c *Control) epoch(s tanagershard.Shard) uint64 { return c.shardMap.Shards[s].Epoch }

// mapped reports whether the shard map is known.
func (c *Control) mapped() bool { return len(c.shardMap.Shards) > 0 }
