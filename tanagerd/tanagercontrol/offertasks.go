package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanagerd/tanagermessage"
)

// offerKey identifies a counter of pending offers at an owner of workers.
// Urgent offers are counted apart, so that a branch's batch work cannot delay
// its urgent work.
type offerKey struct {
	owner  string
	branch string
	urgent bool
}

// attemptsPerEpoch separates the attempt numbers of successive owners.
const attemptsPerEpoch = 1 << 20

// offerTasks offers queued tasks to the owners of workers.
func (c *Control) offerTasks(now time.Time) {
	if !c.holdsLease(now) {
		return
	}
	for _, js := range c.jobs.shards {
		if !js.loaded {
			continue
		}
		js.queue.offer(now, func(q queuedTask) bool { return c.offerTask(js, q, now) })
	}
}

// offerTask offers one task. It returns false if the branch is at its quota or
// if no owner accepts its offers at present.
func (c *Control) offerTask(js *jobShard, q queuedTask, now time.Time) bool {
	j, t := q.job, q.task
	if !c.underQuota(js, j) {
		return false
	}
	if c.infeasibleEverywhere(t) {
		// Larger workers may be added. Until then the task must not block the
		// queue.
		t.InfeasibleOwners = nil
		t.NotBefore = now.Add(c.jitter(infeasibleDelay))
		js.queue.push(j, t)
		return true
	}
	owner, ok := c.chooseWorkerOwner(j, t, now)
	if !ok {
		return false
	}
	c.offerTo(js, j, t, owner, now)
	return true
}

// infeasibleEverywhere reports whether no owner has a worker that could ever
// hold a task.
func (c *Control) infeasibleEverywhere(t *tanagerjob.Task) bool {
	if len(t.InfeasibleOwners) == 0 {
		return false
	}
	for _, owner := range c.fleet.workerOwners {
		if !slices.Contains(t.InfeasibleOwners, owner) {
			return false
		}
	}
	return true
}

// offerTo offers a task to an owner of workers as a new attempt.
func (c *Control) offerTo(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, owner string, now time.Time) {
	js.setTaskState(j, t, tanagerjob.Offered)
	t.Owner = owner
	t.Attempt = nextAttempt(js.epoch, t.Attempt)
	c.jobs.offerCounts[newOfferKey(j, owner)]++
	c.deductOffered(owner, j.Spec.Resources)
	offer := tanagermessage.TaskOffer{
		Shard:          js.shard,
		Epoch:          js.epoch,
		Ref:            taskRef(j, t),
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
		c.handleUnsentTaskOffer(owner, offer, now)
	}
}

func nextAttempt(epoch uint64, last int) int {
	first := int(epoch) * attemptsPerEpoch
	return max(last, first) + 1
}

func taskRef(j *tanagerjob.Job, t *tanagerjob.Task) tanagerjob.TaskRef {
	return tanagerjob.TaskRef{
		Job:     j.ID,
		Index:   t.Index,
		Attempt: t.Attempt,
	}
}

func newOfferKey(j *tanagerjob.Job, owner string) offerKey {
	return offerKey{
		owner:  owner,
		branch: j.Branch,
		urgent: j.Spec.Class == tanagerqueue.Urgent,
	}
}

// underQuota reports whether the quota of the branch admits one more task of a
// job. All jobs of a branch are in one shard, so the owner of the shard knows
// all allocations of the branch.
func (c *Control) underQuota(js *jobShard, j *tanagerjob.Job) bool {
	rules, ok := c.config.Effective(j.Branch, c.WallClock())
	if !ok || rules.Quota.IsZero() {
		return true
	}
	return withinQuota(js.allocated[j.Branch].Add(j.Spec.Resources), rules.Quota)
}

// chooseWorkerOwner returns the owner of workers with the least load that may
// take an offer of a task, or false if there is none.
func (c *Control) chooseWorkerOwner(j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) (string, bool) {
	var candidates []string
	for _, owner := range c.fleet.workerOwners {
		if c.suspected(owner, now) || slices.Contains(t.InfeasibleOwners, owner) {
			continue
		}
		if c.jobs.offerCounts[newOfferKey(j, owner)] < maxOffersPerOwner {
			candidates = append(candidates, owner)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return c.leastLoaded(candidates, func(owner string) float64 { return c.offerLoad(owner, j) }), true
}

// deductOffered deducts the resources of an offer from the last reported load.
func (c *Control) deductOffered(owner string, r tanagerresource.Vector) {
	if load, known := c.peerLoads[owner]; known {
		load.free = load.free.Sub(r)
		c.peerLoads[owner] = load
	}
}

// offerLoad rates the load of an owner for a task; less is better. An owner
// whose workers cannot hold the task at present rates last.
func (c *Control) offerLoad(owner string, j *tanagerjob.Job) float64 {
	load := c.peerLoads[owner]
	waiting := float64(c.jobs.offerCounts[newOfferKey(j, owner)]) / maxOffersPerOwner
	if !j.Spec.Resources.FitsIn(load.free) {
		return 2 + waiting
	}
	return load.capacity.Sub(load.free).DominantShare(load.capacity) + waiting
}

// handleUnsentTaskOffer requeues a task whose offer certainly did not reach its
// owner.
func (c *Control) handleUnsentTaskOffer(_ string, m tanagermessage.TaskOffer, now time.Time) {
	c.handleOfferResponse("", tanagermessage.OfferResponse{
		Ref:    m.Ref,
		Result: tanagermessage.OfferRejected,
	}, now)
}

// removeOfferCount removes one pending offer from the counter of its owner.
func (c *Control) removeOfferCount(j *tanagerjob.Job, t *tanagerjob.Task) {
	key := newOfferKey(j, t.Owner)
	c.jobs.offerCounts[key]--
	if c.jobs.offerCounts[key] <= 0 {
		delete(c.jobs.offerCounts, key)
	}
}

// forgetOfferCounts removes the pending offers of a shard from their counters.
func (t *jobTables) forgetOfferCounts(js *jobShard) {
	for _, j := range js.table.Jobs() {
		for _, task := range j.Tasks {
			if task.State != tanagerjob.Offered {
				continue
			}
			key := newOfferKey(j, task.Owner)
			t.offerCounts[key]--
			if t.offerCounts[key] <= 0 {
				delete(t.offerCounts, key)
			}
		}
	}
}
