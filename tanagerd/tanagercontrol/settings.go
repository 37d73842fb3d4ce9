package tanagercontrol

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// Settings configure a Control. All fields are required.
type Settings struct {
	// Self is this daemon's entry in the store's list of members.
	Self tanagermessage.Member
	// Shards is the number of shards of a new shard map.
	Shards     int
	StoreLease tanagerlease.StoreLeaseSettings
	Promise    tanagerlease.PromiseSettings
	Queue      tanagerqueue.Settings
	// TaskLease is how long a worker keeps running tasks without a renewal by
	// its owner.
	TaskLease time.Duration
	// ClockDrift is the largest relative drift between two clocks; 0.01 is one
	// percent. Every wait that depends on another machine's clock is extended
	// by it.
	ClockDrift float64
	// MaxListLag bounds how far one daemon's view of the platform's VM list may
	// lag behind another's.
	MaxListLag time.Duration
	// MaxRequestTimeout bounds the timeout of a request, and so the time for which
	// a request may occupy a slot after its owner has failed.
	MaxRequestTimeout time.Duration
	// RequestIDWindow is how long after its issue a request id may be used and
	// repeated.
	RequestIDWindow time.Duration
	// Tick is the longest time between two runs of the stages.
	Tick time.Duration
}

// The intervals and timeouts of the control loop.
const (
	gossipInterval       = 400 * time.Millisecond
	shardInterval        = 100 * time.Millisecond
	confirmationInterval = 100 * time.Millisecond
	promiseInterval      = 250 * time.Millisecond
	probeInterval        = 100 * time.Millisecond
	recoveryInterval     = 300 * time.Millisecond
	reconcileInterval    = 50 * time.Millisecond
	rulesInterval        = time.Second
	reprobeInterval      = time.Second
	takeoverStagger      = 300 * time.Millisecond
	suspectDuration      = time.Second
	outcomeBatchDelay    = 500 * time.Millisecond
	peerLoadMaxAge       = time.Second
	resendInterval       = 200 * time.Millisecond
	unreachableTimeout   = 2 * time.Second
)

// The bounds on the state of a daemon and on one message or write.
const (
	maxPlacementAttempts = 4
	maxOffersPerOwner    = 64
	offerTimeout         = time.Second
	maxJournalBatch      = 256
	// A job journal is compacted into a snapshot at either of these bounds.
	snapshotAfterRecords = 8
	snapshotAfterBytes   = 128 << 10
	// outcomeBatchSize outcomes are written without waiting for
	// outcomeBatchDelay.
	outcomeBatchSize = 64
	// In a cell of more than maxFullMeshMembers members, gossip goes to
	// gossipFanout random peers instead of all.
	maxFullMeshMembers = 9
	gossipFanout       = 2
	// maxConcurrentReleases bounds the shards that are handed over at a time,
	// unless the daemon is draining.
	maxConcurrentReleases = 16
	// Each placed request adds retryBudgetPerRequest to the retry budget, up to
	// maxRetryBudget.
	retryBudgetPerRequest = 0.1
	maxRetryBudget        = 100
)

// Effects starts I/O without blocking. Each method names the message that
// brings its result.
type Effects interface {
	// Run sends a request to a target. Result: RunFinished.
	Run(order RunOrder)
	// ProbeTarget probes a target for its busy slots. Result: TargetProbed.
	ProbeTarget(name string, address netip.AddrPort)
	// Sync renews the task lease of a worker and reads its report. Result:
	// WorkerSynced.
	Sync(order SyncOrder)
	// Start starts tasks on a worker. Result: TasksStarted.
	Start(order StartOrder)
	// Stop stops, checkpoints or throttles tasks on a worker. It has no result.
	Stop(order StopOrder)
	// WriteShardMap writes the shard map if the stored revision is the expected one.
	// Result: ShardMapWritten.
	WriteShardMap(m tanagershard.Map, expected uint64)
	// LoadJournal reads a job journal and fences its previous writers. Result:
	// JournalLoaded.
	LoadJournal(shard tanagershard.Shard, epoch uint64)
	// AppendJournal appends a record to a job journal. A state that is not nil
	// is a snapshot of the state before the record. Result: JournalWritten.
	AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte)
	// Respond passes a value to the goroutine that waits under a number.
	Respond(waiter uint64, value any)
	// Drained reports that this daemon owns nothing any more and may stop.
	Drained()
}
