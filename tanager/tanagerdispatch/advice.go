package tanagerdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// adviceState is what a step knows of the workers that it may run on. Which
// workers are good never changes; tickets expire.
type adviceState struct {
	asked  map[string]bool
	good   []*worker
	grants map[string]grant
	// until is when the last ticket expires.
	until time.Time
	// askingUntil is set while a call is under way: after it, the answer counts
	// as lost with its adviser.
	askingUntil time.Time
	notBefore   time.Time
}

// grant is a ticket for one life of a worker.
type grant struct {
	ticket string
	life   int64
	until  time.Time
}

func (a *adviceState) asking(now time.Time) bool { return now.Before(a.askingUntil) }

const (
	// ticketMargin is the part of a ticket's time that is left for the start's
	// way to the worker.
	ticketMargin = 60 * time.Millisecond
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 100 * time.Millisecond
	// longCall separates the calls for advice that must not keep all advisers
	// from the short ones of urgent queues.
	longCall = 120 * time.Millisecond
	// askFactor is how many times the workers that a step needs are asked about.
	askFactor = 2
	// learnWeight is the weight of a new observation in running averages.
	learnWeight = 0.1
)

// permits reports whether tasks may be started as far as advice goes.
func (a *adviceState) permits(now time.Time, q *queue) bool {
	return q.config.Advice == nil || now.Before(a.until)
}

// ticket returns the valid ticket for a worker, empty if there is none.
func (a *adviceState) ticket(w *worker, now time.Time) string {
	g := a.grants[w.id]
	if g.life != w.life || !now.Before(g.until) {
		return ""
	}
	return g.ticket
}

// forget drops the ticket that a worker has rejected.
func (a *adviceState) forget(w *worker) { delete(a.grants, w.id) }

// adviser is a daemon that can call the advice service, which takes the calls of
// one daemon one at a time.
type adviser struct {
	name string
	// busyUntil is when the answer to the present call counts as lost.
	busyUntil time.Time
	// short advisers are kept for short calls.
	short bool
}

// AdviceOrder is to be answered by AdviceAnswered.
type AdviceOrder struct {
	Adviser  string
	Step     tanagerwork.StepName
	Workers  []string
	Expected time.Duration
}

// adviceGrace is how much longer than expected a call for advice may take: its
// way through the adviser and a queue at the service.
const adviceGrace = 1500 * time.Millisecond

// SetAdvisers tells which daemons can ask for advice.
func (c *Cell) SetAdvisers(names []string) {
	next := make([]*adviser, 0, len(names))
	slices.Sort(names)
	for i, name := range names {
		a := c.adviser(name)
		if a == nil {
			a = &adviser{name: name}
		}
		a.short = i < shortLanes(len(names))
		next = append(next, a)
	}
	c.advisers = next
}

func (c *Cell) adviser(name string) *adviser {
	for _, a := range c.advisers {
		if a.name == name {
			return a
		}
	}
	return nil
}

// shortLanes is the number of advisers that are kept for short calls: a quarter,
// but none if there is only one.
func shortLanes(n int) int { return (n + 2) / 4 }

// wantsAdvice reports whether it is time to ask which workers a step's tasks may
// use. It keeps the advice service from being asked for tasks that find no room.
func (c *Cell) wantsAdvice(s *step) bool {
	if !c.mayAsk(s) {
		return false
	}
	held := s.spec.Held()
	for _, w := range c.usable {
		if !held.Within(w.free) || !c.suits(w, s) || c.spreadLeft(s, w) < 1 || c.reserved(w, s) {
			continue
		}
		if !s.advice.asked[w.id] || s.advice.isGood(w) && s.advice.ticket(w, c.now) == "" {
			return true
		}
	}
	return false
}

func (c *Cell) mayAsk(s *step) bool {
	return s.job.queue.config.Advice != nil && !s.advice.asking(c.now) && !c.now.Before(s.advice.notBefore)
}

func (a *adviceState) isGood(w *worker) bool { return slices.Contains(a.good, w) }

// ask hands steps to free advisers, in order of rank.
func (c *Cell) ask(steps []*step) {
	for _, s := range steps {
		if c.freeAdviser(s.job.queue.config.Advice.Decision) == nil {
			if c.freeAdviser(0) == nil {
				return
			}
			continue
		}
		names := c.adviceNames(s)
		if len(names) == 0 {
			continue
		}
		policy := s.job.queue.config.Advice
		expected := policy.Decision + time.Duration(len(names))*policy.Each
		a := c.freeAdviser(expected)
		if a == nil {
			continue
		}
		a.busyUntil = c.now.Add(expected + adviceGrace)
		s.advice.askingUntil = a.busyUntil
		c.counters.AdviceCalls++
		c.out.Advice = append(c.out.Advice, AdviceOrder{
			Adviser:  a.name,
			Step:     s.name,
			Workers:  names,
			Expected: expected,
		})
	}
}

func (c *Cell) freeAdviser(expected time.Duration) *adviser {
	for _, a := range c.advisers {
		if c.now.After(a.busyUntil) && (!a.short || expected < longCall) {
			return a
		}
	}
	return nil
}

// adviceNames chooses the workers to ask about. A gang that room is kept for
// needs tickets for just those workers, other tasks for the good workers with
// room. Where these do not suffice, workers that were not asked about yet are
// named, those with most room first.
func (c *Cell) adviceNames(s *step) []string {
	if !s.spec.Gang || s.gang.room == roomNow {
		if known := c.goodNames(s); len(known) > 0 {
			return known
		}
	}
	policy := s.job.queue.config.Advice
	if c.freeAdviser(policy.Decision+time.Duration(min(c.leastWidth(s), len(c.usable)))*policy.Each) == nil {
		return nil
	}
	var found []candidate
	for _, w := range c.usable {
		if c.suits(w, s) && !s.advice.asked[w.id] {
			found = append(found, candidate{
				worker: w,
				copies: c.copies(s, w),
			})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(b.worker.free.MilliCPU, a.worker.free.MilliCPU), cmp.Compare(a.worker.id, b.worker.id))
	})
	names := make([]string, 0, len(found))
	for _, k := range found[:min(len(found), c.adviceWidth(s, found))] {
		names = append(names, k.worker.id)
	}
	return names
}

// goodNames returns the good workers that the step can use now and has no ticket
// for.
func (c *Cell) goodNames(s *step) []string {
	var names []string
	held := s.spec.Held()
	for _, w := range s.advice.good {
		if !w.usable || !c.suits(w, s) || s.advice.ticket(w, c.now) != "" || len(names) == tanagerport.MaxAdviceWorkers {
			continue
		}
		if s.spec.Gang && w.reservedFor != s || !held.Within(w.free) || c.reserved(w, s) {
			continue
		}
		names = append(names, w.id)
	}
	return names
}

// leastWidth is how many workers a call names at least, if there are so many. For
// single tasks it keeps the call short; a gang needs room at one moment, so a choice
// that is as wide as one call allows.
func (c *Cell) leastWidth(s *step) int {
	policy := s.job.queue.config.Advice
	if policy.Each == 0 || s.spec.Gang {
		return tanagerport.MaxAdviceWorkers
	}
	return int(policy.Decision / policy.Each)
}

// adviceWidth returns how many of the workers that were found to ask about.
func (c *Cell) adviceWidth(s *step, found []candidate) int {
	most := 1
	if len(found) > 0 {
		most = max(found[0].copies, 1)
	}
	needed := float64(len(s.tasks)) / float64(most) / s.job.queue.goodShare
	return min(max(c.leastWidth(s), int(math.Ceil(askFactor*needed))), tanagerport.MaxAdviceWorkers)
}

// AdviceAnswered applies the answer to a call for advice.
func (c *Cell) AdviceAnswered(now time.Time, order AdviceOrder, asked time.Time, advice tanagerport.Advice, err error) {
	c.now = now
	if a := c.adviser(order.Adviser); a != nil {
		a.busyUntil = time.Time{}
	}
	j := c.jobs[order.Step.Job]
	if j == nil {
		return
	}
	s := j.step(order.Step.Occurrence, order.Step.Step)
	if s == nil {
		return
	}
	s.advice.askingUntil = time.Time{}
	if err != nil {
		s.advice.notBefore = now.Add(adviceRetry)
		c.noteAdvice(s, kindOf(err), now.Sub(asked))
		return
	}
	c.noteAdvice(s, "answered", now.Sub(asked))
	c.applyAdvice(s, order.Workers, advice)
}

func (c *Cell) applyAdvice(s *step, asked []string, advice tanagerport.Advice) {
	a := &s.advice
	first := a.asked == nil
	if first {
		a.asked = make(map[string]bool)
		a.grants = make(map[string]grant)
	}
	a.until = c.now.Add(advice.Valid - ticketMargin)
	for _, id := range asked {
		a.asked[id] = true
		w := c.workers[id]
		ticket := advice.Tickets[id]
		if w == nil || ticket == "" {
			continue
		}
		if !a.isGood(w) {
			a.good = append(a.good, w)
		}
		a.grants[id] = grant{
			ticket: ticket,
			life:   w.life,
			until:  a.until,
		}
	}
	s.blockedAt = 0
	if s.gang.room != roomNow {
		c.dropReservation(s)
	}
	if first && len(asked) > 0 {
		q := s.job.queue
		share := float64(len(advice.Tickets)) / float64(len(asked))
		q.goodShare = max((1-learnWeight)*q.goodShare+learnWeight*share, leastGoodShare)
	}
	if len(advice.Tickets) == 0 {
		a.notBefore = c.now.Add(adviceRetry)
	}
}

// leastGoodShare keeps the learned share from asking about the whole fleet.
const leastGoodShare = 0.05

func (c *Cell) noteAdvice(s *step, reason string, age time.Duration) {
	c.note(Note{
		Event:  "advice",
		Job:    s.job.record.ID,
		Queue:  s.job.record.Queue,
		Reason: reason,
		Age:    age,
	})
}
