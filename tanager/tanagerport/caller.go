package tanagerport

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// Reply is the result of a request that a caller receives.
type Reply string

// The replies. ReplyOutcomeUnknown is the only one after which the caller does
// not know whether the job was accepted.
const (
	ReplyAccepted       Reply = "accepted"
	ReplyState          Reply = "state"
	ReplyPending        Reply = "pending"
	ReplyOverloaded     Reply = "overloaded"
	ReplyUnavailable    Reply = "unavailable"
	ReplyQueueNotFound  Reply = "no_queue"
	ReplyJobNotFound    Reply = "no_job"
	ReplyOutcomeUnknown Reply = "unsure"
)

// Submission is a job as a caller submits it.
type Submission struct {
	Queue   Queue
	ID      tanagerwork.JobID
	Spec    tanagerwork.Spec
	Arrived time.Time
}

// Result is a Reply with its details.
type Result struct {
	Reply Reply
	// RetryAfter is the delay before a retry, for ReplyOverloaded and
	// ReplyUnavailable.
	RetryAfter time.Duration
	// State belongs to ReplyState, Pending to ReplyPending.
	State   tanagerwork.State
	Pending int
}
