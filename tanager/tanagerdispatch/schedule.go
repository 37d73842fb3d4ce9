package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"
)

// tier groups steps by what starting them now can still bring their callers.
type tier uint8

const (
	// tierLongRunning tasks are restarted before anything else: they serve users.
	tierLongRunning tier = iota
	// tierOnTime steps can still meet their job's objective.
	tierOnTime
	// tierLate steps can still end while their result is of some use.
	tierLate
	// tierExpired steps run only in room that nothing else wants.
	tierExpired
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
		return rank{tier: tierLongRunning}
	}
	left := s.due.Add(s.job.objective).Sub(c.now) - s.criticalPath
	r := rank{
		tier:   tierOnTime,
		urgent: s.job.queue.config.Priority == 0,
		slack:  left,
	}
	switch {
	case left+(expiryFactor-1)*s.job.objective < 0:
		r.tier = tierExpired
	case left < c.minSlack(s, r.urgent):
		r.tier = tierLate
	}
	return r
}

// minSlack is the slack below which a step does not count as on time. Gangs that
// start at the last moment end late, as the slowest of many members decides; in an
// overload, each would wait that long and all would be late.
func (c *Cell) minSlack(s *step, urgent bool) time.Duration {
	if !s.spec.Gang || urgent {
		return 0
	}
	return time.Duration(gangSlackRatio * float64(s.criticalPath))
}

// gangSlackRatio of a gang's chain covers a worker a third slower than others and
// estimates that are off by a fifth.
const gangSlackRatio = 0.5

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
	c.updateUsableWorkers()
	reserving := c.now.Sub(c.reservationsUpdatedAt) >= reservationInterval
	if reserving {
		c.resetAdvanceReservations()
	}
	c.sortReady()
	var asks []*step
	gangs, hopeless := 0, 0
	for _, s := range c.readySteps {
		if s.rank.tier == tierExpired {
			c.dropReservation(s)
			if hopeless++; hopeless > maxExpiredSteps {
				break
			}
		}
		if s.pendingTasks == 0 || s.job.state.Final() || !c.mayStart(s) || c.placeStep(s) {
			continue
		}
		switch {
		case !s.spec.Gang && c.needsAdvice(s):
			asks = append(asks, s)
		case s.spec.Gang && reserving && gangs < c.reservationLimit():
			if c.reserveForGang(s, &gangs) {
				asks = append(asks, s)
			}
		}
	}
	c.requestAdvice(asks)
	c.removePlaced()
}

func (c *Cell) resetAdvanceReservations() {
	c.reservationsUpdatedAt = c.now
	for _, w := range c.usableWorkers {
		c.projectReleases(w)
		w.advanceGang = nil
	}
}

// reserveForGang keeps room for a gang, counts it if it can ever start on the
// workers that are known, and reports whether it is to be asked about.
func (c *Cell) reserveForGang(s *step, gangs *int) bool {
	s.gang.availability = c.reserve(s, *gangs < c.advanceReservationLimit())
	if s.gang.availability != availableNever {
		*gangs++
	}
	return s.gang.availability != availableSoon && c.canRequestAdvice(s)
}

// removePlaced removes steps without waiting tasks from the ready list.
func (c *Cell) removePlaced() {
	c.readySteps = slices.DeleteFunc(c.readySteps, func(s *step) bool {
		gone := s.pendingTasks == 0 || s.job.state.Final()
		if gone {
			c.dropReservation(s)
			s.inReadyList = false
		}
		return gone
	})
}

// maxExpiredSteps bounds the steps without use to anybody that are looked at in one
// tick, so that a backlog of them costs nothing.
const maxExpiredSteps = 32

// updateUsableWorkers lists the workers that may get new work.
func (c *Cell) updateUsableWorkers() {
	count, changed := 0, false
	for _, w := range c.workers {
		before := w.usable
		w.usable = c.acceptsWork(w)
		changed = changed || w.usable != before
		if w.usable {
			count++
		}
	}
	if !changed && count == len(c.usableWorkers) {
		return
	}
	c.usableWorkers = c.usableWorkers[:0]
	for _, w := range c.workers {
		if w.usable {
			c.usableWorkers = append(c.usableWorkers, w)
		}
	}
	slices.SortFunc(c.usableWorkers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for i, w := range c.usableWorkers {
		w.fleetPosition = float64(i) / float64(len(c.usableWorkers))
	}
}

// Room that is free is kept for one waiting gang for every workersPerReservation
// workers, and for minReservations. For one in workersPerAdvanceReservation, work with more
// slack also stays off workers whose room is still to come. In the replay of a
// grown fleet more of either left workers empty for gangs far back.
const (
	workersPerReservation        = 8
	workersPerAdvanceReservation = 24
	minReservations              = 4
)

func (c *Cell) advanceReservationLimit() int {
	return max(len(c.usableWorkers)/workersPerAdvanceReservation, 1)
}

func (c *Cell) reservationLimit() int {
	return max(len(c.usableWorkers)/workersPerReservation, minReservations)
}

// reservationInterval spaces the reckoning of reservations, which costs more than a
// placement; ends that matter for a gang are some tens of milliseconds apart.
const reservationInterval = 60 * time.Millisecond

func (c *Cell) sortReady() {
	for _, s := range c.readySteps {
		s.rank = c.rank(s)
	}
	slices.SortStableFunc(c.readySteps, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// mayStart reports whether a step's tasks may be started now, room aside.
func (c *Cell) mayStart(s *step) bool {
	if c.now.Before(s.due) || c.now.Before(s.notBefore) || !c.predecessorRunsKnown(s.job) {
		return false
	}
	return !s.spec.Gang || s.activeAttempts == 0
}

// remainingTime returns how long an attempt will still run, by its estimate and the
// worker's speed.
func (c *Cell) remainingTime(a *attempt) time.Duration {
	if a.phase == stopping {
		return c.settings.StopGrace
	}
	if a.step.spec.Lasting {
		return indefinite
	}
	whole := time.Duration(float64(a.step.spec.Estimate) * a.worker.health.slowdownFactor())
	if a.progressPercent > 0 && a.progressPercent < 100 && !a.startedAt.IsZero() {
		left := float64(100-a.progressPercent) / float64(a.progressPercent) * float64(a.progressAt.Sub(a.startedAt))
		return max(time.Duration(left)-c.now.Sub(a.progressAt), 0)
	}
	return max(whole-c.now.Sub(a.phaseSince), 0)
}

// indefinite stands for the end of a task that has none.
const indefinite = 24 * time.Hour
