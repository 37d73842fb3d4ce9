package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// offerKey counts the offers that wait at an owner of workers, apart for urgent
// work, so that a branch's batch work can't hold up its urgent work.
type offerKey struct {
	owner  string
	branch string
	urgent bool
}

// The pauses before a task is offered again.
const (
	refusedPause = 50 * time.Millisecond
	failurePause = time.Second
	failureLimit = time.Minute
)

// attemptsPerEpoch separates the attempt numbers of successive owners.
const attemptsPerEpoch = 1 << 20

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

// offerTasks offers waiting tasks to owners of workers.
func (c *Control) offerTasks(now time.Time) {
	if !c.mayAct(now) {
		return
	}
	for _, js := range c.jobs.shards {
		if !js.loaded {
			continue
		}
		js.queue.offer(now, func(q queuedTask) bool { return c.offerTask(js, q, now) })
	}
}

// offerTask offers one task and reports false if no owner takes offers of its
// branch at present.
func (c *Control) offerTask(js *jobShard, q queuedTask, now time.Time) bool {
	j, t := q.job, q.task
	if !c.underQuota(js, j) {
		return false
	}
	owner, ok := c.chooseWorkerOwner(j, t, now)
	if !ok {
		return false
	}
	c.offerTo(js, j, t, owner, now)
	return true
}

// offerTo offers a task to an owner.
func (c *Control) offerTo(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, owner string, now time.Time) {
	js.set(j, t, tanagerjob.Offered)
	t.Owner = owner
	t.Attempt = nextAttempt(js.epoch, t.Attempt)
	c.jobs.offers[offerOf(j, owner)]++
	offer := tanagermessage.TaskOffer{
		Shard:          js.shard,
		Epoch:          js.epoch,
		Ref:            refOf(j, t),
		Branch:         j.Branch,
		Class:          j.Spec.Class,
		Kind:           j.Spec.Kind,
		Resources:      j.Spec.Resources,
		RunTime:        j.Spec.RunTime,
		Family:         j.Spec.Family,
		Checkpointable: j.Spec.Checkpointable,
		Payload:        j.Spec.Payload,
	}
	if !c.send(owner, tanagermessage.TopicTaskOffer, offer) {
		c.offerUnsent(owner, offer, now)
	}
}

func nextAttempt(epoch uint64, last int) int {
	first := int(epoch) * attemptsPerEpoch
	return max(last, first) + 1
}

func refOf(j *tanagerjob.Job, t *tanagerjob.Task) tanagerjob.TaskRef {
	return tanagerjob.TaskRef{
		Job:     j.ID,
		Index:   t.Index,
		Attempt: t.Attempt,
	}
}

func offerOf(j *tanagerjob.Job, owner string) offerKey {
	return offerKey{
		owner:  owner,
		branch: j.Branch,
		urgent: j.Spec.Class == tanagerqueue.Urgent,
	}
}

// underQuota reports whether the branch may hold one more task of a job. All
// jobs of a branch are in one shard, so the owner knows all that it holds.
func (c *Control) underQuota(js *jobShard, j *tanagerjob.Job) bool {
	rules, ok := c.config.Effective(j.Branch, c.Wall())
	if !ok || rules.Quota.IsZero() {
		return true
	}
	return withinQuota(js.held[j.Branch].Plus(j.Spec.Resources), rules.Quota)
}

// chooseWorkerOwner picks the better of two random owners of workers by the
// part of their workers that is free.
func (c *Control) chooseWorkerOwner(j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) (string, bool) {
	var open []string
	for _, owner := range c.fleet.workerOwners {
		if c.suspected(owner, now) || slices.Contains(t.Impossible, owner) {
			continue
		}
		if c.jobs.offers[offerOf(j, owner)] < offerLimit {
			open = append(open, owner)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	first := open[c.Random.IntN(len(open))]
	second := open[c.Random.IntN(len(open))]
	if c.offerLoad(second, j) < c.offerLoad(first, j) {
		return second, true
	}
	return first, true
}

// offerLoad rates an owner for a task; less is better. An owner whose workers
// cannot hold the task at present comes last.
func (c *Control) offerLoad(owner string, j *tanagerjob.Job) float64 {
	h := c.hints[owner]
	waiting := float64(c.jobs.offers[offerOf(j, owner)]) / offerLimit
	if !j.Spec.Resources.Fits(h.free) {
		return 2 + waiting
	}
	return h.total.Minus(h.free).DominantShare(h.total) + waiting
}

// offerUnsent takes back an offer that certainly did not reach its owner.
func (c *Control) offerUnsent(_ string, m tanagermessage.TaskOffer, now time.Time) {
	c.taskAnswered("", tanagermessage.TaskAnswer{
		Ref:     m.Ref,
		Verdict: tanagermessage.TaskRefused,
	}, now)
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

// offerEnded counts an offer less at its owner.
func (c *Control) offerEnded(j *tanagerjob.Job, t *tanagerjob.Task) {
	key := offerOf(j, t.Owner)
	c.jobs.offers[key]--
	if c.jobs.offers[key] <= 0 {
		delete(c.jobs.offers, key)
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

// forgetOffers drops the account of a shard's offers.
func (t *jobTables) forgetOffers(js *jobShard) {
	for _, j := range js.table.Jobs() {
		for _, task := range j.Tasks {
			if task.State != tanagerjob.Offered {
				continue
			}
			key := offerOf(j, task.Owner)
			t.offers[key]--
			if t.offers[key] <= 0 {
				delete(t.offers, key)
			}
		}
	}
}
