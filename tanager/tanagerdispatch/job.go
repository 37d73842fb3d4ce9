package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// job is a row of the table of jobs.
type job struct {
	record  tanagerwork.Record
	queue   *queue
	state   tanagerwork.State
	started bool
	// inherited jobs may have runs that a predecessor started and this
	// scheduler has not seen yet.
	inherited bool
	steps     []*step
	// nextOccurrence is the first one whose steps have not been laid out.
	nextOccurrence  int
	unfinishedSteps int
	// objective is the time within which the caller wants the job done.
	objective time.Duration
	// progressVersion counts changes of the progress; storedVersion is the newest progressVersion in
	// the store and storingVersion the one on its way there.
	progressVersion, storedVersion, storingVersion int64
	endedAt                                        time.Time
}

// step is a row of the table of steps, one for each occurrence.
type step struct {
	job  *job
	name tanagerwork.StepName
	spec *tanagerwork.Step
	// due is when the occurrence may start.
	due               time.Time
	tasks             []task
	unfinishedTasks   int
	unmetDependencies int
	dependents        []*step
	// criticalPath is the longest criticalPath of estimates from the step's start to the end
	// of its occurrence.
	criticalPath time.Duration
	// activeAttempts counts attempts; pendingTasks counts tasks that wait for one.
	activeAttempts, pendingTasks int
	inReadyList                  bool
	// notBefore delays the next try after a failure.
	notBefore        time.Time
	attemptsByWorker map[*worker]int
	gang             gangState
	advice           adviceState
	// rank is that of the last sorting.
	rank rank
	// blockedVersion is the version of the fleet's room at which the step did not
	// fit.
	blockedVersion uint64
}

// gangState is what the members of a gang share.
type gangState struct {
	// lastRun is the highest lastRun number of the gang.
	lastRun    int64
	failures   tanagerwork.FailedRuns
	checkpoint string
	// reservation is the room that is reservation for the gang until it starts.
	reservation []candidate
	// availability is when it was last expected to be free.
	availability availability
	// aborting marks the present run as ending: its members are being stopped.
	aborting bool
}

// task is one unit of a step.
type task struct {
	done       bool
	failures   tanagerwork.FailedRuns
	lastRun    int64
	checkpoint string
	attempt    *attempt
}

// phase is the state of an attempt.
type phase uint8

const (
	// starting: the order was sent and is not answered.
	starting phase = iota
	// running: the worker has accepted the order or shown the run.
	running
	// stopping: the worker has been told to stop the run.
	stopping
)

// attempt is one run of a task on a worker. It takes room until it is removed.
type attempt struct {
	step       *step
	index      int
	run        int64
	worker     *worker
	phase      phase
	startsSent int
	// phaseSince is when the phase began; confirmed when the worker last showed it.
	phaseSince time.Time
	// startedAt is when the worker accepted the start.
	startedAt time.Time
	// stopSentAt is when the last stop was sent, stopAnswered when the worker
	// answered one.
	stopSentAt      time.Time
	stopInFlight    bool
	stopAcceptedAt  time.Time
	stopReason      string
	progressPercent int
	progressAt      time.Time
	// cpuPercent is the pace that was ordered, at pacedAt; gauge is the worker's
	// figure for the last half second.
	cpuPercent      int
	cpuPercentSetAt time.Time
	gauge           float64
}

func (a *attempt) name() tanagerwork.TaskName {
	return tanagerwork.TaskName{
		StepName: a.step.name,
		Index:    a.index,
	}
}

// AddJob adds an accepted job, with its stored progress if it has any. A job
// that is known already stays as it is, and one that a later epoch accepted is
// not this scheduler's. It reports whether the job was added.
func (c *Cell) AddJob(now time.Time, record tanagerwork.Record, progress *tanagerwork.Progress) bool {
	if _, known := c.jobs[record.ID]; known || record.Epoch > c.epoch {
		return false
	}
	j := &job{
		record:    record,
		queue:     c.findOrAddQueue(record.Queue, record.Service),
		state:     tanagerwork.Queued,
		inherited: record.Epoch < c.epoch && len(c.predecessorLeases) > 0,
	}
	j.objective = j.queue.objective(&record.Spec)
	j.queue.updateMeanSlack(j.objective - record.Spec.CriticalPath())
	c.jobs[record.ID] = j
	j.queue.jobCount++
	if progress != nil && progress.State.Final() {
		j.state = progress.State
		j.endedAt = now
		return true
	}
	c.openJobs[record.ID] = j
	c.createOccurrences(now, j)
	if progress != nil {
		j.started = progress.Started
		c.restore(j, progress)
	}
	c.logEvent(Note{
		Event:  "job_added",
		Job:    record.ID,
		Queue:  record.Queue,
		Reason: jobOrigin(j.inherited),
	})
	return true
}

func jobOrigin(inherited bool) string {
	if inherited {
		return "inherited"
	}
	return "new"
}

// createOccurrences creates the steps of the occurrences that fall due soon.
func (c *Cell) createOccurrences(now time.Time, j *job) {
	spec := &j.record.Spec
	for j.nextOccurrence < spec.Occurrences() {
		due := j.record.Arrived
		if spec.Times > 0 {
			due = spec.FirstDue.Add(time.Duration(j.nextOccurrence) * spec.Interval)
			if due.After(now.Add(occurrenceLeadTime)) {
				return
			}
		}
		c.createOccurrence(j, j.nextOccurrence, due)
		j.nextOccurrence++
	}
}

// occurrenceLeadTime is how long before its time an occurrence gets its rows.
const occurrenceLeadTime = 500 * time.Millisecond

func (c *Cell) createOccurrence(j *job, occurrence int, due time.Time) {
	first := len(j.steps)
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		s := &step{
			job: j,
			name: tanagerwork.StepName{
				Job:        j.record.ID,
				Occurrence: occurrence,
				Step:       i,
			},
			spec:              spec,
			due:               due,
			tasks:             make([]task, spec.Count),
			unfinishedTasks:   spec.Count,
			pendingTasks:      spec.Count,
			unmetDependencies: len(spec.After),
			criticalPath:      spec.Estimate,
		}
		for _, a := range spec.After {
			before := j.steps[first+a]
			before.dependents = append(before.dependents, s)
		}
		j.steps = append(j.steps, s)
		j.unfinishedSteps++
	}
	for i := len(j.steps) - 1; i >= first; i-- {
		s := j.steps[i]
		for _, d := range s.dependents {
			s.criticalPath = max(s.criticalPath, s.spec.Estimate+d.criticalPath)
		}
		c.enqueue(s)
	}
}

// enqueue puts a step whose tasks may start into the ready list.
func (c *Cell) enqueue(s *step) {
	if s.inReadyList || s.unmetDependencies > 0 || s.pendingTasks == 0 || s.job.state.Final() {
		return
	}
	s.inReadyList = true
	s.blockedVersion = 0
	c.readySteps = append(c.readySteps, s)
}

func (j *job) step(occurrence, index int) *step {
	for _, s := range j.steps {
		if s.name.Occurrence == occurrence && s.name.Step == index {
			return s
		}
	}
	return nil
}

// markTaskDone marks a task as done and makes dependent steps eligible.
func (c *Cell) markTaskDone(s *step, i int) {
	t := &s.tasks[i]
	if t.done {
		return
	}
	t.done = true
	if t.attempt == nil {
		s.pendingTasks--
	}
	s.unfinishedTasks--
	c.markDirty(s.job)
	if s.unfinishedTasks > 0 {
		return
	}
	s.job.unfinishedSteps--
	for _, d := range s.dependents {
		d.unmetDependencies--
		c.enqueue(d)
	}
	c.checkCompleted(s.job)
}

func (c *Cell) checkCompleted(j *job) {
	if j.state.Final() || j.unfinishedSteps > 0 || j.nextOccurrence < j.record.Spec.Occurrences() {
		return
	}
	c.finishJob(j, tanagerwork.Completed, "all tasks done")
}

// finishJob gives a job its final state and stops what still runs of it.
func (c *Cell) finishJob(j *job, state tanagerwork.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.endedAt = c.now
	c.markDirty(j)
	delete(c.openJobs, j.record.ID)
	c.logEvent(Note{
		Event:  "job_" + string(state),
		Job:    j.record.ID,
		Queue:  j.record.Queue,
		Reason: reason,
		Age:    c.now.Sub(j.record.Arrived),
	})
	if state == tanagerwork.Completed {
		// What still runs are members of gangs that are ending by themselves.
		return
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			if a := s.tasks[i].attempt; a != nil {
				c.stopAttempt(a, "job "+string(state))
			}
		}
	}
}

// CancelJob cancels a job. It reports false for a job that is not known.
func (c *Cell) CancelJob(id tanagerwork.JobID) bool {
	j, known := c.jobs[id]
	if !known {
		return false
	}
	c.finishJob(j, tanagerwork.Cancelled, "cancelled by its caller")
	return true
}

// markStarted notes that a task of a job has been started.
func (c *Cell) markStarted(j *job) {
	if j.state == tanagerwork.Queued {
		j.state = tanagerwork.Running
	}
	if !j.started {
		j.started = true
		c.markDirty(j)
	}
}

// State tells a job's state. A final state is told only once it is stored.
func (c *Cell) State(id tanagerwork.JobID) (tanagerwork.State, bool) {
	j, known := c.jobs[id]
	if !known {
		return "", false
	}
	if j.state.Final() && j.storedVersion < j.progressVersion {
		return tanagerwork.Running, true
	}
	return j.state, true
}

// Pending counts the jobs of a queue of which no task has started. Jobs with
// times are not counted.
func (c *Cell) Pending() map[string]int {
	counts := make(map[string]int, len(c.queues))
	for name := range c.queues {
		counts[name] = 0
	}
	for _, j := range c.openJobs {
		if !j.started && j.record.Spec.Times == 0 {
			counts[j.record.Queue]++
		}
	}
	return counts
}

// createDueOccurrences lays out the occurrences of timed jobs.
func (c *Cell) createDueOccurrences() {
	for _, j := range c.jobsWithFutureOccurrences() {
		c.createOccurrences(c.now, j)
	}
}

func (c *Cell) jobsWithFutureOccurrences() []*job {
	var found []*job
	for _, j := range c.openJobs {
		if j.nextOccurrence < j.record.Spec.Occurrences() {
			found = append(found, j)
		}
	}
	return found
}

// checkpoint returns what a task resumes from.
func (s *step) checkpoint(index int) string {
	if s.spec.Gang {
		return s.gang.checkpoint
	}
	return s.tasks[index].checkpoint
}
