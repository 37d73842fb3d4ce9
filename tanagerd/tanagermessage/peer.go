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

// The topics of messages between daemons.
const (
	TopicGossip        = "gossip"
	TopicUseAsk        = "use.ask"
	TopicUseGive       = "use.give"
	TopicEntries       = "entries"
	TopicPromiseAsk    = "promise.ask"
	TopicPromiseGive   = "promise.give"
	TopicConfirmAsk    = "confirm.ask"
	TopicConfirmGive   = "confirm.give"
	TopicRequestRelay  = "request.relay"
	TopicRequestPlace  = "request.place"
	TopicRequestAnswer = "request.answer"
	TopicRequestFinal  = "request.final"
	TopicRequestCancel = "request.cancel"
	TopicJobCall       = "job.call"
	TopicJobAnswer     = "job.answer"
	TopicJobRecover    = "job.recover"
	TopicJobRecovered  = "job.recovered"
	TopicTaskOffer     = "task.offer"
	TopicTaskAnswer    = "task.answer"
	TopicTaskEnded     = "task.ended"
	TopicTaskAck       = "task.ack"
	TopicTaskStop      = "task.stop"
	TopicGangReserve   = "gang.reserve"
	TopicGangReserved  = "gang.reserved"
	TopicGangRelease   = "gang.release"
)

// Gossip tells peers how far this daemon is and how loaded.
type Gossip struct {
	// Same is set, and everything else left out, if nothing has changed since
	// the last message.
	Same           bool   `json:"same,omitempty"`
	MapRevision    uint64 `json:"map_revision,omitempty"`
	ConfigRevision uint64 `json:"config_revision,omitempty"`
	// Services are the hints of the services that this daemon owns targets of.
	Services []ServiceHint `json:"services,omitempty"`
	// Free is what its workers have left of Total.
	Free  tanagerresource.Vector `json:"free,omitzero"`
	Total tanagerresource.Vector `json:"total,omitzero"`
	// Draining daemons are about to stop.
	Draining bool `json:"draining,omitempty"`
}

// ServiceHint is the load of one service at one owner.
type ServiceHint struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Free    int    `json:"free"`
	Queued  int    `json:"queued"`
}

// UseAsk asks what each branch holds and waits for, for a plan.
type UseAsk struct {
	Number uint64 `json:"number"`
}

// UseGive answers a UseAsk.
type UseGive struct {
	Number uint64                 `json:"number"`
	Total  tanagerresource.Vector `json:"total"`
	Slots  int                    `json:"slots"`
	Uses   []BranchUse            `json:"uses"`
}

// BranchUse is what a branch holds and waits for at one owner. It is encoded as
// an array, because a plan asks every daemon for every branch.
type BranchUse struct {
	_            struct{} `cbor:",toarray"`
	Branch       string
	CPU          int64
	Memory       int64
	Accelerators int64
	Waiting      int
	Slots        int
	Queued       int
}

// Entries carries newer store entries to a daemon that lags behind.
type Entries struct {
	Entries []tanagerstore.Entry `json:"entries"`
}

// PromiseAsk asks for the promise to go on while the store is out.
type PromiseAsk struct {
	Roster tanagerlease.Roster `json:"roster"`
	// Number matches the answer to the time of the question.
	Number uint64 `json:"number"`
}

// PromiseGive answers a PromiseAsk.
type PromiseGive struct {
	Number  uint64 `json:"number"`
	Roster  uint64 `json:"roster"`
	Granted bool   `json:"granted"`
}

// ConfirmAsk asks to confirm that an owner was taken over from.
type ConfirmAsk struct {
	Owner string `json:"owner"`
}

// ConfirmGive answers a ConfirmAsk.
type ConfirmGive struct {
	Owner string `json:"owner"`
	// Left is how long the outstanding promise to the owner still runs.
	Left time.Duration `json:"left"`
}

// RequestSpec is one request of a caller.
type RequestSpec struct {
	ID         string             `json:"id"`
	Branch     string             `json:"branch"`
	Service    string             `json:"service"`
	Path       string             `json:"path"`
	Class      tanagerqueue.Class `json:"class"`
	Idempotent bool               `json:"idempotent"`
	// Timeout is the time left until the caller gives up.
	Timeout time.Duration `json:"timeout"`
	Body    []byte        `json:"body"`
}

// RequestRelay hands a request to the home of its id.
type RequestRelay struct {
	Waiter uint64      `json:"waiter"`
	Spec   RequestSpec `json:"spec"`
}

// RequestFinal answers a RequestRelay.
type RequestFinal struct {
	Waiter uint64        `json:"waiter"`
	Answer RequestAnswer `json:"answer"`
}

// RequestPlace hands a request to an owner of targets.
type RequestPlace struct {
	Spec RequestSpec `json:"spec"`
	// Try numbers the attempts that the home makes for one request.
	Try int `json:"try"`
}

// RequestAnswer is the final outcome of a request, or of one try of it.
type RequestAnswer struct {
	ID  string `json:"id"`
	Try int    `json:"try"`
	// Status and Body are the target's, if Failure is nil.
	Status  int                     `json:"status,omitempty"`
	Body    []byte                  `json:"body,omitempty"`
	Failure *tanagerfailure.Failure `json:"failure,omitempty"`
	// Queued and Ran are the times that the request waited and ran.
	Queued time.Duration `json:"queued"`
	Ran    time.Duration `json:"ran"`
	Target string        `json:"target,omitempty"`
	// Hint is the owner's load when it answered.
	Hint ServiceHint `json:"hint,omitzero"`
}

// RequestCancel tells that nobody waits for a request any more.
type RequestCancel struct {
	ID string `json:"id"`
}

// JobCallKind tells what a JobCall asks for.
type JobCallKind string

// The kinds of job call.
const (
	JobSubmit JobCallKind = "submit"
	JobShow   JobCallKind = "show"
	JobCancel JobCallKind = "cancel"
	JobList   JobCallKind = "list"
)

// JobCall carries a caller's call to the owner of a job shard.
type JobCall struct {
	Waiter uint64             `json:"waiter"`
	Kind   JobCallKind        `json:"kind"`
	Shard  tanagershard.Shard `json:"shard"`
	Branch string             `json:"branch"`
	ID     string             `json:"id,omitempty"`
	Spec   *tanagerjob.Spec   `json:"spec,omitempty"`
	// Wait is how long the answer may be held until the job has ended.
	Wait time.Duration `json:"wait,omitempty"`
}

// JobAnswer answers a JobCall.
type JobAnswer struct {
	Waiter  uint64                  `json:"waiter"`
	Jobs    []JobStatus             `json:"jobs,omitempty"`
	Failure *tanagerfailure.Failure `json:"failure,omitempty"`
}

// JobStatus is the public state of a job.
type JobStatus struct {
	ID        string                 `json:"id"`
	Branch    string                 `json:"branch"`
	Key       string                 `json:"key"`
	Kind      tanagerjob.Kind        `json:"kind"`
	Class     string                 `json:"class"`
	Accepted  time.Time              `json:"accepted"`
	Cancelled bool                   `json:"cancelled,omitempty"`
	Tasks     int                    `json:"tasks"`
	Pending   int                    `json:"pending"`
	Running   int                    `json:"running"`
	Ended     int                    `json:"ended"`
	Outcome   tanagerfailure.Outcome `json:"outcome,omitempty"`
	// Waited is the longest time that a task waited for its first start.
	Waited time.Duration `json:"waited"`
}

// JobRecover asks for the tasks of a job shard that are on workers of the
// wanted shards, after the owner of either has changed.
type JobRecover struct {
	Shard  tanagershard.Shard   `json:"shard"`
	Epoch  uint64               `json:"epoch"`
	Wanted []tanagershard.Shard `json:"wanted"`
}

// JobRecovered answers a JobRecover.
type JobRecovered struct {
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	// Complete lists the worker shards whose tasks are all known.
	Complete []ShardEpoch `json:"complete"`
	Tasks    []TaskWord   `json:"tasks"`
}

// ShardEpoch is a shard in one epoch.
type ShardEpoch struct {
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
}

// TaskOffer offers a task to an owner of workers.
type TaskOffer struct {
	Shard          tanagershard.Shard     `json:"shard"`
	Epoch          uint64                 `json:"epoch"`
	Ref            tanagerjob.TaskRef     `json:"ref"`
	Branch         string                 `json:"branch"`
	Class          tanagerqueue.Class     `json:"class"`
	Kind           tanagerjob.Kind        `json:"kind"`
	Resources      tanagerresource.Vector `json:"resources"`
	RunTime        time.Duration          `json:"run_time,omitempty"`
	Family         string                 `json:"family,omitempty"`
	Checkpointable bool                   `json:"checkpointable,omitempty"`
	Payload        []byte                 `json:"payload,omitempty"`
}

// TaskVerdict is an owner's answer to an offer.
type TaskVerdict string

// The verdicts on an offer.
const (
	// TaskStarted means that the task runs on a worker.
	TaskStarted TaskVerdict = "started"
	// TaskRefused means that the task certainly was not started.
	TaskRefused TaskVerdict = "refused"
	// TaskImpossible means that no worker of the owner could ever hold it.
	TaskImpossible TaskVerdict = "impossible"
)

// TaskAnswer answers a TaskOffer.
type TaskAnswer struct {
	Ref     tanagerjob.TaskRef `json:"ref"`
	Verdict TaskVerdict        `json:"verdict"`
	Worker  string             `json:"worker,omitempty"`
}

// TaskEnd is how an attempt ended.
type TaskEnd string

// The ends of an attempt.
const (
	TaskDone         TaskEnd = "done"
	TaskFailed       TaskEnd = "failed"
	TaskStopped      TaskEnd = "stopped"
	TaskCheckpointed TaskEnd = "checkpointed"
	// TaskLost means that the worker's task lease has certainly lapsed.
	TaskLost TaskEnd = "lost"
)

// TaskWord tells the owner of a job what became of an attempt. End is empty
// while it runs.
type TaskWord struct {
	Shard  tanagershard.Shard `json:"shard"`
	Ref    tanagerjob.TaskRef `json:"ref"`
	Worker string             `json:"worker"`
	End    TaskEnd            `json:"end,omitempty"`
}

// TaskAck tells that the end of an attempt is in the journal.
type TaskAck struct {
	Ref tanagerjob.TaskRef `json:"ref"`
}

// TaskStop asks to stop an attempt.
type TaskStop struct {
	Shard tanagershard.Shard `json:"shard"`
	Epoch uint64             `json:"epoch"`
	Ref   tanagerjob.TaskRef `json:"ref"`
}

// GangReserve asks for room for some tasks of a gang. Room that was reserved
// before is kept for longer.
type GangReserve struct {
	Shard     tanagershard.Shard     `json:"shard"`
	Epoch     uint64                 `json:"epoch"`
	Job       string                 `json:"job"`
	Round     int                    `json:"round"`
	Branch    string                 `json:"branch"`
	Class     tanagerqueue.Class     `json:"class"`
	Resources tanagerresource.Vector `json:"resources"`
	Count     int                    `json:"count"`
	// Accepted orders gangs: room of a younger gang goes to an older one.
	Accepted time.Time `json:"accepted"`
}

// GangReserved answers a GangReserve, or tells that room was taken back.
type GangReserved struct {
	Job      string `json:"job"`
	Round    int    `json:"round"`
	Count    int    `json:"count"`
	Possible int    `json:"possible"`
}

// GangRelease gives reserved room back.
type GangRelease struct {
	Job string `json:"job"`
}
