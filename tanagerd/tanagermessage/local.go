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

// The topics of messages inside a daemon.
const (
	TopicRequestArrived = "local.request.arrived"
	TopicRequestGone    = "local.request.gone"
	TopicRequestRan     = "local.request.ran"
	TopicIDsWanted      = "local.ids.wanted"
	TopicJobWanted      = "local.job.wanted"
	TopicStatusWanted   = "local.status.wanted"
	TopicPlanWanted     = "local.plan.wanted"
	TopicConfigWanted   = "local.config.wanted"
	TopicTargetStatus   = "local.target.status"
	TopicWorkerSynced   = "local.worker.synced"
	TopicTasksStarted   = "local.tasks.started"
	TopicMapSwapped     = "local.map.swapped"
	TopicJournalLoaded  = "local.journal.loaded"
	TopicJournalWritten = "local.journal.written"
	TopicLeaseRenewed   = "local.lease.renewed"
	TopicLeaseLost      = "local.lease.lost"
	TopicStoreChanged   = "local.store.changed"
	TopicVMsChanged     = "local.vms.changed"
	TopicDrain          = "local.drain"
)

// RequestArrived is a caller's request at this daemon. The answer goes to the
// waiter.
type RequestArrived struct {
	Waiter uint64
	Spec   RequestSpec
}

// RequestGone tells that the caller has closed its connection.
type RequestGone struct {
	Waiter uint64
}

// RunEnd is how a run at a target ended.
type RunEnd uint8

// The ends of a run.
const (
	// RunAnswered means that the whole answer arrived.
	RunAnswered RunEnd = iota
	// RunUnreached means that no byte of the request was sent.
	RunUnreached
	// RunUnanswered means that the request may have run.
	RunUnanswered
)

// RequestRan tells the end of a run at a target.
type RequestRan struct {
	ID     string
	Target string
	End    RunEnd
	Status int
	Body   []byte
	Ran    time.Duration
}

// IDsWanted asks for request ids.
type IDsWanted struct {
	Waiter uint64
	Count  int
}

// IDs answers IDsWanted.
type IDs struct {
	IDs []string `json:"ids"`
}

// JobWanted is a caller's job call at this daemon.
type JobWanted struct {
	Call JobCall
}

// StatusWanted asks for the daemon's status.
type StatusWanted struct {
	Waiter uint64
}

// PlanWanted asks what an intent would change.
type PlanWanted struct {
	Waiter uint64
	Intent tanagerconfig.Intent
}

// ConfigWanted asks for the configuration in force.
type ConfigWanted struct {
	Waiter uint64
}

// TargetStatus is a target's word on its slots.
type TargetStatus struct {
	Target string
	Known  bool
	Busy   int
	// Sent is when the question was sent.
	Sent time.Time
}

// WorkerSynced is the result of a sync with a worker.
type WorkerSynced struct {
	Worker string
	Epoch  uint64
	Report tanagerplatform.SyncReport
	Err    error
	// Sent is when the call was sent, Received when the answer arrived.
	Sent     time.Time
	Received time.Time
	// Acknowledged are the ended tasks that the call acknowledged.
	Acknowledged []string
}

// TasksStarted is the result of starting tasks on a worker.
type TasksStarted struct {
	Worker string
	Epoch  uint64
	Tasks  []string
	Report tanagerplatform.StartReport
	Err    error
}

// MapSwapped is the result of writing the shard map.
type MapSwapped struct {
	Entry tanagerstore.Entry
	Err   error
}

// JournalLoaded is the result of loading a job journal and taking it over.
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

// LeaseRenewed tells that the daemon's lease was renewed by a call sent at the
// given time.
type LeaseRenewed struct {
	Sent time.Time
}

// StoreChanged carries what a watch of the store has delivered.
type StoreChanged struct {
	Snapshot tanagerstore.Snapshot
}

// VMsChanged carries changes of the platform's list.
type VMsChanged struct {
	List     tanagerplatform.VMList
	Received time.Time
}

// Member is a daemon's entry in the store, kept under its lease.
type Member struct {
	ID            string         `json:"id"`
	Peer          netip.AddrPort `json:"peer"`
	HTTP          netip.AddrPort `json:"http"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
}

// MemberPrefix is the prefix of the keys of members.
const MemberPrefix = "tanager/member/"
