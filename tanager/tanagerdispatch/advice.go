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
	asked, good map[string]bool
	tickets     map[string]string
	until       time.Time
	// askingUntil is set while a call is under way: after it, the answer counts
	// as lost with its adviser.
	askingUntil time.Time
	notBefore   time.Time
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

func (a *adviceState) expire() { a.until = time.Time{} }

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

// wantsAdvice reports whether it is time to ask which workers a step may use.
func (c *Cell) wantsAdvice(s *step) bool {
	if s.job.queue.config.Advice == nil || s.advice.asking(c.now) || c.now.Before(s.advice.notBefore) {
		return false
	}
	if s.advice.permits(c.now, s.job.queue) && len(s.advice.tickets) > 0 {
		return false
	}
	return s.spec.Gang || c.worthAsking(s)
}

// worthAsking keeps the advice service from being asked for tasks that find no
// room.
func (c *Cell) worthAsking(s *step) bool {
	known := len(s.advice.good) > 0
	held := s.spec.Held()
	for _, w := range c.usable {
		if !held.Within(w.free) || w.entry.Service != s.job.queue.config.Service {
			continue
		}
		if (!known || s.advice.good[w.id]) && c.spreadLeft(s, w) > 0 && !c.reserved(w, s) {
			return true
		}
	}
	return false
}

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

// adviceNames chooses the workers to ask about: the good ones once they are
// known, else those with most room. A call costs its decision and a little for
// each worker, so as many are named as double the cost, and more if the step
// needs them.
func (c *Cell) adviceNames(s *step) []string {
	var found []candidate
	for _, w := range c.usable {
		if w.entry.Service != s.job.queue.config.Service {
			continue
		}
		if len(s.advice.good) > 0 && !s.advice.good[w.id] {
			continue
		}
		found = append(found, candidate{
			worker: w,
			copies: c.copies(s, w),
		})
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

func (c *Cell) adviceWidth(s *step, found []candidate) int {
	policy := s.job.queue.config.Advice
	width := tanagerport.MaxAdviceWorkers
	if policy.Each > 0 {
		width = int(policy.Decision / policy.Each)
	}
	most := 1
	if len(found) > 0 {
		most = max(found[0].copies, 1)
	}
	needed := float64(len(s.tasks)) / float64(most) / s.job.queue.goodShare
	return min(max(width, int(math.Ceil(askFactor*needed))), tanagerport.MaxAdviceWorkers)
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
	s.advice.apply(order.Workers, advice, now)
	s.blockedAt = 0
	if len(order.Workers) > 0 && len(s.advice.asked) == len(order.Workers) {
		share := float64(len(advice.Tickets)) / float64(len(order.Workers))
		j.queue.goodShare = max((1-learnWeight)*j.queue.goodShare+learnWeight*share, leastGoodShare)
	}
	if len(advice.Tickets) == 0 {
		s.advice.notBefore = now.Add(adviceRetry)
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

func (a *adviceState) apply(asked []string, advice tanagerport.Advice, now time.Time) {
	if a.asked == nil {
		a.asked = make(map[string]bool)
		a.good = make(map[string]bool)
	}
	for _, id := range asked {
		a.asked[id] = true
	}
	for id := range advice.Tickets {
		a.good[id] = true
	}
	a.tickets = advice.Tickets
	a.until = now.Add(advice.Valid - ticketMargin)
}
