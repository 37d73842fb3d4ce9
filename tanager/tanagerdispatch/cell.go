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
	// deposed is set when a worker has seen a higher epoch.
	deposed bool

	queues   map[string]*queue
	services map[string]tanagerport.Service
	jobs     map[tanagerwork.JobID]*job
	// open are the jobs that have not ended; changed those whose progress is
	// not stored.
	open    map[tanagerwork.JobID]*job
	changed map[tanagerwork.JobID]*job
	workers map[string]*worker
	// usable are the workers that may get new work, by id, as of the last tick.
	usable   []*worker
	waves    map[int]*wave
	machines map[string]tanagerport.Machine
	// ready are the steps with tasks that wait for a worker.
	ready []*step
	// roomVersion counts the moments at which room was freed somewhere.
	roomVersion uint64
	// unaccounted are the workers that may run what a predecessor started, with
	// the time after which their leases have run out.
	unaccounted map[string]time.Time
	advisers    []*adviser
	// inflation is the running average of how much longer than their estimates
	// tasks take.
	inflation float64
	// idlePause is the pause between the polls of a worker that runs nothing.
	idlePause time.Duration
	// surveyed is when each run was last looked at.
	surveyed time.Time
	// reservedAt is when reservations were last made.
	reservedAt time.Time
	hints      map[string]Hint
	hintsAt    time.Time
	out        Orders
	counters   Counters
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
		settings:    s,
		epoch:       epoch,
		now:         now,
		queues:      make(map[string]*queue),
		services:    make(map[string]tanagerport.Service),
		jobs:        make(map[tanagerwork.JobID]*job),
		open:        make(map[tanagerwork.JobID]*job),
		changed:     make(map[tanagerwork.JobID]*job),
		workers:     make(map[string]*worker),
		roomVersion: 1,
		unaccounted: make(map[string]time.Time),
		inflation:   1,
		waves:       make(map[int]*wave),
		hints:       make(map[string]Hint),
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

// maxNotes bounds the notes of one TakeOrders.
const maxNotes = 2000

func (c *Cell) note(n Note) {
	if len(c.out.Notes) >= maxNotes {
		c.counters.NotesDropped++
		return
	}
	c.out.Notes = append(c.out.Notes, n)
}

// TakeOrders returns the orders since the last call.
func (c *Cell) TakeOrders() Orders {
	out := c.out
	c.out = Orders{}
	return out
}

// Epoch returns the scheduler's epoch.
func (c *Cell) Epoch() uint64 { return c.epoch }

// Deposed reports whether a worker has refused this epoch.
func (c *Cell) Deposed() bool { return c.deposed }

// Counters returns the totals.
func (c *Cell) Counters() Counters { return c.counters }

// Reelected gives the cell a higher epoch after its scheduler was elected again
// with nobody in between. Its tables stay valid.
func (c *Cell) Reelected(epoch uint64) {
	c.epoch = epoch
	c.deposed = false
}

// queue is a row of the table of queues.
type queue struct {
	config tanagerport.Queue
	// configured is false for a queue that the operator has removed.
	configured bool
	jobs       int
	// slack is the running average of the time that jobs have beyond their
	// chain of work.
	slack time.Duration
	// goodShare is the learned share of workers that may run a step.
	goodShare float64
}

// firstGoodShare is assumed before any advice: a quarter of the workers.
const firstGoodShare = 0.25

func (q *queue) objective(spec *tanagerwork.Spec) time.Duration {
	chain := spec.Chain()
	if a := q.config.Advice; a != nil {
		chain += time.Duration(chainSteps(spec)) * (a.Decision + adviceReference*a.Each)
	}
	return time.Duration(max(q.config.Stretch, 1)*float64(chain)) + q.config.Slack
}

// learnSlack takes the slack of a new job into the average.
func (q *queue) learnSlack(slack time.Duration) {
	if q.slack == 0 {
		q.slack = slack
	}
	q.slack += time.Duration(learnWeight * float64(slack-q.slack))
}

// adviceReference is the number of workers in a call for advice that the
// operator's objective allows for, once a step.
const adviceReference = 30

// chainSteps returns the number of steps on the longest chain.
func chainSteps(spec *tanagerwork.Spec) int {
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
		row := c.queueOf(q.Name, q.Service)
		row.config = q
		row.configured = true
	}
	clear(c.services)
	for _, s := range config.Services {
		c.services[s.Name] = s
	}
	c.roomVersion++
}

// queueOf returns the row of a queue, adding one for a queue that is not, or no
// longer, configured.
func (c *Cell) queueOf(name, service string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{
			config: tanagerport.Queue{
				Name:    name,
				Service: service,
				Stretch: 1,
			},
			goodShare: firstGoodShare,
		}
		c.queues[name] = q
	}
	return q
}

// Tick runs the systems over the tables.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	c.expireLeases()
	c.accountForPredecessor()
	c.dueOccurrences()
	c.evacuate()
	c.upkeep()
	if c.now.Sub(c.surveyed) >= surveyInterval {
		c.surveyed = c.now
		c.spreadIdlePolls()
		c.watchProgress()
		c.resendStops()
		c.adjustPace()
	}
	c.schedule()
	c.updateHints()
	c.pollWorkers()
}

// surveyInterval spaces the systems that look at each run: the shortest time that
// one of them waits for is stopRetry.
const surveyInterval = 80 * time.Millisecond
