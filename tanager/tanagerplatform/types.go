package tanagerplatform

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// Kind is the role of a VM.
type Kind string

// The kinds of VM.
const (
	Worker Kind = "worker"
	Target Kind = "target"
)

// State is a VM's state in the VM list.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is an entry of the VM list.
type VM struct {
	Name          string         `json:"name"`
	Kind          Kind           `json:"kind"`
	Address       netip.AddrPort `json:"address"`
	Rack          string         `json:"rack"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
	State         State          `json:"state"`
	// Capacity is set for workers.
	Capacity tanagerresource.Vector `json:"capacity,omitzero"`
	// Service, Slots and Connections are set for targets. A target runs Slots
	// requests concurrently and accepts about Connections connections.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

// VMList is a response of the VM list: the VMs that changed up to a revision.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// ListCall requests the VMs that changed after a revision, waiting for up to WaitMS
// milliseconds for a change.
type ListCall struct {
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task on a worker.
const (
	Running      TaskState = "running"
	Ended        TaskState = "ended"
	Failed       TaskState = "failed"
	Stopped      TaskState = "stopped"
	Checkpointed TaskState = "checkpointed"
)

// Final reports whether the task no longer occupies the worker.
func (s TaskState) Final() bool { return s != Running }

// Task is a task to be started on a worker.
type Task struct {
	// ID identifies one attempt of one task.
	ID        string                 `json:"id"`
	Resources tanagerresource.Vector `json:"resources"`
	// RunTime is how long a fake worker simulates the task; zero means until it is
	// stopped.
	RunTime time.Duration `json:"run_time"`
	// Family and Payload are passed to the program that the task executes.
	Family  string `json:"family"`
	Payload []byte `json:"payload,omitempty"`
	// Record is opaque to the worker, which returns it in reports.
	Record []byte `json:"record"`
}

// TaskReport is the state of a task as reported by its worker.
type TaskReport struct {
	ID        string    `json:"id"`
	State     TaskState `json:"state"`
	Throttled bool      `json:"throttled,omitempty"`
	// Usage is the measured resource usage, which lags behind the actual usage.
	Usage  tanagerresource.Vector `json:"usage"`
	Record []byte                 `json:"record"`
}

// SyncCall renews the task lease and requests the tasks that changed.
type SyncCall struct {
	Epoch uint64 `json:"epoch"`
	// LeaseBase is the LeaseBase of the worker's last response; zero on the first
	// call.
	LeaseBase int64         `json:"lease_base"`
	Lease     time.Duration `json:"lease"`
	// After is the Version of the last response; zero requests all tasks.
	After uint64 `json:"after"`
	// Acknowledged holds the ids of ended tasks that need not be reported again.
	Acknowledged []string `json:"acknowledged,omitempty"`
	// Wait is how long the worker may delay the response if no task has changed.
	Wait time.Duration `json:"wait"`
}

// SyncResponse is the response to a SyncCall. LeaseBase is a reading of the
// worker's clock in nanoseconds.
type SyncResponse struct {
	LeaseBase int64        `json:"lease_base"`
	Version   uint64       `json:"version"`
	Tasks     []TaskReport `json:"tasks"`
}

// StartCall starts tasks. The worker rejects it if its clock is past LeaseBase plus
// Lease, so that a call that is delayed beyond the lease starts nothing.
type StartCall struct {
	Epoch     uint64        `json:"epoch"`
	LeaseBase int64         `json:"lease_base"`
	Lease     time.Duration `json:"lease"`
	Tasks     []Task        `json:"tasks"`
}

// StartResponse holds the ids of the started tasks; the others were rejected.
type StartResponse struct {
	Started []string `json:"started"`
}

// StopMode is a way to take resources from a task.
type StopMode string

// The stop modes, in ascending order of cost to the task.
const (
	Checkpoint StopMode = "checkpoint"
	Throttle   StopMode = "throttle"
	Stop       StopMode = "stop"
)

// StopCall stops, checkpoints or throttles the tasks with the given ids.
type StopCall struct {
	Epoch uint64   `json:"epoch"`
	Mode  StopMode `json:"mode"`
	IDs   []string `json:"ids"`
}

// FencedResponse is the body of a response with status 409.
type FencedResponse struct {
	HighestEpoch uint64 `json:"highest_epoch"`
}

// TargetStatus holds a target's total number of slots and the number in use.
type TargetStatus struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}
