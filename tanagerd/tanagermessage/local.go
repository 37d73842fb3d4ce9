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

// RequestArrived is a request that this daemon has received from a caller. The
// result goes to the waiter.
type RequestArrived struct {
	Waiter uint64
	Spec   RequestSpec
}

// RequestGone reports that the caller closed its connection before the response.
type RequestGone struct {
	Waiter uint64
}

// RunEnd is the outcome of sending a request to a target.
type RunEnd uint8

// Outcomes of a run.
const (
	// RunAnswered means that the complete response was received.
	RunAnswered RunEnd = iota
	// RunUnreached means that no byte of the request was sent.
	RunUnreached
	// RunUnanswered means that the outcome is unknown: the target may have
	// executed the request.
	RunUnanswered
)

// RequestRan reports that a run at a target has ended.
type RequestRan struct {
	ID     string
	Target string
	End    RunEnd
	Status int
	Body   []byte
	// Ran is the duration of the run.
	Ran time.Duration
}

// IDsWanted requests new request ids. Count is at least 1.
type IDsWanted struct {
	Waiter uint64
	Count  int
}

// IDs is the response with new request ids.
type IDs struct {
	IDs []string `json:"ids"`
}

// JobWanted is a job call that this daemon has received from a caller.
type JobWanted struct {
	Call JobCall
}

// StatusWanted requests the daemon's status.
type StatusWanted struct {
	Waiter uint64
}

// PlanWanted requests the input from which the plan for an intent is computed.
type PlanWanted struct {
	Waiter uint64
	Intent tanagerconfig.Intent
}

// ConfigWanted requests the current configuration.
type ConfigWanted struct {
	Waiter uint64
}

// TargetStatus is the result of a status request to a target.
type TargetStatus struct {
	Target string
	// Known is set if the target responded.
	Known bool
	// Busy is the number of occupied slots.
	Busy int
	// Sent is when the status request was sent.
	Sent time.Time
}

// WorkerSynced is the result of a sync with a worker, which renews its task
// lease.
type WorkerSynced struct {
	Worker string
	Epoch  uint64
	Report tanagerplatform.SyncReport
	Err    error
	// Sent is when the call was sent, Received when it returned.
	Sent     time.Time
	Received time.Time
	// Acknowledged holds the ended tasks that the call acknowledged.
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

// MapSwapped is the result of a compare-and-swap of the shard map.
type MapSwapped struct {
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
	// Sent is when the call was sent. The lease counts from then, because the
	// store can't have started it earlier.
	Sent time.Time
}

// StoreChanged carries a snapshot or changes of the watched part of the store.
type StoreChanged struct {
	Snapshot tanagerstore.Snapshot
}

// VMsChanged carries changes of the platform's list of VMs.
type VMsChanged struct {
	List     tanagerplatform.VMList
	Received time.Time
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

// MemberPrefix is the prefix of the store keys of members. The member ID follows.
const MemberPrefix = "tanager/member/"
