package tanagermessage

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
)

// Topics of messages between daemons.
const (
	TopicGossip                 = "gossip"
	TopicUsageRequest           = "use.ask"
	TopicUsageResponse          = "use.give"
	TopicStoreEntries           = "entries"
	TopicPromiseRequest         = "promise.ask"
	TopicPromiseResponse        = "promise.give"
	TopicConfirmRequest         = "confirm.ask"
	TopicConfirmResponse        = "confirm.give"
	TopicRelayRequest           = "request.relay"
	TopicRequestDispatch        = "request.place"
	TopicRequestResult          = "request.answer"
	TopicRelayResponse          = "request.final"
	TopicRequestCancel          = "request.cancel"
	TopicJobCall                = "job.call"
	TopicJobResponse            = "job.answer"
	TopicRecoveryRequest        = "job.recover"
	TopicRecoveryResponse       = "job.recovered"
	TopicTaskOffer              = "task.offer"
	TopicOfferResponse          = "task.answer"
	TopicAttemptStatus          = "task.ended"
	TopicAttemptAck             = "task.ack"
	TopicStopAttempt            = "task.stop"
	TopicGangReservationRequest = "gang.reserve"
	TopicGangReservation        = "gang.reserved"
	TopicGangRelease            = "gang.release"
)

// Gossip reports the revisions that a daemon has applied and its load.
type Gossip struct {
	// Unchanged is set if nothing has changed since the last message. All other
	// fields are then omitted.
	Unchanged      bool   `json:"same,omitempty"`
	MapRevision    uint64 `json:"map_revision,omitempty"`
	ConfigRevision uint64 `json:"config_revision,omitempty"`
	// ServiceLoads holds the load of each service of which this daemon owns
	// targets.
	ServiceLoads []ServiceLoad `json:"services,omitempty"`
	// Free holds the unallocated resources of the daemon's workers, Capacity
	// all their resources.
	Free     tanagerresource.Vector `json:"free,omitzero"`
	Capacity tanagerresource.Vector `json:"total,omitzero"`
	// Draining is set once the daemon has begun to stop.
	Draining bool `json:"draining,omitempty"`
}

// ServiceLoad is the load of one service at one owner of targets.
type ServiceLoad struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Free    int    `json:"free"`
	Queued  int    `json:"queued"`
}

// UsageRequest requests the resource usage and the demand of each branch, for a
// plan.
type UsageRequest struct {
	CorrelationID uint64 `json:"number"`
}

// UsageResponse is the response with the usage at one daemon.
type UsageResponse struct {
	// CorrelationID is that of the request.
	CorrelationID uint64 `json:"number"`
	// Capacity and Slots are the capacity of the daemon's workers and targets.
	Capacity tanagerresource.Vector `json:"total"`
	Slots    int                    `json:"slots"`
	Usages   []BranchUsage          `json:"uses"`
}

// BranchUsage is the usage and the demand of a branch at one owner. It is
// encoded as an array, without field names, because a plan needs one for every
// branch from every daemon.
type BranchUsage struct {
	_      struct{} `cbor:",toarray"`
	Branch string
	// CPU, Memory and Accelerators are the resources allocated to the branch.
	CPU          int64
	Memory       int64
	Accelerators int64
	// Waiting is the number of tasks that wait for a worker.
	Waiting int
	// Slots is the number of slots in use, Queued that of queued requests.
	Slots  int
	Queued int
}

// StoreEntries sends store entries to a daemon that has only older revisions.
type StoreEntries struct {
	Entries []tanagerstore.Entry `json:"entries"`
}

// PromiseRequest requests a promise, with which the sender may remain an owner
// while the store is unavailable.
type PromiseRequest struct {
	Roster tanagerlease.Roster `json:"roster"`
	// CorrelationID is repeated in the response. A promise is valid from the time
	// of its request.
	CorrelationID uint64 `json:"number"`
}

// PromiseResponse is the response that grants or denies a promise.
type PromiseResponse struct {
	CorrelationID uint64 `json:"number"`
	// RosterRevision is the revision of the request's roster.
	RosterRevision uint64 `json:"roster"`
	Granted        bool   `json:"granted"`
}

// ConfirmRequest requests confirmation of a takeover. From then on the receiver
// grants no promise to the previous owner.
type ConfirmRequest struct {
	Owner string `json:"owner"`
}

// ConfirmResponse is the response that confirms a takeover.
type ConfirmResponse struct {
	// Owner is the previous owner.
	Owner string `json:"owner"`
	// PromiseRemaining is the remaining time of the outstanding promise to the
	// owner, on the sender's clock.
	PromiseRemaining time.Duration `json:"left"`
}

// RequestSpec describes a caller's request to a service.
type RequestSpec struct {
	ID         string             `json:"id"`
	Branch     string             `json:"branch"`
	Service    string             `json:"service"`
	Path       string             `json:"path"`
	Class      tanagerqueue.Class `json:"class"`
	Idempotent bool               `json:"idempotent"`
	// Timeout is the remaining time until the caller's deadline.
	Timeout time.Duration `json:"timeout"`
	Body    []byte        `json:"body"`
}

// RelayRequest forwards a request to the coordinator of its id, the daemon that
// issued the id.
type RelayRequest struct {
	Waiter uint64      `json:"waiter"`
	Spec   RequestSpec `json:"spec"`
}

// RelayResponse returns the result of a forwarded request to the daemon that
// received it from the caller.
type RelayResponse struct {
	Waiter uint64        `json:"waiter"`
	Result RequestResult `json:"answer"`
}

// RequestDispatch sends a request from its coordinator to an owner of targets.
type RequestDispatch struct {
	Spec RequestSpec `json:"spec"`
	// Attempt is the number of the coordinator's placement attempt.
	Attempt int `json:"try"`
}

// RequestResult is the result of a request, or of one placement attempt.
type RequestResult struct {
	ID      string `json:"id"`
	Attempt int    `json:"try"`
	// Status and Body are the target's, if Failure is nil.
	Status  int                     `json:"status,omitempty"`
	Body    []byte                  `json:"body,omitempty"`
	Failure *tanagerfailure.Failure `json:"failure,omitempty"`
	// QueueTime is the time in the queue, RunTime the time at the target.
	QueueTime time.Duration `json:"queued"`
	RunTime   time.Duration `json:"ran"`
	Target    string        `json:"target,omitempty"`
	// Load is the load of the service at the owner when it sent the result.
	Load ServiceLoad `json:"hint,omitzero"`
}

// RequestCancel cancels a request whose caller no longer waits for the result.
type RequestCancel struct {
	ID string `json:"id"`
}

// JobCallKind is the operation of a job call.
type JobCallKind string

// Operations of job calls.
const (
	JobSubmit JobCallKind = "submit"
	JobShow   JobCallKind = "show"
	JobCancel JobCallKind = "cancel"
	JobList   JobCallKind = "list"
)

// JobCall forwards a caller's call to the owner of the job's shard.
type JobCall struct {
	Waiter uint64             `json:"waiter"`
	Kind   JobCallKind        `json:"kind"`
	Shard  tanagershard.Shard `json:"shard"`
	Branch string             `json:"branch"`
	ID     string             `json:"id,omitempty"`
	Spec   *tanagerjob.Spec   `json:"spec,omitempty"`
	// MaxWait is how long the response may be delayed until the job has ended.
	MaxWait time.Duration `json:"wait,omitempty"`
}

// JobResponse is the response to a job call.
type JobResponse struct {
	Waiter uint64 `json:"waiter"`
	// Jobs holds the job of the call, or the listed jobs.
	Jobs    []JobStatus             `json:"jobs,omitempty"`
	Failure *tanagerfailure.Failure `json:"failure,omitempty"`
}

// JobStatus is the state of a job as callers see it.
type JobStatus struct {
	ID        string          `json:"id"`
	Branch    string          `json:"branch"`
	Key       string          `json:"key"`
	Kind      tanagerjob.Kind `json:"kind"`
	Class     string          `json:"class"`
	Accepted  time.Time       `json:"accepted"`
	Cancelled bool            `json:"cancelled,omitempty"`
	// Tasks is the number of tasks; Pending, Running and Ended count them by
	// state.
	Tasks   int `json:"tasks"`
	Pending int `json:"pending"`
	Running int `json:"running"`
	Ended   int `json:"ended"`
	// Outcome is empty until the job has ended.
	Outcome tanagerfailure.Outcome `json:"outcome,omitempty"`
	// MaxWait is the longest time that a task was pending before its first start.
	MaxWait time.Duration `json:"waited"`
}

// RecoveryRequest requests the tasks of a job shard that are on workers of other
// shards. It is sent after the owner of the job shard or of a worker shard has
// changed.
type RecoveryRequest struct {
	// Shard and Epoch are those of the job shard.
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	// WorkerShards are the shards of the workers.
	WorkerShards []tanagershard.Shard `json:"wanted"`
}

// RecoveryResponse is the response with the tasks of a job shard at one owner of
// workers.
type RecoveryResponse struct {
	// Shard and Epoch are those of the job shard.
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	// CompleteShards holds the worker shards all of whose tasks are listed.
	CompleteShards []ShardEpoch    `json:"complete"`
	Tasks          []AttemptStatus `json:"tasks"`
}

// ShardEpoch identifies one ownership of a shard.
type ShardEpoch struct {
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
}

// TaskOffer offers a task of a job to an owner of workers.
type TaskOffer struct {
	// Shard and Epoch are those of the job shard.
	Shard     tanagershard.Shard     `json:"shard"`
	Epoch     uint64                 `json:"epoch"`
	Ref       tanagerjob.TaskRef     `json:"ref"`
	Branch    string                 `json:"branch"`
	Class     tanagerqueue.Class     `json:"class"`
	Kind      tanagerjob.Kind        `json:"kind"`
	Resources tanagerresource.Vector `json:"resources"`
	// RunTime is the declared run time of the task; zero is unknown.
	RunTime time.Duration `json:"run_time,omitempty"`
	// Family groups jobs of similar resource usage.
	Family         string `json:"family,omitempty"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
	Payload        []byte `json:"payload,omitempty"`
}

// OfferResult is the result of an offer.
type OfferResult string

// Results of an offer.
const (
	// OfferStarted means that the task was started on a worker.
	OfferStarted OfferResult = "started"
	// OfferRejected means that the task was certainly not started.
	OfferRejected OfferResult = "refused"
	// OfferInfeasible means that the task does not fit on any of the owner's
	// workers even if the worker is empty.
	OfferInfeasible OfferResult = "impossible"
)

// OfferResponse is the response to an offer.
type OfferResponse struct {
	Ref    tanagerjob.TaskRef `json:"ref"`
	Result OfferResult        `json:"verdict"`
	Worker string             `json:"worker,omitempty"`
}

// AttemptEnd is the reason for which an attempt of a task ended.
type AttemptEnd string

// Reasons for the end of an attempt.
const (
	AttemptDone         AttemptEnd = "done"
	AttemptFailed       AttemptEnd = "failed"
	AttemptStopped      AttemptEnd = "stopped"
	AttemptCheckpointed AttemptEnd = "checkpointed"
	// AttemptLost means that the worker's task lease has certainly expired.
	AttemptLost AttemptEnd = "lost"
)

// AttemptStatus reports the state of an attempt to the owner of its job.
type AttemptStatus struct {
	Shard  tanagershard.Shard `json:"shard"`
	Ref    tanagerjob.TaskRef `json:"ref"`
	Worker string             `json:"worker"`
	// End is empty while the attempt is running.
	End AttemptEnd `json:"end,omitempty"`
}

// AttemptAck acknowledges that the end of an attempt is in the job journal.
type AttemptAck struct {
	Ref tanagerjob.TaskRef `json:"ref"`
}

// StopAttempt requests that an attempt be stopped.
type StopAttempt struct {
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	Ref   tanagerjob.TaskRef `json:"ref"`
}

// GangReservationRequest requests a reservation of resources for tasks of a
// gang. It also extends the gang's earlier reservation.
type GangReservationRequest struct {
	// Shard and Epoch are those of the job shard.
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	Job   string             `json:"job"`
	// Round numbers the gang's attempts to reserve resources for all its tasks.
	Round     int                    `json:"round"`
	Branch    string                 `json:"branch"`
	Class     tanagerqueue.Class     `json:"class"`
	Resources tanagerresource.Vector `json:"resources"`
	// Count is the number of tasks, those with a reservation included.
	Count int `json:"count"`
	// Accepted is when the job was accepted. An older gang takes reservations
	// from a younger one.
	Accepted time.Time `json:"accepted"`
}

// GangReservation reports a gang's reservation at one owner of workers, in
// response to a request or after the owner has released reservations.
type GangReservation struct {
	Job   string `json:"job"`
	Round int    `json:"round"`
	// Count is the number of tasks with a reservation.
	Count    int `json:"count"`
	Possible int `json:"possible"`
}

// GangRelease releases all reservations of a gang.
type GangRelease struct {
	Job string `json:"job"`
}
