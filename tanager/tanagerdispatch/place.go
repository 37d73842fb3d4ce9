package tanagerdispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// The side weights are how much longer, as a share of its time, a task may take to
// stay away from the end of the fleet where gangs find whole workers. Urgent tasks
// have less time to give.
const (
	sideWeight       = 0.5
	urgentSideWeight = 0.3
)

// place starts as many tasks of a step as find a worker, and reports whether
// none is left.
func (c *Cell) place(s *step) bool {
	if s.blockedAt == c.roomVersion || !s.advice.permits(c.now, s.job.queue) {
		return false
	}
	var placed bool
	if s.spec.Gang {
		placed = c.placeGang(s)
	} else {
		placed = c.placeTasks(s)
	}
	if !placed {
		s.blockedAt = c.roomVersion
	}
	return placed
}

func (c *Cell) placeTasks(s *step) bool {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.attempt != nil {
			continue
		}
		w := c.bestWorker(s)
		if w == nil {
			return false
		}
		c.start(s, i, c.nextRun(s, i), w)
	}
	return true
}

// bestWorker returns the worker on which a task of the step ends soonest, and of
// similar ones the one farthest from where gangs are placed.
func (c *Cell) bestWorker(s *step) *worker {
	var best *worker
	var bestScore float64
	held := s.spec.Held()
	for _, w := range c.allowed(s) {
		if !held.Within(w.free) || !c.eligible(w, s) || c.spreadLeft(s, w) < 1 || c.reserved(w, s) {
			continue
		}
		score := c.score(w, s)
		if best == nil || score < bestScore || score == bestScore && w.id < best.id {
			best = w
			bestScore = score
		}
	}
	return best
}

func (c *Cell) score(w *worker, s *step) float64 {
	if s.rank.urgent {
		return c.timeFactor(w, s) + urgentSideWeight*w.side
	}
	return c.timeFactor(w, s) + sideWeight*w.side
}

// timeFactor is how much longer than its estimate a task takes on a worker.
func (c *Cell) timeFactor(w *worker, s *step) float64 {
	factor := w.health.slowness()
	if s.spec.DataRack != "" && s.spec.DataRack != w.entry.Rack {
		factor *= c.settings.RemoteFactor
	}
	return factor
}

// eligible reports whether a step's tasks may be started on a usable worker now.
func (c *Cell) eligible(w *worker, s *step) bool {
	if !w.usable || !c.suits(w, s) {
		return false
	}
	return s.job.queue.config.Advice == nil || s.advice.ticket(w, c.now) != ""
}

// suits reports whether a worker has the service and the label that a step asks
// for.
func (c *Cell) suits(w *worker, s *step) bool {
	return w.entry.Service == s.job.queue.config.Service &&
		(s.spec.Label == "" || slices.Contains(w.entry.Labels, s.spec.Label))
}

// allowed returns the workers that a step may use, as far as is known.
func (c *Cell) allowed(s *step) []*worker {
	if s.job.queue.config.Advice != nil {
		return s.advice.good
	}
	return c.usable
}

// inUse reports whether a worker may get new work.
func (c *Cell) inUse(w *worker) bool {
	return w.listed && w.rostered && w.synced && !w.entry.Draining && w.cordonedAt.IsZero() &&
		c.now.Sub(w.heard) < silentAfter && !c.now.Before(w.health.avoidUntil)
}

// spreadLeft returns how many more tasks of a step a worker may run.
func (c *Cell) spreadLeft(s *step, w *worker) int {
	if s.spec.SpreadLimit == 0 {
		return len(s.tasks)
	}
	return s.spec.SpreadLimit - s.spread[w]
}

// copies returns how many tasks of a step a worker has room for.
func (c *Cell) copies(s *step, w *worker) int {
	return s.spec.Held().Copies(w.free, c.spreadLeft(s, w))
}

// candidate is a worker with the number of a gang's tasks that it takes.
type candidate struct {
	worker *worker
	copies int
	factor float64
}

// placeGang starts all tasks of a gang, or none.
func (c *Cell) placeGang(s *step) bool {
	var found []candidate
	for _, w := range c.allowed(s) {
		if !c.eligible(w, s) || c.reserved(w, s) {
			continue
		}
		if n := c.copies(s, w); n > 0 {
			found = append(found, candidate{
				worker: w,
				copies: n,
				factor: c.timeFactor(w, s),
			})
		}
	}
	chosen := chooseGang(s, found)
	if chosen == nil {
		return false
	}
	s.gang.broken = false
	c.dropReservation(s)
	run := c.nextRun(s, 0)
	index := 0
	for _, k := range chosen {
		for range k.copies {
			c.start(s, index, run, k.worker)
			index++
		}
	}
	return true
}

// chooseGang picks workers for all tasks of a gang: those of one rack if it must
// not span racks and one has room, the fastest ones first, since the slowest
// member holds up the others, and few of them. It returns nil without room.
func chooseGang(s *step, found []candidate) []candidate {
	if s.spec.SameRack {
		if one := chooseRack(s, found); one != nil {
			return one
		}
	}
	return fill(found, len(s.tasks))
}

func chooseRack(s *step, found []candidate) []candidate {
	racks := make(map[string][]candidate)
	for _, k := range found {
		racks[k.worker.entry.Rack] = append(racks[k.worker.entry.Rack], k)
	}
	var best []candidate
	bestSpare := 0
	for _, name := range sortedKeys(racks) {
		if name == "" {
			continue
		}
		total := 0
		for _, k := range racks[name] {
			total += k.copies
		}
		spare := total - len(s.tasks)
		if spare >= 0 && (best == nil || spare < bestSpare) {
			best = fill(racks[name], len(s.tasks))
			bestSpare = spare
		}
	}
	return best
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// fill takes candidates until count tasks have a place.
func fill(found []candidate, count int) []candidate {
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(speedClass(a.factor), speedClass(b.factor)), cmp.Compare(b.copies, a.copies), cmp.Compare(b.worker.side, a.worker.side), cmp.Compare(a.worker.id, b.worker.id))
	})
	var chosen []candidate
	for _, k := range found {
		k.copies = min(k.copies, count)
		chosen = append(chosen, k)
		count -= k.copies
		if count == 0 {
			return chosen
		}
	}
	return nil
}

// reserved reports whether a worker's room is kept for a gang that comes before
// the step, and the step would neither leave it enough nor be done by the time
// the gang needs it.
func (c *Cell) reserved(w *worker, s *step) bool {
	if w.yieldTo != nil && !s.spec.Gang && !s.rank.urgent && w.yieldTo.rank.compare(s.rank) < 0 {
		ends := c.now.Add(time.Duration(backfillSafety * float64(s.spec.Estimate) * c.timeFactor(w, s)))

		if ends.After(w.yieldUntil) {

			return true
		}
	}
	if w.reservedFor == nil || w.reservedFor == s {
		return false
	}
	if s.spec.Held().Add(w.reservedRoom).Within(w.free) {
		return false
	}
	ends := c.now.Add(time.Duration(backfillSafety * float64(s.spec.Estimate) * c.timeFactor(w, s)))
	return s.spec.Lasting || ends.After(w.reservedUntil)
}

// backfillSafety times its estimate a task must end before the gang needs the
// room: estimates are off by half as a rule.
const backfillSafety = 1.5

// keepGrace is how long after its expected time a reservation is kept before
// other workers are looked for.
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

// reserve keeps room for a gang that has not started yet: it finds the time at
// which enough of what runs on its workers will have ended, and keeps later work
// off those workers unless that ends before (EASY backfilling; Lifka, "The
// ANL/IBM SP scheduling system", 1995). Without it small tasks take each gap and
// a gang never finds its room at one moment. The time is never moved back, as
// that would let small tasks in again.
func (c *Cell) reserve(s *step, ahead bool) room {

	if len(s.gang.kept) > 0 && c.keptFits(s) || c.reserveAt(s, 0) {

		return roomNow
	}
	if len(s.gang.kept) > 0 {
		if c.keptValid(s) {
			return c.laterOrFar(s, s.gang.kept[0].worker.reservedUntil.Sub(c.now))
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
		if !k.worker.usable || c.now.Sub(k.worker.reservedUntil) > keepGrace {
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

// reserveAt keeps the room that will be free after a time, if that suffices.
func (c *Cell) reserveAt(s *step, at time.Duration) bool {
	found := c.roomAt(s, at)
	if found == nil {
		return false
	}
	c.dropReservation(s)
	s.gang.kept = fill(found, len(s.tasks))
	for _, k := range s.gang.kept {
		k.worker.reservedFor = s
		k.worker.reservedRoom = s.spec.Held().Times(k.copies)
		k.worker.reservedUntil = c.now.Add(at)
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

// speedClass rounds a time factor, so that small differences do not scatter a
// gang over many workers.
func speedClass(factor float64) int { return int(factor / speedClassWidth) }

// speedClassWidth is the difference in speed that is worth more workers: a third
// is what the slower half of a fleet commonly lacks.
const speedClassWidth = 0.34
