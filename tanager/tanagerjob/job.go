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

// Kind tells how the tasks of a job belong together.
type Kind string

// The kinds of job.
const (
	// Batch tasks run independently, each to its end.
	Batch Kind = "batch"
	// Service tasks run until the job is cancelled and are started again when
	// they end.
	Service Kind = "service"
	// Gang tasks run all at once or not at all.
	Gang Kind = "gang"
)

// The bounds of a specification.
const (
	MaxTasks        = 10000
	MaxAttempts     = 20
	MaxPayloadBytes = 16 << 10
	MaxNameLength   = 128
	defaultAttempts = 3
)

// Spec is what a caller asks for.
type Spec struct {
	// Key makes a repeated submission of a branch return the same job.
	Key       string                 `json:"key"`
	Kind      Kind                   `json:"kind"`
	Class     tanagerqueue.Class     `json:"class"`
	Tasks     int                    `json:"tasks"`
	Resources tanagerresource.Vector `json:"resources"`
	// RunTime is the declared run time of a task; zero is not known.
	RunTime time.Duration `json:"run_time,omitempty"`
	// Family groups jobs that are alike, for learning what they use.
	Family string `json:"family,omitempty"`
	// Idempotent tasks may be started again after a failure.
	Idempotent bool `json:"idempotent"`
	// Checkpointable tasks lose nothing when they are stopped.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Attempts bounds the starts of a task that fails; zero means 3.
	Attempts int    `json:"attempts,omitempty"`
	Payload  []byte `json:"payload,omitempty"`
}

// Validate returns the failure of the first field that is out of range, or nil.
func (s Spec) Validate() *tanagerfailure.Failure {
	switch {
	case s.Key == "" || len(s.Key) > MaxNameLength:
		return invalid("key", "must have 1 to 128 bytes")
	case len(s.Family) > MaxNameLength:
		return invalid("family", "must have at most 128 bytes")
	case s.Kind != Batch && s.Kind != Service && s.Kind != Gang:
		return invalid("kind", "must be batch, service or gang")
	case s.Kind == Service && !s.Idempotent:
		return invalid("idempotent", "must be true for a service, which is started again when it ends")
	case s.Class > tanagerqueue.Batch:
		return invalid("class", "must be urgent, normal or batch")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalid("tasks", fmt.Sprintf("must be from 1 to %d", MaxTasks))
	case s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0:
		return invalid("resources", "must not be negative")
	case s.Resources.CPU == 0 && s.Resources.Memory == 0:
		return invalid("resources", "must ask for processor time or memory")
	case s.RunTime < 0:
		return invalid("run_time", "must not be negative")
	case s.Attempts < 0 || s.Attempts > MaxAttempts:
		return invalid("attempts", fmt.Sprintf("must be from 0 to %d", MaxAttempts))
	case len(s.Payload) > MaxPayloadBytes:
		return invalid("payload", fmt.Sprintf("must have at most %d bytes", MaxPayloadBytes))
	}
	return nil
}

func invalid(field, message string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, field+" "+message)
}

// attempts returns the bound on the starts of a failing task.
func (s Spec) attempts() int {
	switch {
	case !s.Idempotent:
		return 1
	case s.Attempts == 0:
		return defaultAttempts
	}
	return s.Attempts
}

// ID returns the id of the n-th job that the owner of a shard accepts in an
// epoch.
func ID(shard int, epoch, n uint64) string {
	return fmt.Sprintf("j%d-%d-%d", shard, epoch, n)
}

// ShardOf returns the shard of a job id, and whether the id is well formed.
func ShardOf(id string) (int, bool) {
	rest, ok := strings.CutPrefix(id, "j")
	if !ok {
		return 0, false
	}
	number, _, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, false
	}
	shard, err := strconv.Atoi(number)
	return shard, err == nil && shard >= 0
}

// TaskRef names one attempt of one task.
type TaskRef struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// String returns the form job/index/attempt.
func (r TaskRef) String() string {
	return r.Job + "/" + strconv.Itoa(r.Index) + "/" + strconv.Itoa(r.Attempt)
}
