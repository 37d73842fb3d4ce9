package tanagerport

import "time"

// Advice tells which workers may run a step. Tickets are by worker id.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// AdvicePolicy is what one call for advice costs: Decision, and Each for every
// worker named. Tickets are good for Valid.
type AdvicePolicy struct {
	Decision time.Duration
	Each     time.Duration
	Valid    time.Duration
}

// MaxAdviceWorkers is the most workers that one call for advice may name.
const MaxAdviceWorkers = 100

// Queue is a queue of jobs as the operator configures it.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Timeout bounds the answer to a caller.
	Timeout time.Duration
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch and Slack give a job's objective: Stretch times its longest
	// chain of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Advice is nil for a queue whose steps may run on any worker.
	Advice *AdvicePolicy
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity tells that workers refuse what does not fit.
	EnforcesCapacity bool
}

// Configuration is the operator's newest configuration.
type Configuration struct {
	Version      int64
	Queues       []Queue
	Services     []Service
	MaxBodyBytes int64
}

// Wave asks for the upkeep of machines, at most Cap at once, within a time.
type Wave struct {
	Number   int
	Machines []string
	Within   time.Duration
	Cap      int
}

// MachineState is the state of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMigrating   MachineState = "moving"
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
