package tanagerport

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// Advice lists the workers that may run a step, with a ticket for each worker id.
// Valid is how long the tickets may be used.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// AdvicePolicy describes the calls for advice.
type AdvicePolicy = tanagerwork.AdvicePolicy

// MaxAdviceWorkers is the maximum number of workers in one call for advice.
const MaxAdviceWorkers = 100

// Queue is the operator's configuration of a queue of jobs.
type Queue struct {
	Name string
	// Host and Prefix are the host and the path prefix of the queue's URLs.
	Host    string
	Prefix  string
	Service string
	// Timeout bounds the time until a caller gets a response.
	Timeout time.Duration
	// Priority is the scheduling priority; 0 is urgent and comes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task at which its job fails.
	MaxAttempts int
	// The objective of a job is Stretch times the duration of its critical path,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advice is nil if steps may run on any worker.
	Advice *AdvicePolicy
}

// Policy returns the part of the configuration, which has the given version, that
// is stored with each job.
func (q *Queue) Policy(version int64) *tanagerwork.QueuePolicy {
	return &tanagerwork.QueuePolicy{
		Version:     version,
		Priority:    q.Priority,
		MaxAttempts: q.MaxAttempts,
		Stretch:     q.Stretch,
		Slack:       q.Slack,
		Advice:      q.Advice,
	}
}

// SetPolicy replaces the part of the configuration that is stored with each job.
func (q *Queue) SetPolicy(p *tanagerwork.QueuePolicy) {
	q.Priority = p.Priority
	q.MaxAttempts = p.MaxAttempts
	q.Stretch = p.Stretch
	q.Slack = p.Slack
	q.Advice = p.Advice
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is set if workers refuse tasks that exceed their capacity.
	EnforcesCapacity bool
}

// Configuration is the operator's latest configuration.
type Configuration struct {
	Version      int64
	Queues       []Queue
	Services     []Service
	MaxBodyBytes int64
}

// Wave requests the maintenance of machines within TimeLimit, with at most
// MaxUnavailable of them unavailable at a time.
type Wave struct {
	Number         int
	Machines       []string
	TimeLimit      time.Duration
	MaxUnavailable int
}

// MachineState is the operating state of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a machine of a pool.
type Machine struct {
	Name     string
	Pool     string
	State    MachineState
	WorkerID string
}
