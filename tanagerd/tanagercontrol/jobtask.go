package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// The delays before a task is offered again.
const (
	rejectionDelay    = 50 * time.Millisecond
	failureBackoff    = time.Second
	maxFailureBackoff = time.Minute
	// infeasibleDelay applies to tasks that no worker could hold at present.
	infeasibleDelay = 10 * time.Second
)

// entryWritten continues after an entry has been written to the journal.
func (c *Control) entryWritten(js *jobShard, p pendingEntry, now time.Time) {
	switch {
	case p.entry.Accept != nil:
		j := js.table.Job(p.entry.Accept.ID)
		c.scheduleJob(js, j, now)
		c.respondToAll(p.waiters, j)
	case p.entry.Attempt != nil:
		c.attemptRecorded(js, p.entry.Attempt, now)
	case p.entry.End != nil:
		c.outcomeRecorded(js, p.entry.End)
	case p.entry.Cancel != nil:
		j := js.table.Job(p.entry.Cancel.Job)
		if j != nil {
			c.stopJob(js, j)
			c.respondToAll(p.waiters, j)
		}
	}
}

// attemptRecorded continues with a task whose attempt is in the journal, so
// that it may be started.
func (c *Control) attemptRecorded(js *jobShard, e *tanagerjob.AttemptEntry, now time.Time) {
	j, t := js.table.Task(e.Job, e.Index)
	switch {
	case t == nil || t.State != tanagerjob.Pending:
	case j.Spec.Kind == tanagerjob.Gang:
		c.gangAttemptsRecorded(js, j)
	default:
		c.requeue(js, j, t, now)
	}
}

func (c *Control) respondToAll(waiters []waiter, j *tanagerjob.Job) {
	for _, w := range waiters {
		c.respondToJobCall(w, c.jobResponse(j))
	}
}

// scheduleJob queues the tasks of a new job.
func (c *Control) scheduleJob(js *jobShard, j *tanagerjob.Job, now time.Time) {
	if j.Spec.Kind == tanagerjob.Gang {
		c.scheduleGang(js, j, now)
		return
	}
	for _, t := range j.Tasks {
		c.requeue(js, j, t, now)
	}
}

// requeue makes a task pending and queues it to be offered. If the task is not
// idempotent, an attempt is recorded in the journal first.
func (c *Control) requeue(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	js.setTaskState(j, t, tanagerjob.Pending)
	t.Stopping = false
	t.Owner = ""
	t.Worker = ""
	if t.PendingSince.IsZero() {
		t.PendingSince = now
	}
	switch {
	case j.Cancelled:
		c.endTask(js, j, t, tanagerfailure.NotRun)
	case !j.Spec.Idempotent && !t.AttemptLogged:
		js.queueEntry(tanagerjob.Entry{
			Attempt: &tanagerjob.AttemptEntry{
				Job:   j.ID,
				Index: t.Index,
			},
		})
	default:
		js.queue.push(j, t)
	}
}

// findTask returns the rows of the task of an attempt. The task is nil if it is
// not known here, and so is the shard if this daemon has not loaded it.
func (c *Control) findTask(ref tanagerjob.TaskRef) (*jobShard, *tanagerjob.Job, *tanagerjob.Task) {
	shard, ok := tanagerjob.ShardOf(ref.Job)
	if !ok {
		return nil, nil, nil
	}
	js := c.jobs.shards[tanagershard.Shard(shard)]
	if js == nil || !js.loaded {
		return nil, nil, nil
	}
	j, t := js.table.Task(ref.Job, ref.Index)
	return js, j, t
}

func (c *Control) handleOfferResponse(from string, m tanagermessage.OfferResponse, now time.Time) {
	js, j, t := c.findTask(m.Ref)
	if t == nil || t.Attempt != m.Ref.Attempt || t.State != tanagerjob.Offered {
		return
	}
	c.removeOfferCount(j, t)
	switch m.Result {
	case tanagermessage.OfferStarted:
		c.taskStarted(js, j, t, from, m.Worker, now)
	case tanagermessage.OfferInfeasible:
		t.InfeasibleOwners = append(t.InfeasibleOwners, from)
		c.handleRejectedOffer(js, j, t, now)
	case tanagermessage.OfferRejected:
		c.handleRejectedOffer(js, j, t, now)
	}
}

// handleRejectedOffer requeues a task that certainly was not started.
func (c *Control) handleRejectedOffer(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	if j.Spec.Kind == tanagerjob.Gang {
		c.gangInterrupted(js, j, t, now)
		return
	}
	t.NotBefore = now.Add(c.jitter(rejectionDelay))
	c.requeue(js, j, t, now)
}

func (c *Control) taskStarted(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task,
	owner, worker string, now time.Time) {
	js.setTaskState(j, t, tanagerjob.Running)
	t.Owner = owner
	t.Worker = worker
	if !t.Started {
		t.Started = true
		t.WaitTime = now.Sub(t.PendingSince)
		c.recordTaskStart(j, t)
	}
	if j.Cancelled || t.Stopping {
		c.stopTask(j, t)
	}
}

// handleAttemptStatus handles a report of an owner of workers about an
// attempt.
func (c *Control) handleAttemptStatus(from string, m tanagermessage.AttemptStatus, now time.Time) {
	js, j, t := c.findTask(m.Ref)
	switch {
	case js == nil:
		// The current owner of the shard will receive the report again.
	case t == nil || t.State == tanagerjob.Ended:
		c.acknowledgeEnd(from, m.Ref)
	case t.State == tanagerjob.Recovering && m.Ref.Attempt >= t.Attempt:
		c.reattachTask(js, j, t, from, m, now)
	case t.Attempt != m.Ref.Attempt:
		c.staleAttempt(from, m)
	case m.End == "":
		if t.State == tanagerjob.Offered {
			c.removeOfferCount(j, t)
		}
		c.taskStarted(js, j, t, from, m.Worker, now)
	default:
		c.attemptEnded(js, j, t, from, m, now)
	}
}

// staleAttempt stops an attempt that has been superseded, or acknowledges its
// end.
func (c *Control) staleAttempt(from string, m tanagermessage.AttemptStatus) {
	if m.End == "" {
		c.send(from, tanagermessage.TopicStopAttempt, tanagermessage.StopAttempt{
			Shard: m.Shard,
			Epoch: c.epoch(m.Shard),
			Ref:   m.Ref,
		})
		return
	}
	c.acknowledgeEnd(from, m.Ref)
}

func (c *Control) acknowledgeEnd(to string, ref tanagerjob.TaskRef) {
	c.send(to, tanagermessage.TopicAttemptAck, tanagermessage.AttemptAck{
		Ref: ref,
	})
}

// attemptEnded ends a task or starts it again after the end of an attempt.
func (c *Control) attemptEnded(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task,
	from string, m tanagermessage.AttemptStatus, now time.Time) {
	if t.EndPending {
		return
	}
	if t.State == tanagerjob.Offered {
		c.removeOfferCount(j, t)
	}
	t.Owner = from
	js.setTaskState(j, t, tanagerjob.Running)
	if outcome, final := finalOutcome(j, t, m.End); final {
		c.endTask(js, j, t, outcome)
		return
	}
	c.acknowledgeEnd(from, m.Ref)
	if m.End == tanagermessage.AttemptFailed {
		t.Failures++
		t.NotBefore = now.Add(c.jitter(min(failureBackoff<<min(t.Failures-1, 10), maxFailureBackoff)))
	}
	if j.Spec.Kind == tanagerjob.Gang {
		c.gangInterrupted(js, j, t, now)
		return
	}
	c.requeue(js, j, t, now)
}

// finalOutcome returns the outcome of a task whose attempt has ended, and false
// if the task is to be started again.
func finalOutcome(j *tanagerjob.Job, t *tanagerjob.Task, end tanagermessage.AttemptEnd) (tanagerfailure.Outcome, bool) {
	repeat := j.Spec.Idempotent && !j.Cancelled
	service := j.Spec.Kind == tanagerjob.Service && !j.Cancelled
	switch end {
	case tanagermessage.AttemptDone:
		return tanagerfailure.Done, !service
	case tanagermessage.AttemptFailed:
		return tanagerfailure.Failed, !service && (!repeat || t.Failures+1 >= j.MaxAttempts())
	case tanagermessage.AttemptLost:
		return tanagerfailure.Unknown, !repeat
	case tanagermessage.AttemptCheckpointed:
		return tanagerfailure.Failed, j.Cancelled
	}
	return tanagerfailure.Failed, !repeat
}

// endTask queues the journal entry with the final outcome of a task.
func (c *Control) endTask(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, outcome tanagerfailure.Outcome) {
	t.EndPending = true
	js.queueEntry(tanagerjob.Entry{
		End: &tanagerjob.EndEntry{
			Job:     j.ID,
			Index:   t.Index,
			Outcome: outcome,
			At:      c.WallClock(),
		},
	})
}

// outcomeRecorded continues after the outcome of a task has been written to the
// journal.
func (c *Control) outcomeRecorded(js *jobShard, e *tanagerjob.EndEntry) {
	j, t := js.table.Task(e.Job, e.Index)
	if t == nil {
		return
	}
	c.counters.tasksEnded++
	if t.Owner != "" {
		c.acknowledgeEnd(t.Owner, taskRef(j, t))
	}
	if j.Remaining() == 0 {
		delete(js.gangs, j.ID)
		c.jobEnded(j)
	}
}

// stopJob ends the pending tasks of a cancelled job and stops the others.
func (c *Control) stopJob(js *jobShard, j *tanagerjob.Job) {
	if g := js.gangs[j.ID]; g != nil {
		c.releaseGang(js, g)
	}
	for _, t := range j.Tasks {
		switch {
		case t.EndPending || t.State == tanagerjob.Ended:
		case t.State == tanagerjob.Pending:
			c.endTask(js, j, t, tanagerfailure.NotRun)
		default:
			c.stopTask(j, t)
		}
	}
}

// stopTask asks the owner of a task's worker to stop the task.
func (c *Control) stopTask(j *tanagerjob.Job, t *tanagerjob.Task) {
	t.Stopping = true
	if t.Owner == "" {
		return
	}
	shard, _ := tanagerjob.ShardOf(j.ID)
	s := tanagershard.Shard(shard)
	c.send(t.Owner, tanagermessage.TopicStopAttempt, tanagermessage.StopAttempt{
		Shard: s,
		Epoch: c.epoch(s),
		Ref:   taskRef(j, t),
	})
}
