package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanagerd/tanagermessage"
)

// ownerTables hold the requests that this daemon serves as an owner of targets.
type ownerTables struct {
	services map[string]*serviceRow
	requests map[string]*ownedRequest
	// finished are the requests with a result, in the order in which they are
	// forgotten.
	finished []*ownedRequest
	pending  int
	// retryBudget is the number of runs that may be retried.
	retryBudget float64
	// runningByBranch counts the requests running on targets by branch.
	runningByBranch map[string]int
}

// serviceRow is the state of one service.
type serviceRow struct {
	name  string
	queue *tanagerqueue.Queue[*ownedRequest]
}

// ownedRequest is the state of one request at the owner of its targets.
type ownedRequest struct {
	spec        tanagermessage.RequestSpec
	coordinator string
	attempt     int
	queued      bool
	// mayHaveRun is set once the outcome of a run was unknown.
	mayHaveRun bool
	item       *tanagerqueue.Item[*ownedRequest]
	arrivedAt  time.Time
	deadline   time.Time
	target     *targetRow
	startedAt  time.Time
	result     *tanagermessage.RequestResult
	forgetAt   time.Time
}

func newOwnerTables() *ownerTables {
	return &ownerTables{
		services:        make(map[string]*serviceRow),
		requests:        make(map[string]*ownedRequest),
		retryBudget:     maxRetryBudget,
		runningByBranch: make(map[string]int),
	}
}

// pendingCount returns the number of requests without a result.
func (o *ownerTables) pendingCount() int { return o.pending }

// ensureService returns the row of a service and adds it if there is none.
func (o *ownerTables) ensureService(c *Control, name string) *serviceRow {
	s := o.services[name]
	if s == nil {
		s = &serviceRow{
			name:  name,
			queue: tanagerqueue.New[*ownedRequest](c.settings.Queue, c.Random),
		}
		o.services[name] = s
		c.applyQueueRules(s)
	}
	return s
}

// handleRequestDispatch accepts a request from its coordinator. A request that
// is already known is not run again: its coordinator receives the first result.
func (c *Control) handleRequestDispatch(from string, m tanagermessage.RequestDispatch, now time.Time) {
	if r := c.owned.requests[m.Spec.ID]; r != nil {
		r.coordinator = from
		r.attempt = m.Attempt
		if r.result != nil {
			c.sendResult(r)
		}
		return
	}
	r := &ownedRequest{
		spec:        m.Spec,
		coordinator: from,
		attempt:     m.Attempt,
		arrivedAt:   now,
		deadline:    now.Add(m.Spec.Timeout),
	}
	c.owned.requests[m.Spec.ID] = r
	c.owned.pending++
	c.owned.retryBudget = min(c.owned.retryBudget+retryBudgetPerRequest, maxRetryBudget)
	if failure := c.admit(r, now); failure != nil {
		c.finishOwned(r, tanagermessage.RequestResult{
			Failure: failure,
		}, now)
	}
}

// admit puts a request into the queue of its service, or returns the reason to
// reject it.
func (c *Control) admit(r *ownedRequest, now time.Time) *tanagerfailure.Failure {
	if !c.holdsLease(now) || !c.ownsService(r.spec.Service) {
		return tanagerfailure.New(tanagerfailure.NoOwner,
			"this daemon may not use targets of "+r.spec.Service).WithRetryAfter(c.settings.Queue.MinRetryAfter)
	}
	if _, known := c.config.Branches[r.spec.Branch]; !known {
		return tanagerfailure.New(tanagerfailure.UnknownBranch, "branch "+r.spec.Branch+" is not configured")
	}
	r.item = &tanagerqueue.Item[*ownedRequest]{
		Branch:   r.spec.Branch,
		Class:    r.spec.Class,
		Deadline: r.deadline,
		Value:    r,
	}
	service := c.owned.ensureService(c, r.spec.Service)
	failure := service.queue.Offer(r.item, now)
	r.queued = failure == nil
	c.finishEvicted(service, now)
	return failure
}

func (c *Control) finishEvicted(s *serviceRow, now time.Time) {
	for _, item := range s.queue.TakeEvicted() {
		c.finishOwned(item.Value, tanagermessage.RequestResult{
			Failure: s.queue.EvictionFailure(),
		}, now)
	}
}

// finishOwned records the result of a request and sends it to the coordinator.
func (c *Control) finishOwned(r *ownedRequest, result tanagermessage.RequestResult, now time.Time) {
	if r.result != nil {
		return
	}
	result.ID = r.spec.ID
	if r.mayHaveRun && result.Failure != nil && result.Failure.Outcome == tanagerfailure.NotRun {
		// The outcome of an earlier run is unknown, so the request may have run.
		result.Failure = tanagerfailure.New(tanagerfailure.OutcomeUnknown, result.Failure.Message)
	}
	r.result = &result
	r.queued = false
	r.spec.Body = nil
	r.forgetAt = now.Add(c.settings.RequestIDWindow)
	c.owned.pending--
	c.owned.finished = append(c.owned.finished, r)
	c.sendResult(r)
}

func (c *Control) sendResult(r *ownedRequest) {
	result := *r.result
	result.Attempt = r.attempt
	result.Load = c.serviceLoad(r.spec.Service)
	c.send(r.coordinator, tanagermessage.TopicRequestResult, result)
}

// dispatchRequests sends queued requests to targets with free slots.
func (c *Control) dispatchRequests(now time.Time) {
	if !c.holdsLease(now) {
		return
	}
	for _, s := range c.owned.services {
		c.dispatchService(s, now)
	}
}

func (c *Control) dispatchService(s *serviceRow, now time.Time) {
	for s.queue.Len() > 0 {
		t := c.targetWithMostFreeSlots(s.name, now)
		if t == nil {
			return
		}
		item, ok := s.queue.Take(now)
		if !ok {
			return
		}
		r := item.Value
		if !now.Before(r.deadline) {
			c.finishExpired(s, r, now)
			continue
		}
		c.runOnTarget(r, t, now)
	}
}

// targetWithMostFreeSlots returns the target of a service with the most free
// slots, or nil if there is none.
func (c *Control) targetWithMostFreeSlots(service string, now time.Time) *targetRow {
	var chosen *targetRow
	most := 0
	for _, t := range c.fleet.targets {
		if t.vm.Service != service || c.releasing[t.shard] != "" {
			continue
		}
		if free := t.freeSlots(now); free > most {
			chosen, most = t, free
		}
	}
	return chosen
}

func (c *Control) runOnTarget(r *ownedRequest, t *targetRow, now time.Time) {
	t.inFlight++
	c.owned.runningByBranch[r.spec.Branch]++
	r.queued = false
	r.target = t
	r.startedAt = now
	c.Effects.Run(RunOrder{
		Target:  t.vm.Name,
		Address: t.vm.Address,
		Call: tanagerplatform.RunCall{
			ID:         r.spec.ID,
			Idempotent: r.spec.Idempotent,
			Path:       r.spec.Path,
			Body:       r.spec.Body,
		},
		Timeout: r.deadline.Sub(now),
	})
}

func (c *Control) handleRunFinished(_ string, m tanagermessage.RunFinished, now time.Time) {
	r := c.owned.requests[m.ID]
	if r == nil || r.target == nil {
		return
	}
	t := r.target
	r.target = nil
	t.inFlight--
	c.owned.runningByBranch[r.spec.Branch]--
	service := c.owned.ensureService(c, r.spec.Service)
	service.queue.Finish(r.item, m.Duration)
	result := tanagermessage.RequestResult{
		Status:    m.Status,
		Body:      m.Body,
		QueueTime: r.startedAt.Sub(r.arrivedAt),
		RunTime:   m.Duration,
		Target:    m.Target,
	}
	switch m.Outcome {
	case tanagermessage.RunNotSent:
		t.suspectedUntil = now.Add(suspectDuration)
		result.Failure = tanagerfailure.New(tanagerfailure.NoTarget,
			"target "+m.Target+" could not be reached").WithRetryAfter(c.settings.Queue.MinRetryAfter)
	case tanagermessage.RunOutcomeUnknown:
		// The request may still occupy its slot.
		t.orphansKnown = false
		if c.deferRetry(r, t, now) {
			return
		}
		result.Failure = tanagerfailure.New(tanagerfailure.OutcomeUnknown, "target "+m.Target+" did not answer")
	case tanagermessage.RunCompleted:
		if m.Status >= 500 {
			result.Failure = tanagerfailure.New(tanagerfailure.TargetFailed,
				"target "+m.Target+" answered with an error")
		}
	}
	c.finishOwned(r, result, now)
}

// handleRequestCancel drops a queued request whose caller went away. A running
// request runs to its end.
func (c *Control) handleRequestCancel(_ string, m tanagermessage.RequestCancel, now time.Time) {
	r := c.owned.requests[m.ID]
	if r == nil || r.result != nil || !r.queued {
		return
	}
	r.queued = false
	c.owned.ensureService(c, r.spec.Service).queue.Cancel(r.item)
	c.finishOwned(r, tanagermessage.RequestResult{
		Failure: tanagerfailure.New(tanagerfailure.Cancelled, "the caller went away before the request ran"),
	}, now)
}

// expireOwnedRequests finishes queued requests whose deadline has passed and
// forgets old results.
func (c *Control) expireOwnedRequests(now time.Time) {
	for _, s := range c.owned.services {
		s.queue.Expire(now, func(item *tanagerqueue.Item[*ownedRequest]) {
			c.finishExpired(s, item.Value, now)
		})
		s.queue.SetSlots(c.usableSlots(s.name))
	}
	for _, t := range c.fleet.targets {
		c.expireDeferred(t, now)
	}
	for len(c.owned.finished) > 0 && !now.Before(c.owned.finished[0].forgetAt) {
		delete(c.owned.requests, c.owned.finished[0].spec.ID)
		c.owned.finished = c.owned.finished[1:]
	}
}

func (c *Control) finishExpired(s *serviceRow, r *ownedRequest, now time.Time) {
	c.finishOwned(r, tanagermessage.RequestResult{
		Failure: tanagerfailure.New(tanagerfailure.DeadlinePassed,
			"the deadline passed while the request waited").WithRetryAfter(s.queue.RetryAfter(r.spec.Branch, r.spec.Class)),
		QueueTime: now.Sub(r.arrivedAt),
	}, now)
}

// rejectUnservable returns queued requests to their coordinators when this
// daemon has no target left that could run them.
func (o *ownerTables) rejectUnservable(c *Control, now time.Time) {
	for _, s := range o.services {
		if c.ownsService(s.name) {
			continue
		}
		for item, ok := s.queue.Take(now); ok; item, ok = s.queue.Take(now) {
			c.finishOwned(item.Value, tanagermessage.RequestResult{
				Failure: tanagerfailure.New(tanagerfailure.NoOwner,
					"the service's targets have moved to another daemon").WithRetryAfter(c.settings.Queue.MinRetryAfter),
			}, now)
		}
	}
}
