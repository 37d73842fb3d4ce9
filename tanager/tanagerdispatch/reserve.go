package tanagerdispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// reserved reports whether a step must stay off a worker: because it has more
// slack than a gang that will need the worker before the step's task has ended, or
// because it would not leave the room that is kept for a gang.
func (c *Cell) reserved(w *worker, s *step) bool {
	if w.yieldTo != nil && !s.spec.Gang && !s.rank.urgent && w.yieldTo.rank.compare(s.rank) < 0 && !c.endsBy(w, s, w.yieldUntil) {
		return true
	}
	if w.reservedFor == nil || w.reservedFor == s {
		return false
	}
	return !s.spec.Held().Add(w.reservedRoom).Within(w.free)
}

// endsBy reports whether a task that starts on a worker now will have ended by a
// time.
func (c *Cell) endsBy(w *worker, s *step, t time.Time) bool {
	length := backfillSafety * float64(s.spec.Estimate) * c.timeFactor(w, s)
	return !c.now.Add(time.Duration(length)).After(t)
}

// backfillSafety times its estimate a task must end before the gang needs the
// room: estimates are off by half as a rule.
const backfillSafety = 1.5

// keepGrace is how long kept room that something else has taken is waited for
// before other workers are looked for.
const keepGrace = 300 * time.Millisecond

// room tells when a gang can start.
type room uint8

const (
	// roomNever: the workers that are known to be good are too few or too small.
	roomNever room = iota
	// roomFar: it takes longer than asking about other workers.
	roomFar
	// roomLater: once what runs there, or other gangs, have ended.
	roomLater
	// roomNow: it is free, and is kept for the gang.
	roomNow
)

// reserve keeps room for a gang that has not started yet. Room that is free is
// kept until the gang starts. With ahead set it also finds the time at which enough
// of what runs on the gang's workers will have ended, and lets work with more slack
// yield those workers unless that ends before (after EASY backfilling; Lifka, "The
// ANL/IBM SP scheduling system", 1995). Without it small tasks take each gap and a
// gang never finds its room at one moment.
func (c *Cell) reserve(s *step, ahead bool) room {
	if len(s.gang.kept) > 0 && c.keptFits(s) || c.reserveNow(s) {
		return roomNow
	}
	if len(s.gang.kept) > 0 {
		if c.keptValid(s) {
			return roomLater
		}
		c.dropReservation(s)
	}
	if !c.everFits(s, 1) {
		return roomNever
	}
	times := c.releaseTimes(s)
	first := sort.Search(len(times), func(i int) bool { return c.roomAt(s, times[i]) != nil })
	if first == len(times) {
		return c.laterOrFar(s, farFuture)
	}
	if ahead {
		for _, w := range c.allowed(s) {
			w.yieldTo = s
			w.yieldUntil = c.now.Add(times[first])
		}
	}
	return c.laterOrFar(s, times[first])
}

// releaseTimes returns when room becomes free on a gang's workers, in order.
func (c *Cell) releaseTimes(s *step) []time.Duration {
	var times []time.Duration
	for _, w := range c.allowed(s) {
		if !w.usable || w.reservedFor != nil {
			continue
		}
		for _, r := range w.releases {
			if r.at > 0 && r.at < farFuture {
				times = append(times, r.at)
			}
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// enoughChoice times its size is the room on a gang's good workers that makes
// asking about others not worth a call.
const enoughChoice = 3

// laterOrFar compares a wait with the time that a call for advice takes.
func (c *Cell) laterOrFar(s *step, wait time.Duration) room {
	if p := s.job.queue.config.Advice; p != nil && wait > p.Decision && !c.everFits(s, enoughChoice) {
		return roomFar
	}
	return roomLater
}

// keptFits reports whether all the room that is kept for a gang is free.
func (c *Cell) keptFits(s *step) bool {
	for _, k := range s.gang.kept {
		if !k.worker.usable || !k.worker.reservedRoom.Within(k.worker.free) {
			return false
		}
	}
	return true
}

// keptValid reports whether a reservation may still come true.
func (c *Cell) keptValid(s *step) bool {
	for _, k := range s.gang.kept {
		if !k.worker.usable || c.now.Sub(k.worker.reservedAt) > keepGrace {
			return false
		}
	}
	return true
}

func (c *Cell) dropReservation(s *step) {
	for _, k := range s.gang.kept {
		if k.worker.reservedFor == s {
			k.worker.reservedFor = nil
		}
	}
	s.gang.kept = nil
}

// everFits reports whether a gang has room on its workers, several times over,
// when they are empty.
func (c *Cell) everFits(s *step, times int) bool {
	total := 0
	for _, w := range c.allowed(s) {
		if w.usable && c.suits(w, s) {
			total += s.spec.Held().Copies(w.entry.Capacity, c.spreadLeft(s, w))
		}
	}
	return total >= times*len(s.tasks)
}

// roomAt returns workers with room for a gang after a time, nil if they do not
// suffice.
func (c *Cell) roomAt(s *step, at time.Duration) []candidate {
	var found []candidate
	total := 0
	for _, w := range c.allowed(s) {
		if !w.usable || !c.suits(w, s) || w.reservedFor != nil && w.reservedFor != s {
			continue
		}
		n := s.spec.Held().Copies(w.freeAfter(at), c.spreadLeft(s, w))
		if n == 0 {
			continue
		}
		total += n
		found = append(found, candidate{
			worker: w,
			copies: n,
			factor: c.timeFactor(w, s),
		})
	}
	if total < len(s.tasks) {
		return nil
	}
	return found
}

// reserveNow keeps room that is free, if it suffices.
func (c *Cell) reserveNow(s *step) bool {
	found := c.roomAt(s, 0)
	if found == nil {
		return false
	}
	c.dropReservation(s)
	s.gang.kept = fill(found, len(s.tasks))
	for _, k := range s.gang.kept {
		k.worker.reservedFor = s
		k.worker.reservedRoom = s.spec.Held().Times(k.copies)
		k.worker.reservedAt = c.now
	}
	return true
}

// release is the room of a worker after an attempt's expected end.
type release struct {
	at   time.Duration
	free tanagerwork.Resources
}

// forecast notes when the worker's attempts are expected to end.
func (c *Cell) forecast(w *worker) {
	w.releases = w.releases[:0]
	for a := range w.attempts {
		w.releases = append(w.releases, release{
			at:   c.remaining(a),
			free: a.step.spec.Held(),
		})
	}
	slices.SortFunc(w.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	free := w.free
	for i := range w.releases {
		free = free.Add(w.releases[i].free)
		w.releases[i].free = free
	}
}

// freeAfter returns the room that the forecast shows after a time.
func (w *worker) freeAfter(at time.Duration) tanagerwork.Resources {
	free := w.free
	if at == 0 {
		return free
	}
	for _, r := range w.releases {
		if r.at > at {
			break
		}
		free = r.free
	}
	return free
}
