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

// recorder is a fake of the daemon's I/O: it records what was started.
type recorder struct {
	runs     []RunOrder
	asked    []string
	syncs    []SyncOrder
	starts   []StartOrder
	stops    []StopOrder
	swaps    []tanagershard.Map
	loads    []tanagershard.Shard
	appends  [][]tanagerjob.Entry
	answers  map[uint64]any
	drained  bool
	lastSnap []byte
}

func (r *recorder) Run(o RunOrder)                             { r.runs = append(r.runs, o) }
func (r *recorder) AskTarget(name string, _ netip.AddrPort)    { r.asked = append(r.asked, name) }
func (r *recorder) Sync(o SyncOrder)                           { r.syncs = append(r.syncs, o) }
func (r *recorder) Start(o StartOrder)                         { r.starts = append(r.starts, o) }
func (r *recorder) Stop(o StopOrder)                           { r.stops = append(r.stops, o) }
func (r *recorder) SwapMap(m tanagershard.Map, _ uint64)       { r.swaps = append(r.swaps, m) }
func (r *recorder) LoadJournal(s tanagershard.Shard, _ uint64) { r.loads = append(r.loads, s) }
func (r *recorder) Answer(waiter uint64, value any)            { r.answers[waiter] = value }
func (r *recorder) Drained()                                   { r.drained = true }

func (r *recorder) AppendJournal(_ tanagershard.Shard, _ uint64, payload, state []byte) {
	var entries []tanagerjob.Entry
	if err := tanagerwire.Decode(payload, &entries); err != nil {
		panic(err)
	}
	r.appends = append(r.appends, entries)
	r.lastSnap = state
}

// sent is a message to a peer.
type sent struct {
	to    string
	topic string
	m     *message.Message
}

// outbox is a fake of the transport: it records messages to peers, or refuses
// them.
type outbox struct {
	messages []sent
	refuse   map[string]bool
}

func (o *outbox) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to := m.Metadata.Get(tanagerpeer.ToKey)
		if o.refuse[to] {
			return tanagerpeer.UnknownPeer.New("peer %s", to)
		}
		o.messages = append(o.messages, sent{
			to:    to,
			topic: topic,
			m:     m,
		})
	}
	return nil
}

func (*outbox) Close() error { return nil }

// take returns and forgets the messages of a topic.
func take[T any](c *qt.C, o *outbox, topic string) []T {
	var values []T
	kept := o.messages[:0]
	for _, s := range o.messages {
		if s.topic != topic {
			kept = append(kept, s)
			continue
		}
		value, err := tanagermessage.Decode[T](s.m)
		c.Assert(err, qt.IsNil)
		values = append(values, value)
	}
	o.messages = kept
	return values
}

type addressBook struct{}

func (addressBook) Set(tanagermessage.Member) {}

// harness is a control with fakes around it and a clock that the test moves.
type harness struct {
	*qt.C
	control *Control
	timer   *tanagertimer.Manual
	io      *recorder
	out     *outbox
	revised uint64
	shards  tanagershard.Map
}

const self = "d1"

var testSettings = Settings{
	Self: tanagermessage.Member{
		ID: self,
	},
	Shards: 4,
	Right: tanagerlease.RightSettings{
		TTL:    3 * time.Second,
		Margin: 100 * time.Millisecond,
	},
	Promise: tanagerlease.PromiseSettings{
		Length: time.Second,
		Margin: 50 * time.Millisecond,
	},
	Queue: tanagerqueue.Settings{
		BranchLength: 100,
		TotalLength:  1000,
		FirstCost:    10 * time.Millisecond,
		RetryFloor:   100 * time.Millisecond,
		RetryCeiling: 10 * time.Second,
	},
	TaskLease:      6 * time.Second,
	ClockDrift:     0.01,
	ListLag:        time.Second,
	LongestRequest: 10 * time.Second,
	RequestWindow:  time.Minute,
	Tick:           10 * time.Millisecond,
}

// newHarness returns a control that is a member beside d2 and d3, holds its
// lease and knows the branch red. It owns no shard yet.
func newHarness(t *testing.T) *harness {
	h := &harness{
		C:     qt.New(t),
		timer: tanagertimer.NewManual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)),
		io: &recorder{
			answers: make(map[uint64]any),
		},
		out: &outbox{
			refuse: make(map[string]bool),
		},
	}
	h.control = New(testSettings, Dependencies{
		Timer:     h.timer,
		Random:    rand.New(rand.NewPCG(1, 2)),
		Peers:     h.out,
		Effects:   h.io,
		Directory: addressBook{},
		Burn:      tanagerburn.NewLedger(tanagerburn.DefaultObjectives()),
		Log:       zerolog.New(io.Discard),
		Wall:      h.timer.Now,
	})
	for _, id := range []string{"d1", "d2", "d3"} {
		h.joins(id)
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
	h.configure(record)
	h.renew()
	return h
}

// configure shows the control a configuration journal with the records.
func (h *harness) configure(records ...[]byte) {
	store := &oneKeyStore{}
	journal := tanagerjournal.New(store, tanagerjournal.Settings{
		Prefix:      ConfigPrefix,
		Writer:      "test",
		Window:      16,
		WindowBytes: 1 << 16,
	})
	h.Assert(journal.Append(context.Background(), records, nil), qt.IsNil)
	h.changed(store.entry)
}

// say delivers a message from a peer or from inside the process.
func (h *harness) say(from, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, from)
	h.control.Handle(m)
	h.control.Step()
}

// unsent hands a message back that certainly was not sent.
func (h *harness) unsent(to, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, to)
	m.Metadata.Set(tanagerpeer.UnsentKey, "true")
	h.control.Handle(m)
	h.control.Step()
}

func (h *harness) changed(entries ...tanagerstore.Entry) {
	for i := range entries {
		h.revised++
		entries[i].Revision = h.revised
	}
	h.say(self, tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Revision: h.revised,
			Entries:  entries,
		},
	})
}

func (h *harness) joins(id string) {
	h.changed(tanagerstore.Entry{
		Key: tanagermessage.MemberPrefix + id,
		Value: tanagerwire.Encode(tanagermessage.Member{
			ID: id,
		}),
	})
}

func (h *harness) leaves(id string) {
	h.changed(tanagerstore.Entry{
		Key:     tanagermessage.MemberPrefix + id,
		Deleted: true,
	})
}

// owners shows a map in which each shard has the given owner; the epochs rise.
func (h *harness) owners(owners ...string) {
	if len(h.shards.Shards) == 0 {
		h.shards = tanagershard.New(len(owners), owners[0])
		h.shards.Roster.Members = []string{"d1", "d2", "d3"}
	}
	for i, owner := range owners {
		a := &h.shards.Shards[i]
		if a.Owner != owner {
			a.Owner = owner
			a.Epoch++
		}
	}
	h.showMap()
}

func (h *harness) showMap() {
	h.changed(tanagerstore.Entry{
		Key:   tanagershard.Key,
		Value: tanagerwire.Encode(h.shards),
	})
}

func (h *harness) renew() {
	h.say(self, tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		Sent: h.timer.Now(),
	})
}

// pass moves the time in steps of the tick. The lease is renewed on the way if
// asked.
func (h *harness) pass(d time.Duration, renew bool) {
	for left := d; left > 0; left -= testSettings.Tick {
		h.timer.Advance(min(left, testSettings.Tick))
		if renew && left%(500*time.Millisecond) == 0 {
			h.renew()
		}
		h.control.Step()
	}
}

// vms shows VMs in the platform's list.
func (h *harness) vms(vms ...tanagerplatform.VM) {
	h.say(self, tanagermessage.TopicVMsChanged, tanagermessage.VMsChanged{
		List: tanagerplatform.VMList{
			VMs: vms,
		},
		Received: h.timer.Now(),
	})
}

// named returns a name of a VM that belongs to a shard.
func (h *harness) named(prefix string, s tanagershard.Shard) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%s%d", prefix, i)
		if h.shards.Of(name) == s {
			return name
		}
	}
}

func worker(name string) tanagerplatform.VM {
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

func target(name string, slots int) tanagerplatform.VM {
	return tanagerplatform.VM{
		Name:    name,
		Kind:    tanagerplatform.Target,
		State:   tanagerplatform.Live,
		Service: "ladder",
		Slots:   slots,
	}
}

// oneKeyStore keeps the head of one journal.
type oneKeyStore struct {
	entry tanagerstore.Entry
}

// Read implements tanagerjournal.Store.
func (s *oneKeyStore) Read(context.Context, string) (tanagerstore.Snapshot, error) {
	return tanagerstore.Snapshot{}, nil
}

// Swap implements tanagerjournal.Store.
func (s *oneKeyStore) Swap(_ context.Context, swap tanagerstore.Swap) (tanagerstore.Entry, error) {
	s.entry = tanagerstore.Entry{
		Key:   swap.Key,
		Value: swap.Value,
	}
	return s.entry, nil
}

// quotaRecord gives branch red a quota of three cores.
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
