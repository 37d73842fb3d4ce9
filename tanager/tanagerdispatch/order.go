package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"
)

// tier groups steps by what starting them now can still bring their callers.
type tier uint8

const (
	// lasting tasks are restarted before anything else: they serve users.
	lasting tier = iota
	// onTime steps can still meet their job's objective.
	onTime
	// late steps can still end while their result is of some use.
	late
	// useless steps run only in room that nothing else wants.
	useless
)

// rank is a step's place in the order.
type rank struct {
	tier tier
	// urgent steps belong to the queues that come first.
	urgent bool
	slack  time.Duration
}

// rank answers overload: when not all steps can be on time, those that still can
// go first, and those that cannot give way to them. Urgent queues come first, as
// their short tasks take little room for what they bring; then least slack.
func (c *Cell) rank(s *step) rank {
	if s.spec.Lasting {
		return rank{tier: lasting}
	}
	left := s.due.Add(s.job.objective).Sub(c.now) - s.chain
	r := rank{
		tier:   onTime,
		urgent: s.job.queue.config.Priority == 0,
		slack:  left,
	}
	switch {
	case left+(lateFactor-1)*s.job.objective < 0:
		r.tier = useless
	case left < c.leastSlack(s, r.urgent):
		r.tier = late
	}
	return r
}

// leastSlack is the slack below which a step does not count as on time. Gangs that
// start at the last moment end late, as the slowest of many members decides; in an
// overload, each would wait that long and all would be late.
func (c *Cell) leastSlack(s *step, urgent bool) time.Duration {
	if !s.spec.Gang || urgent {
		return 0
	}
	return time.Duration(gangSlackShare * float64(s.chain))
}

// gangSlackShare of a gang's chain covers a worker a third slower than others and
// estimates that are off by a fifth.
const gangSlackShare = 0.5

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.tier, o.tier), -compareBool(r.urgent, o.urgent), cmp.Compare(r.slack, o.slack))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// schedule places what waits, in order of rank.
func (c *Cell) schedule() {
	c.findUsable()
	reserving := c.now.Sub(c.reservedAt) >= reserveInterval
	if reserving {
		c.beginReserving()
	}
	c.sortReady()
	var asks []*step
	gangs, hopeless := 0, 0
	for _, s := range c.ready {
		if s.rank.tier == useless {
			c.dropReservation(s)
			if hopeless++; hopeless > maxUseless {
				break
			}
		}
		if s.pending == 0 || s.job.state.Final() || !c.mayStart(s) || c.place(s) {
			continue
		}
		switch {
		case !s.spec.Gang && c.wantsAdvice(s):
			asks = append(asks, s)
		case s.spec.Gang && reserving && gangs < c.reservationLimit():
			if c.reserveInTurn(s, &gangs) {
				asks = append(asks, s)
			}
		}
	}
	c.ask(asks)
	c.dropPlaced()
}

func (c *Cell) beginReserving() {
	c.reservedAt = c.now
	for _, w := range c.usable {
		c.forecast(w)
		w.yieldTo = nil
	}
}

// reserveInTurn keeps room for a gang, counts it if it can ever start on the
// workers that are known, and reports whether it is to be asked about.
func (c *Cell) reserveInTurn(s *step, gangs *int) bool {
	s.gang.room = c.reserve(s, *gangs < c.aheadLimit())
	if s.gang.room != roomNever {
		*gangs++
	}
	return s.gang.room != roomLater && c.mayAsk(s)
}

// dropPlaced removes steps without waiting tasks from the ready list.
func (c *Cell) dropPlaced() {
	c.ready = slices.DeleteFunc(c.ready, func(s *step) bool {
		gone := s.pending == 0 || s.job.state.Final()
		if gone {
			c.dropReservation(s)
			s.queued = false
		}
		return gone
	})
}

// maxUseless bounds the steps without use to anybody that are looked at in one
// tick, so that a backlog of them costs nothing.
const maxUseless = 32

// findUsable lists the workers that may get new work.
func (c *Cell) findUsable() {
	count, changed := 0, false
	for _, w := range c.workers {
		before := w.usable
		w.usable = c.inUse(w)
		changed = changed || w.usable != before
		if w.usable {
			count++
		}
	}
	if !changed && count == len(c.usable) {
		return
	}
	c.usable = c.usable[:0]
	for _, w := range c.workers {
		if w.usable {
			c.usable = append(c.usable, w)
		}
	}
	slices.SortFunc(c.usable, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for i, w := range c.usable {
		w.side = float64(i) / float64(len(c.usable))
	}
}

// Room that is free is kept for one waiting gang for every workersPerReservation
// workers, and for leastReservations. For one in workersPerAhead, work with more
// slack also stays off workers whose room is still to come. In the replay of a
// grown fleet more of either left workers empty for gangs far back.
const (
	workersPerReservation = 8
	workersPerAhead       = 24
	leastReservations     = 4
)

func (c *Cell) aheadLimit() int { return max(len(c.usable)/workersPerAhead, 1) }

func (c *Cell) reservationLimit() int {
	return max(len(c.usable)/workersPerReservation, leastReservations)
}

// reserveInterval spaces the reckoning of reservations, which costs more than a
// placement; ends that matter for a gang are some tens of milliseconds apart.
const reserveInterval = 60 * time.Millisecond

func (c *Cell) sortReady() {
	for _, s := range c.ready {
		s.rank = c.rank(s)
	}
	slices.SortStableFunc(c.ready, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// mayStart reports whether a step's tasks may be started now, room aside.
func (c *Cell) mayStart(s *step) bool {
	if c.now.Before(s.due) || c.now.Before(s.notBefore) || !c.accounted(s.job) {
		return false
	}
	return !s.spec.Gang || s.active == 0
}

// remaining returns how long an attempt will still run, by its estimate and the
// worker's speed.
func (c *Cell) remaining(a *attempt) time.Duration {
	if a.phase == stopping {
		return c.settings.StopGrace
	}
	if a.step.spec.Lasting {
		return farFuture
	}
	whole := time.Duration(float64(a.step.spec.Estimate) * a.worker.health.slowness())
	if a.percent > 0 && a.percent < 100 && !a.started.IsZero() {
		left := float64(100-a.percent) / float64(a.percent) * float64(a.progressAt.Sub(a.started))
		return max(time.Duration(left)-c.now.Sub(a.progressAt), 0)
	}
	return max(whole-c.now.Sub(a.since), 0)
}

// farFuture stands for the end of a task that has none.
const farFuture = 24 * time.Hour
