package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// job is a row of the table of jobs.
type job struct {
	record tanagerwork.Record
	queue  *queue
	state  tanagerwork.State
	begun  bool
	// inherited jobs may have runs that a predecessor started and this
	// scheduler has not seen yet.
	inherited bool
	steps     []*step
	// nextOccurrence is the first one whose steps have not been laid out.
	nextOccurrence int
	openSteps      int
	// objective is the time within which the caller wants the job done.
	objective time.Duration
	// version counts changes of the progress; written is the newest version in
	// the store and writing the one on its way there.
	version, written, writing int64
	ended                     time.Time
}

// step is a row of the table of steps, one for each occurrence.
type step struct {
	job  *job
	name tanagerwork.StepName
	spec *tanagerwork.Step
	// due is when the occurrence may start.
	due        time.Time
	tasks      []task
	left       int
	waitsFor   int
	dependents []*step
	// chain is the longest chain of estimates from the step's start to the end
	// of its occurrence.
	chain time.Duration
	// active counts attempts; pending counts tasks that wait for one.
	active, pending int
	queued          bool
	// notBefore delays the next try after a failure.
	notBefore time.Time
	spread    map[*worker]int
	gang      gangState
	advice    adviceState
	// rank is that of the last sorting.
	rank rank
	// blockedAt is the version of the fleet's room at which the step did not
	// fit.
	blockedAt uint64
}

// gangState is what the members of a gang share.
type gangState struct {
	// run is the highest run number of the gang.
	run      int64
	failures tanagerwork.FailedRuns
	saved    string
	// kept is the room that is kept for the gang until it starts.
	kept []candidate
	// room is when it was last expected to be free.
	room room
	// broken marks the present run as ending: its members are being stopped.
	broken bool
}

// task is one unit of a step.
type task struct {
	done     bool
	failures tanagerwork.FailedRuns
	run      int64
	saved    string
	attempt  *attempt
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
	step   *step
	index  int
	run    int64
	worker *worker
	phase  phase
	tries  int
	// since is when the phase began; confirmed when the worker last showed it.
	since time.Time
	// started is when the worker accepted the start.
	started time.Time
	// stopSent is when the last stop was sent, stopAnswered when the worker
	// answered one.
	stopSent     time.Time
	stopInFlight bool
	stopAnswered time.Time
	reason       string
	percent      int
	progressAt   time.Time
	// paced is the pace that was ordered, at pacedAt; gauge is the worker's
	// figure for the last half second.
	paced   int
	pacedAt time.Time
	gauge   float64
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
		queue:     c.queueOf(record.Queue, record.Service),
		state:     tanagerwork.Queued,
		inherited: record.Epoch < c.epoch && len(c.unaccounted) > 0,
	}
	j.objective = j.queue.objective(&record.Spec)
	j.queue.learnSlack(j.objective - record.Spec.Chain())
	c.jobs[record.ID] = j
	j.queue.jobs++
	if progress != nil && progress.State.Final() {
		j.state = progress.State
		j.ended = now
		return true
	}
	c.open[record.ID] = j
	c.layOut(now, j)
	if progress != nil {
		j.begun = progress.Begun
		c.restore(j, progress)
	}
	c.note(Note{
		Event:  "job_added",
		Job:    record.ID,
		Queue:  record.Queue,
		Reason: inheritance(j.inherited),
	})
	return true
}

func inheritance(inherited bool) string {
	if inherited {
		return "inherited"
	}
	return "new"
}

// layOut creates the steps of the occurrences that fall due soon.
func (c *Cell) layOut(now time.Time, j *job) {
	spec := &j.record.Spec
	for j.nextOccurrence < spec.Occurrences() {
		due := j.record.Arrived
		if spec.Times > 0 {
			due = spec.FirstDue.Add(time.Duration(j.nextOccurrence) * spec.Interval)
			if due.After(now.Add(layOutAhead)) {
				return
			}
		}
		c.layOutOccurrence(j, j.nextOccurrence, due)
		j.nextOccurrence++
	}
}

// layOutAhead is how long before its time an occurrence gets its rows.
const layOutAhead = 500 * time.Millisecond

func (c *Cell) layOutOccurrence(j *job, occurrence int, due time.Time) {
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
			spec:     spec,
			due:      due,
			tasks:    make([]task, spec.Count),
			left:     spec.Count,
			pending:  spec.Count,
			waitsFor: len(spec.After),
			chain:    spec.Estimate,
		}
		for _, a := range spec.After {
			before := j.steps[first+a]
			before.dependents = append(before.dependents, s)
		}
		j.steps = append(j.steps, s)
		j.openSteps++
	}
	for i := len(j.steps) - 1; i >= first; i-- {
		s := j.steps[i]
		for _, d := range s.dependents {
			s.chain = max(s.chain, s.spec.Estimate+d.chain)
		}
		c.enqueue(s)
	}
}

// enqueue puts a step whose tasks may start into the ready list.
func (c *Cell) enqueue(s *step) {
	if s.queued || s.waitsFor > 0 || s.pending == 0 || s.job.state.Final() {
		return
	}
	s.queued = true
	s.blockedAt = 0
	c.ready = append(c.ready, s)
}

func (j *job) step(occurrence, index int) *step {
	for _, s := range j.steps {
		if s.name.Occurrence == occurrence && s.name.Step == index {
			return s
		}
	}
	return nil
}

// taskDone marks a task as done and makes dependent steps eligible.
func (c *Cell) taskDone(s *step, i int) {
	t := &s.tasks[i]
	if t.done {
		return
	}
	t.done = true
	if t.attempt == nil {
		s.pending--
	}
	s.left--
	c.touch(s.job)
	if s.left > 0 {
		return
	}
	s.job.openSteps--
	for _, d := range s.dependents {
		d.waitsFor--
		c.enqueue(d)
	}
	c.checkCompleted(s.job)
}

func (c *Cell) checkCompleted(j *job) {
	if j.state.Final() || j.openSteps > 0 || j.nextOccurrence < j.record.Spec.Occurrences() {
		return
	}
	c.finish(j, tanagerwork.Completed, "all tasks done")
}

// finish gives a job its final state and stops what still runs of it.
func (c *Cell) finish(j *job, state tanagerwork.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.ended = c.now
	c.touch(j)
	delete(c.open, j.record.ID)
	c.note(Note{
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
				c.stop(a, "job "+string(state))
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
	c.finish(j, tanagerwork.Cancelled, "cancelled by its caller")
	return true
}

// begin notes that a task of a job has been started.
func (c *Cell) begin(j *job) {
	if j.state == tanagerwork.Queued {
		j.state = tanagerwork.Running
	}
	if !j.begun {
		j.begun = true
		c.touch(j)
	}
}

// State tells a job's state. A final state is told only once it is stored.
func (c *Cell) State(id tanagerwork.JobID) (tanagerwork.State, bool) {
	j, known := c.jobs[id]
	if !known {
		return "", false
	}
	if j.state.Final() && j.written < j.version {
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
	for _, j := range c.open {
		if !j.begun && j.record.Spec.Times == 0 {
			counts[j.record.Queue]++
		}
	}
	return counts
}

// dueOccurrences lays out the occurrences of timed jobs.
func (c *Cell) dueOccurrences() {
	for _, j := range c.timed() {
		c.layOut(c.now, j)
	}
}

func (c *Cell) timed() []*job {
	var found []*job
	for _, j := range c.open {
		if j.nextOccurrence < j.record.Spec.Occurrences() {
			found = append(found, j)
		}
	}
	return found
}

// checkpoint returns what a task resumes from.
func (s *step) checkpoint(index int) string {
	if s.spec.Gang {
		return s.gang.saved
	}
	return s.tasks[index].saved
}
