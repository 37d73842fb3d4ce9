package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// reconcileRunning compares the runs in a worker's report with its attempts.
// sentAt is when the poll was sent.
func (c *Cell) reconcileRunning(w *worker, r tanagerport.Report, sentAt time.Time) {
	reported := make(map[*attempt]bool, len(r.Running))
	w.orphans = nil
	for _, active := range r.Running {
		a := c.reportedAttempt(w, active)
		if a == nil {
			a = c.adopt(w, active)
		}
		if a == nil {
			c.stopOrphan(w, active)
			w.orphans = append(w.orphans, active)
			continue
		}
		reported[a] = true
		c.refreshAttempt(a, active)
		c.recordSurvival(a, sentAt)
	}
	c.updateOrphanUsage(w)
	if !r.Complete {
		return
	}
	for _, a := range slices.Clone(w.attempts) {
		if !reported[a] && a.provenEnded(sentAt) {
			c.logEvent(LogEvent{
				Name:   "run_gone",
				Job:    a.step.job.record.ID,
				Task:   a.name(),
				Run:    a.run,
				Worker: w.id,
				Reason: a.stopReason,
			})
			c.loseAttempt(a)
		}
	}
}

// updateOrphanUsage allocates the capacity of a worker's orphaned runs.
func (c *Cell) updateOrphanUsage(w *worker) {
	var usage tanagerwork.Resources
	for _, active := range w.orphans {
		usage = usage.Add(c.orphanDemand(w, active))
	}
	w.setOrphanUsage(usage)
}

// claimOrphans adopts those orphaned runs of a job that attempts can stand for now, as
// the job is new or a task has lost its attempt. They are being stopped, and none of
// their tasks may start before they have ended.
func (c *Cell) claimOrphans(j *job) {
	for _, w := range c.workerList {
		if len(w.orphans) == 0 {
			continue
		}
		before := len(w.orphans)
		w.orphans = slices.DeleteFunc(w.orphans, func(active tanagerport.ActiveRun) bool {
			if active.Task.Job != j.record.ID {
				return false
			}
			a := c.adopt(w, active)
			if a != nil {
				c.stopSingly(a, "orphaned run")
			}
			return a != nil
		})
		if len(w.orphans) < before {
			c.updateOrphanUsage(w)
		}
	}
}

// orphanDemand returns the capacity that an orphaned run takes. If its job is not
// known, all of the worker's capacity is assumed.
func (c *Cell) orphanDemand(w *worker, active tanagerport.ActiveRun) tanagerwork.Resources {
	if s := c.findStep(active.Task); s != nil {
		return s.spec.Allocation()
	}
	if j := c.jobs[active.Task.Job]; j != nil && j.doneOccurrences.Contains(active.Task.Occurrence) &&
		active.Task.Step < len(j.record.Spec.Steps) {
		return j.record.Spec.Steps[active.Task.Step].Allocation()
	}
	return w.entry.Capacity
}

func (w *worker) setOrphanUsage(r tanagerwork.Resources) {
	w.free = w.free.Add(w.orphanUsage).Sub(r)
	w.orphanUsage = r
}

// provenEnded reports whether an attempt that is missing from the report to a
// poll sent at sentAt has certainly ended or will never start.
func (a *attempt) provenEnded(sentAt time.Time) bool {
	switch a.phase {
	case running:
		return !a.startedAt.IsZero() && a.startedAt.Before(sentAt)
	case stopping:
		return !a.stopAcceptedAt.IsZero() && a.stopAcceptedAt.Before(sentAt)
	default:
		return false
	}
}

// reportedAttempt returns the attempt for a reported run, or nil.
func (c *Cell) reportedAttempt(w *worker, active tanagerport.ActiveRun) *attempt {
	s := c.findStep(active.Task)
	if s == nil {
		return nil
	}
	if a := s.tasks[active.Task.Index].attempt; a != nil && a.worker == w && a.run == active.Run {
		return a
	}
	return nil
}

// findStep returns the step of a task, or nil if there is no such task.
func (c *Cell) findStep(name tanagerwork.TaskName) *step {
	j := c.jobs[name.Job]
	if j == nil {
		return nil
	}
	c.createOccurrencesThrough(j, name.Occurrence)
	s := j.step(name.Occurrence, name.Step)
	if s == nil || !s.hasTask(name.Index) {
		return nil
	}
	return s
}

// refreshAttempt updates an attempt from a reported run.
func (c *Cell) refreshAttempt(a *attempt, active tanagerport.ActiveRun) {
	if a.phase == starting {
		a.phase = running
		a.phaseSince = c.now
	}
	if a.startedAt.IsZero() {
		a.startedAt = c.now
	}
	c.markStarted(a.step.job)
	if a.step.spec.Gang && a.showsWork(active) {
		a.step.gang.assembly.working = true
	}
	if active.Percent != a.progressPercent || a.progressAt.IsZero() {
		a.progressPercent = active.Percent
		a.progressAt = c.now
	}
	a.gauge = active.Gauge
	c.recordCheckpoint(a.step, a.index, active.Checkpoint)
}

// adopt creates an attempt for a run that a predecessor started. It returns nil
// if no attempt can stand for the run: its task is not known, is done or has an
// attempt, or its job has ended. A member of a gang's run that is of no use is
// stopped, and the gang is not started again before it has ended.
func (c *Cell) adopt(w *worker, active tanagerport.ActiveRun) *attempt {
	s := c.findStep(active.Task)
	if s == nil || s.job.state.Final() {
		return nil
	}
	t := &s.tasks[active.Task.Index]
	if t.done || t.attempt != nil {
		return nil
	}
	useless := s.spec.Gang && !s.gang.adoptable(active.Run)
	a := c.newAttempt(s, active.Task.Index, active.Run, w)
	a.phase = running
	a.startedAt = c.now
	c.logEvent(LogEvent{
		Name:   "run_adopted",
		Job:    active.Task.Job,
		Task:   active.Task,
		Run:    active.Run,
		Worker: w.id,
	})
	c.markStarted(s.job)
	if useless {
		c.stopSingly(a, "member of an ended run of its gang")
	}
	return a
}
