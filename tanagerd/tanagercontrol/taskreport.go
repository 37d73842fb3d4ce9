package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// taskReported takes a worker's word on one task.
func (c *Control) taskReported(row *workerRow, report tanagerplatform.TaskReport, now time.Time) {
	t := c.workers.tasks[report.ID]
	if t == nil {
		t = c.adoptTask(row, report, now)
	}
	if t == nil || t.end != "" {
		return
	}
	if !report.State.Final() {
		c.taskSeen(row, t, report)
		return
	}
	c.workers.refund(t)
	c.workers.finish(t, endOf(report.State))
	failed := t.end == tanagermessage.TaskFailed
	if t.end == tanagermessage.TaskDone || failed {
		if c.workers.fleet.Ended(row.vm.Name, t.offer.Ref.Job, failed, now) {
			c.counters.isolated++
			c.Log.Warn().Str("event", "worker_isolated").Str("vm", row.vm.Name).Send()
		}
	}
	c.sendWord(t)
}

func endOf(s tanagerplatform.TaskState) tanagermessage.TaskEnd {
	switch s {
	case tanagerplatform.Ended:
		return tanagermessage.TaskDone
	case tanagerplatform.Failed:
		return tanagermessage.TaskFailed
	case tanagerplatform.Checkpointed:
		return tanagermessage.TaskCheckpointed
	case tanagerplatform.Running, tanagerplatform.Stopped:
	}
	return tanagermessage.TaskStopped
}

// finish notes how an attempt ended.
func (w *workerTables) finish(t *taskRow, end tanagermessage.TaskEnd) {
	t.end = end
	w.ended[t.id()] = t
}

// adoptTask makes a row for a task that an earlier owner started.
func (c *Control) adoptTask(row *workerRow, report tanagerplatform.TaskReport, now time.Time) *taskRow {
	var record taskRecord
	if err := tanagerwire.Decode(report.Record, &record); err != nil {
		c.Log.Error().Str("event", "task_record_malformed").Str("task", report.ID).Err(err).Send()
		return nil
	}
	t := &taskRow{
		offer:    record.offer(),
		worker:   row.vm.Name,
		relieved: make(map[tanagerplatform.StopMode]bool),
	}
	c.workers.hold(t, t.offer.Resources, now)
	c.workers.offers.backlog.Charge(t.offer.Branch, t.offer.Class, t.charged)
	return t
}

// taskSeen notes that a task runs and what it uses.
func (c *Control) taskSeen(_ *workerRow, t *taskRow, report tanagerplatform.TaskReport) {
	if !t.started {
		t.started = true
		c.sendWord(t)
	}
	if report.Usage.IsZero() {
		return
	}
	growth := c.workers.fleet.Observe(t.id(), report.Usage)
	c.workers.learner.Observe(t.family(), report.Usage)
	t.charged = t.charged.Plus(growth)
	c.workers.offers.backlog.Charge(t.offer.Branch, t.offer.Class, growth)
}

// sendWord tells the present owner of the job what became of an attempt.
func (c *Control) sendWord(t *taskRow) {
	c.send(c.shardMap.Shards[t.offer.Shard].Owner, tanagermessage.TopicTaskEnded, t.word())
}

func (t *taskRow) word() tanagermessage.TaskWord {
	return tanagermessage.TaskWord{
		Shard:  t.offer.Shard,
		Ref:    t.offer.Ref,
		Worker: t.worker,
		End:    t.end,
	}
}

// wordInterval is the time between two messages on an end that was not
// acknowledged.
const wordInterval = time.Second

// resendWords repeats what was not acknowledged, since a job's owner may have
// changed or died.
func (c *Control) resendWords(now time.Time) {
	if now.Before(c.workers.resendAt) {
		return
	}
	c.workers.resendAt = now.Add(wordInterval)
	for _, t := range c.workers.ended {
		c.sendWord(t)
	}
}

// taskAcked lets the worker forget an ended task.
func (c *Control) taskAcked(_ string, m tanagermessage.TaskAck, _ time.Time) {
	id := m.Ref.String()
	t := c.workers.tasks[id]
	if t == nil || t.end == "" {
		return
	}
	c.workers.forget(t)
	if row := c.workers.rows[t.worker]; row != nil && t.end != tanagermessage.TaskLost {
		row.acks = append(row.acks, id)
	}
}

// loseTasks ends the tasks of a worker that certainly runs them no longer.
func (c *Control) loseTasks(row *workerRow, _ time.Time) {
	row.toStart = nil
	for _, t := range row.tasks {
		if t.end != "" {
			continue
		}
		c.workers.refund(t)
		c.workers.finish(t, tanagermessage.TaskLost)
		c.sendWord(t)
	}
}

// recoverAsked tells the owner of a job shard which of its tasks are on the
// wanted workers, and refuses whatever an earlier owner still sends.
func (c *Control) recoverAsked(from string, m tanagermessage.JobRecover, _ time.Time) {
	if m.Epoch < c.jobEpoch(m.Shard) {
		return
	}
	c.workers.offers.raise(c, m.Shard, m.Epoch)
	answer := tanagermessage.JobRecovered{
		Shard: m.Shard,
		Epoch: m.Epoch,
	}
	wanted := make(map[tanagershard.Shard]bool)
	for _, s := range m.Wanted {
		if c.complete(s) {
			wanted[s] = true
			answer.Complete = append(answer.Complete, tanagermessage.ShardEpoch{
				Shard: s,
				Epoch: c.epoch(s),
			})
		}
	}
	for _, row := range c.workers.rows {
		if !wanted[row.shard] {
			continue
		}
		for _, t := range row.tasks {
			if t.offer.Shard == m.Shard {
				answer.Tasks = append(answer.Tasks, t.word())
			}
		}
	}
	c.send(from, tanagermessage.TopicJobRecovered, answer)
}

// jobEpoch returns the highest epoch of a job shard that is known here.
func (c *Control) jobEpoch(s tanagershard.Shard) uint64 {
	return max(c.workers.offers.epochs[s], c.epoch(s))
}
