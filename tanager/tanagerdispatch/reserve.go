package tanagerdispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// blockedByReservation reports whether a step must stay off a worker: because it has more
// slack than a gang that will need the worker before the step's task has ended, or
// because it would not leave the room that is kept for a gang.
func (c *Cell) blockedByReservation(w *worker, s *step) bool {
	if w.advanceGang != nil && !s.spec.Gang && !s.rank.urgent && w.advanceGang.rank.compare(s.rank) < 0 && !c.finishesBy(w, s, w.advanceStart) {
		return true
	}
	if w.reservedFor == nil || w.reservedFor == s {
		return false
	}
	return !s.spec.Held().Add(w.reservedCapacity).Within(w.free)
}

// finishesBy reports whether a task that starts on a worker now will have ended by a
// time.
func (c *Cell) finishesBy(w *worker, s *step, t time.Time) bool {
	length := backfillEstimateFactor * float64(s.spec.Estimate) * c.timeFactor(w, s)
	return !c.now.Add(time.Duration(length)).After(t)
}

// backfillEstimateFactor times its estimate a task must end before the gang needs the
// room: estimates are off by half as a rule.
const backfillEstimateFactor = 1.5

// reservationGrace is how long kept room that something else has taken is waited for
// before other workers are looked for.
const reservationGrace = 300 * time.Millisecond

// availability tells when a gang can start.
type availability uint8

const (
	// availableNever: the workers that are known to be good are too few or too small.
	availableNever availability = iota
	// availableLate: it takes longer than asking about other workers.
	availableLate
	// availableSoon: once what runs there, or other gangs, have ended.
	availableSoon
	// availableNow: it is free, and is kept for the gang.
	availableNow
)

// reserve keeps room for a gang that has not started yet. Room that is free is
// kept until the gang starts. With ahead set it also finds the time at which enough
// of what runs on the gang's workers will have ended, and lets work with more slack
// yield those workers unless that ends before (after EASY backfilling; Lifka, "The
// ANL/IBM SP scheduling system", 1995). Without it small tasks take each gap and a
// gang never finds its room at one moment.
func (c *Cell) reserve(s *step, ahead bool) availability {
	if len(s.gang.reservation) > 0 && c.reservationFits(s) || c.reserveFree(s) {
		return availableNow
	}
	if len(s.gang.reservation) > 0 {
		if c.reservationValid(s) {
			return availableSoon
		}
		c.dropReservation(s)
	}
	if !c.fitsWhenIdle(s, 1) {
		return availableNever
	}
	times := c.releaseTimes(s)
	first := sort.Search(len(times), func(i int) bool { return c.candidatesAt(s, times[i]) != nil })
	if first == len(times) {
		return c.classifyWait(s, indefinite)
	}
	if ahead {
		for _, w := range c.candidateWorkers(s) {
			w.advanceGang = s
			w.advanceStart = c.now.Add(times[first])
		}
	}
	return c.classifyWait(s, times[first])
}

// releaseTimes returns when room becomes free on a gang's workers, in order.
func (c *Cell) releaseTimes(s *step) []time.Duration {
	var times []time.Duration
	for _, w := range c.candidateWorkers(s) {
		if !w.usable || w.reservedFor != nil {
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

// ampleCapacityFactor times its size is the room on a gang's good workers that makes
// asking about others not worth a call.
const ampleCapacityFactor = 3

// classifyWait compares a wait with the time that a call for advice takes.
func (c *Cell) classifyWait(s *step, wait time.Duration) availability {
	if p := s.job.queue.config.Advice; p != nil && wait > p.Decision && !c.fitsWhenIdle(s, ampleCapacityFactor) {
		return availableLate
	}
	return availableSoon
}

// reservationFits reports whether all the room that is kept for a gang is free.
func (c *Cell) reservationFits(s *step) bool {
	for _, k := range s.gang.reservation {
		if !k.worker.usable || !k.worker.reservedCapacity.Within(k.worker.free) {
			return false
		}
	}
	return true
}

// reservationValid reports whether a reservation may still come true.
func (c *Cell) reservationValid(s *step) bool {
	for _, k := range s.gang.reservation {
		if !k.worker.usable || c.now.Sub(k.worker.reservedAt) > reservationGrace {
			return false
		}
	}
	return true
}

func (c *Cell) dropReservation(s *step) {
	for _, k := range s.gang.reservation {
		if k.worker.reservedFor == s {
			k.worker.reservedFor = nil
		}
	}
	s.gang.reservation = nil
}

// fitsWhenIdle reports whether a gang has room on its workers, several times over,
// when they are empty.
func (c *Cell) fitsWhenIdle(s *step, times int) bool {
	total := 0
	for _, w := range c.candidateWorkers(s) {
		if w.usable && c.matchesConstraints(w, s) {
			total += s.spec.Held().Copies(w.entry.Capacity, c.remainingSpread(s, w))
		}
	}
	return total >= times*len(s.tasks)
}

// candidatesAt returns workers with room for a gang after a time, nil if they do not
// suffice.
func (c *Cell) candidatesAt(s *step, at time.Duration) []candidate {
	var found []candidate
	total := 0
	for _, w := range c.candidateWorkers(s) {
		if !w.usable || !c.matchesConstraints(w, s) || w.reservedFor != nil && w.reservedFor != s {
			continue
		}
		n := s.spec.Held().Copies(w.freeAfter(at), c.remainingSpread(s, w))
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

// reserveFree keeps room that is free, if it suffices.
func (c *Cell) reserveFree(s *step) bool {
	found := c.candidatesAt(s, 0)
	if found == nil {
		return false
	}
	c.dropReservation(s)
	s.gang.reservation = assignTasks(found, len(s.tasks))
	for _, k := range s.gang.reservation {
		k.worker.reservedFor = s
		k.worker.reservedCapacity = s.spec.Held().Scale(k.taskCount)
		k.worker.reservedAt = c.now
	}
	return true
}

// projectedRelease is the room of a worker after an attempt's expected end.
type projectedRelease struct {
	endsIn time.Duration
	free   tanagerwork.Resources
}

// projectReleases notes when the worker's attempts are expected to end.
func (c *Cell) projectReleases(w *worker) {
	w.projectedReleases = w.projectedReleases[:0]
	for a := range w.attempts {
		w.projectedReleases = append(w.projectedReleases, projectedRelease{
			endsIn: c.remainingTime(a),
			free:   a.step.spec.Held(),
		})
	}
	slices.SortFunc(w.projectedReleases, func(a, b projectedRelease) int { return cmp.Compare(a.endsIn, b.endsIn) })
	free := w.free
	for i := range w.projectedReleases {
		free = free.Add(w.projectedReleases[i].free)
		w.projectedReleases[i].free = free
	}
}

// freeAfter returns the room that the forecast shows after a time.
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
