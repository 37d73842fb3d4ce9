package tanagertraffic

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagercontrol"
	"tanagersail.example/tanagerd/tanagermessage"
)

// storeTimeout bounds a call to the store with all its repeats.
const storeTimeout = 3 * time.Second

// Inbox takes messages for the control goroutine.
type Inbox interface {
	// Deliver waits while the inbox is full.
	Deliver(topic string, m *message.Message)
}

// Dependencies are the parts that a Traffic works with.
type Dependencies struct {
	Self    string
	Timer   tanagertimer.Service
	Inbox   Inbox
	Store   tanagerstore.Store
	Targets *tanagerplatform.Client
	Workers *tanagerplatform.Client
	Waiters *Waiters
	// OnDrained is called once nothing is left to hand over.
	OnDrained func()
}

// Traffic implements tanagercontrol.Effects.
type Traffic struct {
	Dependencies

	mu       sync.Mutex
	journals map[tanagershard.Shard]*tanagerjournal.Journal
}

var _ tanagercontrol.Effects = (*Traffic)(nil)

// New returns a traffic that has started nothing.
func New(d Dependencies) *Traffic {
	return &Traffic{
		Dependencies: d,
		journals:     make(map[tanagershard.Shard]*tanagerjournal.Journal),
	}
}

func (t *Traffic) deliver(topic string, value any) {
	t.Inbox.Deliver(topic, tanagermessage.Local(value))
}

// Answer implements tanagercontrol.Effects.
func (t *Traffic) Answer(waiter uint64, value any) { t.Waiters.Answer(waiter, value) }

// Drained implements tanagercontrol.Effects.
func (t *Traffic) Drained() { t.OnDrained() }

// Run implements tanagercontrol.Effects.
func (t *Traffic) Run(order tanagercontrol.RunOrder) { go t.run(order) }

func (t *Traffic) run(order tanagercontrol.RunOrder) {
	ctx, cancel := context.WithTimeout(context.Background(), order.Timeout)
	defer cancel()
	start := t.Timer.Now()
	answer, err := t.Targets.Run(ctx, order.Address, order.Call)
	t.deliver(tanagermessage.TopicRequestRan, tanagermessage.RequestRan{
		ID:     order.Call.ID,
		Target: order.Target,
		End:    runEnd(err),
		Status: answer.Status,
		Body:   answer.Body,
		Ran:    t.Timer.Now().Sub(start),
	})
}

func runEnd(err error) tanagermessage.RunEnd {
	switch {
	case err == nil:
		return tanagermessage.RunAnswered
	case errorx.IsOfType(err, tanagerplatform.Unreached):
		return tanagermessage.RunUnreached
	}
	return tanagermessage.RunUnanswered
}

// AskTarget implements tanagercontrol.Effects.
func (t *Traffic) AskTarget(name string, address netip.AddrPort) {
	go func() {
		sent := t.Timer.Now()
		status, err := t.Targets.Status(context.Background(), address)
		t.deliver(tanagermessage.TopicTargetStatus, tanagermessage.TargetStatus{
			Target: name,
			Known:  err == nil,
			Busy:   status.Busy,
			Sent:   sent,
		})
	}()
}

// Sync implements tanagercontrol.Effects.
func (t *Traffic) Sync(order tanagercontrol.SyncOrder) {
	go func() {
		sent := t.Timer.Now()
		report, err := t.Workers.Sync(context.Background(), order.Address, order.Call)
		t.deliver(tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
			Worker:       order.Worker,
			Epoch:        order.Call.Epoch,
			Report:       report,
			Err:          err,
			Sent:         sent,
			Received:     t.Timer.Now(),
			Acknowledged: order.Call.Acknowledged,
		})
	}()
}

// Start implements tanagercontrol.Effects.
func (t *Traffic) Start(order tanagercontrol.StartOrder) {
	ids := make([]string, len(order.Call.Tasks))
	for i, task := range order.Call.Tasks {
		ids[i] = task.ID
	}
	go func() {
		report, err := t.Workers.Start(context.Background(), order.Address, order.Call)
		t.deliver(tanagermessage.TopicTasksStarted, tanagermessage.TasksStarted{
			Worker: order.Worker,
			Epoch:  order.Call.Epoch,
			Tasks:  ids,
			Report: report,
			Err:    err,
		})
	}()
}

// Stop implements tanagercontrol.Effects. The worker's next report tells what
// became of the tasks, so the answer itself is not needed.
func (t *Traffic) Stop(order tanagercontrol.StopOrder) {
	go func() { _ = t.Workers.Stop(context.Background(), order.Address, order.Call) }()
}

// SwapMap implements tanagercontrol.Effects.
func (t *Traffic) SwapMap(m tanagershard.Map, expected uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		entry, err := t.Store.Swap(ctx, tanagerstore.Swap{
			Key:      tanagershard.Key,
			Value:    tanagerwire.Encode(m),
			Expected: expected,
		})
		t.deliver(tanagermessage.TopicMapSwapped, tanagermessage.MapSwapped{
			Entry: entry,
			Err:   err,
		})
	}()
}

// JobPrefix returns the prefix of a job shard's journal in the store.
func JobPrefix(s tanagershard.Shard) string { return "tanager-jobs/" + strconv.Itoa(int(s)) }

// The window of a job journal. The control goroutine asks for snapshots well
// before it is full.
const (
	jobWindow      = 64
	jobWindowBytes = 512 << 10
)

// LoadJournal implements tanagercontrol.Effects. It reads the journal and
// appends an entry of this owner's, so that an earlier owner's next append
// fails; if an append of the earlier owner's comes in between, it reads again.
func (t *Traffic) LoadJournal(shard tanagershard.Shard, epoch uint64) {
	go func() {
		recovery, err := t.loadJournal(shard, epoch)
		t.deliver(tanagermessage.TopicJournalLoaded, tanagermessage.JournalLoaded{
			Shard:    shard,
			Epoch:    epoch,
			Recovery: recovery,
			Err:      err,
		})
	}()
}

func (t *Traffic) loadJournal(shard tanagershard.Shard, epoch uint64) (tanagerjournal.Recovery, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	journal := tanagerjournal.New(t.Store, tanagerjournal.Settings{
		Prefix:      JobPrefix(shard),
		Writer:      t.Self + "/" + strconv.FormatUint(epoch, 10) + "/" + strconv.FormatInt(t.Timer.Now().UnixNano(), 36),
		Epoch:       epoch,
		Window:      jobWindow,
		WindowBytes: jobWindowBytes,
	})
	entry := tanagerwire.Encode([]tanagerjob.Entry{
		{
			TakeOver: &tanagerjob.TakeOverEntry{
				Owner: t.Self,
				Epoch: epoch,
			},
		},
	})
	for {
		recovery, err := journal.Load(ctx)
		if err != nil {
			return recovery, err
		}
		err = journal.Append(ctx, [][]byte{entry}, nil)
		if errorx.IsOfType(err, tanagerjournal.Replaced) {
			continue
		}
		if err == nil {
			t.setJournal(shard, journal)
		}
		return recovery, err
	}
}

func (t *Traffic) setJournal(shard tanagershard.Shard, j *tanagerjournal.Journal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.journals[shard] = j
}

func (t *Traffic) journal(shard tanagershard.Shard) *tanagerjournal.Journal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.journals[shard]
}

// AppendJournal implements tanagercontrol.Effects. The control goroutine has
// one append or load of a shard under way at a time.
func (t *Traffic) AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte) {
	journal := t.journal(shard)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := journal.Append(ctx, [][]byte{payload}, state)
		t.deliver(tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
			Shard: shard,
			Epoch: epoch,
			Err:   err,
		})
	}()
}
