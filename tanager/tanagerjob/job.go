package tanagerjob

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Kind determines how the tasks of a job run.
type Kind string

// The kinds of job.
const (
	// Batch tasks run to completion independently of each other.
	Batch Kind = "batch"
	// Service tasks run until the job is cancelled and are restarted when they
	// end.
	Service Kind = "service"
	// Gang tasks start all together or not at all.
	Gang Kind = "gang"
)

// The limits of a specification.
const (
	MaxTasks           = 10000
	MaxAttempts        = 20
	MaxPayloadBytes    = 16 << 10
	MaxNameBytes       = 128
	defaultMaxAttempts = 3
)

// Spec is a job specification as submitted by a caller.
type Spec struct {
	// Key makes submissions idempotent: a repeated submission with the key of an
	// earlier one of the same branch returns the same job.
	Key       string                 `json:"key"`
	Kind      Kind                   `json:"kind"`
	Class     tanagerqueue.Class     `json:"class"`
	Tasks     int                    `json:"tasks"`
	Resources tanagerresource.Vector `json:"resources"`
	// RunTime is the declared run time of a task; zero means unknown.
	RunTime time.Duration `json:"run_time,omitempty"`
	// Family groups similar jobs, whose resource usage is estimated together.
	Family string `json:"family,omitempty"`
	// Idempotent tasks may be restarted after a failure.
	Idempotent bool `json:"idempotent"`
	// Checkpointable tasks lose no progress when they are stopped.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// MaxAttempts is the maximum number of starts of a task that fails; zero means
	// 3. It is ignored for tasks that are not idempotent, which are started once.
	MaxAttempts int    `json:"attempts,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
}

// Validate returns a failure with the code invalid_field for the first field
// that is out of range, or nil.
func (s Spec) Validate() *tanagerfailure.Failure {
	switch {
	case s.Key == "" || len(s.Key) > MaxNameBytes:
		return invalidField("key", "must have 1 to 128 bytes")
	case len(s.Family) > MaxNameBytes:
		return invalidField("family", "must have at most 128 bytes")
	case s.Kind != Batch && s.Kind != Service && s.Kind != Gang:
		return invalidField("kind", "must be batch, service or gang")
	case s.Kind == Service && !s.Idempotent:
		return invalidField("idempotent", "must be true for a service, which is started again when it ends")
	case s.Class > tanagerqueue.Batch:
		return invalidField("class", "must be urgent, normal or batch")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalidField("tasks", fmt.Sprintf("must be from 1 to %d", MaxTasks))
	case s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0:
		return invalidField("resources", "must not be negative")
	case s.Resources.CPU == 0 && s.Resources.Memory == 0:
		return invalidField("resources", "must ask for processor time or memory")
	case s.RunTime < 0:
		return invalidField("run_time", "must not be negative")
	case s.MaxAttempts < 0 || s.MaxAttempts > MaxAttempts:
		return invalidField("attempts", fmt.Sprintf("must be from 0 to %d", MaxAttempts))
	case len(s.Payload) > MaxPayloadBytes:
		return invalidField("payload", fmt.Sprintf("must have at most %d bytes", MaxPayloadBytes))
	}
	return nil
}

func invalidField(field, message string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, field+" "+message)
}

// maxAttempts returns the maximum number of starts of a task that fails.
func (s Spec) maxAttempts() int {
	switch {
	case !s.Idempotent:
		return 1
	case s.MaxAttempts == 0:
		return defaultMaxAttempts
	}
	return s.MaxAttempts
}

// ID returns the ID of the n-th job that the owner of a shard accepts in an
// epoch.
func ID(shard int, epoch, n uint64) string {
	return fmt.Sprintf("j%d-%d-%d", shard, epoch, n)
}

// ShardOf returns the shard in a job ID, and whether the ID is well formed.
func ShardOf(id string) (int, bool) {
	rest, ok := strings.CutPrefix(id, "j")
	if !ok {
		return 0, false
	}
	digits, _, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, false
	}
	shard, err := strconv.Atoi(digits)
	return shard, err == nil && shard >= 0
}

// TaskRef identifies one attempt of a task.
type TaskRef struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// String returns the reference in the form job/index/attempt.
func (r TaskRef) String() string {
	return r.Job + "/" + strconv.Itoa(r.Index) + "/" + strconv.Itoa(r.Attempt)
}
