package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// jobTables hold the job shards that this daemon owns and the job calls of its
// local callers.
type jobTables struct {
	shards map[tanagershard.Shard]*jobShard
	// calls are the pending calls of local callers, by waiter.
	calls map[uint64]jobCallRow
	// watchers are the callers that wait for the end of a job, by job id.
	watchers    map[string][]watcher
	offerCounts map[offerKey]int
}

// jobCallRow is a local caller's pending job call.
type jobCallRow struct {
	owner    string
	deadline time.Time
	kind     tanagermessage.JobCallKind
}

// watcher is a caller that waits for the end of a job until a deadline.
type watcher struct {
	waiter   waiter
	deadline time.Time
}

func newJobTables() *jobTables {
	return &jobTables{
		shards:      make(map[tanagershard.Shard]*jobShard),
		calls:       make(map[uint64]jobCallRow),
		watchers:    make(map[string][]watcher),
		offerCounts: make(map[offerKey]int),
	}
}

// journalBusy reports whether the journal of a shard is being read or written,
// or has entries to write.
func (t *jobTables) journalBusy(s tanagershard.Shard) bool {
	js := t.shards[s]
	return js != nil && (js.journalBusy || len(js.pending) > 0)
}

// jobCallTimeout bounds a job call beyond the time for which the caller asks to
// wait.
const jobCallTimeout = 5 * time.Second

// handleJobCallArrived sends a local caller's job call to the owner of the job's
// shard.
func (c *Control) handleJobCallArrived(_ string, m tanagermessage.JobCallArrived, now time.Time) {
	call := m.Call
	if !c.mapKnown() || int(call.Shard) >= len(c.shardMap.Shards) {
		c.Effects.Respond(call.Waiter, tanagermessage.JobResponse{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner,
				"the shard map is not known yet").WithRetryAfter(c.jitter(time.Second)),
		})
		return
	}
	if call.ID == "" {
		call.Shard = c.shardMap.ShardOf(call.Branch)
	}
	owner := c.shardMap.Shards[call.Shard].Owner
	c.jobs.calls[call.Waiter] = jobCallRow{
		owner:    owner,
		deadline: now.Add(call.MaxWait + jobCallTimeout),
		kind:     call.Kind,
	}
	if !c.send(owner, tanagermessage.TopicJobCall, call) {
		c.handleUnsentJobCall(owner, call, now)
	}
}

// handleUnsentJobCall responds to a local caller whose call certainly did not
// reach the owner of the job's shard.
func (c *Control) handleUnsentJobCall(_ string, call tanagermessage.JobCall, _ time.Time) {
	c.handleJobResponse("", tanagermessage.JobResponse{
		Waiter: call.Waiter,
		Failure: tanagerfailure.New(tanagerfailure.NoOwner,
			"the branch's daemon cannot be reached").WithRetryAfter(c.jitter(c.settings.StoreLease.TTL)),
	}, time.Time{})
}

// handleJobResponse passes the owner's response to a local caller.
func (c *Control) handleJobResponse(_ string, m tanagermessage.JobResponse, _ time.Time) {
	if _, waiting := c.jobs.calls[m.Waiter]; !waiting {
		return
	}
	delete(c.jobs.calls, m.Waiter)
	c.Effects.Respond(m.Waiter, m)
}

// expireCalls responds to local callers whose call was lost.
func (c *Control) expireCalls(now time.Time) {
	for waiterID, row := range c.jobs.calls {
		_, isMember := c.members[row.owner]
		if now.Before(row.deadline) && isMember {
			continue
		}
		c.handleJobResponse("", tanagermessage.JobResponse{
			Waiter: waiterID,
			Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown,
				"the branch's daemon did not answer: repeat the call with the same key").
				WithRetryAfter(c.jitter(c.settings.StoreLease.TTL)),
		}, now)
	}
}

// respondToJobCall responds to a waiter at this daemon or another.
func (c *Control) respondToJobCall(w waiter, response tanagermessage.JobResponse) {
	response.Waiter = w.id
	c.send(w.member, tanagermessage.TopicJobResponse, response)
}

// handleJobCall serves a job call as the owner of the job's shard.
func (c *Control) handleJobCall(from string, call tanagermessage.JobCall, now time.Time) {
	w := waiter{
		member: from,
		id:     call.Waiter,
	}
	js := c.jobs.shards[call.Shard]
	// Without a valid lease another daemon may already own the shard.
	if js == nil || !js.loaded || !c.holdsLease(now) {
		c.respondToJobCall(w, tanagermessage.JobResponse{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner,
				"the branch is being taken over").WithRetryAfter(c.jitter(time.Second)),
		})
		return
	}
	switch call.Kind {
	case tanagermessage.JobSubmit:
		c.submitJob(js, call, w)
	case tanagermessage.JobShow:
		c.showJob(js, call, w, now)
	case tanagermessage.JobCancel:
		c.cancelJob(js, call, w)
	case tanagermessage.JobList:
		c.listJobs(js, call, w)
	}
}

// submitJob accepts a job by writing it to the journal. A repeated key returns
// the job that was accepted first.
func (c *Control) submitJob(js *jobShard, call tanagermessage.JobCall, w waiter) {
	if j := js.table.ByKey(call.Branch, call.Spec.Key); j != nil {
		c.respondToJobCall(w, c.jobResponse(j))
		return
	}
	if p := js.findAccept(call.Branch, call.Spec.Key); p != nil {
		p.waiters = append(p.waiters, w)
		return
	}
	if failure := c.checkJob(js, call); failure != nil {
		c.respondToJobCall(w, tanagermessage.JobResponse{
			Failure: failure,
		})
		return
	}
	js.lastJob++
	js.queueEntry(tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       tanagerjob.ID(int(js.shard), js.epoch, js.lastJob),
			Branch:   call.Branch,
			Spec:     *call.Spec,
			Epoch:    js.epoch,
			Accepted: c.WallClock(),
		},
	}, w)
}

// findAccept returns the unwritten journal entry that accepts a job key, or
// nil.
func (js *jobShard) findAccept(branch, key string) *pendingEntry {
	for _, list := range [][]pendingEntry{js.writing, js.pending} {
		for i := range list {
			a := list[i].entry.Accept
			if a != nil && a.Branch == branch && a.Spec.Key == key {
				return &list[i]
			}
		}
	}
	return nil
}

// checkJob returns the reason to reject a submission at once, or nil: the job
// could never run, or cannot be recorded now.
func (c *Control) checkJob(js *jobShard, call tanagermessage.JobCall) *tanagerfailure.Failure {
	rules, ok := c.config.Effective(call.Branch, c.WallClock())
	switch {
	case !ok:
		return tanagerfailure.New(tanagerfailure.UnknownBranch, "branch "+call.Branch+" is not configured")
	case c.Timer.Now().Before(js.retryAt):
		return c.storeUnavailable()
	case len(js.pending) >= maxJournalBatch:
		return tanagerfailure.New(tanagerfailure.QueueFull,
			"too many jobs wait to be accepted").WithRetryAfter(c.jitter(time.Second))
	}
	if failure := call.Spec.Validate(); failure != nil {
		return failure
	}
	need := call.Spec.Resources
	if call.Spec.Kind == tanagerjob.Gang {
		need = need.Scale(int64(call.Spec.Tasks))
	}
	if !withinQuota(need, rules.Quota) {
		return tanagerfailure.New(tanagerfailure.LimitExceeded, "the job asks for more than the branch's quota")
	}
	if !c.feasible(*call.Spec) {
		return tanagerfailure.New(tanagerfailure.JobImpossible,
			"no worker, or not enough of them, could ever hold the job")
	}
	return nil
}

// withinQuota reports whether an amount is within a quota. A zero component of
// the quota is unlimited.
func withinQuota(v, quota tanagerresource.Vector) bool {
	bound := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return bound(v.CPU, quota.CPU) && bound(v.Memory, quota.Memory) && bound(v.Accelerators, quota.Accelerators)
}

// feasible reports whether the live workers could run a job if they were empty.
func (c *Control) feasible(spec tanagerjob.Spec) bool {
	need := 1
	if spec.Kind == tanagerjob.Gang {
		need = spec.Tasks
	}
	for _, vm := range c.fleet.vms {
		if vm.Kind != tanagerplatform.Worker || vm.State != tanagerplatform.Live {
			continue
		}
		need -= fitCount(spec.Resources, vm.Capacity)
		if need <= 0 {
			return true
		}
	}
	return false
}

// fitCount returns how many times a demand fits into a capacity, at most
// tanagerjob.MaxTasks.
func fitCount(demand, capacity tanagerresource.Vector) int {
	n := int64(tanagerjob.MaxTasks)
	count := func(part, whole int64) {
		if part > 0 {
			n = min(n, whole/part)
		}
	}
	count(demand.CPU, capacity.CPU)
	count(demand.Memory, capacity.Memory)
	count(demand.Accelerators, capacity.Accelerators)
	return int(n)
}

func (c *Control) showJob(js *jobShard, call tanagermessage.JobCall, w waiter, now time.Time) {
	j := js.table.Job(call.ID)
	switch {
	case j == nil || call.Branch != "" && j.Branch != call.Branch:
		c.respondToJobCall(w, unknownJob(call.ID))
	case j.Remaining() == 0 || call.MaxWait == 0:
		c.respondToJobCall(w, c.jobResponse(j))
	default:
		c.jobs.watchers[j.ID] = append(c.jobs.watchers[j.ID], watcher{
			waiter:   w,
			deadline: now.Add(call.MaxWait),
		})
	}
}

func unknownJob(id string) tanagermessage.JobResponse {
	return tanagermessage.JobResponse{
		Failure: tanagerfailure.New(tanagerfailure.UnknownJob, "job "+id+" is not known"),
	}
}

func (c *Control) jobResponse(j *tanagerjob.Job) tanagermessage.JobResponse {
	return tanagermessage.JobResponse{
		Jobs: []tanagermessage.JobStatus{c.jobStatus(j)},
	}
}

func (c *Control) cancelJob(js *jobShard, call tanagermessage.JobCall, w waiter) {
	j := js.table.Job(call.ID)
	switch {
	case j == nil || call.Branch != "" && j.Branch != call.Branch:
		c.respondToJobCall(w, unknownJob(call.ID))
	case j.Cancelled || j.Remaining() == 0:
		c.respondToJobCall(w, c.jobResponse(j))
	default:
		js.queueEntry(tanagerjob.Entry{
			Cancel: &tanagerjob.CancelEntry{
				Job: j.ID,
			},
		}, w)
	}
}

// maxListedJobs bounds the jobs in one response.
const maxListedJobs = 1000

func (c *Control) listJobs(js *jobShard, call tanagermessage.JobCall, w waiter) {
	var response tanagermessage.JobResponse
	for _, j := range js.table.Jobs() {
		if j.Branch == call.Branch && len(response.Jobs) < maxListedJobs {
			response.Jobs = append(response.Jobs, c.jobStatus(j))
		}
	}
	c.respondToJobCall(w, response)
}

// jobStatus returns the status of a job as callers see it.
func (c *Control) jobStatus(j *tanagerjob.Job) tanagermessage.JobStatus {
	s := tanagermessage.JobStatus{
		ID:        j.ID,
		Branch:    j.Branch,
		Key:       j.Spec.Key,
		Kind:      j.Spec.Kind,
		Class:     j.Spec.Class.String(),
		Accepted:  j.Accepted,
		Cancelled: j.Cancelled,
		Tasks:     len(j.Tasks),
		Ended:     len(j.Tasks) - j.Remaining(),
		Outcome:   j.Outcome(),
	}
	for _, t := range j.Tasks {
		s.MaxWait = max(s.MaxWait, t.WaitTime)
		switch t.State {
		case tanagerjob.Running:
			s.Running++
		case tanagerjob.Pending, tanagerjob.Offered, tanagerjob.Recovering:
			s.Pending++
		case tanagerjob.Ended:
		}
	}
	return s
}

// expireJobWaits responds to callers and watchers whose wait has ended, and
// continues the reservation rounds of gangs.
func (c *Control) expireJobWaits(now time.Time) {
	c.expireCalls(now)
	for id, list := range c.jobs.watchers {
		kept := list[:0]
		for _, w := range list {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			c.respondToWatcher(id, w)
		}
		c.jobs.watchers[id] = kept
		if len(kept) == 0 {
			delete(c.jobs.watchers, id)
		}
	}
	c.advanceGangs(now)
}

func (c *Control) respondToWatcher(id string, w watcher) {
	shard, _ := tanagerjob.ShardOf(id)
	js := c.jobs.shards[tanagershard.Shard(shard)]
	if js == nil || !js.loaded {
		c.respondToJobCall(w.waiter, tanagermessage.JobResponse{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner,
				"the branch is being taken over").WithRetryAfter(c.jitter(time.Second)),
		})
		return
	}
	if js.table.Job(id) == nil {
		c.respondToJobCall(w.waiter, unknownJob(id))
		return
	}
	c.respondToJobCall(w.waiter, c.jobResponse(js.table.Job(id)))
}

// jobEnded responds to all watchers of a job.
func (c *Control) jobEnded(j *tanagerjob.Job) {
	for _, w := range c.jobs.watchers[j.ID] {
		c.respondToJobCall(w.waiter, c.jobResponse(j))
	}
	delete(c.jobs.watchers, j.ID)
}
