package tanagercontrol

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// effectRecorder is a fake of Effects that records the calls.
type effectRecorder struct {
	runs         []RunOrder
	probes       []string
	syncs        []SyncOrder
	starts       []StartOrder
	stops        []StopOrder
	swaps        []tanagershard.Map
	loads        []tanagershard.Shard
	appends      [][]tanagerjob.Entry
	responses    map[uint64]any
	drained      bool
	lastSnapshot []byte
}

func (r *effectRecorder) Run(o RunOrder) { r.runs = append(r.runs, o) }
func (r *effectRecorder) ProbeTarget(name string, _ netip.AddrPort) {
	r.probes = append(r.probes, name)
}
func (r *effectRecorder) Sync(o SyncOrder)                           { r.syncs = append(r.syncs, o) }
func (r *effectRecorder) Start(o StartOrder)                         { r.starts = append(r.starts, o) }
func (r *effectRecorder) Stop(o StopOrder)                           { r.stops = append(r.stops, o) }
func (r *effectRecorder) WriteShardMap(m tanagershard.Map, _ uint64) { r.swaps = append(r.swaps, m) }
func (r *effectRecorder) LoadJournal(s tanagershard.Shard, _ uint64) { r.loads = append(r.loads, s) }
func (r *effectRecorder) Respond(waiter uint64, value any)           { r.responses[waiter] = value }
func (r *effectRecorder) Drained()                                   { r.drained = true }

func (r *effectRecorder) AppendJournal(_ tanagershard.Shard, _ uint64, payload, state []byte) {
	var entries []tanagerjob.Entry
	if err := tanagerwire.Decode(payload, &entries); err != nil {
		panic(err)
	}
	r.appends = append(r.appends, entries)
	r.lastSnapshot = state
}

// sentMessage is a message to a peer.
type sentMessage struct {
	to      string
	topic   string
	message *message.Message
}

// outbox is a fake transport. It records the messages to peers and refuses
// those to unreachable ones.
type outbox struct {
	messages    []sentMessage
	unreachable map[string]bool
}

func (o *outbox) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to := m.Metadata.Get(tanagerpeer.ToKey)
		if o.unreachable[to] {
			return tanagerpeer.UnknownPeer.New("peer %s", to)
		}
		o.messages = append(o.messages, sentMessage{
			to:      to,
			topic:   topic,
			message: m,
		})
	}
	return nil
}

func (*outbox) Close() error { return nil }

// takeMessages removes the messages of a topic from the outbox and returns
// them.
func takeMessages[T any](c *qt.C, o *outbox, topic string) []T {
	var values []T
	remaining := o.messages[:0]
	for _, s := range o.messages {
		if s.topic != topic {
			remaining = append(remaining, s)
			continue
		}
		value, err := tanagermessage.Decode[T](s.message)
		c.Assert(err, qt.IsNil)
		values = append(values, value)
	}
	o.messages = remaining
	return values
}

type noopDirectory struct{}

func (noopDirectory) Set(tanagermessage.Member) {}

// harness is a Control with fake dependencies and a manual clock.
type harness struct {
	*qt.C
	control  *Control
	timer    *tanagertimer.Manual
	effects  *effectRecorder
	outbox   *outbox
	revision uint64
	shardMap tanagershard.Map
}

const self = "d1"

var testSettings = Settings{
	Self: tanagermessage.Member{
		ID: self,
	},
	Shards: 4,
	StoreLease: tanagerlease.StoreLeaseSettings{
		TTL:         3 * time.Second,
		DriftMargin: 100 * time.Millisecond,
	},
	Promise: tanagerlease.PromiseSettings{
		Duration:    time.Second,
		DriftMargin: 50 * time.Millisecond,
	},
	Queue: tanagerqueue.Settings{
		MaxClassLength: 100,
		MaxLength:      1000,
		InitialCost:    10 * time.Millisecond,
		MinRetryAfter:  100 * time.Millisecond,
		MaxRetryAfter:  10 * time.Second,
	},
	TaskLease:         6 * time.Second,
	ClockDrift:        0.01,
	MaxListLag:        time.Second,
	MaxRequestTimeout: 10 * time.Second,
	RequestIDWindow:   time.Minute,
	Tick:              10 * time.Millisecond,
}

// newHarness returns a Control that is a member besides d2 and d3, holds its
// store lease and knows the branch red. It owns no shard yet.
func newHarness(t *testing.T) *harness {
	h := &harness{
		C:     qt.New(t),
		timer: tanagertimer.NewManual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)),
		effects: &effectRecorder{
			responses: make(map[uint64]any),
		},
		outbox: &outbox{
			unreachable: make(map[string]bool),
		},
	}
	h.control = New(testSettings, Dependencies{
		Timer:        h.timer,
		Random:       rand.New(rand.NewPCG(1, 2)),
		Peers:        h.outbox,
		Effects:      h.effects,
		Directory:    noopDirectory{},
		BurnRecorder: tanagerburn.NewRecorder(tanagerburn.DefaultObjectives()),
		Log:          zerolog.New(io.Discard),
		WallClock:    h.timer.Now,
	})
	for _, id := range []string{"d1", "d2", "d3"} {
		h.addMember(id)
	}
	record := tanagerwire.Encode(tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind:   tanagerconfig.SetBranch,
			Branch: "red",
			Rules: &tanagerconfig.Rules{
				Weight:      1,
				UrgentShare: 0.2,
			},
		},
		At: h.timer.Now(),
	})
	h.applyConfig(record)
	h.renewLease()
	return h
}

// applyConfig delivers a configuration journal with the records.
func (h *harness) applyConfig(records ...[]byte) {
	store := &singleEntryStore{}
	journal := tanagerjournal.New(store, tanagerjournal.Settings{
		Prefix:           ConfigPrefix,
		Writer:           "test",
		MaxWindowRecords: 16,
		MaxWindowBytes:   1 << 16,
	})
	h.Assert(journal.Append(context.Background(), records, nil), qt.IsNil)
	h.putEntries(store.entry)
}

// deliver handles a message from a peer or from this process and runs one step.
func (h *harness) deliver(from, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, from)
	h.control.Handle(m)
	h.control.Step()
}

// deliverUnsent returns a message to the Control as certainly not sent, and
// runs one step.
func (h *harness) deliverUnsent(to, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, to)
	m.Metadata.Set(tanagerpeer.UnsentKey, "true")
	h.control.Handle(m)
	h.control.Step()
}

func (h *harness) putEntries(entries ...tanagerstore.Entry) {
	for i := range entries {
		h.revision++
		entries[i].Revision = h.revision
	}
	h.deliver(self, tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Revision: h.revision,
			Entries:  entries,
		},
	})
}

func (h *harness) addMember(id string) {
	h.putEntries(tanagerstore.Entry{
		Key: tanagermessage.MemberKeyPrefix + id,
		Value: tanagerwire.Encode(tanagermessage.Member{
			ID: id,
		}),
	})
}

func (h *harness) removeMember(id string) {
	h.putEntries(tanagerstore.Entry{
		Key:     tanagermessage.MemberKeyPrefix + id,
		Deleted: true,
	})
}

// assignShards publishes a map in which each shard has the given owner. The
// epoch of each shard that moves rises.
func (h *harness) assignShards(owners ...string) {
	if len(h.shardMap.Shards) == 0 {
		h.shardMap = tanagershard.New(len(owners), owners[0])
		h.shardMap.Roster.Members = []string{"d1", "d2", "d3"}
	}
	for i, owner := range owners {
		a := &h.shardMap.Shards[i]
		if a.Owner != owner {
			a.Owner = owner
			a.Epoch++
		}
	}
	h.publishMap()
}

func (h *harness) publishMap() {
	h.putEntries(tanagerstore.Entry{
		Key:   tanagershard.Key,
		Value: tanagerwire.Encode(h.shardMap),
	})
}

func (h *harness) renewLease() {
	h.deliver(self, tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		SentAt: h.timer.Now(),
	})
}

// advance moves the clock by d in steps of one tick. If renew is set, the store
// lease is renewed on the way.
func (h *harness) advance(d time.Duration, renew bool) {
	for remaining := d; remaining > 0; remaining -= testSettings.Tick {
		h.timer.Advance(min(remaining, testSettings.Tick))
		if renew && remaining%(500*time.Millisecond) == 0 {
			h.renewLease()
		}
		h.control.Step()
	}
}

// listVMs delivers VMs in the platform's list.
func (h *harness) listVMs(vms ...tanagerplatform.VM) {
	h.deliver(self, tanagermessage.TopicVMListChanged, tanagermessage.VMListChanged{
		List: tanagerplatform.VMList{
			VMs: vms,
		},
		ReceivedAt: h.timer.Now(),
	})
}

// vmName returns the name of a VM that belongs to a shard.
func (h *harness) vmName(prefix string, s tanagershard.Shard) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%s%d", prefix, i)
		if h.shardMap.ShardOf(name) == s {
			return name
		}
	}
}

func workerVM(name string) tanagerplatform.VM {
	return tanagerplatform.VM{
		Name:          name,
		Kind:          tanagerplatform.Worker,
		FailureDomain: "a",
		Rack:          "r",
		State:         tanagerplatform.Live,
		Capacity: tanagerresource.Vector{
			CPU:    16000,
			Memory: 32000,
		},
	}
}

func targetVM(name string, slots int) tanagerplatform.VM {
	return tanagerplatform.VM{
		Name:    name,
		Kind:    tanagerplatform.Target,
		State:   tanagerplatform.Live,
		Service: "ladder",
		Slots:   slots,
	}
}

// singleEntryStore keeps the head of one journal.
type singleEntryStore struct {
	entry tanagerstore.Entry
}

// Read implements tanagerjournal.Store.
func (s *singleEntryStore) Read(context.Context, string) (tanagerstore.Snapshot, error) {
	return tanagerstore.Snapshot{}, nil
}

// Swap implements tanagerjournal.Store.
func (s *singleEntryStore) Swap(_ context.Context, swap tanagerstore.Swap) (tanagerstore.Entry, error) {
	s.entry = tanagerstore.Entry{
		Key:   swap.Key,
		Value: swap.Value,
	}
	return s.entry, nil
}

// quotaRecord limits the branch red to three cores.
func quotaRecord(at time.Time) tanagerconfig.Record {
	return tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind:   tanagerconfig.SetBranch,
			Branch: "red",
			Rules: &tanagerconfig.Rules{
				Weight: 1,
				Quota: tanagerresource.Vector{
					CPU: 3000,
				},
			},
		},
		At: at,
	}
}
