package tanagerwork

import (
	"slices"
	"time"
)

// State is what a caller is told about a job.
type State string

// The states. Completed, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Record is what is stored when a job is accepted. It never changes.
type Record struct {
	ID JobID `json:"id"`
	// Queue names the queue the job was handed to, Service its workers.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Epoch is the scheduler's epoch at the moment of acceptance: a scheduler
	// with a lower epoch must not start the job.
	Epoch uint64 `json:"epoch"`
	// Arrived is when the job reached the daemon that accepted it.
	Arrived time.Time `json:"arrived"`
	Spec    Spec      `json:"spec"`
}

// StepProgress is what is known for good about a step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// AllDone replaces Done when every task is done.
	AllDone bool  `json:"all_done,omitempty"`
	Done    []int `json:"done,omitempty"`
	// Failures are the failed runs by task; a gang's stand under task 0.
	Failures map[int]FailedRuns `json:"failures,omitempty"`
	// Checkpoints is the latest checkpoint by task; a gang's stands under task 0.
	Checkpoints map[int]string `json:"saved,omitempty"`
}

// FailedRuns are the numbers of the runs of a task that failed. Workers list
// their ends again until they are acknowledged, and a new scheduler gets them in
// any order.
type FailedRuns []int64

// Add notes the failure of a run and reports whether it is a new one.
func (f *FailedRuns) Add(run int64) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// Progress is what is stored of a job while it runs and after its end.
type Progress struct {
	State   State          `json:"state"`
	Started bool           `json:"begun"`
	Steps   []StepProgress `json:"steps,omitempty"`
}
