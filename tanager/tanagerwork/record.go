package tanagerwork

import "time"

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
	// Failures counts failed runs by task; a gang counts under task 0.
	Failures map[int]int `json:"failures,omitempty"`
	// Saved is the latest checkpoint by task; a gang's stands under task 0.
	Saved map[int]string `json:"saved,omitempty"`
}

// Progress is what is stored of a job while it runs and after its end.
type Progress struct {
	State State          `json:"state"`
	Begun bool           `json:"begun"`
	Steps []StepProgress `json:"steps,omitempty"`
}
