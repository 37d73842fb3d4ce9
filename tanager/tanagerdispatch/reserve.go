package tanagerdispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// blockedByReservation reports whether a step must not use a worker: because a
// gang with less slack needs the worker before the step's task would end, or
// because the task would not leave the capacity that is reserved for a gang.
func (c *Cell) blockedByReservation(w *worker, s *step) bool {
	if w.advanceGang != nil && !s.spec.Gang && !s.rank.urgent &&
		w.advanceGang.rank.compare(s.rank) < 0 && !c.finishesBy(w, s, w.advanceStart) {
		return true
	}
	if !w.reservedAgainst(s) {
		return false
	}
	return !s.spec.Allocation().Add(w.reservedCapacity).FitsIn(w.free)
}

// reservedAgainst reports whether capacity of a worker is reserved for another
// gang. The reservation of an expired gang holds only against expired steps. In a
// flood of gangs, expired ones without any would take each other's workers for as
// long as they wait.
func (w *worker) reservedAgainst(s *step) bool {
	return w.reservedFor != nil && w.reservedFor != s &&
		(w.reservedFor.rank.tier < tierExpired || s.rank.tier == tierExpired)
}

// finishesBy reports whether a task that starts now on a worker is expected to
// end by t.
func (c *Cell) finishesBy(w *worker, s *step, t time.Time) bool {
	duration := float64(s.spec.Estimate) * c.timeFactor(w, s)
	return !c.now.Add(time.Duration(duration)).After(t)
}

// reservationGrace is how long a reservation is kept after other work has taken
// part of its capacity, before other workers are considered.
const reservationGrace = 300 * time.Millisecond

// availability tells when a gang can start.
type availability uint8

const (
	// availableNever: the workers known to be suitable are too few, too small or
	// occupied by runs without an expected end.
	availableNever availability = iota
	// availableLate: waiting takes longer than a call for advice about other
	// workers.
	availableLate
	// availableSoon: after running tasks or other gangs have ended.
	availableSoon
	// availableNow: the capacity is free and reserved for the gang.
	availableNow
)

// reserve reserves capacity for a gang that has not started yet, and returns when
// the gang can start. Free capacity stays reserved until the gang starts. With
// advance set it also makes an advance reservation: it computes when enough runs
// on the gang's workers will have ended, and keeps off those workers all tasks
// with more slack that would not end before then. This is EASY backfilling
// (Lifka, "The ANL/IBM SP scheduling system", 1995). Without it small tasks would
// fill every gap and a gang would never find its capacity free all at once.
func (c *Cell) reserve(s *step, advance bool) availability {
	if len(s.gang.reservation) > 0 && c.reservationFits(s) || c.reserveFree(s) {
		return availableNow
	}
	if len(s.gang.reservation) > 0 {
		if c.reservationValid(s) {
			return availableSoon
		}
		c.dropReservation(s)
	}
	if !c.fitsEventually(s, 1) {
		return availableNever
	}
	times := c.releaseTimes(s)
	first := sort.Search(len(times), func(i int) bool { return c.candidatesAt(s, times[i]) != nil })
	if first == len(times) {
		return c.classifyWait(s, indefinite)
	}
	if advance {
		for _, w := range c.candidateWorkers(s) {
			w.advanceGang = s
			w.advanceStart = c.now.Add(times[first])
		}
	}
	return c.classifyWait(s, times[first])
}

// releaseTimes returns the times from now, ascending and distinct, at which
// capacity becomes free on the workers of a gang.
func (c *Cell) releaseTimes(s *step) []time.Duration {
	var times []time.Duration
	for _, w := range c.candidateWorkers(s) {
		if !w.usable || w.reservedAgainst(s) {
			continue
		}
		for _, r := range w.projectedReleases {
			if r.endsIn > 0 && r.endsIn < indefinite {
				times = append(times, r.endsIn)
			}
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// A gang whose approved workers have ampleCapacityFactor times the capacity it
// needs does not ask about further ones, as that is not worth a call.
const ampleCapacityFactor = 3

// classifyWait compares the time until capacity is free with that of a call for
// advice.
func (c *Cell) classifyWait(s *step, wait time.Duration) availability {
	if p := s.job.queue.config.Advice; p != nil && wait > p.DecisionTime && !c.fitsEventually(s, ampleCapacityFactor) {
		return availableLate
	}
	return availableSoon
}

// reservationFits reports whether all capacity reserved for a gang is free.
func (c *Cell) reservationFits(s *step) bool {
	for _, k := range s.gang.reservation {
		if !k.worker.usable || k.worker.reservedFor != s || !k.worker.reservedCapacity.FitsIn(k.worker.free) {
			return false
		}
	}
	return true
}

// reservationValid reports whether a reservation is worth keeping.
func (c *Cell) reservationValid(s *step) bool {
	for _, k := range s.gang.reservation {
		if !k.worker.usable || k.worker.reservedFor != s || c.now.Sub(k.worker.reservedAt) > reservationGrace {
			return false
		}
	}
	return true
}

// awaitsReserved reports whether a gang can start with its reservation as soon as
// its call for advice is answered.
func (c *Cell) awaitsReserved(s *step) bool {
	return s.advice.callInFlight(c.now) && c.reservationFits(s)
}

func (c *Cell) dropReservation(s *step) {
	for _, k := range s.gang.reservation {
		if k.worker.reservedFor == s {
			k.worker.reservedFor = nil
		}
	}
	s.gang.reservation = nil
}

// fitsEventually reports whether the gang's workers have capacity for the gang the
// given number of times once all runs with an expected end have ended.
func (c *Cell) fitsEventually(s *step, times int) bool {
	total := 0
	for _, w := range c.candidateWorkers(s) {
		if w.usable && c.matchesConstraints(w, s) {
			total += s.spec.Allocation().FitCount(w.freeAfter(indefinite-1), c.remainingSpread(s, w))
		}
	}
	return total >= times*len(s.tasks)
}

// candidatesAt returns the workers that are expected to have free capacity for
// members of a gang after the given time, or nil if they do not suffice for all.
func (c *Cell) candidatesAt(s *step, at time.Duration) []candidate {
	var found []candidate
	total := 0
	for _, w := range c.candidateWorkers(s) {
		if !w.usable || !c.matchesConstraints(w, s) || w.reservedAgainst(s) {
			continue
		}
		n := s.spec.Allocation().FitCount(w.freeAfter(at), c.remainingSpread(s, w))
		if n == 0 {
			continue
		}
		total += n
		found = append(found, candidate{
			worker:     w,
			taskCount:  n,
			timeFactor: c.timeFactor(w, s),
		})
	}
	if total < len(s.tasks) {
		return nil
	}
	return found
}

// reserveFree reserves capacity that is free now, if it suffices for the gang.
func (c *Cell) reserveFree(s *step) bool {
	found := c.candidatesAt(s, 0)
	if found == nil {
		return false
	}
	c.dropReservation(s)
	s.gang.reservation = assignTasks(found, len(s.tasks))
	for _, k := range s.gang.reservation {
		k.worker.reservedFor = s
		k.worker.reservedCapacity = s.spec.Allocation().Scale(k.taskCount)
		k.worker.reservedAt = c.now
	}
	return true
}

// projectedRelease is the free capacity of a worker after the expected end of an
// attempt, at endsIn from now.
type projectedRelease struct {
	endsIn time.Duration
	free   tanagerwork.Resources
}

// projectReleases computes the free capacity of a worker after the expected end
// of each of its attempts.
func (c *Cell) projectReleases(w *worker) {
	w.projectedReleases = w.projectedReleases[:0]
	for _, a := range w.attempts {
		w.projectedReleases = append(w.projectedReleases, projectedRelease{
			endsIn: c.remainingTime(a),
			free:   a.step.spec.Allocation(),
		})
	}
	slices.SortFunc(w.projectedReleases, func(a, b projectedRelease) int { return cmp.Compare(a.endsIn, b.endsIn) })
	free := w.free
	for i := range w.projectedReleases {
		free = free.Add(w.projectedReleases[i].free)
		w.projectedReleases[i].free = free
	}
}

// freeAfter returns the projected free capacity after the given time.
func (w *worker) freeAfter(at time.Duration) tanagerwork.Resources {
	free := w.free
	if at == 0 {
		return free
	}
	for _, r := range w.projectedReleases {
		if r.endsIn > at {
			break
		}
		free = r.free
	}
	return free
}
