package tanagerplatform

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// Kind tells what a VM is for.
type Kind string

// The kinds of VM.
const (
	Worker Kind = "worker"
	Target Kind = "target"
)

// State is a VM's state in the platform's list.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is one entry of the platform's list.
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
	// requests at once and takes about Connections connections.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

// VMList is an answer of the platform's list.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// ListCall asks for the VMs that changed after a revision.
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

// Final reports whether the task occupies the worker no longer.
func (s TaskState) Final() bool { return s != Running }

// Task is what a worker is asked to run.
type Task struct {
	// ID names one attempt of one task.
	ID        string                 `json:"id"`
	Resources tanagerresource.Vector `json:"resources"`
	// RunTime is how long the stand-in's task runs; zero is until stopped.
	RunTime time.Duration `json:"run_time"`
	// Family and Payload are passed to the program that the task runs.
	Family  string `json:"family"`
	Payload []byte `json:"payload,omitempty"`
	// Record is kept by the worker and returned in reports.
	Record []byte `json:"record"`
}

// TaskReport is a worker's word on one task.
type TaskReport struct {
	ID        string    `json:"id"`
	State     TaskState `json:"state"`
	Throttled bool      `json:"throttled,omitempty"`
	// Usage is what the task was seen to use, with a lag.
	Usage  tanagerresource.Vector `json:"usage"`
	Record []byte                 `json:"record"`
}

// SyncCall renews the task lease and asks for changes.
type SyncCall struct {
	Epoch uint64 `json:"epoch"`
	// LeaseBase is the value of the worker's last answer, zero at first.
	LeaseBase int64         `json:"lease_base"`
	Lease     time.Duration `json:"lease"`
	// After is the version of the last report that was received; zero asks for
	// all tasks.
	After uint64 `json:"after"`
	// Acknowledged names ended tasks that the worker may forget.
	Acknowledged []string `json:"acknowledged,omitempty"`
	// Wait is how long the worker may hold the call when nothing has changed.
	Wait time.Duration `json:"wait"`
}

// SyncReport is a worker's answer to a SyncCall.
type SyncReport struct {
	LeaseBase int64        `json:"lease_base"`
	Version   uint64       `json:"version"`
	Tasks     []TaskReport `json:"tasks"`
}

// StartCall starts tasks. The worker refuses it once its own clock is past
// LeaseBase plus Lease, so that a call that is delayed beyond the lease starts
// nothing.
type StartCall struct {
	Epoch     uint64        `json:"epoch"`
	LeaseBase int64         `json:"lease_base"`
	Lease     time.Duration `json:"lease"`
	Tasks     []Task        `json:"tasks"`
}

// StartReport tells which tasks were started; the others were refused.
type StartReport struct {
	Started []string `json:"started"`
}

// StopMode tells how a task is to make room.
type StopMode string

// The ways to take resources from a task, cheapest first.
const (
	Checkpoint StopMode = "checkpoint"
	Throttle   StopMode = "throttle"
	Stop       StopMode = "stop"
)

// StopCall takes resources from tasks.
type StopCall struct {
	Epoch uint64   `json:"epoch"`
	Mode  StopMode `json:"mode"`
	IDs   []string `json:"ids"`
}

// FencedAnswer is the body of a 409 answer.
type FencedAnswer struct {
	HighestEpoch uint64 `json:"highest_epoch"`
}

// TargetStatus is a target's word on its slots.
type TargetStatus struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}
