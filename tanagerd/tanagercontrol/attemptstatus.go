package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// applyTaskReport applies a worker's report of one task.
func (c *Control) applyTaskReport(row *workerRow, report tanagerplatform.TaskReport, now time.Time) {
	t := c.workers.tasks[report.ID]
	if t == nil {
		t = c.recoverTask(row, report, now)
	}
	if t == nil || t.end != "" {
		return
	}
	if !report.State.Final() {
		c.recordRunning(row, t, report)
		return
	}
	c.workers.releaseTask(t)
	c.workers.setEnd(t, attemptEnd(report.State))
	failed := t.end == tanagermessage.AttemptFailed
	if t.end == tanagermessage.AttemptDone || failed {
		if c.workers.fleet.RecordTaskEnd(row.vm.Name, t.offer.Ref.Job, failed, now) {
			c.counters.workersIsolated++
			c.Log.Warn().Str("event", "worker_isolated").Str("vm", row.vm.Name).Send()
		}
	}
	c.sendAttemptStatus(t)
}

func attemptEnd(s tanagerplatform.TaskState) tanagermessage.AttemptEnd {
	switch s {
	case tanagerplatform.Ended:
		return tanagermessage.AttemptDone
	case tanagerplatform.Failed:
		return tanagermessage.AttemptFailed
	case tanagerplatform.Checkpointed:
		return tanagermessage.AttemptCheckpointed
	case tanagerplatform.Running, tanagerplatform.Stopped:
	}
	return tanagermessage.AttemptStopped
}

// setEnd records how an attempt ended, to be reported until it is acknowledged.
func (w *workerTables) setEnd(t *taskRow, end tanagermessage.AttemptEnd) {
	t.end = end
	w.unacknowledged[t.id()] = t
}

// recoverTask rebuilds the row of a task that a previous owner started.
func (c *Control) recoverTask(row *workerRow, report tanagerplatform.TaskReport, now time.Time) *taskRow {
	var record taskRecord
	if err := tanagerwire.Decode(report.Record, &record); err != nil {
		c.Log.Error().Str("event", "task_record_malformed").Str("task", report.ID).Err(err).Send()
		return nil
	}
	t := &taskRow{
		offer:       record.offer(),
		worker:      row.vm.Name,
		reclaimedBy: make(map[tanagerplatform.StopMode]bool),
	}
	c.workers.addTask(t, t.offer.Resources, now)
	c.workers.offers.backlog.Charge(t.offer.Branch, t.offer.Class, t.charged)
	return t
}

// recordRunning records that a task runs and what it uses.
func (c *Control) recordRunning(_ *workerRow, t *taskRow, report tanagerplatform.TaskReport) {
	if !t.started {
		t.started = true
		c.sendAttemptStatus(t)
	}
	if report.Usage.IsZero() {
		return
	}
	growth := c.workers.fleet.RecordUsage(t.id(), report.Usage)
	c.workers.usageEstimator.RecordUsage(t.family(), report.Usage)
	t.charged = t.charged.Add(growth)
	c.workers.offers.backlog.Charge(t.offer.Branch, t.offer.Class, growth)
}

// sendAttemptStatus reports the status of an attempt to the current owner of
// the job's shard.
func (c *Control) sendAttemptStatus(t *taskRow) {
	c.send(c.shardMap.Shards[t.offer.Shard].Owner, tanagermessage.TopicAttemptStatus, t.attemptStatus())
}

func (t *taskRow) attemptStatus() tanagermessage.AttemptStatus {
	return tanagermessage.AttemptStatus{
		Shard:  t.offer.Shard,
		Ref:    t.offer.Ref,
		Worker: t.worker,
		End:    t.end,
	}
}

// statusResendInterval is the time between two reports of an end that has not
// been acknowledged.
const statusResendInterval = time.Second

// resendAttemptStatuses repeats the reports that have not been acknowledged,
// because a job's owner may have changed or failed.
func (c *Control) resendAttemptStatuses(now time.Time) {
	if now.Before(c.workers.resendAt) {
		return
	}
	c.workers.resendAt = now.Add(statusResendInterval)
	for _, t := range c.workers.unacknowledged {
		c.sendAttemptStatus(t)
	}
}

// handleAttemptAck removes an ended task, whose end the worker may now forget.
func (c *Control) handleAttemptAck(_ string, m tanagermessage.AttemptAck, _ time.Time) {
	id := m.Ref.String()
	t := c.workers.tasks[id]
	if t == nil || t.end == "" {
		return
	}
	c.workers.forgetTask(t)
	if row := c.workers.rows[t.worker]; row != nil && t.end != tanagermessage.AttemptLost {
		row.acks = append(row.acks, id)
	}
}

// endLostTasks ends the tasks of a worker that certainly runs them no longer.
func (c *Control) endLostTasks(row *workerRow, _ time.Time) {
	row.pendingStarts = nil
	for _, t := range row.tasks {
		if t.end != "" {
			continue
		}
		c.workers.releaseTask(t)
		c.workers.setEnd(t, tanagermessage.AttemptLost)
		c.sendAttemptStatus(t)
	}
}

// handleRecoveryRequest reports to the owner of a job shard which of its tasks
// are on the requested worker shards. From then on the offers of previous
// owners are rejected.
func (c *Control) handleRecoveryRequest(from string, m tanagermessage.RecoveryRequest, _ time.Time) {
	if m.Epoch < c.jobEpoch(m.Shard) {
		return
	}
	c.workers.offers.raiseEpoch(c, m.Shard, m.Epoch)
	response := tanagermessage.RecoveryResponse{
		Shard: m.Shard,
		Epoch: m.Epoch,
	}
	requested := make(map[tanagershard.Shard]bool)
	for _, s := range m.WorkerShards {
		if c.allTasksKnown(s) {
			requested[s] = true
			response.CompleteShards = append(response.CompleteShards, tanagermessage.ShardEpoch{
				Shard: s,
				Epoch: c.epoch(s),
			})
		}
	}
	for _, row := range c.workers.rows {
		if !requested[row.shard] {
			continue
		}
		for _, t := range row.tasks {
			if t.offer.Shard == m.Shard {
				response.Tasks = append(response.Tasks, t.attemptStatus())
			}
		}
	}
	c.send(from, tanagermessage.TopicRecoveryResponse, response)
}

// jobEpoch returns the highest known epoch of a job shard.
func (c *Control) jobEpoch(s tanagershard.Shard) uint64 {
	return max(c.workers.offers.epochs[s], c.epoch(s))
}
