package tanagercontrol

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// Settings of a Control. All fields are required.
type Settings struct {
	// Self is this daemon's entry in the list of members.
	Self tanagermessage.Member
	// Shards is the number of shards of a new map.
	Shards  int
	Right   tanagerlease.RightSettings
	Promise tanagerlease.PromiseSettings
	Queue   tanagerqueue.Settings
	// TaskLease is how long a worker runs tasks without hearing from its owner.
	TaskLease time.Duration
	// ClockDrift is added to every wait for another clock, as a part of the
	// time waited for.
	ClockDrift float64
	// ListLag bounds how far one daemon's view of the platform's list is behind
	// another's.
	ListLag time.Duration
	// LongestRequest bounds the timeout of a request, and so how long one may
	// occupy a slot after its owner is gone.
	LongestRequest time.Duration
	// RequestWindow is how long a request id may be used and repeated.
	RequestWindow time.Duration
	// Tick is the longest time between two runs of the systems.
	Tick time.Duration
}

// The intervals of systems that don't run on every tick.
const (
	gossipInterval   = 400 * time.Millisecond
	shardInterval    = 100 * time.Millisecond
	gateInterval     = 100 * time.Millisecond
	promiseInterval  = 250 * time.Millisecond
	statusInterval   = 100 * time.Millisecond
	recoverInterval  = 300 * time.Millisecond
	sweepInterval    = 50 * time.Millisecond
	rulesInterval    = time.Second
	recountInterval  = time.Second
	takeOverSpacing  = 300 * time.Millisecond
	suspectTime      = time.Second
	endsGather       = 500 * time.Millisecond
	hintLife         = time.Second
	resendInterval   = 200 * time.Millisecond
	unreachableLimit = 2 * time.Second
)

// The bounds of a daemon's tables.
const (
	maxTries         = 4
	offerLimit       = 64
	offerTime        = time.Second
	journalBatch     = 256
	journalWindow    = 8
	journalBytes     = 128 << 10
	endsBatch        = 64
	smallCell        = 9
	gossipPeers      = 2
	releasesAtOnce   = 16
	retryBudgetPart  = 0.1
	retryBudgetLimit = 100
)

// Effects start I/O whose result comes back as a message.
type Effects interface {
	// Run sends a request to a target: RequestRan.
	Run(order RunOrder)
	// AskTarget asks a target for its slots: TargetStatus.
	AskTarget(name string, address netip.AddrPort)
	// Sync renews the task lease of a worker: WorkerSynced.
	Sync(order SyncOrder)
	// Start starts tasks on a worker: TasksStarted.
	Start(order StartOrder)
	// Stop stops tasks on a worker, without an answer.
	Stop(order StopOrder)
	// SwapMap writes the shard map: MapSwapped.
	SwapMap(m tanagershard.Map, expected uint64)
	// LoadJournal loads a job journal and takes it over: JournalLoaded.
	LoadJournal(shard tanagershard.Shard, epoch uint64)
	// AppendJournal appends to a job journal: JournalWritten. State is nil or
	// the state before the payloads.
	AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte)
	// Answer gives a waiting goroutine its answer.
	Answer(waiter uint64, value any)
	// Drained tells that nothing is left to hand over.
	Drained()
}
