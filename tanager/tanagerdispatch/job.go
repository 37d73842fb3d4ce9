package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// job is the scheduling state of an accepted job.
type job struct {
	record  tanagerwork.Record
	queue   *queue
	state   tanagerwork.State
	started bool
	// inherited jobs may have runs that a predecessor started and that no worker
	// has reported to this scheduler yet.
	inherited bool
	steps     []*step
	// occurrences are those that have steps, by number, and openTasks counts the tasks of
	// those that are not done.
	occurrences map[int]*occurrence
	openTasks   int
	// doneOccurrences are the occurrences of a recurring job that are done. The steps of
	// obsoleteOccurrences are still to be removed.
	doneOccurrences     tanagerwork.OccurrenceSet
	obsoleteOccurrences []int
	// nextOccurrence is the first occurrence whose steps have not been created.
	nextOccurrence  int
	unfinishedSteps int
	// objective is the target turnaround time of the job.
	objective time.Duration
	// forecast is the wait that was forecast when the job was added.
	forecast time.Duration
	// progressVersion counts changes of the progress; storedVersion is the latest
	// version in the store, and storingVersion the one that is being written, or
	// 0.
	progressVersion, storedVersion, storingVersion int64
	// dirty is set while the job is in Cell.dirtyJobs.
	dirty   bool
	endedAt time.Time
	// shownSince is when the final state was stored, from when on it is reported to
	// callers.
	shownSince time.Time
}

// occurrence is the state of one occurrence of its job.
type occurrence struct {
	steps           []*step
	taskCount       int
	unfinishedSteps int
}

func (o *occurrence) hasActiveAttempts() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.activeAttempts > 0 })
}

// step is the state of one step in one occurrence of its job.
type step struct {
	job        *job
	occurrence *occurrence
	name       tanagerwork.StepName
	spec       *tanagerwork.Step
	// due is the earliest start of the occurrence.
	due   time.Time
	tasks []task
	// unfinishedTasks counts tasks that are not done, unmetDependencies the steps
	// that must be done before this one may start.
	unfinishedTasks   int
	unmetDependencies int
	dependents        []*step
	// criticalPath is the longest sum of estimates from the start of the step to
	// the end of its occurrence.
	criticalPath time.Duration
	// activeAttempts counts attempts; pendingTasks counts tasks that are not done
	// and have no attempt.
	activeAttempts, pendingTasks int
	inReadyList                  bool
	// readyAt is when the step last entered the ready list.
	readyAt time.Time
	// notBefore delays the next start after a failed or refused one.
	notBefore        time.Time
	attemptsByWorker map[*worker]int
	gang             gangState
	advice           adviceState
	// rank is the one that the ready list was last sorted by.
	rank rank
	// expiredRound is the last round in which the step, being expired, was tried.
	expiredRound int64
	// blockedVersion is the capacityVersion at which the step was last found not
	// to fit.
	blockedVersion uint64
	// crashVersion is the version of the job's progress that contains the last
	// crash under a task of the step. It was recorded at crashedAt and happened to
	// crashedWorker.
	crashVersion  int64
	crashedAt     time.Time
	crashedWorker tanagerport.WorkerRef
}

// gangState is the state that the members of a gang share.
type gangState struct {
	// lastRun is the highest run number of the gang.
	lastRun    int64
	failures   tanagerwork.FailedRuns
	crashes    crashHistory
	checkpoint string
	// reservation lists the workers on which capacity is reserved until the gang
	// starts.
	reservation []candidate
	// availability tells when capacity for the gang was last expected.
	availability availability
	// aborting is set while the members of a failed run are being stopped.
	aborting bool
	assembly assembly
}

// task is the state of one task of a step.
type task struct {
	done       bool
	failures   tanagerwork.FailedRuns
	crashes    crashHistory
	lastRun    int64
	checkpoint string
	attempt    *attempt
}

// phase is the state of an attempt.
type phase uint8

const (
	// starting: the start was sent and has not been accepted.
	starting phase = iota
	// running: the worker has accepted the start or reported the run.
	running
	// stopping: the worker has been asked to stop the run.
	stopping
)

// attempt is one run of a task on a worker. Its capacity stays allocated until
// the attempt is removed.
type attempt struct {
	step   *step
	index  int
	run    int64
	worker *worker
	// incarnation is that of the worker when the attempt was created.
	incarnation int64
	phase       phase
	// startsSent counts the starts that were sent, startsUnanswered those that got no
	// response and may have started the run.
	startsSent, startsUnanswered int
	// startSentAt is when the start was first sent or the run was adopted.
	startSentAt time.Time
	// phaseSince is when the present phase began.
	phaseSince time.Time
	// startedAt is when the worker accepted the start or first reported the run.
	startedAt time.Time
	// stopSentAt is when a stop was last sent. stopAcceptedAt is when the worker
	// last accepted one or reported it as outdated.
	stopSentAt      time.Time
	stopInFlight    bool
	stopAcceptedAt  time.Time
	stopReason      string
	progressPercent int
	progressAt      time.Time
	// cpuPercent is the throttling that was last ordered, at cpuPercentSetAt.
	// gauge is the tail latency or the CPU use that the worker reported last.
	cpuPercent      int
	cpuPercentSetAt time.Time
	gauge           float64
	suspicion       suspicion
	// workerRestarted is set if the worker is known to have restarted since the
	// attempt became suspected.
	workerRestarted bool
	// survived is set once the run has been reported after crashWindow.
	survived bool
}

func (a *attempt) name() tanagerwork.TaskName {
	return tanagerwork.TaskName{
		StepName: a.step.name,
		Index:    a.index,
	}
}

// AddJob adds an accepted job, with its stored progress if there is any. It
// reports whether the job was added: a job that is already known stays as it is,
// and a job that was accepted under a later epoch belongs to another scheduler.
func (c *Cell) AddJob(now time.Time, record tanagerwork.Record, progress *tanagerwork.Progress) bool {
	if _, known := c.jobs[record.ID]; known || record.Epoch > c.epoch {
		return false
	}
	j := &job{
		record:    record,
		queue:     c.findOrAddQueue(record.Queue, record.Service),
		state:     tanagerwork.Queued,
		inherited: record.Epoch < c.epoch && (len(c.predecessorLeases) > 0 || now.Before(c.predecessorEndsAt)),
	}
	j.queue.adoptPolicy(record.Policy)
	j.objective = j.queue.objective(&record.Spec)
	j.queue.updateMeanMaxWait(expiryFactor*j.objective - record.Spec.CriticalPath())
	c.jobs[record.ID] = j
	c.occupyRoom(j)
	j.queue.jobCount++
	defer c.applyEarlyEnds(j)
	if progress != nil && progress.State.Final() {
		j.state = progress.State
		j.endedAt = now
		j.shownSince = now
		return true
	}
	if progress != nil {
		j.doneOccurrences = slices.Clone(progress.Done)
	}
	c.openJobs = append(c.openJobs, j)
	j.forecast = c.hints[record.Queue].Decision(&record.Spec).Wait
	c.createOccurrences(now, j)
	if progress != nil {
		j.started = progress.Started
		if j.started {
			j.state = tanagerwork.Running
		}
		c.restore(j, progress)
	}
	c.logEvent(LogEvent{
		Name:     "job_added",
		Job:      record.ID,
		Queue:    record.Queue,
		Reason:   jobOrigin(j.inherited),
		Forecast: j.forecast,
	})
	c.claimOrphans(j)
	return true
}

func jobOrigin(inherited bool) string {
	if inherited {
		return "inherited"
	}
	return "new"
}

// createOccurrences creates the steps of the occurrences that are due within
// occurrenceLeadTime, as long as the job has fewer than maxOpenTasks open tasks.
func (c *Cell) createOccurrences(now time.Time, j *job) {
	for j.hasFutureOccurrence() && j.openTasks < maxOpenTasks && !j.nextDue().After(now.Add(occurrenceLeadTime)) {
		c.createNextOccurrence(j)
	}
}

// maxOpenTasks bounds the tasks of a job's occurrences that are not done, and with them
// the memory and the stored progress of a recurring job that runs slower than it is due.
// All occurrences of a job of one task may overlap.
const maxOpenTasks = 12000

// createOccurrencesThrough creates the steps of the occurrences up to one that a
// scheduler has started, according to a worker. Its time may not have come by the
// clock of this daemon.
func (c *Cell) createOccurrencesThrough(j *job, occurrence int) {
	for j.hasFutureOccurrence() && j.nextOccurrence <= occurrence &&
		!j.nextDue().After(c.now.Add(maxClockDifference)) {
		c.createNextOccurrence(j)
	}
}

// maxClockDifference bounds how far the time of day of two daemons may differ.
const maxClockDifference = 10 * time.Second

func (j *job) hasFutureOccurrence() bool { return j.nextOccurrence < j.record.Spec.Occurrences() }

// nextDue returns the earliest start of the next occurrence to be created. It is
// zero for a job that is not recurring, which is due whatever the time of day.
func (j *job) nextDue() time.Time {
	spec := &j.record.Spec
	if spec.Times == 0 {
		return time.Time{}
	}
	return spec.Due(j.nextOccurrence)
}

func (c *Cell) createNextOccurrence(j *job) {
	due := j.nextDue()
	if due.IsZero() {
		due = j.record.Arrived
	}
	if !j.doneOccurrences.Contains(j.nextOccurrence) {
		c.createOccurrence(j, j.nextOccurrence, due)
	}
	j.nextOccurrence++
}

// occurrenceLeadTime is how long before it is due the steps of an occurrence are
// created.
const occurrenceLeadTime = 500 * time.Millisecond

func (c *Cell) createOccurrence(j *job, number int, due time.Time) {
	first := len(j.steps)
	o := &occurrence{unfinishedSteps: len(j.record.Spec.Steps)}
	for i := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[i]
		s := &step{
			job:        j,
			occurrence: o,
			name: tanagerwork.StepName{
				Job:        j.record.ID,
				Occurrence: number,
				Step:       i,
			},
			spec:              spec,
			due:               due,
			tasks:             make([]task, spec.TaskCount),
			unfinishedTasks:   spec.TaskCount,
			pendingTasks:      spec.TaskCount,
			unmetDependencies: len(spec.After),
			criticalPath:      spec.Estimate,
		}
		for _, a := range spec.After {
			dependency := j.steps[first+a]
			dependency.dependents = append(dependency.dependents, s)
		}
		j.steps = append(j.steps, s)
		j.unfinishedSteps++
		o.steps = append(o.steps, s)
		o.taskCount += spec.TaskCount
	}
	if j.occurrences == nil {
		j.occurrences = make(map[int]*occurrence)
	}
	j.occurrences[number] = o
	j.openTasks += o.taskCount
	for i := len(j.steps) - 1; i >= first; i-- {
		s := j.steps[i]
		for _, d := range s.dependents {
			s.criticalPath = max(s.criticalPath, s.spec.Estimate+d.criticalPath)
		}
		c.enqueue(s)
	}
}

// enqueue adds a step to the ready list if it has tasks that may start.
func (c *Cell) enqueue(s *step) {
	if s.inReadyList || s.unmetDependencies > 0 || s.pendingTasks == 0 || s.job.state.Final() {
		return
	}
	s.inReadyList = true
	s.readyAt = c.now
	s.blockedVersion = 0
	c.readySteps = append(c.readySteps, s)
}

// step returns a step of an occurrence, or nil if it has not been created or has been
// removed.
func (j *job) step(occurrence, index int) *step {
	o := j.occurrences[occurrence]
	if o == nil || index < 0 || index >= len(o.steps) {
		return nil
	}
	return o.steps[index]
}

// finishStep records that all tasks of a step are done, which may end its occurrence.
func (j *job) finishStep(s *step) {
	j.unfinishedSteps--
	s.occurrence.unfinishedSteps--
	if s.occurrence.unfinishedSteps > 0 {
		return
	}
	j.openTasks -= s.occurrence.taskCount
	if j.record.Spec.Times > 0 {
		j.doneOccurrences.Add(s.name.Occurrence)
		j.obsoleteOccurrences = append(j.obsoleteOccurrences, s.name.Occurrence)
	}
}

// removeDoneOccurrences removes the steps of the occurrences that are done and have no
// attempts. Otherwise they would take memory, and time of each search, for as long as a
// recurring job goes on.
func (j *job) removeDoneOccurrences() {
	before := len(j.occurrences)
	j.obsoleteOccurrences = slices.DeleteFunc(j.obsoleteOccurrences, func(number int) bool {
		if j.occurrences[number].hasActiveAttempts() {
			return false
		}
		delete(j.occurrences, number)
		return true
	})
	if len(j.occurrences) < before {
		j.steps = slices.DeleteFunc(j.steps, func(s *step) bool { return j.occurrences[s.name.Occurrence] == nil })
	}
}

// markTaskDone marks a task as done. After the last task of a step it enqueues
// the steps that depend on it.
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
	s.job.finishStep(s)
	s.advice = adviceState{}
	for _, d := range s.dependents {
		d.unmetDependencies--
		c.enqueue(d)
	}
	c.checkCompleted(s.job)
}

func (c *Cell) checkCompleted(j *job) {
	if j.state.Final() || j.unfinishedSteps > 0 || j.hasFutureOccurrence() {
		return
	}
	c.finishJob(j, tanagerwork.Completed, "all tasks done")
}

// finishJob sets the final state of a job and stops its remaining runs.
func (c *Cell) finishJob(j *job, state tanagerwork.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.endedAt = c.now
	c.markDirty(j)
	c.openJobs = slices.DeleteFunc(c.openJobs, func(open *job) bool { return open == j })
	c.recordOutcome(j)
	c.logEvent(LogEvent{
		Name:   "job_" + string(state),
		Job:    j.record.ID,
		Queue:  j.record.Queue,
		Reason: reason,
		Age:    c.now.Sub(j.record.Arrived),
	})
	for _, s := range j.steps {
		s.advice = adviceState{}
	}
	if state == tanagerwork.Completed {
		// The remaining runs are members of gangs that are ending by themselves.
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

// CancelJob cancels a job. It reports whether the job is known.
func (c *Cell) CancelJob(id tanagerwork.JobID) bool {
	j, known := c.jobs[id]
	if !known {
		return false
	}
	c.finishJob(j, tanagerwork.Cancelled, "cancelled by the caller")
	return true
}

// markStarted records that a worker has started a task of a job.
func (c *Cell) markStarted(j *job) {
	if j.state == tanagerwork.Queued {
		j.state = tanagerwork.Running
	}
	if !j.started {
		j.started = true
		c.markDirty(j)
		c.recordForecastOutcome(j)
	}
}

// State returns the state of a job and whether the job is known. A final state is
// returned only after it has been stored; until then the job counts as running.
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

// Pending returns, by queue, the number of jobs of which no task has started, for
// the queues that have such jobs. Recurring jobs are not counted.
func (c *Cell) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range c.openJobs {
		if !j.started && j.record.Spec.Times == 0 {
			counts[j.record.Queue]++
		}
	}
	return counts
}

// createDueOccurrences creates the steps of occurrences that fall due.
func (c *Cell) createDueOccurrences() {
	for _, j := range c.jobsWithFutureOccurrences() {
		j.removeDoneOccurrences()
		c.createOccurrences(c.now, j)
	}
}

func (c *Cell) jobsWithFutureOccurrences() []*job {
	var found []*job
	for _, j := range c.openJobs {
		if j.hasFutureOccurrence() {
			found = append(found, j)
		}
	}
	return found
}

// checkpoint returns the checkpoint that a task resumes from, or "".
func (s *step) checkpoint(index int) string {
	if s.spec.Gang {
		return s.gang.checkpoint
	}
	return s.tasks[index].checkpoint
}
