package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Cell is the control state of the scheduler of one partition. Its methods must
// be called by one goroutine at a time.
type Cell struct {
	settings Settings
	epoch    uint64
	now      time.Time
	// fenced is set when a worker has refused this epoch because it has seen a
	// higher one.
	fenced bool

	queues   map[string]*queue
	services map[string]tanagerport.Service
	jobs     map[tanagerwork.JobID]*job
	// openJobs are the jobs that have not ended, in the order in which they were
	// added. dirtyJobs have progress that is neither stored nor being written, the
	// oldest first.
	openJobs, dirtyJobs []*job
	workers             map[string]*worker
	// workerList holds the workers in the order of their ids, so that decisions
	// do not depend on the order of a map.
	workerList []*worker
	// usableWorkers may be given new work as of the last tick. They are sorted by
	// id.
	usableWorkers []*worker
	waves         map[int]*wave
	machines      map[string]tanagerport.Machine
	// machinesAsOf is when the list of machines was requested.
	machinesAsOf time.Time
	// readySteps have tasks that wait for a worker and whose dependencies are
	// done.
	readySteps []*step
	expired    expiredTurns
	// assembling are the gangs that have started and are not known to work yet.
	assembling []*step
	// authorityUntil is when the scheduler must stop extending leases and starting
	// tasks; zero for never.
	authorityUntil time.Time
	// capacityVersion is incremented whenever a step that did not fit may fit
	// again. Such a step is not tried before that.
	capacityVersion uint64
	// predecessorLeases holds the workers that may run tasks of a predecessor and
	// have not reported yet, with the time at which their leases have expired at
	// the latest.
	predecessorLeases map[string]time.Time
	// predecessorEndsAt is when a predecessor has certainly ceased to start tasks.
	predecessorEndsAt time.Time
	// earlyEnds are the ends of jobs that are not known yet.
	earlyEnds map[tanagerwork.JobID][]*earlyEnd
	advisers  []*adviser
	// presumedCrashes are those of all tasks, the oldest first.
	presumedCrashes []*presumedCrash
	// estimateInflation is the moving average of the ratio of a task's duration
	// to its estimate.
	estimateInflation float64
	// idlePollPause is the pause between the polls of a worker that runs nothing.
	idlePollPause time.Duration
	// attemptsScannedAt is when the attempts of all workers were last scanned.
	attemptsScannedAt time.Time
	// reservationsUpdatedAt is when reservations were last computed.
	reservationsUpdatedAt time.Time
	admission             *tanageradmission.Controller
	hints                 map[string]AdmissionHint
	hintsAt               time.Time
	room                  room
	orders                Orders
	counters              Counters
}

// Counters are totals since the cell was created.
type Counters struct {
	Starts, StartsRefused, Stops, Polls, AdviceCalls int64
	Done, Failed, Lost                               int64
	// EventsDropped counts log events beyond maxEventsPerTake.
	EventsDropped int64
}

// New returns a cell for a scheduler whose epoch begins at now.
func New(s Settings, epoch uint64, now time.Time) *Cell {
	return &Cell{
		settings:          s,
		epoch:             epoch,
		now:               now,
		queues:            make(map[string]*queue),
		services:          make(map[string]tanagerport.Service),
		jobs:              make(map[tanagerwork.JobID]*job),
		workers:           make(map[string]*worker),
		capacityVersion:   1,
		predecessorLeases: make(map[string]time.Time),
		earlyEnds:         make(map[tanagerwork.JobID][]*earlyEnd),
		estimateInflation: 1,
		waves:             make(map[int]*wave),
		admission:         tanageradmission.New(),
		hints:             make(map[string]AdmissionHint),
		room: room{
			reserved: make(map[tanagerwork.JobID]roomReservation),
		},
	}
}

// Orders are the requests that the cell wants sent to workers, to the advice
// service and to the operator, and the events for the log.
type Orders struct {
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
	Polls     []PollOrder
	Advice    []AdviceOrder
	Events    []LogEvent
	Outcomes  []JobOutcome
	Forecasts []ForecastOutcome
	// Maintenance and WaveStatus belong to maintenance waves.
	Maintenance []MaintenanceOrder
	WaveStatus  []WaveStatus
}

// StartOrder asks a worker to start a task. Its result is passed to
// Cell.HandleStartResponse.
type StartOrder struct {
	Worker tanagerport.WorkerRef
	Start  tanagerport.Start
}

// StopOrder asks a worker to stop a run. Its result is passed to
// Cell.HandleStopResponse.
type StopOrder struct {
	Worker tanagerport.WorkerRef
	Stop   tanagerport.Stop
}

// ThrottleOrder asks a worker to throttle a run. The cell does not need its
// result and does not retry it: a lost order leaves the run at its former
// percentage until the next change.
type ThrottleOrder struct {
	Worker   tanagerport.WorkerRef
	Throttle tanagerport.Throttle
}

// PollOrder polls a worker. Its result is passed to Cell.HandlePollResponse.
type PollOrder struct {
	Worker tanagerport.WorkerRef
	Poll   tanagerport.Poll
}

// LogEvent is an event for the log: a decision, or a change in what the cell
// knows of a job or a worker.
type LogEvent struct {
	Name   string
	Job    tanagerwork.JobID
	Queue  string
	Task   tanagerwork.TaskName
	Run    int64
	Worker string
	// Incarnation is that of the worker, for orders to it and what it has reported, and
	// SequenceNumber the number of a reported end.
	Incarnation, SequenceNumber int64
	// Clock is the worker's clock and LeaseEnd the latest deadline that was sent to it,
	// on that clock.
	Clock, LeaseEnd time.Duration
	Reason          string
	// Forecast is the wait that was forecast for a new job.
	Forecast time.Duration
	// Age is the age of the information behind the decision, the time since the
	// job arrived or, for a response, the duration of the call.
	Age time.Duration
}

// maxEventsPerTake bounds the log events between two calls of TakeOrders.
const maxEventsPerTake = 2000

func (c *Cell) logEvent(e LogEvent) {
	if len(c.orders.Events) >= maxEventsPerTake {
		c.counters.EventsDropped++
		return
	}
	c.orders.Events = append(c.orders.Events, e)
}

// TakeOrders returns the orders that were issued since the last call.
func (c *Cell) TakeOrders() Orders {
	out := c.orders
	c.orders = Orders{}
	return out
}

// Epoch returns the scheduler's epoch.
func (c *Cell) Epoch() uint64 { return c.epoch }

// Fenced reports whether a worker has refused the present epoch, so that another
// scheduler must have been elected.
func (c *Cell) Fenced() bool { return c.fenced }

// Counters returns the totals since the cell was created.
func (c *Cell) Counters() Counters { return c.counters }

// RaiseEpoch sets a higher epoch after the scheduler was elected again without
// another one in between. The state of the cell remains valid.
func (c *Cell) RaiseEpoch(epoch uint64) {
	c.epoch = epoch
	c.fenced = false
}

// queue holds the configuration and the statistics of a queue.
type queue struct {
	config tanagerport.Queue
	// policyVersion is the version of the configuration that the policy in config
	// is from; 0 if the policy is not known.
	policyVersion int64
	// removedAt is when the operator removed the queue; zero if it is configured.
	removedAt time.Time
	jobCount  int
	// meanMaxWait is the moving average of the longest time that a new job can
	// wait and still have a result of use: expiryFactor times its objective less
	// the length of its critical path.
	meanMaxWait time.Duration
	// approvedShare is the moving average of the share of workers that advice
	// approves for a step.
	approvedShare float64
}

// initialApprovedShare is assumed before any advice: a quarter of the workers.
const initialApprovedShare = 0.25

// objective returns the target turnaround time of a job. It includes the calls
// for advice along the critical path.
func (q *queue) objective(spec *tanagerwork.Spec) time.Duration {
	criticalPath := spec.CriticalPath()
	if a := q.config.Advice; a != nil {
		criticalPath += time.Duration(criticalPathSteps(spec)) * (a.DecisionTime + referenceAdviceWorkers*a.TimePerWorker)
	}
	return time.Duration(max(q.config.Stretch, 1)*float64(criticalPath)) + q.config.Slack
}

// updateMeanMaxWait includes a new job in the average.
func (q *queue) updateMeanMaxWait(maxWait time.Duration) {
	if q.meanMaxWait == 0 {
		q.meanMaxWait = maxWait
	}
	q.meanMaxWait += time.Duration(averageWeight * float64(maxWait-q.meanMaxWait))
}

// referenceAdviceWorkers is the number of workers in a call for advice that the
// operator's objective allows for, with one call for each step.
const referenceAdviceWorkers = 30

// criticalPathSteps returns the largest number of steps that depend on each other
// in sequence.
func criticalPathSteps(spec *tanagerwork.Spec) int {
	depth := make([]int, len(spec.Steps))
	longest := 0
	for i := range spec.Steps {
		for _, a := range spec.Steps[i].After {
			depth[i] = max(depth[i], depth[a])
		}
		depth[i]++
		longest = max(longest, depth[i])
	}
	return longest
}

func (q *queue) maxAttempts() int { return max(q.config.MaxAttempts, 1) }

// Configure applies the operator's configuration. Queues that it no longer
// contains keep their jobs.
func (c *Cell) Configure(config tanagerport.Configuration) {
	present := make(map[string]bool, len(config.Queues))
	for _, q := range config.Queues {
		present[q.Name] = true
		known := c.findOrAddQueue(q.Name, q.Service)
		known.config = q
		known.policyVersion = config.Version
		known.removedAt = time.Time{}
	}
	for name, q := range c.queues {
		if !present[name] && q.removedAt.IsZero() {
			q.removedAt = c.now
		}
		c.forgetUnusedQueue(q)
	}
	clear(c.services)
	for _, s := range config.Services {
		c.services[s.Name] = s
	}
	c.capacityVersion++
}

// removedQueueRetention is how long the policy of a removed queue is kept for jobs
// that were accepted before and are still on their way, or that a daemon accepts
// before it has read the configuration.
const removedQueueRetention = 30 * time.Second

// forgetUnusedQueue forgets a queue without jobs that the operator has removed
// removedQueueRetention ago.
func (c *Cell) forgetUnusedQueue(q *queue) {
	if q.removedAt.IsZero() || q.jobCount > 0 || c.now.Sub(q.removedAt) < removedQueueRetention {
		return
	}
	delete(c.queues, q.config.Name)
	c.admission.Forget(q.config.Name)
}

// findOrAddQueue returns the queue with the given name and adds it if it is not
// known, as a job's queue may have been removed from the configuration.
func (c *Cell) findOrAddQueue(name, service string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{
			config: tanagerport.Queue{
				Name:    name,
				Service: service,
				Stretch: 1,
			},
			removedAt:     c.now,
			approvedShare: initialApprovedShare,
		}
		c.queues[name] = q
	}
	return q
}

// adoptPolicy takes the policy from the record of a job if the queue is not
// configured and no later policy is known: the operator has removed the queue, or
// this scheduler has not read the configuration yet.
func (q *queue) adoptPolicy(p *tanagerwork.QueuePolicy) {
	if p == nil || q.removedAt.IsZero() || p.Version < q.policyVersion {
		return
	}
	q.config.SetPolicy(p)
	q.policyVersion = p.Version
}

// Tick advances the cell to now: it expires leases, makes scheduling decisions
// and issues the orders that follow from them.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	c.expireLeases()
	c.expirePredecessorLeases()
	c.createDueOccurrences()
	c.stopOnDrainingWorkers()
	c.advanceWaves()
	if c.now.Sub(c.attemptsScannedAt) >= attemptScanInterval {
		c.attemptsScannedAt = c.now
		c.updateIdlePollPause()
		c.reviewPresumedCrashes()
		c.checkAssemblies()
		c.stopStalledAttempts()
		c.resendStops()
		c.adjustThrottling()
	}
	c.schedule()
	c.updateHints()
	c.pollWorkers()
}

// attemptScanInterval is the time between two scans of all attempts. It is below
// stopRetryInterval, the shortest timeout that the scans check.
const attemptScanInterval = 80 * time.Millisecond
