package tanagerport

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// WorkerEntry is what a worker says of itself in the list of workers.
type WorkerEntry struct {
	ID string
	// Life tells incarnations of one ID apart; a later one is greater.
	Life          int64
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      tanagerwork.Resources
	// Draining workers take no new work and leave after LeavesIn or later.
	Draining bool
	LeavesIn time.Duration
	// Machine is the machine that the worker runs on; empty if not told.
	Machine string
}

// WorkerRef addresses one incarnation of a worker.
type WorkerRef struct {
	ID      string
	Life    int64
	Address netip.AddrPort
}

// Start orders a worker to start a task.
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

// Stop orders a worker to stop a run, and never to start it.
type Stop struct {
	Task  tanagerwork.TaskName
	Run   int64
	Epoch uint64
}

// Pace orders a worker to let a run work at a share of its need.
type Pace struct {
	Task    tanagerwork.TaskName
	Run     int64
	Percent int
	Epoch   uint64
}

// Poll renews a worker's lease, acknowledges ends and asks for a Report.
type Poll struct {
	Epoch    uint64
	Deadline time.Duration
	// Acknowledged is the highest number of an end that the store holds.
	Acknowledged int64
	// Wait is how long the worker may hold the answer back for a new end.
	Wait time.Duration
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts. All but Accepted mean that the order had no effect, other than
// that a lease may have been extended.
const (
	Accepted       Verdict = "accepted"
	Fenced         Verdict = "fenced"
	Outdated       Verdict = "outdated"
	TooLate        Verdict = "too_late"
	NoRoom         Verdict = "no_room"
	TicketRejected Verdict = "ticket_rejected"
	OtherLife      Verdict = "other_life"
	Unhealthy      Verdict = "unhealthy"
	Invalid        Verdict = "invalid"
)

// Answer is a verdict with the worker's clock, 0 if not told.
type Answer struct {
	Verdict Verdict
	Clock   time.Duration
}

// How is the way a run ended.
type How string

// The ways a run ends.
const (
	EndedDone    How = "done"
	EndedFailed  How = "failed"
	EndedStopped How = "stopped"
	// EndedLeaseExpired means that the worker's lease ran out.
	EndedLeaseExpired How = "lapsed"
	// EndedGangFailed means that another member of the gang ended.
	EndedGangFailed How = "broken"
	// EndedGangTimeout means that the other members did not come in time.
	EndedGangTimeout How = "alone"
)

// RunningRow is a run that a worker holds.
type RunningRow struct {
	Task       tanagerwork.TaskName
	Run        int64
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds of a task that serves, and the
	// processor use in thousandths of a core of any other.
	Gauge float64
}

// EndedRow is the end of a run. Numbers rise within a worker's life.
type EndedRow struct {
	Number     int64
	Task       tanagerwork.TaskName
	Run        int64
	How        How
	Checkpoint string
}

// Report is a worker's answer to a Poll.
type Report struct {
	Answer
	Life    int64
	Running []RunningRow
	Ended   []EndedRow
	// Whole is false if more ends wait than one answer holds.
	Whole bool
}
