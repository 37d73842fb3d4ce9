package tanagerdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// adviceState is what a step knows of the workers that it may run on. The
// approval of a worker is permanent, but its ticket expires.
type adviceState struct {
	// queried holds the workers that advice was requested for. A worker that is
	// forgotten and returns under its id is another one.
	queried  map[*worker]bool
	approved []*worker
	tickets  map[string]workerTicket
	// ticketsValidUntil is when the last ticket expires.
	ticketsValidUntil time.Time
	// callDeadline is set while a call is in flight. After it the response counts
	// as lost, and the step may call again.
	callDeadline time.Time
	// calledAt is when the last call was issued.
	calledAt time.Time
	// notBefore delays the next call after one that failed or approved nothing.
	notBefore time.Time
	// failedCalls counts the calls that failed since one was answered.
	failedCalls int
}

// workerTicket permits starts on one incarnation of a worker.
type workerTicket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

func (a *adviceState) callInFlight(now time.Time) bool { return now.Before(a.callDeadline) }

const (
	// ticketTransitMargin is the part of a ticket's lifetime that is reserved for
	// the transfer of the start to the worker.
	ticketTransitMargin = 60 * time.Millisecond
	// adviceRetryDelay is the pause after a failed call for advice. It doubles with
	// each further failure, up to maxAdviceRetryDelay.
	adviceRetryDelay    = 100 * time.Millisecond
	maxAdviceRetryDelay = 2 * time.Second
	// Calls that are expected to take longCallThreshold or longer may not use the
	// advisers that are reserved for short calls, such as those of urgent queues.
	longCallThreshold = 120 * time.Millisecond
	// adviceOversampling is the ratio of the workers asked about to the workers
	// that a step needs.
	adviceOversampling = 2
	// averageWeight is the weight of a new observation in moving averages.
	averageWeight = 0.1
)

// allowsStart reports whether advice allows starts: the queue needs none, or
// there may be valid tickets.
func (a *adviceState) allowsStart(now time.Time, q *queue) bool {
	return q.config.Advice == nil || a.mayHoldTickets(now)
}

// mayHoldTickets reports whether a ticket may be valid.
func (a *adviceState) mayHoldTickets(now time.Time) bool { return now.Before(a.ticketsValidUntil) }

// ticket returns the valid ticket for a worker, or "".
func (a *adviceState) ticket(w *worker, now time.Time) string {
	t := a.tickets[w.id]
	if t.incarnation != w.incarnation || !now.Before(t.validUntil) {
		return ""
	}
	return t.value
}

// discardTicket removes a ticket that its worker has rejected.
func (a *adviceState) discardTicket(w *worker) { delete(a.tickets, w.id) }

// adviser is a daemon that forwards calls to the advice service. The service
// handles one call of each daemon at a time.
type adviser struct {
	name string
	// busyUntil is when the response to the call in flight counts as lost.
	busyUntil time.Time
	// shortCallsOnly advisers are reserved for calls shorter than
	// longCallThreshold.
	shortCallsOnly bool
}

// AdviceOrder asks an adviser which workers may run a step. Its result is passed
// to Cell.HandleAdviceResponse.
type AdviceOrder struct {
	Adviser  string
	Step     tanagerwork.StepName
	Workers  []string
	Expected time.Duration
}

// adviceCallMargin is how much longer than expected a call for advice may take,
// for the transfer through the adviser and a queue at the service.
const adviceCallMargin = 1500 * time.Millisecond

// SetAdvisers sets the daemons that can call the advice service. It sorts names.
func (c *Cell) SetAdvisers(names []string) {
	next := make([]*adviser, 0, len(names))
	slices.Sort(names)
	for i, name := range names {
		a := c.findAdviser(name)
		if a == nil {
			a = &adviser{name: name}
		}
		a.shortCallsOnly = i < shortCallAdvisers(len(names))
		next = append(next, a)
	}
	c.advisers = next
}

func (c *Cell) findAdviser(name string) *adviser {
	for _, a := range c.advisers {
		if a.name == name {
			return a
		}
	}
	return nil
}

// shortCallAdvisers returns how many of n advisers are reserved for short calls:
// about a quarter, but none if there is only one.
func shortCallAdvisers(n int) int { return (n + 2) / 4 }

// needsAdvice reports whether a step lacks only advice to use a worker with free
// capacity. It keeps load off the advice service for tasks that could not be
// placed anyway.
func (c *Cell) needsAdvice(s *step) bool {
	if !c.canRequestAdvice(s) {
		return false
	}
	demand := s.spec.Allocation()
	for _, w := range c.usableWorkers {
		if !demand.FitsIn(w.free) || !c.matchesConstraints(w, s) ||
			c.remainingSpread(s, w) < 1 || c.blockedByReservation(w, s) {
			continue
		}
		if !s.advice.queried[w] || s.advice.isApproved(w) && s.advice.ticket(w, c.now) == "" {
			return true
		}
	}
	return false
}

// canRequestAdvice reports whether the step needs advice and a call may be made
// now.
func (c *Cell) canRequestAdvice(s *step) bool {
	return s.job.queue.config.Advice != nil && !s.advice.callInFlight(c.now) && !c.now.Before(s.advice.notBefore)
}

func (a *adviceState) isApproved(w *worker) bool { return slices.Contains(a.approved, w) }

// sortAdviceTurns sorts steps by rank, but expired ones by their last call for
// advice, so that those that ask again and again let the others ask too.
func sortAdviceTurns(steps []*step) {
	slices.SortStableFunc(steps, func(a, b *step) int {
		if a.rank.tier == tierExpired && b.rank.tier == tierExpired {
			return a.advice.calledAt.Compare(b.advice.calledAt)
		}
		return a.rank.compare(b.rank)
	})
}

// requestAdvice issues calls for steps while advisers are free.
func (c *Cell) requestAdvice(steps []*step) {
	sortAdviceTurns(steps)
	for _, s := range steps {
		if c.freeAdviser(s.job.queue.config.Advice.DecisionTime) == nil {
			if c.freeAdviser(0) == nil {
				return
			}
			continue
		}
		names := c.adviceWorkers(s)
		if len(names) == 0 {
			continue
		}
		policy := s.job.queue.config.Advice
		expected := policy.DecisionTime + time.Duration(len(names))*policy.TimePerWorker
		a := c.freeAdviser(expected)
		if a == nil {
			continue
		}
		a.busyUntil = c.now.Add(expected + adviceCallMargin)
		s.advice.callDeadline = a.busyUntil
		s.advice.calledAt = c.now
		c.counters.AdviceCalls++
		c.orders.Advice = append(c.orders.Advice, AdviceOrder{
			Adviser:  a.name,
			Step:     s.name,
			Workers:  names,
			Expected: expected,
		})
	}
}

// freeAdviser returns an adviser that is free for a call of the expected
// duration, or nil.
func (c *Cell) freeAdviser(expected time.Duration) *adviser {
	for _, a := range c.advisers {
		if c.now.After(a.busyUntil) && (!a.shortCallsOnly || expected < longCallThreshold) {
			return a
		}
	}
	return nil
}

// adviceWorkers chooses the workers to ask about. A gang with reserved capacity
// needs tickets for exactly those workers, other steps for the approved workers
// with free capacity. Otherwise it chooses workers that were not asked about yet,
// those with the most free capacity first. It returns no names if no call is to
// be made now.
func (c *Cell) adviceWorkers(s *step) []string {
	if !s.spec.Gang || s.gang.availability == availableNow {
		if known := c.approvedWithoutTicket(s); len(known) > 0 {
			return known
		}
	}
	policy := s.job.queue.config.Advice
	if c.freeAdviser(policy.DecisionTime+
		time.Duration(min(c.minAdviceWorkers(s), len(c.usableWorkers)))*policy.TimePerWorker) == nil {
		return nil
	}
	var found []candidate
	for _, w := range c.usableWorkers {
		if c.matchesConstraints(w, s) && !s.advice.queried[w] {
			found = append(found, candidate{
				worker:    w,
				taskCount: c.taskCapacity(s, w),
			})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.taskCount, a.taskCount),
			cmp.Compare(b.worker.free.MilliCPU, a.worker.free.MilliCPU),
			cmp.Compare(a.worker.id, b.worker.id),
		)
	})
	names := make([]string, 0, len(found))
	for _, k := range found[:min(len(found), c.adviceWorkerCount(s, found))] {
		names = append(names, k.worker.id)
	}
	return names
}

// approvedWithoutTicket returns the approved workers that the step could use now
// if it had tickets for them.
func (c *Cell) approvedWithoutTicket(s *step) []string {
	var names []string
	demand := s.spec.Allocation()
	for _, w := range s.advice.approved {
		if !w.usable || !c.matchesConstraints(w, s) || s.advice.ticket(w, c.now) != "" ||
			len(names) == tanagerport.MaxAdviceWorkers {
			continue
		}
		if s.spec.Gang && w.reservedFor != s || !demand.FitsIn(w.free) || c.blockedByReservation(w, s) {
			continue
		}
		names = append(names, w.id)
	}
	return names
}

// minAdviceWorkers returns the least number of workers to ask about, if there are
// so many. For single tasks it keeps the call short. A gang needs capacity on
// several workers at the same time and therefore the widest choice that one call
// allows.
func (c *Cell) minAdviceWorkers(s *step) int {
	policy := s.job.queue.config.Advice
	if policy.TimePerWorker == 0 || s.spec.Gang {
		return tanagerport.MaxAdviceWorkers
	}
	return int(policy.DecisionTime / policy.TimePerWorker)
}

// adviceWorkerCount returns how many of the workers in found to ask about.
func (c *Cell) adviceWorkerCount(s *step, found []candidate) int {
	maxTasks := 1
	if len(found) > 0 {
		maxTasks = max(found[0].taskCount, 1)
	}
	needed := float64(len(s.tasks)) / float64(maxTasks) / s.job.queue.approvedShare
	return min(max(c.minAdviceWorkers(s), int(math.Ceil(adviceOversampling*needed))), tanagerport.MaxAdviceWorkers)
}

// retryDelay returns the pause after a call that failed.
func (a *adviceState) retryDelay() time.Duration {
	delay := adviceRetryDelay
	for i := 0; i < a.failedCalls && delay < maxAdviceRetryDelay; i++ {
		delay *= 2
	}
	return min(delay, maxAdviceRetryDelay)
}

// HandleAdviceResponse applies the result of a call for advice that was issued at
// askedAt.
func (c *Cell) HandleAdviceResponse(now time.Time, order AdviceOrder, askedAt time.Time,
	advice tanagerport.Advice, err error) {
	c.now = now
	if a := c.findAdviser(order.Adviser); a != nil {
		a.busyUntil = time.Time{}
	}
	j := c.jobs[order.Step.Job]
	if j == nil {
		return
	}
	s := j.step(order.Step.Occurrence, order.Step.Step)
	if s == nil || s.unfinishedTasks == 0 || j.state.Final() {
		return
	}
	s.advice.callDeadline = time.Time{}
	if err != nil {
		s.advice.notBefore = now.Add(s.advice.retryDelay())
		s.advice.failedCalls++
		c.logAdvice(s, errorKind(err), now.Sub(askedAt))
		return
	}
	s.advice.failedCalls = 0
	c.logAdvice(s, "answered", now.Sub(askedAt))
	c.applyAdvice(s, order.Workers, advice)
}

func (c *Cell) applyAdvice(s *step, asked []string, advice tanagerport.Advice) {
	a := &s.advice
	first := a.queried == nil
	if first {
		a.queried = make(map[*worker]bool)
		a.tickets = make(map[string]workerTicket)
	}
	a.ticketsValidUntil = c.now.Add(advice.Valid - ticketTransitMargin)
	for _, id := range asked {
		w := c.workers[id]
		if w == nil {
			continue
		}
		a.queried[w] = true
		ticket := advice.Tickets[id]
		if ticket == "" {
			continue
		}
		if !a.isApproved(w) {
			a.approved = append(a.approved, w)
		}
		a.tickets[id] = workerTicket{
			value:       ticket,
			incarnation: w.incarnation,
			validUntil:  a.ticketsValidUntil,
		}
	}
	s.blockedVersion = 0
	if s.gang.availability != availableNow {
		c.dropReservation(s)
	}
	if first && len(asked) > 0 {
		q := s.job.queue
		share := float64(len(advice.Tickets)) / float64(len(asked))
		q.approvedShare = max((1-averageWeight)*q.approvedShare+averageWeight*share, minApprovedShare)
	}
	if len(advice.Tickets) == 0 {
		a.notBefore = c.now.Add(adviceRetryDelay)
	}
}

// minApprovedShare is a lower bound of approvedShare, so that a step does not ask
// about the whole fleet.
const minApprovedShare = 0.05

func (c *Cell) logAdvice(s *step, reason string, age time.Duration) {
	c.logEvent(LogEvent{
		Name:   "advice",
		Job:    s.job.record.ID,
		Queue:  s.job.record.Queue,
		Reason: reason,
		Age:    age,
	})
}
