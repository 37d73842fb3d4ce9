package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// restore applies the stored progress of a job.
func (c *Cell) restore(j *job, p *tanagerwork.Progress) {
	if n := len(p.Done); n > 0 {
		c.createStoredOccurrences(j, p.Done[n-1].Last)
	}
	for _, sp := range p.Steps {
		c.createStoredOccurrences(j, sp.Occurrence)
		s := j.step(sp.Occurrence, sp.Step)
		if s == nil {
			continue
		}
		s.restore(&sp)
		c.restorePresumedCrashes(s, &sp)
		if sp.AllDone {
			for i := range s.tasks {
				c.markTaskDone(s, i)
			}
		}
		for _, i := range sp.Done {
			if s.hasTask(i) {
				c.markTaskDone(s, i)
			}
		}
	}
	c.checkCompleted(j)
	if j.state.Final() {
		// The stored progress lacks the final state.
		return
	}
	j.storedVersion = j.progressVersion
}

// createStoredOccurrences creates the occurrences up to one of which progress is stored,
// whether they are due by the clock of this daemon or not.
func (c *Cell) createStoredOccurrences(j *job, last int) {
	for j.hasFutureOccurrence() && j.nextOccurrence <= last {
		c.createNextOccurrence(j)
	}
}

// markDirty records that the progress of a job has changed and must be stored.
func (c *Cell) markDirty(j *job) {
	j.progressVersion++
	c.queueSnapshot(j)
}

func (c *Cell) queueSnapshot(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

func (s *step) restore(sp *tanagerwork.StepProgress) {
	if s.spec.Gang {
		s.gang.failures = sp.Failures[0]
		s.gang.crashes.confirmed = sp.Crashes[0]
		s.gang.crashes.unconfirmed = sp.UnconfirmedCrashes[0]
		s.gang.checkpoint = sp.Checkpoints[0]
		return
	}
	for i, failures := range sp.Failures {
		if s.hasTask(i) {
			s.tasks[i].failures = failures
		}
	}
	for i, crashes := range sp.Crashes {
		if s.hasTask(i) {
			s.tasks[i].crashes.confirmed = crashes
		}
	}
	for i, crashes := range sp.UnconfirmedCrashes {
		if s.hasTask(i) {
			s.tasks[i].crashes.unconfirmed = crashes
		}
	}
	for i, checkpoint := range sp.Checkpoints {
		if s.hasTask(i) {
			s.tasks[i].checkpoint = checkpoint
		}
	}
}

// hasTask reports whether i is the index of a task of the step. Indexes come from
// the store and from workers.
func (s *step) hasTask(i int) bool { return i >= 0 && i < len(s.tasks) }

// Snapshot is the progress of a job that is to be stored.
type Snapshot struct {
	Job      tanagerwork.JobID
	Version  int64
	Progress tanagerwork.Progress
}

// TakeSnapshots returns up to limit snapshots of jobs with progress that is
// neither stored nor being written, and marks them as being written. Jobs that
// have ended come first, as their final state is not reported before it is
// stored.
func (c *Cell) TakeSnapshots(limit int) []Snapshot {
	out := c.appendSnapshots(nil, limit, true)
	return c.appendSnapshots(out, limit, false)
}

// appendSnapshots appends snapshots of jobs that have ended, or of those that
// have not, until out has limit elements.
func (c *Cell) appendSnapshots(out []Snapshot, limit int, final bool) []Snapshot {
	c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(j *job) bool {
		if j.progressVersion <= j.storedVersion {
			j.dirty = false
			return true
		}
		if len(out) == limit || j.storingVersion != 0 || j.state.Final() != final {
			return false
		}
		j.dirty = false
		j.storingVersion = j.progressVersion
		out = append(out, Snapshot{
			Job:      j.record.ID,
			Version:  j.progressVersion,
			Progress: j.progress(),
		})
		return true
	})
	return out
}

// SnapshotWritten reports the result of storing a snapshot. If ok is false, it
// is not known to be stored and the progress will be stored again.
func (c *Cell) SnapshotWritten(id tanagerwork.JobID, version int64, ok bool) {
	j, known := c.jobs[id]
	if !known {
		return
	}
	if ok {
		j.storedVersion = max(j.storedVersion, version)
	}
	if j.shownSince.IsZero() && j.state.Final() && j.storedVersion >= j.progressVersion {
		j.shownSince = c.now
	}
	if j.storingVersion == version {
		j.storingVersion = 0
	}
	if j.progressVersion > j.storedVersion {
		c.queueSnapshot(j)
	}
}

// FailUnstorable fails a job whose progress is larger than the store accepts. Otherwise
// its ends would never be acknowledged, and the ends of other jobs on the same workers with
// them. The final state, which is small, is to be stored next.
func (c *Cell) FailUnstorable(id tanagerwork.JobID) {
	if j, known := c.jobs[id]; known {
		c.finishJob(j, tanagerwork.Failed, "progress larger than the store accepts")
	}
}

func (j *job) progress() tanagerwork.Progress {
	p := tanagerwork.Progress{
		State:   j.state,
		Started: j.started,
	}
	if j.state.Final() {
		return p
	}
	p.Done = slices.Clone(j.doneOccurrences)
	for _, s := range j.steps {
		if j.doneOccurrences.Contains(s.name.Occurrence) {
			continue
		}
		if sp, ok := s.progress(); ok {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

// progress returns the progress of a step and whether there is any to store.
func (s *step) progress() (tanagerwork.StepProgress, bool) {
	sp := tanagerwork.StepProgress{
		Occurrence:  s.name.Occurrence,
		Step:        s.name.Step,
		AllDone:     s.unfinishedTasks == 0,
		Failures:    make(map[int]tanagerwork.FailedRuns),
		Crashes:     make(map[int]tanagerwork.FailedRuns),
		Checkpoints: make(map[int]string),

		UnconfirmedCrashes: make(map[int]tanagerwork.FailedRuns),
		PresumedCrashes:    make(map[int][]tanagerwork.PresumedCrash),
	}
	if sp.AllDone {
		return sp, true
	}
	if len(s.gang.failures) > 0 {
		sp.Failures[0] = s.gang.failures
	}
	addCrashes(&sp, 0, &s.gang.crashes)
	if s.gang.checkpoint != "" {
		sp.Checkpoints[0] = s.gang.checkpoint
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			sp.Done = append(sp.Done, i)
			continue
		}
		if len(t.failures) > 0 {
			sp.Failures[i] = t.failures
		}
		addCrashes(&sp, i, &t.crashes)
		if t.checkpoint != "" {
			sp.Checkpoints[i] = t.checkpoint
		}
	}
	return sp, len(sp.Done)+len(sp.Failures)+len(sp.Crashes)+len(sp.UnconfirmedCrashes)+len(sp.PresumedCrashes)+
		len(sp.Checkpoints) > 0
}

// addCrashes adds the crashes under a task to the progress of its step.
func addCrashes(sp *tanagerwork.StepProgress, index int, h *crashHistory) {
	if len(h.confirmed) > 0 {
		sp.Crashes[index] = h.confirmed
	}
	if len(h.unconfirmed) > 0 {
		sp.UnconfirmedCrashes[index] = h.unconfirmed
	}
	for _, p := range h.presumed {
		sp.PresumedCrashes[index] = append(sp.PresumedCrashes[index], tanagerwork.PresumedCrash{
			Run:         p.run,
			Worker:      p.worker.ID,
			Incarnation: p.worker.Incarnation,
		})
	}
}

// ExpiredJobs returns the ids, sorted and at most limit, of ended jobs whose
// retention time is over.
func (c *Cell) ExpiredJobs(now time.Time, limit int) []tanagerwork.JobID {
	var out []tanagerwork.JobID
	for id, j := range c.jobs {
		if len(out) == limit {
			break
		}
		if j.state.Final() && j.storedVersion >= j.progressVersion &&
			now.Sub(j.shownSince) > c.settings.Retention && !j.hasActiveAttempts() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (j *job) hasActiveAttempts() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.activeAttempts > 0 })
}

// RemoveJob removes a job whose keys have been deleted from the store.
func (c *Cell) RemoveJob(id tanagerwork.JobID) {
	if j, known := c.jobs[id]; known {
		j.queue.jobCount--
		c.forgetUnusedQueue(j.queue)
		delete(c.jobs, id)
		c.vacateRoom(j)
		c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(dirty *job) bool { return dirty == j })
	}
}
