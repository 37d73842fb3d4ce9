package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// The pauses before a task is offered again.
const (
	refusedPause = 50 * time.Millisecond
	failurePause = time.Second
	failureLimit = time.Minute
	// impossiblePause is for tasks that no worker could hold at present.
	impossiblePause = 10 * time.Second
)

// changed acts on an entry that is now in the journal.
func (c *Control) changed(js *jobShard, ch change, now time.Time) {
	switch {
	case ch.entry.Accept != nil:
		j := js.table.Job(ch.entry.Accept.ID)
		c.scheduleJob(js, j, now)
		c.answerAll(ch.waiters, j)
	case ch.entry.Attempt != nil:
		c.taskNoted(js, ch.entry.Attempt, now)
	case ch.entry.End != nil:
		c.taskSettled(js, ch.entry.End)
	case ch.entry.Cancel != nil:
		j := js.table.Job(ch.entry.Cancel.Job)
		if j != nil {
			c.stopJob(js, j)
			c.answerAll(ch.waiters, j)
		}
	}
}

// taskNoted goes on with a task that may now be started.
func (c *Control) taskNoted(js *jobShard, e *tanagerjob.AttemptEntry, now time.Time) {
	j, t := js.table.Task(e.Job, e.Index)
	switch {
	case t == nil || t.State != tanagerjob.Pending:
	case j.Spec.Kind == tanagerjob.Gang:
		c.gangNoted(js, j)
	default:
		c.requeue(js, j, t, now)
	}
}

func (c *Control) answerAll(waiters []waiter, j *tanagerjob.Job) {
	for _, w := range waiters {
		c.answerJob(w, c.shown(j))
	}
}

// scheduleJob makes the tasks of a new job wait to be offered.
func (c *Control) scheduleJob(js *jobShard, j *tanagerjob.Job, now time.Time) {
	if j.Spec.Kind == tanagerjob.Gang {
		c.scheduleGang(js, j, now)
		return
	}
	for _, t := range j.Tasks {
		c.requeue(js, j, t, now)
	}
}

// requeue makes a task wait to be offered. A task that is not idempotent is
// first noted in the journal.
func (c *Control) requeue(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	js.set(j, t, tanagerjob.Pending)
	t.Stopping = false
	t.Owner = ""
	t.Worker = ""
	if t.Since.IsZero() {
		t.Since = now
	}
	switch {
	case j.Cancelled:
		c.endTask(js, j, t, tanagerfailure.NotRun)
	case !j.Spec.Idempotent && !t.Attempted:
		js.write(tanagerjob.Entry{
			Attempt: &tanagerjob.AttemptEntry{
				Job:   j.ID,
				Index: t.Index,
			},
		})
	default:
		js.queue.push(j, t)
	}
}

// findTask returns the rows of an attempt of a job shard of this daemon.
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

// taskAnswered takes an owner's answer to an offer.
func (c *Control) taskAnswered(from string, m tanagermessage.TaskAnswer, now time.Time) {
	js, j, t := c.findTask(m.Ref)
	if t == nil || t.Attempt != m.Ref.Attempt || t.State != tanagerjob.Offered {
		return
	}
	c.offerEnded(j, t)
	switch m.Verdict {
	case tanagermessage.TaskStarted:
		c.taskRuns(js, j, t, from, m.Worker, now)
	case tanagermessage.TaskImpossible:
		t.Impossible = append(t.Impossible, from)
		c.refusedTask(js, j, t, now)
	case tanagermessage.TaskRefused:
		c.refusedTask(js, j, t, now)
	}
}

// refusedTask makes a task wait again that certainly was not started.
func (c *Control) refusedTask(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	if j.Spec.Kind == tanagerjob.Gang {
		c.gangBroken(js, j, t, now)
		return
	}
	t.NotBefore = now.Add(c.jitter(refusedPause))
	c.requeue(js, j, t, now)
}

func (c *Control) taskRuns(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, owner, worker string, now time.Time) {
	js.set(j, t, tanagerjob.Running)
	t.Owner = owner
	t.Worker = worker
	if !t.Started {
		t.Started = true
		t.Waited = now.Sub(t.Since)
		c.recordTask(j, t)
	}
	if j.Cancelled || t.Stopping {
		c.stopTask(j, t)
	}
}

// taskEnded takes an owner's word on an attempt.
func (c *Control) taskEnded(from string, m tanagermessage.TaskWord, now time.Time) {
	js, j, t := c.findTask(m.Ref)
	switch {
	case js == nil:
		// The shard's present owner will be told again.
	case t == nil || t.State == tanagerjob.Ended:
		c.ack(from, m.Ref)
	case t.State == tanagerjob.Uncertain && m.Ref.Attempt >= t.Attempt:
		c.attach(js, j, t, from, m, now)
	case t.Attempt != m.Ref.Attempt:
		c.oldAttempt(from, m)
	case m.End == "":
		if t.State == tanagerjob.Offered {
			c.offerEnded(j, t)
		}
		c.taskRuns(js, j, t, from, m.Worker, now)
	default:
		c.attemptEnded(js, j, t, from, m, now)
	}
}

// oldAttempt deals with an attempt that has been given up.
func (c *Control) oldAttempt(from string, m tanagermessage.TaskWord) {
	if m.End == "" {
		c.send(from, tanagermessage.TopicTaskStop, tanagermessage.TaskStop{
			Shard: m.Shard,
			Epoch: c.epoch(m.Shard),
			Ref:   m.Ref,
		})
		return
	}
	c.ack(from, m.Ref)
}

func (c *Control) ack(to string, ref tanagerjob.TaskRef) {
	c.send(to, tanagermessage.TopicTaskAck, tanagermessage.TaskAck{
		Ref: ref,
	})
}

// attemptEnded decides what follows from the end of an attempt.
func (c *Control) attemptEnded(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, from string, m tanagermessage.TaskWord, now time.Time) {
	if t.Ending {
		return
	}
	if t.State == tanagerjob.Offered {
		c.offerEnded(j, t)
	}
	t.Owner = from
	js.set(j, t, tanagerjob.Running)
	if outcome, final := finalOutcome(j, t, m.End); final {
		c.endTask(js, j, t, outcome)
		return
	}
	c.ack(from, m.Ref)
	if m.End == tanagermessage.TaskFailed {
		t.Failures++
		t.NotBefore = now.Add(c.jitter(min(failurePause<<min(t.Failures-1, 10), failureLimit)))
	}
	if j.Spec.Kind == tanagerjob.Gang {
		c.gangBroken(js, j, t, now)
		return
	}
	c.requeue(js, j, t, now)
}

// finalOutcome returns the outcome of a task whose attempt has ended, and false
// if the task is to be started again.
func finalOutcome(j *tanagerjob.Job, t *tanagerjob.Task, end tanagermessage.TaskEnd) (tanagerfailure.Outcome, bool) {
	repeat := j.Spec.Idempotent && !j.Cancelled
	service := j.Spec.Kind == tanagerjob.Service && !j.Cancelled
	switch end {
	case tanagermessage.TaskDone:
		return tanagerfailure.Done, !service
	case tanagermessage.TaskFailed:
		return tanagerfailure.Failed, !service && (!repeat || t.Failures+1 >= j.Attempts())
	case tanagermessage.TaskLost:
		return tanagerfailure.Unknown, !repeat
	case tanagermessage.TaskCheckpointed:
		return tanagerfailure.Failed, j.Cancelled
	}
	return tanagerfailure.Failed, !repeat
}

// endTask writes the final outcome of a task.
func (c *Control) endTask(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, outcome tanagerfailure.Outcome) {
	t.Ending = true
	js.write(tanagerjob.Entry{
		End: &tanagerjob.EndEntry{
			Job:     j.ID,
			Index:   t.Index,
			Outcome: outcome,
			At:      c.Wall(),
		},
	})
}

// taskSettled acts on a task's outcome that is now in the journal.
func (c *Control) taskSettled(js *jobShard, e *tanagerjob.EndEntry) {
	j, t := js.table.Task(e.Job, e.Index)
	if t == nil {
		return
	}
	c.counters.tasksEnded++
	if t.Owner != "" {
		c.ack(t.Owner, refOf(j, t))
	}
	if j.Left() == 0 {
		delete(js.gangs, j.ID)
		c.jobEnded(j)
	}
}

// stopJob ends the tasks of a cancelled job.
func (c *Control) stopJob(js *jobShard, j *tanagerjob.Job) {
	if g := js.gangs[j.ID]; g != nil {
		c.releaseGang(js, g)
	}
	for _, t := range j.Tasks {
		switch {
		case t.Ending || t.State == tanagerjob.Ended:
		case t.State == tanagerjob.Pending:
			c.endTask(js, j, t, tanagerfailure.NotRun)
		default:
			c.stopTask(j, t)
		}
	}
}

// stopTask asks the owner of a task's worker to stop it.
func (c *Control) stopTask(j *tanagerjob.Job, t *tanagerjob.Task) {
	t.Stopping = true
	if t.Owner == "" {
		return
	}
	shard, _ := tanagerjob.ShardOf(j.ID)
	s := tanagershard.Shard(shard)
	c.send(t.Owner, tanagermessage.TopicTaskStop, tanagermessage.TaskStop{
		Shard: s,
		Epoch: c.epoch(s),
		Ref:   refOf(j, t),
	})
}
