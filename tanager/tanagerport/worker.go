package tanagerport

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// WorkerEntry is a worker's entry in the list of workers.
type WorkerEntry struct {
	ID string
	// Incarnation increases with each restart of the worker.
	Incarnation   int64
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      tanagerwork.Resources
	// Draining workers accept no new work and terminate after TerminatesIn or later.
	Draining     bool
	TerminatesIn time.Duration
	// Machine is the machine that the worker runs on; empty if not known.
	Machine string
}

// WorkerRef is the address of one incarnation of a worker.
type WorkerRef struct {
	ID          string
	Incarnation int64
	Address     netip.AddrPort
}

// Start asks a worker to start a run of a task.
type Start struct {
	Task    tanagerwork.TaskName
	Run     int64
	Payload string
	// Deadline is the end of the lease on the worker's clock.
	Deadline   time.Duration
	Epoch      uint64
	Checkpoint string
	Ticket     string
}

// Stop asks a worker to stop a run, and not to start it if the start arrives
// later.
type Stop struct {
	Task  tanagerwork.TaskName
	Run   int64
	Epoch uint64
}

// Throttle asks a worker to throttle a run to a percentage of the CPU that it
// requested.
type Throttle struct {
	Task       tanagerwork.TaskName
	Run        int64
	CPUPercent int
	Epoch      uint64
}

// Poll renews the lease of a worker, acknowledges ends of runs and requests a
// Report.
type Poll struct {
	Epoch    uint64
	Deadline time.Duration
	// Acknowledged is the highest number up to which all ends are stored.
	Acknowledged int64
	// Wait is how long the worker may delay its response until a run ends.
	Wait time.Duration
}

// Status is the status of a worker's response.
type Status string

// The statuses. All but Accepted mean that the order had no effect, other than
// that a lease may have been extended.
const (
	Accepted             Status = "accepted"
	Fenced               Status = "fenced"
	Outdated             Status = "outdated"
	DeadlinePassed       Status = "too_late"
	InsufficientCapacity Status = "no_room"
	TicketRejected       Status = "ticket_rejected"
	OtherIncarnation     Status = "other_life"
	Unhealthy            Status = "unhealthy"
	Invalid              Status = "invalid"
)

// Response is a worker's response. Clock is the value of the worker's clock, or 0
// if it is not known.
type Response struct {
	Status Status
	Clock  time.Duration
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways a run ends.
const (
	EndedDone    EndReason = "done"
	EndedFailed  EndReason = "failed"
	EndedStopped EndReason = "stopped"
	// EndedLeaseExpired means that the worker's lease expired.
	EndedLeaseExpired EndReason = "lapsed"
	// EndedGangFailed means that another member of the gang ended.
	EndedGangFailed EndReason = "broken"
	// EndedGangTimeout means that the other members of the gang did not start in
	// time.
	EndedGangTimeout EndReason = "alone"
)

// ActiveRun is a run in progress, as reported by its worker.
type ActiveRun struct {
	Task       tanagerwork.TaskName
	Run        int64
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds of a latency-sensitive task, and
	// the CPU use in thousandths of a core of any other.
	Gauge float64
}

// EndedRun is the end of a run, as reported by its worker. SequenceNumber
// increases within an incarnation of the worker.
type EndedRun struct {
	SequenceNumber int64
	Task           tanagerwork.TaskName
	Run            int64
	Reason         EndReason
	Checkpoint     string
}

// Report is a worker's response to a Poll.
type Report struct {
	Response
	Incarnation int64
	Running     []ActiveRun
	Ended       []EndedRun
	// Complete is false if there are more ends than fit into one response.
	Complete bool
	// Late is set if the response may have waited to be read, as by a process that
	// was paused.
	Late bool
}
