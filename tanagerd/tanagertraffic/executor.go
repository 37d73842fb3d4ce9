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

// storeTimeout is the time limit of a store operation, retries included.
const storeTimeout = 3 * time.Second

// Inbox receives messages for the control goroutine.
type Inbox interface {
	// Deliver adds a message. It blocks while the inbox is full.
	Deliver(topic string, m *message.Message)
}

// Dependencies holds the services that an IOExecutor uses.
type Dependencies struct {
	// Self is the daemon's member ID.
	Self    string
	Timer   tanagertimer.Service
	Inbox   Inbox
	Store   tanagerstore.Store
	Targets *tanagerplatform.Client
	Workers *tanagerplatform.Client
	Waiters *Waiters
	// OnDrained is called when the daemon has nothing left to hand over. It may be
	// called more than once.
	OnDrained func()
}

// IOExecutor implements tanagercontrol.Effects.
type IOExecutor struct {
	Dependencies

	mu       sync.Mutex
	journals map[tanagershard.Shard]*tanagerjournal.Journal
}

var _ tanagercontrol.Effects = (*IOExecutor)(nil)

// New returns an executor without any call in progress.
func New(d Dependencies) *IOExecutor {
	return &IOExecutor{
		Dependencies: d,
		journals:     make(map[tanagershard.Shard]*tanagerjournal.Journal),
	}
}

func (e *IOExecutor) deliver(topic string, value any) {
	e.Inbox.Deliver(topic, tanagermessage.Local(value))
}

// Respond implements tanagercontrol.Effects.
func (e *IOExecutor) Respond(waiter uint64, value any) { e.Waiters.Respond(waiter, value) }

// Drained implements tanagercontrol.Effects.
func (e *IOExecutor) Drained() { e.OnDrained() }

// Run implements tanagercontrol.Effects.
func (e *IOExecutor) Run(order tanagercontrol.RunOrder) { go e.run(order) }

func (e *IOExecutor) run(order tanagercontrol.RunOrder) {
	ctx, cancel := context.WithTimeout(context.Background(), order.Timeout)
	defer cancel()
	start := e.Timer.Now()
	response, err := e.Targets.Run(ctx, order.Address, order.Call)
	e.deliver(tanagermessage.TopicRunFinished, tanagermessage.RunFinished{
		ID:       order.Call.ID,
		Target:   order.Target,
		Outcome:  runOutcome(err),
		Status:   response.Status,
		Body:     response.Body,
		Duration: e.Timer.Now().Sub(start),
	})
}

func runOutcome(err error) tanagermessage.RunOutcome {
	switch {
	case err == nil:
		return tanagermessage.RunCompleted
	case errorx.IsOfType(err, tanagerplatform.Unreachable):
		return tanagermessage.RunNotSent
	}
	return tanagermessage.RunOutcomeUnknown
}

// ProbeTarget implements tanagercontrol.Effects.
func (e *IOExecutor) ProbeTarget(name string, address netip.AddrPort) {
	go func() {
		sentAt := e.Timer.Now()
		status, err := e.Targets.Status(context.Background(), address)
		e.deliver(tanagermessage.TopicTargetProbed, tanagermessage.TargetProbed{
			Target:    name,
			Responded: err == nil,
			BusySlots: status.Busy,
			SentAt:    sentAt,
		})
	}()
}

// Sync implements tanagercontrol.Effects.
func (e *IOExecutor) Sync(order tanagercontrol.SyncOrder) {
	go func() {
		sentAt := e.Timer.Now()
		report, err := e.Workers.Sync(context.Background(), order.Address, order.Call)
		e.deliver(tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
			Worker:       order.Worker,
			Epoch:        order.Call.Epoch,
			Report:       report,
			Err:          err,
			SentAt:       sentAt,
			ReceivedAt:   e.Timer.Now(),
			Acknowledged: order.Call.Acknowledged,
		})
	}()
}

// Start implements tanagercontrol.Effects.
func (e *IOExecutor) Start(order tanagercontrol.StartOrder) {
	ids := make([]string, len(order.Call.Tasks))
	for i, task := range order.Call.Tasks {
		ids[i] = task.ID
	}
	go func() {
		report, err := e.Workers.Start(context.Background(), order.Address, order.Call)
		e.deliver(tanagermessage.TopicTasksStarted, tanagermessage.TasksStarted{
			Worker: order.Worker,
			Epoch:  order.Call.Epoch,
			Tasks:  ids,
			Report: report,
			Err:    err,
		})
	}()
}

// Stop implements tanagercontrol.Effects. The response is not needed, because
// the worker's next report includes the state of the tasks.
func (e *IOExecutor) Stop(order tanagercontrol.StopOrder) {
	go func() { _ = e.Workers.Stop(context.Background(), order.Address, order.Call) }()
}

// WriteShardMap implements tanagercontrol.Effects.
func (e *IOExecutor) WriteShardMap(m tanagershard.Map, expected uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		entry, err := e.Store.Swap(ctx, tanagerstore.Swap{
			Key:              tanagershard.Key,
			Value:            tanagerwire.Encode(m),
			ExpectedRevision: expected,
		})
		e.deliver(tanagermessage.TopicShardMapWritten, tanagermessage.ShardMapWritten{
			Entry: entry,
			Err:   err,
		})
	}()
}

// JobJournalPrefix returns the store key prefix of a job shard's journal.
func JobJournalPrefix(s tanagershard.Shard) string { return "tanager-jobs/" + strconv.Itoa(int(s)) }

// Limits of the window of a job journal, in records and bytes. The control
// goroutine requests a snapshot well before the window is full.
const (
	jobJournalWindow      = 64
	jobJournalWindowBytes = 512 << 10
)

// LoadJournal implements tanagercontrol.Effects. It reads the journal and
// appends an entry with the new owner, which fences the previous owner: its next
// append fails. If the previous owner appends between the read and the append,
// LoadJournal reads the journal again.
func (e *IOExecutor) LoadJournal(shard tanagershard.Shard, epoch uint64) {
	go func() {
		recovery, err := e.loadJournal(shard, epoch)
		e.deliver(tanagermessage.TopicJournalLoaded, tanagermessage.JournalLoaded{
			Shard:    shard,
			Epoch:    epoch,
			Recovery: recovery,
			Err:      err,
		})
	}()
}

func (e *IOExecutor) loadJournal(shard tanagershard.Shard, epoch uint64) (tanagerjournal.Recovery, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	journal := tanagerjournal.New(e.Store, tanagerjournal.Settings{
		Prefix: JobJournalPrefix(shard),
		Writer: e.Self + "/" + strconv.FormatUint(epoch, 10) + "/" +
			strconv.FormatInt(e.Timer.Now().UnixNano(), 36),
		Epoch:            epoch,
		MaxWindowRecords: jobJournalWindow,
		MaxWindowBytes:   jobJournalWindowBytes,
	})
	entry := tanagerwire.Encode([]tanagerjob.Entry{
		{
			TakeOver: &tanagerjob.TakeOverEntry{
				Owner: e.Self,
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
			e.setJournal(shard, journal)
		}
		return recovery, err
	}
}

func (e *IOExecutor) setJournal(shard tanagershard.Shard, j *tanagerjournal.Journal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.journals[shard] = j
}

func (e *IOExecutor) journal(shard tanagershard.Shard) *tanagerjournal.Journal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.journals[shard]
}

// AppendJournal implements tanagercontrol.Effects. The journal must be loaded,
// and the control goroutine runs only one append or load of a shard at a time.
func (e *IOExecutor) AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte) {
	journal := e.journal(shard)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := journal.Append(ctx, [][]byte{payload}, state)
		e.deliver(tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
			Shard: shard,
			Epoch: epoch,
			Err:   err,
		})
	}()
}
