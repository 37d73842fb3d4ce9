package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanagerd/tanagermessage"
)

// offerKey counts the offers that wait at an owner of workers, apart for urgent
// work, so that a branch's batch work can't hold up its urgent work.
type offerKey struct {
	owner  string
	branch string
	urgent bool
}

// attemptsPerEpoch separates the attempt numbers of successive owners.
const attemptsPerEpoch = 1 << 20

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
	if c.impossibleEverywhere(t) {
		// Larger workers may come; until then the task holds up nobody.
		t.Impossible = nil
		t.NotBefore = now.Add(c.jitter(impossiblePause))
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

// impossibleEverywhere reports whether no owner has a worker that could hold a
// task.
func (c *Control) impossibleEverywhere(t *tanagerjob.Task) bool {
	if len(t.Impossible) == 0 {
		return false
	}
	for _, owner := range c.fleet.workerOwners {
		if !slices.Contains(t.Impossible, owner) {
			return false
		}
	}
	return true
}

// offerTo offers a task to an owner.
func (c *Control) offerTo(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, owner string, now time.Time) {
	js.set(j, t, tanagerjob.Offered)
	t.Owner = owner
	t.Attempt = nextAttempt(js.epoch, t.Attempt)
	c.jobs.offers[offerOf(j, owner)]++
	c.countOffered(owner, j.Spec.Resources)
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

// chooseWorkerOwner picks an owner of workers by the part of them that is free.
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
	return c.lightest(open, func(owner string) float64 { return c.offerLoad(owner, j) }), true
}

// countOffered corrects the last hint by what was offered since.
func (c *Control) countOffered(owner string, r tanagerresource.Vector) {
	if h, known := c.hints[owner]; known {
		h.free = h.free.Minus(r)
		c.hints[owner] = h
	}
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

// offerEnded counts an offer less at its owner.
func (c *Control) offerEnded(j *tanagerjob.Job, t *tanagerjob.Task) {
	key := offerOf(j, t.Owner)
	c.jobs.offers[key]--
	if c.jobs.offers[key] <= 0 {
		delete(c.jobs.offers, key)
	}
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
