package tanagerport

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// Reply is what a caller is told.
type Reply string

// The replies. ReplyUnsure is the only one after which the caller does not know
// whether the job was accepted.
const (
	ReplyAccepted    Reply = "accepted"
	ReplyState       Reply = "state"
	ReplyPending     Reply = "pending"
	ReplyOverloaded  Reply = "overloaded"
	ReplyUnavailable Reply = "unavailable"
	ReplyNoQueue     Reply = "no_queue"
	ReplyNoJob       Reply = "no_job"
	ReplyUnsure      Reply = "unsure"
)

// Submission is a job as a caller hands it in.
type Submission struct {
	Queue   Queue
	ID      tanagerwork.JobID
	Spec    tanagerwork.Spec
	Arrived time.Time
}

// Result is a Reply with what goes with it.
type Result struct {
	Reply Reply
	// RetryAfter tells when to come back after ReplyOverloaded and
	// ReplyUnavailable.
	RetryAfter time.Duration
	// State goes with ReplyState, Pending with ReplyPending.
	State   tanagerwork.State
	Pending int
}
