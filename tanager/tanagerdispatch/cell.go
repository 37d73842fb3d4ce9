package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Cell is the control state of a scheduler.
type Cell struct {
	settings Settings
	epoch    uint64
	now      time.Time
	// fenced is set when a worker has seen a higher epoch.
	fenced bool

	queues   map[string]*queue
	services map[string]tanagerport.Service
	jobs     map[tanagerwork.JobID]*job
	// openJobs are the jobs that have not ended; changed those whose progress is
	// not stored.
	openJobs  map[tanagerwork.JobID]*job
	dirtyJobs map[tanagerwork.JobID]*job
	workers   map[string]*worker
	// usableWorkers are the workers that may get new work, by id, as of the last tick.
	usableWorkers []*worker
	waves         map[int]*wave
	machines      map[string]tanagerport.Machine
	// readySteps are the steps with tasks that wait for a worker.
	readySteps []*step
	// capacityVersion counts the moments at which room was freed somewhere.
	capacityVersion uint64
	// predecessorLeases are the workers that may run what a predecessor started, with
	// the time after which their leases have run out.
	predecessorLeases map[string]time.Time
	advisers          []*adviser
	// estimateInflation is the running average of how much longer than their estimates
	// tasks take.
	estimateInflation float64
	// idlePollPause is the pause between the polls of a worker that runs nothing.
	idlePollPause time.Duration
	// attemptsScannedAt is when each run was last looked at.
	attemptsScannedAt time.Time
	// reservationsUpdatedAt is when reservations were last made.
	reservationsUpdatedAt time.Time
	hints                 map[string]Hint
	hintsAt               time.Time
	orders                Orders
	counters              Counters
}

// Counters are totals since the cell was made.
type Counters struct {
	Starts, StartsRefused, Stops, Polls, AdviceCalls int64
	Done, Failed, Lost                               int64
	// NotesDropped counts notes beyond the bound of one TakeOrders.
	NotesDropped int64
}

// New returns a cell for a scheduler whose epoch begins now.
func New(s Settings, epoch uint64, now time.Time) *Cell {
	return &Cell{
		settings:          s,
		epoch:             epoch,
		now:               now,
		queues:            make(map[string]*queue),
		services:          make(map[string]tanagerport.Service),
		jobs:              make(map[tanagerwork.JobID]*job),
		openJobs:          make(map[tanagerwork.JobID]*job),
		dirtyJobs:         make(map[tanagerwork.JobID]*job),
		workers:           make(map[string]*worker),
		capacityVersion:   1,
		predecessorLeases: make(map[string]time.Time),
		estimateInflation: 1,
		waves:             make(map[int]*wave),
		hints:             make(map[string]Hint),
	}
}

// Orders are what the caller has to carry out.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Polls  []PollOrder
	Advice []AdviceOrder
	Notes  []Note
	// Upkeeps and WaveStatus come from waves.
	Upkeeps    []UpkeepOrder
	WaveStatus []WaveStatus
}

// StartOrder is to be answered by StartAnswered.
type StartOrder struct {
	Worker tanagerport.WorkerRef
	Start  tanagerport.Start
}

// StopOrder is to be answered by StopAnswered.
type StopOrder struct {
	Worker tanagerport.WorkerRef
	Stop   tanagerport.Stop
}

// PaceOrder needs no answer: it is repeated while it is needed.
type PaceOrder struct {
	Worker tanagerport.WorkerRef
	Pace   tanagerport.Pace
}

// PollOrder is to be answered by PollAnswered.
type PollOrder struct {
	Worker tanagerport.WorkerRef
	Poll   tanagerport.Poll
}

// Note is a decision or a change of belief for the log.
type Note struct {
	Event  string
	Job    tanagerwork.JobID
	Queue  string
	Task   tanagerwork.TaskName
	Run    int64
	Worker string
	Reason string
	// Age is that of the input which decided, or of the job at its end.
	Age time.Duration
}

// maxEventsPerTake bounds the notes of one TakeOrders.
const maxEventsPerTake = 2000

func (c *Cell) logEvent(n Note) {
	if len(c.orders.Notes) >= maxEventsPerTake {
		c.counters.NotesDropped++
		return
	}
	c.orders.Notes = append(c.orders.Notes, n)
}

// TakeOrders returns the orders since the last call.
func (c *Cell) TakeOrders() Orders {
	out := c.orders
	c.orders = Orders{}
	return out
}

// Epoch returns the scheduler's epoch.
func (c *Cell) Epoch() uint64 { return c.epoch }

// Deposed reports whether a worker has refused this epoch.
func (c *Cell) Deposed() bool { return c.fenced }

// Counters returns the totals.
func (c *Cell) Counters() Counters { return c.counters }

// Reelected gives the cell a higher epoch after its scheduler was elected again
// with nobody in between. Its tables stay valid.
func (c *Cell) Reelected(epoch uint64) {
	c.epoch = epoch
	c.fenced = false
}

// queue is a row of the table of queues.
type queue struct {
	config tanagerport.Queue
	// configured is false for a queue that the operator has removed.
	configured bool
	jobCount   int
	// meanSlack is the running average of the time that jobs have beyond their
	// chain of work.
	meanSlack time.Duration
	// approvedShare is the learned share of workers that may run a step.
	approvedShare float64
}

// initialApprovedShare is assumed before any advice: a quarter of the workers.
const initialApprovedShare = 0.25

func (q *queue) objective(spec *tanagerwork.Spec) time.Duration {
	chain := spec.CriticalPath()
	if a := q.config.Advice; a != nil {
		chain += time.Duration(criticalPathSteps(spec)) * (a.Decision + referenceAdviceWorkers*a.Each)
	}
	return time.Duration(max(q.config.Stretch, 1)*float64(chain)) + q.config.Slack
}

// updateMeanSlack takes the slack of a new job into the average.
func (q *queue) updateMeanSlack(slack time.Duration) {
	if q.meanSlack == 0 {
		q.meanSlack = slack
	}
	q.meanSlack += time.Duration(averageWeight * float64(slack-q.meanSlack))
}

// referenceAdviceWorkers is the number of workers in a call for advice that the
// operator's objective allows for, once a step.
const referenceAdviceWorkers = 30

// criticalPathSteps returns the number of steps on the longest chain.
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

// Configure applies the operator's configuration.
func (c *Cell) Configure(config tanagerport.Configuration) {
	for _, q := range c.queues {
		q.configured = false
	}
	for _, q := range config.Queues {
		row := c.findOrAddQueue(q.Name, q.Service)
		row.config = q
		row.configured = true
	}
	clear(c.services)
	for _, s := range config.Services {
		c.services[s.Name] = s
	}
	c.capacityVersion++
}

// findOrAddQueue returns the row of a queue, adding one for a queue that is not, or no
// longer, configured.
func (c *Cell) findOrAddQueue(name, service string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{
			config: tanagerport.Queue{
				Name:    name,
				Service: service,
				Stretch: 1,
			},
			approvedShare: initialApprovedShare,
		}
		c.queues[name] = q
	}
	return q
}

// Tick runs the systems over the tables.
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
		c.stopStalledAttempts()
		c.resendStops()
		c.adjustThrottling()
	}
	c.schedule()
	c.updateHints()
	c.pollWorkers()
}

// attemptScanInterval spaces the systems that look at each run: the shortest time that
// one of them waits for is stopRetry.
const attemptScanInterval = 80 * time.Millisecond
