package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// setTaskState changes the state of a task and updates the allocation of its
// branch.
func (js *jobShard) setTaskState(j *tanagerjob.Job, t *tanagerjob.Task, state tanagerjob.TaskState) {
	if allocatesResources(t.State) {
		js.allocated[j.Branch] = js.allocated[j.Branch].Sub(j.Spec.Resources)
	}
	t.State = state
	if allocatesResources(state) {
		js.allocated[j.Branch] = js.allocated[j.Branch].Add(j.Spec.Resources)
	}
}

// allocatesResources reports whether a task in a state has or may have an
// allocation.
func allocatesResources(s tanagerjob.TaskState) bool {
	return s != tanagerjob.Pending && s != tanagerjob.Ended
}

// startRecovery marks the tasks of previous owners as recovering until every
// worker shard has reported which of them it runs.
func (c *Control) startRecovery(js *jobShard, now time.Time) {
	recovering := 0
	for _, j := range js.table.Jobs() {
		for _, t := range j.Tasks {
			if t.State == tanagerjob.Ended {
				continue
			}
			js.setTaskState(j, t, tanagerjob.Recovering)
			t.PendingSince = now.Add(j.Accepted.Sub(c.WallClock()))
			recovering++
		}
	}
	if recovering == 0 {
		return
	}
	for s := range c.shardMap.Shards {
		js.unrecovered[tanagershard.Shard(s)] = true
	}
	c.Log.Info().Str("event", "recovery_started").Int("shard", int(js.shard)).Int("tasks", recovering).Send()
}

// workerShardMoved marks as recovering the tasks that the previous owner of a
// worker shard ran or, if the shard was taken over, was offered.
func (c *Control) workerShardMoved(s tanagershard.Shard, previousOwner string, takenOver bool) {
	for _, js := range c.jobs.shards {
		if !js.loaded {
			continue
		}
		if c.markTasksRecovering(js, s, previousOwner, takenOver) > 0 {
			js.unrecovered[s] = true
		}
	}
}

// markTasksRecovering marks as recovering the tasks of one job shard that ran on
// workers of a shard and, if the shard was taken over from its previous owner,
// those that were offered to it. It returns the number of recovering tasks.
func (c *Control) markTasksRecovering(js *jobShard, s tanagershard.Shard, previousOwner string, takenOver bool) int {
	n := 0
	for _, j := range js.table.Jobs() {
		if j.Remaining() == 0 {
			continue
		}
		for _, t := range j.Tasks {
			offered := t.State == tanagerjob.Offered && t.Owner == previousOwner && takenOver
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

// markOffersRecovering marks as recovering the offered tasks whose offer a daemon
// may have received before its connection broke.
func (c *Control) markOffersRecovering(owner string) {
	for _, js := range c.jobs.shards {
		if !js.loaded || !c.markShardOffersRecovering(js, owner) {
			continue
		}
		for i, a := range c.shardMap.Shards {
			if a.Owner == owner {
				js.unrecovered[tanagershard.Shard(i)] = true
			}
		}
	}
}

func (c *Control) markShardOffersRecovering(js *jobShard, owner string) bool {
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

// requestRecovery requests the tasks on the unrecovered worker shards from their
// owners.
func (c *Control) requestRecovery(_ time.Time) {
	for _, js := range c.jobs.shards {
		if !js.loaded || len(js.unrecovered) == 0 {
			continue
		}
		shardsByOwner := make(map[string][]tanagershard.Shard)
		for s := range js.unrecovered {
			owner := c.shardMap.Shards[s].Owner
			shardsByOwner[owner] = append(shardsByOwner[owner], s)
		}
		for owner, shards := range shardsByOwner {
			c.send(owner, tanagermessage.TopicRecoveryRequest, tanagermessage.RecoveryRequest{
				Shard:        js.shard,
				Epoch:        js.epoch,
				WorkerShards: shards,
			})
		}
	}
}

// handleRecoveryResponse applies a report of an owner of workers about the
// tasks of a job shard.
func (c *Control) handleRecoveryResponse(from string, m tanagermessage.RecoveryResponse, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch || !js.loaded || len(js.unrecovered) == 0 {
		return
	}
	for _, status := range m.Tasks {
		c.handleAttemptStatus(from, status, now)
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

// reattachTask resumes a recovering task that an owner of workers has reported.
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
