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
	// ended lists answered requests in the order in which they are forgotten.
	ended []*ownedRequest
	live  int
	// budget is the number of runs that may be repeated.
	budget float64
	// running counts the runs at targets by branch.
	running map[string]int
}

// serviceRow is the table row of one service.
type serviceRow struct {
	name  string
	queue *tanagerqueue.Queue[*ownedRequest]
}

// ownedRequest is the table row of one request.
type ownedRequest struct {
	spec   tanagermessage.RequestSpec
	home   string
	try    int
	queued bool
	// attempted is set once a run went unanswered.
	attempted bool
	item      *tanagerqueue.Item[*ownedRequest]
	arrived   time.Time
	deadline  time.Time
	target    *targetRow
	started   time.Time
	answer    *tanagermessage.RequestAnswer
	forgetAt  time.Time
}

func newOwnerTables() *ownerTables {
	return &ownerTables{
		services: make(map[string]*serviceRow),
		requests: make(map[string]*ownedRequest),
		budget:   retryBudgetLimit,
		running:  make(map[string]int),
	}
}

// open returns the number of requests without an answer.
func (o *ownerTables) open() int { return o.live }

// service returns the row of a service, adding it if there is none.
func (o *ownerTables) service(c *Control, name string) *serviceRow {
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

// requestPlaced takes a request from its home. A request that is known already
// is not run again: its home gets the first answer.
func (c *Control) requestPlaced(from string, m tanagermessage.RequestPlace, now time.Time) {
	if r := c.owned.requests[m.Spec.ID]; r != nil {
		r.home = from
		r.try = m.Try
		if r.answer != nil {
			c.sendAnswer(r)
		}
		return
	}
	r := &ownedRequest{
		spec:     m.Spec,
		home:     from,
		try:      m.Try,
		arrived:  now,
		deadline: now.Add(m.Spec.Timeout),
	}
	c.owned.requests[m.Spec.ID] = r
	c.owned.live++
	c.owned.budget = min(c.owned.budget+retryBudgetPart, retryBudgetLimit)
	if failure := c.admit(r, now); failure != nil {
		c.answerOwned(r, tanagermessage.RequestAnswer{
			Failure: failure,
		}, now)
	}
}

// admit puts a request into the queue of its service.
func (c *Control) admit(r *ownedRequest, now time.Time) *tanagerfailure.Failure {
	if !c.mayAct(now) || !c.ownsService(r.spec.Service) {
		return tanagerfailure.New(tanagerfailure.NoOwner, "this daemon may not use targets of "+r.spec.Service).After(c.settings.Queue.RetryFloor)
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
	service := c.owned.service(c, r.spec.Service)
	failure := service.queue.Offer(r.item, now)
	r.queued = failure == nil
	c.answerEvicted(service, now)
	return failure
}

func (c *Control) answerEvicted(s *serviceRow, now time.Time) {
	for _, item := range s.queue.Evicted() {
		c.answerOwned(item.Value, tanagermessage.RequestAnswer{
			Failure: s.queue.EvictedFailure(),
		}, now)
	}
}

// answerOwned ends a request and tells its home.
func (c *Control) answerOwned(r *ownedRequest, answer tanagermessage.RequestAnswer, now time.Time) {
	if r.answer != nil {
		return
	}
	answer.ID = r.spec.ID
	if r.attempted && answer.Failure != nil && answer.Failure.Outcome == tanagerfailure.NotRun {
		// An earlier run went unanswered, so "not run" would be a guess.
		answer.Failure = tanagerfailure.New(tanagerfailure.OutcomeUnknown, answer.Failure.Message)
	}
	r.answer = &answer
	r.queued = false
	r.spec.Body = nil
	r.forgetAt = now.Add(c.settings.RequestWindow)
	c.owned.live--
	c.owned.ended = append(c.owned.ended, r)
	c.sendAnswer(r)
}

func (c *Control) sendAnswer(r *ownedRequest) {
	answer := *r.answer
	answer.Try = r.try
	answer.Hint = c.serviceHint(r.spec.Service)
	c.send(r.home, tanagermessage.TopicRequestAnswer, answer)
}

// dispatchTargets gives waiting requests to free slots.
func (c *Control) dispatchTargets(now time.Time) {
	if !c.mayAct(now) {
		return
	}
	for _, s := range c.owned.services {
		c.dispatchService(s, now)
	}
}

func (c *Control) dispatchService(s *serviceRow, now time.Time) {
	for s.queue.Len() > 0 {
		t := c.freest(s.name, now)
		if t == nil {
			return
		}
		item, ok := s.queue.Take(now)
		if !ok {
			return
		}
		r := item.Value
		if !now.Before(r.deadline) {
			c.expireOwned(s, r, now)
			continue
		}
		c.runAt(r, t, now)
	}
}

// freest returns the target of a service with the most free slots, or nil.
func (c *Control) freest(service string, now time.Time) *targetRow {
	var chosen *targetRow
	most := 0
	for _, t := range c.fleet.targets {
		if t.vm.Service != service || c.releasing[t.shard] != "" {
			continue
		}
		if free := t.free(now); free > most {
			chosen, most = t, free
		}
	}
	return chosen
}

func (c *Control) runAt(r *ownedRequest, t *targetRow, now time.Time) {
	t.inFlight++
	c.owned.running[r.spec.Branch]++
	r.queued = false
	r.target = t
	r.started = now
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

// requestRan takes the end of a run at a target.
func (c *Control) requestRan(_ string, m tanagermessage.RequestRan, now time.Time) {
	r := c.owned.requests[m.ID]
	if r == nil || r.target == nil {
		return
	}
	t := r.target
	r.target = nil
	t.inFlight--
	c.owned.running[r.spec.Branch]--
	service := c.owned.service(c, r.spec.Service)
	service.queue.Finish(r.item, m.Ran)
	answer := tanagermessage.RequestAnswer{
		Status: m.Status,
		Body:   m.Body,
		Queued: r.started.Sub(r.arrived),
		Ran:    m.Ran,
		Target: m.Target,
	}
	switch m.End {
	case tanagermessage.RunUnreached:
		t.suspect = now.Add(suspectTime)
		answer.Failure = tanagerfailure.New(tanagerfailure.NoTarget, "target "+m.Target+" could not be reached").After(c.settings.Queue.RetryFloor)
	case tanagermessage.RunUnanswered:
		// The request may still occupy its slot.
		t.counted = false
		if c.awaitEnd(r, t, now) {
			return
		}
		answer.Failure = tanagerfailure.New(tanagerfailure.OutcomeUnknown, "target "+m.Target+" did not answer")
	case tanagermessage.RunAnswered:
		if m.Status >= 500 {
			answer.Failure = tanagerfailure.New(tanagerfailure.TargetFailed, "target "+m.Target+" answered with an error")
		}
	}
	c.answerOwned(r, answer, now)
}

// requestCancelled drops a waiting request that nobody waits for. One that runs
// goes on to its end.
func (c *Control) requestCancelled(_ string, m tanagermessage.RequestCancel, now time.Time) {
	r := c.owned.requests[m.ID]
	if r == nil || r.answer != nil || !r.queued {
		return
	}
	r.queued = false
	c.owned.service(c, r.spec.Service).queue.Cancel(r.item)
	c.answerOwned(r, tanagermessage.RequestAnswer{
		Failure: tanagerfailure.New(tanagerfailure.Cancelled, "the caller went away before the request ran"),
	}, now)
}

// sweepOwned answers waiting requests whose deadline has passed and forgets old
// answers.
func (c *Control) sweepOwned(now time.Time) {
	for _, s := range c.owned.services {
		s.queue.Expire(now, func(item *tanagerqueue.Item[*ownedRequest]) {
			c.expireOwned(s, item.Value, now)
		})
		s.queue.SetSlots(c.slots(s.name))
	}
	for _, t := range c.fleet.targets {
		c.expireEnding(t, now)
	}
	for len(c.owned.ended) > 0 && !now.Before(c.owned.ended[0].forgetAt) {
		delete(c.owned.requests, c.owned.ended[0].spec.ID)
		c.owned.ended = c.owned.ended[1:]
	}
}

func (c *Control) expireOwned(s *serviceRow, r *ownedRequest, now time.Time) {
	c.answerOwned(r, tanagermessage.RequestAnswer{
		Failure: tanagerfailure.New(tanagerfailure.DeadlinePassed, "the deadline passed while the request waited").After(s.queue.RetryAfter(r.spec.Branch, r.spec.Class)),
		Queued:  now.Sub(r.arrived),
	}, now)
}

// returnOrphans sends waiting requests back to their homes when this daemon has
// no target left that could run them.
func (o *ownerTables) returnOrphans(c *Control, now time.Time) {
	for _, s := range o.services {
		if c.ownsService(s.name) {
			continue
		}
		for item, ok := s.queue.Take(now); ok; item, ok = s.queue.Take(now) {
			c.answerOwned(item.Value, tanagermessage.RequestAnswer{
				Failure: tanagerfailure.New(tanagerfailure.NoOwner, "the service's targets have moved to another daemon").After(c.settings.Queue.RetryFloor),
			}, now)
		}
	}
}
