package tanagerdispatch

import (
	"fmt"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// removeAttempt removes an attempt and frees its capacity. A task that is not
// done becomes pending again.
func (c *Cell) removeAttempt(a *attempt) {
	s := a.step
	t := &s.tasks[a.index]
	if t.attempt != a {
		return
	}
	t.attempt = nil
	s.activeAttempts--
	if s.attemptsByWorker[a.worker]--; s.attemptsByWorker[a.worker] <= 0 {
		delete(s.attemptsByWorker, a.worker)
	}
	if s.activeAttempts == 0 {
		s.attemptsByWorker = nil
	}
	a.worker.deallocate(a)
	c.capacityVersion++
	if !t.done {
		s.pendingTasks++
		c.enqueue(s)
		c.claimOrphans(s.job)
	}
}

// handleEnd applies the end of a run that a worker has reported.
func (c *Cell) handleEnd(w *worker, ended tanagerport.EndedRun) {
	s := c.findStep(ended.Task)
	if s == nil {
		return
	}
	j := s.job
	t := &s.tasks[ended.Task.Index]
	current := t.attempt
	if current != nil && (current.run != ended.Run || current.worker != w) {
		current = nil
	}
	c.logEnd(w, current, ended)
	t.lastRun = max(t.lastRun, ended.Run)
	s.gang.lastRun = max(s.gang.lastRun, ended.Run*btoi(s.spec.Gang))
	c.recordCheckpoint(s, ended.Task.Index, ended.Checkpoint)
	c.recordEnd(w, current, ended.Reason)
	if current != nil {
		c.removeAttempt(current)
	}
	c.markStarted(j)
	c.markDirty(j)
	c.applyOutcome(s, ended)
}

// logEnd logs the end of a run, with its age if an attempt stood for it.
func (c *Cell) logEnd(w *worker, a *attempt, ended tanagerport.EndedRun) {
	e := LogEvent{
		Name:   "run_ended",
		Job:    ended.Task.Job,
		Task:   ended.Task,
		Run:    ended.Run,
		Worker: w.id,
		Reason: string(ended.Reason),

		Incarnation:    w.incarnation,
		SequenceNumber: ended.SequenceNumber,
	}
	if a != nil {
		e.Age = c.now.Sub(a.startSentAt)
	}
	c.logEvent(e)
}

func btoi(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (c *Cell) applyOutcome(s *step, ended tanagerport.EndedRun) {
	switch ended.Reason {
	case tanagerport.EndedDone:
		c.applyDone(s, ended.Task.Index)
	case tanagerport.EndedFailed:
		c.applyFailed(s, ended)
	default:
		if s.spec.Gang {
			c.endGangRun(s, ended, "gang member ended: "+string(ended.Reason))
		}
	}
}

// applyDone marks a task, or all tasks of a gang, as done. A long-running task
// that ends is restarted.
func (c *Cell) applyDone(s *step, index int) {
	if s.spec.LongRunning {
		s.notBefore = c.now.Add(retryDelay)
		return
	}
	if !s.spec.Gang {
		c.markTaskDone(s, index)
		if a := s.tasks[index].attempt; a != nil {
			c.stopAttempt(a, "task already done")
		}
		return
	}
	for i := range s.tasks {
		c.markTaskDone(s, i)
	}
}

// retryDelay is the pause before a task is started again after the end of its
// run. It lets the failure count against the worker first, and new work go
// first.
const retryDelay = 100 * time.Millisecond

func (c *Cell) applyFailed(s *step, ended tanagerport.EndedRun) {
	s.notBefore = c.now.Add(retryDelay)
	failures := &s.tasks[ended.Task.Index].failures
	if s.spec.Gang {
		failures = &s.gang.failures
		c.endGangRun(s, ended, "gang member failed")
	}
	if s.spec.LongRunning {
		// Such a task may fail any number of times, so its failures are not kept.
		return
	}
	if failures.Add(ended.Run) && len(*failures) >= s.job.queue.maxAttempts() {
		c.finishJob(s.job, tanagerwork.Failed, "a task has failed max_attempts times")
	}
}

// endGangRun records that a member of a gang's run has ended before its work was
// done, and stops the others.
func (c *Cell) endGangRun(s *step, ended tanagerport.EndedRun, reason string) {
	s.gang.assembly.endedRun = max(s.gang.assembly.endedRun, ended.Run)
	if ended.Run == s.gang.lastRun {
		c.abortGang(s, reason)
	}
}

// abortGang stops all members of a gang's current run.
func (c *Cell) abortGang(s *step, reason string) {
	if s.activeAttempts == 0 {
		return
	}
	if !s.gang.aborting {
		c.logAbort(s, reason)
	}
	s.gang.aborting = true
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			c.stopSingly(a, reason)
		}
	}
}

// logAbort logs that a gang is aborted, with the number of its members that are
// known to have started and the time since the first was sent its start.
func (c *Cell) logAbort(s *step, reason string) {
	started := 0
	first := c.now
	for i := range s.tasks {
		a := s.tasks[i].attempt
		if a == nil {
			continue
		}
		if !a.startedAt.IsZero() {
			started++
		}
		if a.startSentAt.Before(first) {
			first = a.startSentAt
		}
	}
	c.logEvent(LogEvent{
		Name:   "gang_abort",
		Job:    s.job.record.ID,
		Task:   tanagerwork.TaskName{StepName: s.name},
		Run:    s.gang.lastRun,
		Reason: fmt.Sprintf("%s, %d of %d members started", reason, started, len(s.tasks)),
		Age:    c.now.Sub(first),
	})
}

func (c *Cell) recordCheckpoint(s *step, index int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if s.spec.Gang {
		s.gang.checkpoint = checkpoint
		return
	}
	s.tasks[index].checkpoint = checkpoint
}
