package tanagermessage

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
)

// Topics of messages within a daemon.
const (
	TopicRequestArrived     = "local.request.arrived"
	TopicCallerDisconnected = "local.request.gone"
	TopicRunFinished        = "local.request.ran"
	TopicIDsRequested       = "local.ids.wanted"
	TopicJobCallArrived     = "local.job.wanted"
	TopicStatusRequested    = "local.status.wanted"
	TopicPlanRequested      = "local.plan.wanted"
	TopicConfigRequested    = "local.config.wanted"
	TopicTargetProbed       = "local.target.status"
	TopicWorkerSynced       = "local.worker.synced"
	TopicTasksStarted       = "local.tasks.started"
	TopicShardMapWritten    = "local.map.swapped"
	TopicJournalLoaded      = "local.journal.loaded"
	TopicJournalWritten     = "local.journal.written"
	TopicLeaseRenewed       = "local.lease.renewed"
	TopicLeaseLost          = "local.lease.lost"
	TopicStoreChanged       = "local.store.changed"
	TopicVMListChanged      = "local.vms.changed"
	TopicDrain              = "local.drain"
)

// RequestArrived is a request that this daemon has received from a caller. The
// result goes to the waiter.
type RequestArrived struct {
	Waiter uint64
	Spec   RequestSpec
}

// CallerDisconnected reports that the caller closed its connection before the
// response.
type CallerDisconnected struct {
	Waiter uint64
}

// RunOutcome is the outcome of sending a request to a target.
type RunOutcome uint8

// Outcomes of a run.
const (
	// RunCompleted means that the complete response was received.
	RunCompleted RunOutcome = iota
	// RunNotSent means that no byte of the request was sent.
	RunNotSent
	// RunOutcomeUnknown means that the outcome is unknown: the target may have
	// executed the request.
	RunOutcomeUnknown
)

// RunFinished reports that a run at a target has ended.
type RunFinished struct {
	ID       string
	Target   string
	Outcome  RunOutcome
	Status   int
	Body     []byte
	Duration time.Duration
}

// IDsRequested requests new request ids. Count is at least 1.
type IDsRequested struct {
	Waiter uint64
	Count  int
}

// IDs is the response with new request ids.
type IDs struct {
	IDs []string `json:"ids"`
}

// JobCallArrived is a job call that this daemon has received from a caller.
type JobCallArrived struct {
	Call JobCall
}

// StatusRequested requests the daemon's status.
type StatusRequested struct {
	Waiter uint64
}

// PlanRequested requests the input from which the plan for an intent is
// computed.
type PlanRequested struct {
	Waiter uint64
	Intent tanagerconfig.Intent
}

// ConfigRequested requests the current configuration.
type ConfigRequested struct {
	Waiter uint64
}

// TargetProbed is the result of a status request to a target.
type TargetProbed struct {
	Target    string
	Responded bool
	BusySlots int
	// SentAt is when the status request was sent.
	SentAt time.Time
}

// WorkerSynced is the result of a sync with a worker, which renews its task
// lease.
type WorkerSynced struct {
	Worker string
	Epoch  uint64
	Report tanagerplatform.SyncResponse
	Err    error
	// SentAt is when the call was sent, ReceivedAt when it returned.
	SentAt     time.Time
	ReceivedAt time.Time
	// Acknowledged holds the ended tasks that the call acknowledged.
	Acknowledged []string
}

// TasksStarted is the result of starting tasks on a worker.
type TasksStarted struct {
	Worker string
	Epoch  uint64
	Tasks  []string
	Report tanagerplatform.StartResponse
	Err    error
}

// ShardMapWritten is the result of a compare-and-swap of the shard map.
type ShardMapWritten struct {
	Entry tanagerstore.Entry
	Err   error
}

// JournalLoaded is the result of loading a job journal and fencing its previous
// writer.
type JournalLoaded struct {
	Shard    tanagershard.Shard
	Epoch    uint64
	Recovery tanagerjournal.Recovery
	Err      error
}

// JournalWritten is the result of an append to a job journal.
type JournalWritten struct {
	Shard tanagershard.Shard
	Epoch uint64
	Err   error
}

// LeaseRenewed reports that the daemon's store lease was granted or renewed.
type LeaseRenewed struct {
	// SentAt is when the call was sent. The lease counts from then, because the
	// store cannot have started it earlier.
	SentAt time.Time
}

// StoreChanged carries a snapshot or changes of the watched part of the store.
type StoreChanged struct {
	Snapshot tanagerstore.Snapshot
}

// VMListChanged carries changes of the platform's list of VMs.
type VMListChanged struct {
	List       tanagerplatform.VMList
	ReceivedAt time.Time
}

// Member is a daemon's entry in the store. It is bound to the daemon's lease.
type Member struct {
	ID string `json:"id"`
	// Peer is the address for other daemons, HTTP that for callers and operators.
	Peer          netip.AddrPort `json:"peer"`
	HTTP          netip.AddrPort `json:"http"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
}

// MemberKeyPrefix is the prefix of the store keys of members. The member ID
// follows.
const MemberKeyPrefix = "tanager/member/"
