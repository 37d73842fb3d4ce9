package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// set changes the state of a task and the account of what its branch holds.
func (js *jobShard) set(j *tanagerjob.Job, t *tanagerjob.Task, state tanagerjob.TaskState) {
	if holds(t.State) {
		js.held[j.Branch] = js.held[j.Branch].Minus(j.Spec.Resources)
	}
	t.State = state
	if holds(state) {
		js.held[j.Branch] = js.held[j.Branch].Plus(j.Spec.Resources)
	}
}

// holds reports whether a task in a state holds resources or may hold them.
func holds(s tanagerjob.TaskState) bool {
	return s != tanagerjob.Pending && s != tanagerjob.Ended
}

// startRecovery makes the tasks of earlier owners uncertain until every worker
// shard has told which of them it runs.
func (c *Control) startRecovery(js *jobShard, now time.Time) {
	uncertain := 0
	for _, j := range js.table.Jobs() {
		for _, t := range j.Tasks {
			if t.State == tanagerjob.Ended {
				continue
			}
			js.set(j, t, tanagerjob.Uncertain)
			t.Since = now.Add(j.Accepted.Sub(c.Wall()))
			uncertain++
		}
	}
	if uncertain == 0 {
		return
	}
	for s := range c.shardMap.Shards {
		js.missing[tanagershard.Shard(s)] = true
	}
	c.Log.Info().Str("event", "recovery_started").Int("shard", int(js.shard)).Int("tasks", uncertain).Send()
}

// workersMoved makes the tasks uncertain that an earlier owner of a worker
// shard ran or was offered.
func (c *Control) workersMoved(s tanagershard.Shard, previous string, ended bool) {
	for _, js := range c.jobs.shards {
		if !js.loaded {
			continue
		}
		if c.doubt(js, s, previous, ended) > 0 {
			js.missing[s] = true
		}
	}
}

// doubt makes the tasks of one job shard uncertain that were on workers of a
// shard, and, if its owner has ended, those that the owner was offered.
func (c *Control) doubt(js *jobShard, s tanagershard.Shard, previous string, ended bool) int {
	n := 0
	for _, j := range js.table.Jobs() {
		if j.Left() == 0 {
			continue
		}
		for _, t := range j.Tasks {
			offered := t.State == tanagerjob.Offered && t.Owner == previous && ended
			running := t.State == tanagerjob.Running && c.shardMap.Of(t.Worker) == s
			if offered {
				c.offerEnded(j, t)
			}
			if offered || running || t.State == tanagerjob.Uncertain {
				js.set(j, t, tanagerjob.Uncertain)
				n++
			}
		}
	}
	return n
}

// offersLost makes the offers uncertain that a daemon may have received before
// its connection broke.
func (c *Control) offersLost(owner string) {
	for _, js := range c.jobs.shards {
		if !js.loaded || !c.doubtOffers(js, owner) {
			continue
		}
		for i, a := range c.shardMap.Shards {
			if a.Owner == owner {
				js.missing[tanagershard.Shard(i)] = true
			}
		}
	}
}

func (c *Control) doubtOffers(js *jobShard, owner string) bool {
	found := false
	for _, j := range js.table.Jobs() {
		if j.Left() == 0 {
			continue
		}
		for _, t := range j.Tasks {
			if t.State == tanagerjob.Offered && t.Owner == owner {
				c.offerEnded(j, t)
				js.set(j, t, tanagerjob.Uncertain)
				found = true
			}
		}
	}
	return found
}

// recoverJobs asks the owners of the missing worker shards for their tasks.
func (c *Control) recoverJobs(_ time.Time) {
	for _, js := range c.jobs.shards {
		if !js.loaded || len(js.missing) == 0 {
			continue
		}
		wanted := make(map[string][]tanagershard.Shard)
		for s := range js.missing {
			owner := c.shardMap.Shards[s].Owner
			wanted[owner] = append(wanted[owner], s)
		}
		for owner, shards := range wanted {
			c.send(owner, tanagermessage.TopicJobRecover, tanagermessage.JobRecover{
				Shard:  js.shard,
				Epoch:  js.epoch,
				Wanted: shards,
			})
		}
	}
}

// jobRecovered takes the word of an owner of workers on the tasks of a job
// shard.
func (c *Control) jobRecovered(from string, m tanagermessage.JobRecovered, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch || !js.loaded || len(js.missing) == 0 {
		return
	}
	for _, word := range m.Tasks {
		c.taskEnded(from, word, now)
	}
	for _, done := range m.Complete {
		a := c.shardMap.Shards[done.Shard]
		if a.Owner == from && a.Epoch == done.Epoch {
			delete(js.missing, done.Shard)
		}
	}
	if len(js.missing) == 0 {
		c.endRecovery(js, now)
	}
}

// endRecovery decides on the tasks of which no worker knows: they were never
// started, or ended with their worker.
func (c *Control) endRecovery(js *jobShard, now time.Time) {
	lost := 0
	for _, j := range js.table.Jobs() {
		for _, t := range j.Tasks {
			if t.State != tanagerjob.Uncertain || t.Ending {
				continue
			}
			lost++
			if !j.Spec.Idempotent && t.Attempted {
				c.endTask(js, j, t, tanagerfailure.Unknown)
				continue
			}
			if j.Spec.Kind == tanagerjob.Gang {
				c.gangBroken(js, j, t, now)
				continue
			}
			c.requeue(js, j, t, now)
		}
	}
	c.Log.Info().Str("event", "recovery_ended").Int("shard", int(js.shard)).Int("tasks_lost", lost).Send()
}

// attach takes the word of a worker's owner on an uncertain task.
func (c *Control) attach(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, from string, m tanagermessage.TaskWord, now time.Time) {
	t.Attempt = m.Ref.Attempt
	js.set(j, t, tanagerjob.Running)
	t.Started = true
	t.Owner = from
	t.Worker = m.Worker
	if j.Spec.Kind == tanagerjob.Gang {
		c.adoptGang(js, j)
	}
	if m.End != "" {
		c.attemptEnded(js, j, t, from, m, now)
		return
	}
	if j.Cancelled {
		c.stopTask(j, t)
	}
}
