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

// jobTables hold the job shards that this daemon owns and the calls of its
// local callers.
type jobTables struct {
	shards map[tanagershard.Shard]*jobShard
	// calls are the calls of local callers at other daemons or here.
	calls map[uint64]jobCallRow
	// watchers wait for a job to end.
	watchers map[string][]watcher
	offers   map[offerKey]int
}

// jobCallRow is a call of a local caller that has no answer yet.
type jobCallRow struct {
	owner    string
	deadline time.Time
	kind     tanagermessage.JobCallKind
}

// watcher waits for the end of a job.
type watcher struct {
	waiter   waiter
	deadline time.Time
}

func newJobTables() *jobTables {
	return &jobTables{
		shards:   make(map[tanagershard.Shard]*jobShard),
		calls:    make(map[uint64]jobCallRow),
		watchers: make(map[string][]watcher),
		offers:   make(map[offerKey]int),
	}
}

// writing reports whether a shard's journal is being written or read.
func (t *jobTables) writing(s tanagershard.Shard) bool {
	js := t.shards[s]
	return js != nil && (js.busy || len(js.pending) > 0)
}

// jobCallTimeout bounds a caller's call beyond the time that it asks to wait.
const jobCallTimeout = 5 * time.Second

// jobWanted takes a local caller's call and sends it to the owner of the job's
// shard.
func (c *Control) jobWanted(_ string, m tanagermessage.JobWanted, now time.Time) {
	call := m.Call
	if !c.mapped() || int(call.Shard) >= len(c.shardMap.Shards) {
		c.Effects.Answer(call.Waiter, tanagermessage.JobAnswer{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner, "the shard map is not known yet").After(c.jitter(time.Second)),
		})
		return
	}
	if call.ID == "" {
		call.Shard = c.shardMap.Of(call.Branch)
	}
	owner := c.shardMap.Shards[call.Shard].Owner
	c.jobs.calls[call.Waiter] = jobCallRow{
		owner:    owner,
		deadline: now.Add(call.Wait + jobCallTimeout),
		kind:     call.Kind,
	}
	if !c.send(owner, tanagermessage.TopicJobCall, call) {
		c.jobCallUnsent(owner, call, now)
	}
}

// jobCallUnsent answers a local caller whose call certainly did not reach the
// job's owner.
func (c *Control) jobCallUnsent(_ string, call tanagermessage.JobCall, _ time.Time) {
	c.jobAnswered("", tanagermessage.JobAnswer{
		Waiter:  call.Waiter,
		Failure: tanagerfailure.New(tanagerfailure.NoOwner, "the branch's daemon cannot be reached").After(c.jitter(c.settings.Right.TTL)),
	}, time.Time{})
}

// jobAnswered gives a local caller the answer of the job's owner.
func (c *Control) jobAnswered(_ string, m tanagermessage.JobAnswer, _ time.Time) {
	if _, waiting := c.jobs.calls[m.Waiter]; !waiting {
		return
	}
	delete(c.jobs.calls, m.Waiter)
	c.Effects.Answer(m.Waiter, m)
}

// expireCalls answers local callers whose call was lost.
func (c *Control) expireCalls(now time.Time) {
	for number, row := range c.jobs.calls {
		_, live := c.members[row.owner]
		if now.Before(row.deadline) && live {
			continue
		}
		c.jobAnswered("", tanagermessage.JobAnswer{
			Waiter:  number,
			Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, "the branch's daemon did not answer: repeat the call with the same key").After(c.jitter(c.settings.Right.TTL)),
		}, now)
	}
}

// answerJob answers somebody who waits at this daemon or another.
func (c *Control) answerJob(w waiter, answer tanagermessage.JobAnswer) {
	answer.Waiter = w.number
	c.send(w.member, tanagermessage.TopicJobAnswer, answer)
}

// jobCalled serves a call as the owner of the job's shard.
func (c *Control) jobCalled(from string, call tanagermessage.JobCall, now time.Time) {
	w := waiter{
		member: from,
		number: call.Waiter,
	}
	js := c.jobs.shards[call.Shard]
	// Without a right another owner may have the shard already.
	if js == nil || !js.loaded || !c.mayAct(now) {
		c.answerJob(w, tanagermessage.JobAnswer{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner, "the branch is being taken over").After(c.jitter(time.Second)),
		})
		return
	}
	switch call.Kind {
	case tanagermessage.JobSubmit:
		c.submit(js, call, w)
	case tanagermessage.JobShow:
		c.show(js, call, w, now)
	case tanagermessage.JobCancel:
		c.cancelJob(js, call, w)
	case tanagermessage.JobList:
		c.listJobs(js, call, w)
	}
}

// submit accepts a job once it is in the journal. A repeated key gets the job
// that was accepted first.
func (c *Control) submit(js *jobShard, call tanagermessage.JobCall, w waiter) {
	if j := js.table.ByKey(call.Branch, call.Spec.Key); j != nil {
		c.answerJob(w, c.shown(j))
		return
	}
	if ch := js.findAccept(call.Branch, call.Spec.Key); ch != nil {
		ch.waiters = append(ch.waiters, w)
		return
	}
	if failure := c.checkJob(js, call); failure != nil {
		c.answerJob(w, tanagermessage.JobAnswer{
			Failure: failure,
		})
		return
	}
	js.number++
	js.write(tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       tanagerjob.ID(int(js.shard), js.epoch, js.number),
			Branch:   call.Branch,
			Spec:     *call.Spec,
			Epoch:    js.epoch,
			Accepted: c.Wall(),
		},
	}, w)
}

// findAccept returns the acceptance of a key that is being written, or nil.
func (js *jobShard) findAccept(branch, key string) *change {
	for _, list := range [][]change{js.writing, js.pending} {
		for i := range list {
			a := list[i].entry.Accept
			if a != nil && a.Branch == branch && a.Spec.Key == key {
				return &list[i]
			}
		}
	}
	return nil
}

// checkJob refuses at once what could never run or can't be kept now.
func (c *Control) checkJob(js *jobShard, call tanagermessage.JobCall) *tanagerfailure.Failure {
	rules, ok := c.config.Effective(call.Branch, c.Wall())
	switch {
	case !ok:
		return tanagerfailure.New(tanagerfailure.UnknownBranch, "branch "+call.Branch+" is not configured")
	case c.Timer.Now().Before(js.retryAt):
		return c.storeUnavailable()
	case len(js.pending) >= journalBatch:
		return tanagerfailure.New(tanagerfailure.QueueFull, "too many jobs wait to be accepted").After(c.jitter(time.Second))
	}
	if failure := call.Spec.Validate(); failure != nil {
		return failure
	}
	need := call.Spec.Resources
	if call.Spec.Kind == tanagerjob.Gang {
		need = need.Times(int64(call.Spec.Tasks))
	}
	if !withinQuota(need, rules.Quota) {
		return tanagerfailure.New(tanagerfailure.LimitExceeded, "the job asks for more than the branch's quota")
	}
	if !c.possible(*call.Spec) {
		return tanagerfailure.New(tanagerfailure.JobImpossible, "no worker, or not enough of them, could ever hold the job")
	}
	return nil
}

// withinQuota reports whether an amount is inside a quota, whose zero
// components are no bounds.
func withinQuota(v, quota tanagerresource.Vector) bool {
	bound := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return bound(v.CPU, quota.CPU) && bound(v.Memory, quota.Memory) && bound(v.Accelerators, quota.Accelerators)
}

// possible reports whether the live workers could hold a job when empty.
func (c *Control) possible(spec tanagerjob.Spec) bool {
	need := 1
	if spec.Kind == tanagerjob.Gang {
		need = spec.Tasks
	}
	for _, vm := range c.fleet.vms {
		if vm.Kind != tanagerplatform.Worker || vm.State != tanagerplatform.Live {
			continue
		}
		need -= copies(spec.Resources, vm.Capacity)
		if need <= 0 {
			return true
		}
	}
	return false
}

// copies returns how often a demand fits into a capacity.
func copies(demand, capacity tanagerresource.Vector) int {
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

func (c *Control) show(js *jobShard, call tanagermessage.JobCall, w waiter, now time.Time) {
	j := js.table.Job(call.ID)
	switch {
	case j == nil || call.Branch != "" && j.Branch != call.Branch:
		c.answerJob(w, unknownJob(call.ID))
	case j.Left() == 0 || call.Wait == 0:
		c.answerJob(w, c.shown(j))
	default:
		c.jobs.watchers[j.ID] = append(c.jobs.watchers[j.ID], watcher{
			waiter:   w,
			deadline: now.Add(call.Wait),
		})
	}
}

func unknownJob(id string) tanagermessage.JobAnswer {
	return tanagermessage.JobAnswer{
		Failure: tanagerfailure.New(tanagerfailure.UnknownJob, "job "+id+" is not known"),
	}
}

func (c *Control) shown(j *tanagerjob.Job) tanagermessage.JobAnswer {
	return tanagermessage.JobAnswer{
		Jobs: []tanagermessage.JobStatus{c.jobStatus(j)},
	}
}

func (c *Control) cancelJob(js *jobShard, call tanagermessage.JobCall, w waiter) {
	j := js.table.Job(call.ID)
	switch {
	case j == nil || call.Branch != "" && j.Branch != call.Branch:
		c.answerJob(w, unknownJob(call.ID))
	case j.Cancelled || j.Left() == 0:
		c.answerJob(w, c.shown(j))
	default:
		js.write(tanagerjob.Entry{
			Cancel: &tanagerjob.CancelEntry{
				Job: j.ID,
			},
		}, w)
	}
}

// listLimit bounds the jobs in one answer.
const listLimit = 1000

func (c *Control) listJobs(js *jobShard, call tanagermessage.JobCall, w waiter) {
	var answer tanagermessage.JobAnswer
	for _, j := range js.table.Jobs() {
		if j.Branch == call.Branch && len(answer.Jobs) < listLimit {
			answer.Jobs = append(answer.Jobs, c.jobStatus(j))
		}
	}
	c.answerJob(w, answer)
}

// jobStatus returns the public state of a job.
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
		Ended:     len(j.Tasks) - j.Left(),
		Outcome:   j.Outcome(),
	}
	for _, t := range j.Tasks {
		s.Waited = max(s.Waited, t.Waited)
		switch t.State {
		case tanagerjob.Running:
			s.Running++
		case tanagerjob.Pending, tanagerjob.Offered, tanagerjob.Uncertain:
			s.Pending++
		case tanagerjob.Ended:
		}
	}
	return s
}

// sweepJobs answers those who have waited for long enough and frees tasks whose
// time to wait after a failure has passed.
func (c *Control) sweepJobs(now time.Time) {
	c.expireCalls(now)
	for id, list := range c.jobs.watchers {
		kept := list[:0]
		for _, w := range list {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			c.answerWatcher(id, w)
		}
		c.jobs.watchers[id] = kept
		if len(kept) == 0 {
			delete(c.jobs.watchers, id)
		}
	}
	c.tendGangs(now)
}

func (c *Control) answerWatcher(id string, w watcher) {
	shard, _ := tanagerjob.ShardOf(id)
	js := c.jobs.shards[tanagershard.Shard(shard)]
	if js == nil || !js.loaded {
		c.answerJob(w.waiter, tanagermessage.JobAnswer{
			Failure: tanagerfailure.New(tanagerfailure.NoOwner, "the branch is being taken over").After(c.jitter(time.Second)),
		})
		return
	}
	if js.table.Job(id) == nil {
		c.answerJob(w.waiter, unknownJob(id))
		return
	}
	c.answerJob(w.waiter, c.shown(js.table.Job(id)))
}

// jobEnded answers all who wait for a job.
func (c *Control) jobEnded(j *tanagerjob.Job) {
	for _, w := range c.jobs.watchers[j.ID] {
		c.answerJob(w.waiter, c.shown(j))
	}
	delete(c.jobs.watchers, j.ID)
}
