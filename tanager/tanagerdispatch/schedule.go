package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"
)

// tier groups steps by the use that their results can still have if they start
// now. Lower tiers are scheduled first.
type tier uint8

const (
	// tierLongRunning steps serve users and come first.
	tierLongRunning tier = iota
	// tierOnTime steps can still meet their job's objective.
	tierOnTime
	// tierLateUrgent steps of urgent queues miss the objective, but their results
	// are still of use. They are short, and a backlog of them is left by every
	// interruption of the scheduler.
	tierLateUrgent
	// tierRelaxed steps can meet the objective even if they start much later.
	tierRelaxed
	// tierLate steps of other queues miss the objective, but their results are
	// still of use.
	tierLate
	// tierExpired steps run only on capacity that no other step wants.
	tierExpired
)

// rank determines the order in which steps are scheduled.
type rank struct {
	tier tier
	// urgent steps belong to queues with priority 0.
	urgent bool
	slack  time.Duration
}

// rank returns the rank of a step. Under overload, steps that can still be on
// time precede those that cannot. Within a tier, urgent queues come first, as
// their short tasks need little capacity; then the step with the least slack.
func (c *Cell) rank(s *step) rank {
	if s.spec.LongRunning {
		return rank{tier: tierLongRunning}
	}
	slack := s.due.Add(s.job.objective).Sub(c.now) - s.criticalPath
	r := rank{
		tier:   tierOnTime,
		urgent: s.job.queue.config.Priority == 0,
		slack:  slack,
	}
	switch {
	case slack+(expiryFactor-1)*s.job.objective < 0:
		r.tier = tierExpired
	case slack < c.minSlack(s, r.urgent) && r.urgent:
		r.tier = tierLateUrgent
	case slack < c.minSlack(s, r.urgent):
		r.tier = tierLate
	case !r.urgent && !s.spec.Gang && slack > time.Duration(relaxedSlackRatio*float64(s.criticalPath)):
		r.tier = tierRelaxed
	}
	return r
}

// A step is relaxed while its slack exceeds relaxedSlackRatio times its critical
// path.
const relaxedSlackRatio = 1.0

// minSlack returns the slack below which a step no longer counts as on time. A
// gang ends with its slowest member, so one that starts at the last moment is
// late. Under overload every gang would wait until then, and all would be late.
func (c *Cell) minSlack(s *step, urgent bool) time.Duration {
	if !s.spec.Gang || urgent {
		return 0
	}
	return time.Duration(gangSlackRatio * float64(s.criticalPath))
}

// gangSlackRatio times the critical path covers a worker that is a third slower
// than others and estimates that are off by a fifth.
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

// schedule starts pending tasks in order of rank, reserves capacity for gangs and
// requests advice.
func (c *Cell) schedule() {
	c.updateUsableWorkers()
	reserving := c.now.Sub(c.reservationsUpdatedAt) >= reservationInterval
	if reserving {
		c.resetAdvanceReservations()
	}
	c.sortReady()
	var adviceSteps []*step
	gangs := 0
	c.expired.beginTick()
	for _, s := range c.readySteps {
		if s.pendingTasks == 0 || s.job.state.Final() || !c.mayStart(s) {
			continue
		}
		if s.rank.tier == tierExpired && !c.tryExpired(s, reserving) || c.placeStep(s) {
			continue
		}
		switch {
		case !s.spec.Gang && c.needsAdvice(s):
			adviceSteps = append(adviceSteps, s)
		case s.spec.Gang && reserving && c.reserveForGang(s, &gangs):
			adviceSteps = append(adviceSteps, s)
		}
	}
	c.requestAdvice(adviceSteps)
	c.removePlaced()
}

// resetAdvanceReservations removes all advance reservations and projects anew
// when capacity becomes free.
func (c *Cell) resetAdvanceReservations() {
	c.reservationsUpdatedAt = c.now
	for _, w := range c.usableWorkers {
		c.projectReleases(w)
		w.advanceGang = nil
	}
}

// reserveForGang reserves capacity for a gang, unless gangs has reached its limit.
// It increments gangs if the gang can start on the known workers, and reports
// whether to request advice for it. With its first advice a gang can start without
// a reservation.
func (c *Cell) reserveForGang(s *step, gangs *int) bool {
	if *gangs >= c.reservationLimit() {
		if !c.awaitsReserved(s) {
			c.dropReservation(s)
		}
		return s.advice.queried == nil && c.canRequestAdvice(s)
	}
	s.gang.availability = c.reserve(s, *gangs < c.advanceReservationLimit())
	if s.gang.availability != availableNever {
		*gangs++
	}
	return s.gang.availability != availableSoon && c.canRequestAdvice(s)
}

// removePlaced removes steps without pending tasks from the ready list.
func (c *Cell) removePlaced() {
	c.readySteps = slices.DeleteFunc(c.readySteps, func(s *step) bool {
		placed := s.pendingTasks == 0 || s.job.state.Final()
		if placed {
			c.dropReservation(s)
			s.inReadyList = false
		}
		return placed
	})
}

// updateUsableWorkers determines which workers may be given new work.
func (c *Cell) updateUsableWorkers() {
	count, changed := 0, false
	for _, w := range c.workerList {
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
	for _, w := range c.workerList {
		if w.usable {
			c.usableWorkers = append(c.usableWorkers, w)
		}
	}
	for i, w := range c.usableWorkers {
		w.fleetPosition = float64(i) / float64(len(c.usableWorkers))
	}
}

// There is one reservation of free capacity for every workersPerReservation
// workers, but at least minReservations of them. There is one advance
// reservation, which also keeps work off workers that are still busy, for every
// workersPerAdvanceReservation workers: in a flood of small tasks a gang without one
// starves. More of either would leave workers idle for gangs far down the ready
// list.
const (
	workersPerReservation        = 8
	workersPerAdvanceReservation = 10
	minReservations              = 4
)

func (c *Cell) advanceReservationLimit() int {
	return max(len(c.usableWorkers)/workersPerAdvanceReservation, 1)
}

func (c *Cell) reservationLimit() int {
	return max(len(c.usableWorkers)/workersPerReservation, minReservations)
}

// reservationInterval is the time between two computations of reservations, which
// cost more than a placement. The ends that matter for a gang are some tens of
// milliseconds apart.
const reservationInterval = 60 * time.Millisecond

func (c *Cell) sortReady() {
	for _, s := range c.readySteps {
		s.rank = c.rank(s)
	}
	slices.SortStableFunc(c.readySteps, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// mayStart reports whether a step's tasks may be started now, apart from
// capacity.
func (c *Cell) mayStart(s *step) bool {
	if !c.hasAuthority() || c.now.Before(s.due) || c.now.Before(s.notBefore) || c.awaitsCrashWrite(s) || !c.predecessorRunsKnown(s.job) {
		return false
	}
	return !s.spec.Gang || s.activeAttempts == 0 && !s.awaitsCrashVerdict(0)
}

// remainingTime returns how long an attempt is expected to run on, from its
// progress if it has reported any, else from its estimate and the worker's speed.
func (c *Cell) remainingTime(a *attempt) time.Duration {
	if a.phase == stopping {
		return c.settings.StopGrace
	}
	if a.step.spec.LongRunning {
		return indefinite
	}
	total := time.Duration(float64(a.step.spec.Estimate) * a.worker.health.slowdownFactor())
	if a.progressPercent > 0 && a.progressPercent < 100 && !a.startedAt.IsZero() {
		left := float64(100-a.progressPercent) / float64(a.progressPercent) * float64(a.progressAt.Sub(a.startedAt))
		return max(time.Duration(left)-c.now.Sub(a.progressAt), 0)
	}
	return max(total-c.now.Sub(a.phaseSince), 0)
}

// indefinite is the remaining time of a task without an expected end.
const indefinite = 24 * time.Hour
