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

// Directory keeps the addresses of the cell's members.
type Directory interface {
	// Set adds or updates the address of a member.
	Set(m tanagermessage.Member)
}

// Dependencies are the services that a Control uses.
type Dependencies struct {
	Timer   tanagertimer.Service
	Random  *rand.Rand
	Peers   message.Publisher
	Effects Effects
	// Directory is updated whenever a member joins or changes.
	Directory    Directory
	BurnRecorder *tanagerburn.Recorder
	Log          zerolog.Logger
	// WallClock returns wall-clock time, which exceptions and stored timestamps
	// use.
	WallClock func() time.Time
}

// Control owns the scheduling state of a daemon. It is not safe for concurrent
// use.
type Control struct {
	Dependencies
	settings Settings
	self     string
	start    time.Time
	handlers map[string]func(*message.Message, time.Time)
	loopback []*message.Message
	schedule schedule

	storeLease     *tanagerlease.StoreLease
	quorumLease    *tanagerlease.QuorumLease
	promiseGrantor *tanagerlease.PromiseGrantor
	promiseRound   promiseRound

	members map[string]tanagermessage.Member
	// memberRevisions holds the store revision of each member's last change.
	// Entries of members that left remain, so that an older entry cannot add
	// the member again.
	memberRevisions map[string]uint64
	suspectedUntil  map[string]time.Time
	peerLoads       map[string]peerLoad
	gossipState     gossipState
	plans           planTables
	shardMap        tanagershard.Map
	mapRevision     uint64
	// watchRevision is the store revision that the watch has reached.
	watchRevision uint64
	mapEntry      storeEntry
	mapWrite      mapWriteState
	confirmations map[string]*takeoverConfirmation
	// releasing maps the shards that are being handed over to their successors.
	// No new request or task is started in them.
	releasing map[tanagershard.Shard]string
	draining  bool
	drained   bool

	follower *tanagerjournal.Follower
	config   tanagerconfig.State

	fleet       *fleetTables
	coordinated *coordinatorTables
	owned       *ownerTables
	jobs        *jobTables
	workers     *workerTables
	counters    counters
}

// New returns a Control that knows neither the members nor the shard map.
func New(s Settings, d Dependencies) *Control {
	c := &Control{
		Dependencies:    d,
		settings:        s,
		self:            s.Self.ID,
		start:           d.Timer.Now(),
		storeLease:      tanagerlease.NewStoreLease(s.StoreLease),
		quorumLease:     tanagerlease.NewQuorumLease(s.Self.ID, s.Promise),
		promiseGrantor:  tanagerlease.NewPromiseGrantor(s.Promise),
		members:         make(map[string]tanagermessage.Member),
		memberRevisions: make(map[string]uint64),
		suspectedUntil:  make(map[string]time.Time),
		peerLoads:       make(map[string]peerLoad),
		confirmations:   make(map[string]*takeoverConfirmation),
		releasing:       make(map[tanagershard.Shard]string),
		follower:        tanagerjournal.NewFollower(ConfigPrefix),
		config:          tanagerconfig.New(),
	}
	c.fleet = newFleetTables()
	c.coordinated = newCoordinatorTables(s, c.start)
	c.owned = newOwnerTables()
	c.jobs = newJobTables()
	c.workers = newWorkerTables()
	c.handlers = c.registerHandlers()
	return c
}

// ConfigPrefix is the key prefix of the configuration journal in the store.
const ConfigPrefix = "tanager/config"

// maxInboxBatch bounds the messages that are handled between two runs of the
// stages.
const maxInboxBatch = 256

// Run handles messages and runs the stages until ctx is done.
func (c *Control) Run(ctx context.Context, messages <-chan *message.Message) {
	ticks := c.Timer.Every(c.settings.Tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			c.Handle(m)
			c.handleQueued(messages)
		case <-ticks.C:
		}
		c.Step()
	}
}

func (c *Control) handleQueued(messages <-chan *message.Message) {
	for range maxInboxBatch {
		select {
		case m := <-messages:
			c.Handle(m)
		default:
			return
		}
	}
}

// Handle applies one message to the tables. Messages of unknown topics and
// messages that cannot be decoded are logged and dropped.
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

// Step runs all stages that are due.
func (c *Control) Step() {
	now := c.Timer.Now()
	for _, s := range c.schedule.due(now) {
		s(now)
	}
	c.dispatchRequests(now)
	c.writeJournals(now)
	c.offerTasks(now)
	c.flushLoopback()
	c.placeTasks(now)
	c.flushLoopback()
}

// flushLoopback handles the messages that this daemon has sent to itself.
func (c *Control) flushLoopback() {
	for len(c.loopback) > 0 {
		next := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.Handle(next)
	}
}

// typedHandler returns a message handler that decodes the payload and passes it
// to f with the sender's name. It ignores messages that are returned as unsent.
func typedHandler[T any](c *Control, f func(from string, value T, now time.Time)) func(*message.Message, time.Time) {
	return func(m *message.Message, now time.Time) {
		if tanagermessage.ReturnedUnsent(m) {
			return
		}
		value, err := tanagermessage.Decode[T](m)
		if err != nil {
			c.Log.Warn().Str("event", "message_malformed").
				Str("topic", m.Metadata.Get(tanagerpeer.TopicKey)).Err(err).Send()
			return
		}
		f(m.Metadata.Get(tanagerpeer.FromKey), value, now)
	}
}

// typedHandlerWithUnsent is like typedHandler, but passes a message that is
// returned because it was certainly not sent to unsent, with the name of the
// peer it was addressed to.
func typedHandlerWithUnsent[T any](c *Control,
	f, unsent func(peer string, value T, now time.Time)) func(*message.Message, time.Time) {
	received := typedHandler(c, f)
	return func(m *message.Message, now time.Time) {
		if !tanagermessage.ReturnedUnsent(m) {
			received(m, now)
			return
		}
		m.Metadata.Set(tanagerpeer.UnsentKey, "")
		typedHandler(c, unsent)(m, now)
	}
}

// send sends a message to a daemon and returns false if it was certainly not
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

// suspect excludes a daemon from new work for suspectDuration.
func (c *Control) suspect(member string) {
	c.suspectedUntil[member] = c.Timer.Now().Add(suspectDuration)
}

// suspected reports whether a daemon is excluded from new work: its connection
// broke recently, or no gossip has arrived for so long that it may be paused.
// Silence is no evidence in a cell in which gossip reaches only some of the
// daemons.
func (c *Control) suspected(member string, now time.Time) bool {
	if now.Before(c.suspectedUntil[member]) {
		return true
	}
	load, known := c.peerLoads[member]
	return known && c.gossipsToAll() && now.Sub(load.receivedAt) > peerLoadMaxAge
}

// holdsLease reports whether this daemon's store lease or quorum lease is
// valid, so that it may act on what it owns.
func (c *Control) holdsLease(now time.Time) bool {
	return c.storeLease.Valid(now) || c.quorumLease.Valid(now)
}

// owns reports whether the shard map assigns a shard to this daemon.
func (c *Control) owns(s tanagershard.Shard) bool {
	return int(s) < len(c.shardMap.Shards) && c.shardMap.Shards[s].Owner == c.self
}

// epoch returns the current epoch of a shard.
func (c *Control) epoch(s tanagershard.Shard) uint64 { return c.shardMap.Shards[s].Epoch }

// mapKnown reports whether a shard map has been received.
func (c *Control) mapKnown() bool { return len(c.shardMap.Shards) > 0 }
