package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// setTaskState changes the state of a task and updates what its branch holds.
func (js *jobShard) setTaskState(j *tanagerjob.Job, t *tanagerjob.Task, state tanagerjob.TaskState) {
	if holdsResources(t.State) {
		js.held[j.Branch] = js.held[j.Branch].Sub(j.Spec.Resources)
	}
	t.State = state
	if holdsResources(state) {
		js.held[j.Branch] = js.held[j.Branch].Add(j.Spec.Resources)
	}
}

// holdsResources reports whether a task in a state holds resources or may hold
// them.
func holdsResources(s tanagerjob.TaskState) bool {
	return s != tanagerjob.Pending && s != tanagerjob.Ended
}

// startRecovery marks the tasks of earlier owners uncertain until every worker
// shard has reported which of them it runs.
func (c *Control) startRecovery(js *jobShard, now time.Time) {
	uncertain := 0
	for _, j := range js.table.Jobs() {
		for _, t := range j.Tasks {
			if t.State == tanagerjob.Ended {
				continue
			}
			js.setTaskState(j, t, tanagerjob.Recovering)
			t.PendingSince = now.Add(j.Accepted.Sub(c.WallClock()))
			uncertain++
		}
	}
	if uncertain == 0 {
		return
	}
	for s := range c.shardMap.Shards {
		js.unrecovered[tanagershard.Shard(s)] = true
	}
	c.Log.Info().Str("event", "recovery_started").Int("shard", int(js.shard)).Int("tasks", uncertain).Send()
}

// workerShardMoved marks the tasks uncertain that the earlier owner of a worker
// shard ran or, if it has ended, was offered.
func (c *Control) workerShardMoved(s tanagershard.Shard, previous string, ended bool) {
	for _, js := range c.jobs.shards {
		if !js.loaded {
			continue
		}
		if c.markTasksUncertain(js, s, previous, ended) > 0 {
			js.unrecovered[s] = true
		}
	}
}

// markTasksUncertain marks the tasks of one job shard uncertain that ran on
// workers of a shard and, if the earlier owner has ended, those that were
// offered to it. It returns the number of uncertain tasks.
func (c *Control) markTasksUncertain(js *jobShard, s tanagershard.Shard, previous string, ended bool) int {
	n := 0
	for _, j := range js.table.Jobs() {
		if j.Remaining() == 0 {
			continue
		}
		for _, t := range j.Tasks {
			offered := t.State == tanagerjob.Offered && t.Owner == previous && ended
			running := t.State == tanagerjob.Running && c.shardMap.ShardOf(t.Worker) == s
			if offered {
				c.removeOfferCount(j, t)
			}
			if offered || running || t.State == tanagerjob.Recovering {
				js.setTaskState(j, t, tanagerjob.Recovering)
				n++
			}
		}
	}
	return n
}

// markOffersUncertain marks the offers uncertain that a daemon may have
// received before its connection broke.
func (c *Control) markOffersUncertain(owner string) {
	for _, js := range c.jobs.shards {
		if !js.loaded || !c.markShardOffersUncertain(js, owner) {
			continue
		}
		for i, a := range c.shardMap.Shards {
			if a.Owner == owner {
				js.unrecovered[tanagershard.Shard(i)] = true
			}
		}
	}
}

func (c *Control) markShardOffersUncertain(js *jobShard, owner string) bool {
	found := false
	for _, j := range js.table.Jobs() {
		if j.Remaining() == 0 {
			continue
		}
		for _, t := range j.Tasks {
			if t.State == tanagerjob.Offered && t.Owner == owner {
				c.removeOfferCount(j, t)
				js.setTaskState(j, t, tanagerjob.Recovering)
				found = true
			}
		}
	}
	return found
}

// requestRecovery asks the owners of the unrecovered worker shards for their
// tasks.
func (c *Control) requestRecovery(_ time.Time) {
	for _, js := range c.jobs.shards {
		if !js.loaded || len(js.unrecovered) == 0 {
			continue
		}
		wanted := make(map[string][]tanagershard.Shard)
		for s := range js.unrecovered {
			owner := c.shardMap.Shards[s].Owner
			wanted[owner] = append(wanted[owner], s)
		}
		for owner, shards := range wanted {
			c.send(owner, tanagermessage.TopicRecoveryRequest, tanagermessage.RecoveryRequest{
				Shard:        js.shard,
				Epoch:        js.epoch,
				WorkerShards: shards,
			})
		}
	}
}

// recoveryReceived applies a report of an owner of workers about the tasks of a
// job shard.
func (c *Control) recoveryReceived(from string, m tanagermessage.RecoveryResponse, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch || !js.loaded || len(js.unrecovered) == 0 {
		return
	}
	for _, status := range m.Tasks {
		c.attemptStatusReceived(from, status, now)
	}
	for _, complete := range m.CompleteShards {
		a := c.shardMap.Shards[complete.Shard]
		if a.Owner == from && a.Epoch == complete.Epoch {
			delete(js.unrecovered, complete.Shard)
		}
	}
	if len(js.unrecovered) == 0 {
		c.finishRecovery(js, now)
	}
}

// finishRecovery handles the tasks that no worker has reported: they were never
// started, or ended with their worker.
func (c *Control) finishRecovery(js *jobShard, now time.Time) {
	lost := 0
	for _, j := range js.table.Jobs() {
		for _, t := range j.Tasks {
			if t.State != tanagerjob.Recovering || t.EndPending {
				continue
			}
			lost++
			if !j.Spec.Idempotent && t.AttemptLogged {
				c.endTask(js, j, t, tanagerfailure.Unknown)
				continue
			}
			if j.Spec.Kind == tanagerjob.Gang {
				c.gangInterrupted(js, j, t, now)
				continue
			}
			c.requeue(js, j, t, now)
		}
	}
	c.Log.Info().Str("event", "recovery_ended").Int("shard", int(js.shard)).Int("tasks_lost", lost).Send()
}

// reattachTask resumes an uncertain task that an owner of workers has reported.
func (c *Control) reattachTask(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task,
	from string, m tanagermessage.AttemptStatus, now time.Time) {
	t.Attempt = m.Ref.Attempt
	js.setTaskState(j, t, tanagerjob.Running)
	t.Started = true
	t.Owner = from
	t.Worker = m.Worker
	if j.Spec.Kind == tanagerjob.Gang {
		c.ensureGang(js, j)
	}
	if m.End != "" {
		c.attemptEnded(js, j, t, from, m, now)
		return
	}
	if j.Cancelled {
		c.stopTask(j, t)
	}
}
