package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// fitWeight is how much a worker that would be left empty counts against it,
// beside the time that the task takes there: tight packing keeps whole workers
// free for gangs.
const fitWeight = 0.3

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
// equal ones the one that it fills most.
func (c *Cell) bestWorker(s *step) *worker {
	var best *worker
	var bestScore float64
	held := s.spec.Held()
	for _, w := range c.usable {
		if !held.Within(w.free) || !c.eligible(w, s) || c.spreadLeft(s, w) < 1 || c.reserved(w, s) {
			continue
		}
		score := c.score(w, s, held)
		if best == nil || score < bestScore || score == bestScore && w.id < best.id {
			best = w
			bestScore = score
		}
	}
	return best
}

func (c *Cell) score(w *worker, s *step, held tanagerwork.Resources) float64 {
	left := float64(w.free.MilliCPU-held.MilliCPU) / float64(max(w.entry.Capacity.MilliCPU, 1))
	return c.timeFactor(w, s) + fitWeight*left
}

// timeFactor is how much longer than its estimate a task takes on a worker.
func (c *Cell) timeFactor(w *worker, s *step) float64 {
	factor := w.health.slowness()
	if s.spec.DataRack != "" && s.spec.DataRack != w.entry.Rack {
		factor *= c.settings.RemoteFactor
	}
	return factor
}

// eligible reports whether a usable worker may run tasks of a step now.
func (c *Cell) eligible(w *worker, s *step) bool {
	if w.entry.Service != s.job.queue.config.Service {
		return false
	}
	if s.spec.Label != "" && !slices.Contains(w.entry.Labels, s.spec.Label) {
		return false
	}
	return s.job.queue.config.Advice == nil || s.advice.tickets[w.id] != ""
}

// inUse reports whether a worker may get new work.
func (c *Cell) inUse(w *worker) bool {
	return w.listed && w.rostered && w.synced && !w.entry.Draining &&
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
	for _, w := range c.usable {
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
	for _, w := range c.workers {
		if w.reservedFor == s {
			w.reservedFor = nil
		}
	}
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
		return cmp.Or(cmp.Compare(a.factor, b.factor), cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.id, b.worker.id))
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

func (c *Cell) clearReservations() {
	for _, w := range c.workers {
		w.reservedFor = nil
	}
}

// reserved reports whether a worker's room is kept for a gang that comes before
// the step, and the step would neither leave it enough nor be done by the time
// the gang needs it.
func (c *Cell) reserved(w *worker, s *step) bool {
	if w.reservedFor == nil || w.reservedFor == s {
		return false
	}
	if s.spec.Held().Add(w.reservedRoom).Within(w.free) {
		return false
	}
	ends := c.now.Add(time.Duration(float64(s.spec.Estimate) * c.timeFactor(w, s)))
	return s.spec.Lasting || ends.After(w.reservedUntil)
}

// release is an attempt's expected end.
type release struct {
	attempt *attempt
	at      time.Duration
}

// reserve keeps room for a gang that does not fit yet: it finds the time at
// which enough of what runs on its workers will have ended, and keeps later work
// off those workers unless that ends before (EASY backfilling; Lifka, "The
// ANL/IBM SP scheduling system", 1995). Without it small tasks take each gap and
// a gang never finds its room at one moment. It reports whether the gang fits
// now.
func (c *Cell) reserve(s *step) bool {
	room := make(map[*worker]tanagerwork.Resources)
	var releases []release
	for _, w := range c.usable {
		if !c.gangWorker(w, s) {
			continue
		}
		room[w] = w.free
		for a := range w.attempts {
			releases = append(releases, release{
				attempt: a,
				at:      c.remaining(a),
			})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	held := s.spec.Held()
	total := 0
	for w, free := range room {
		total += held.Copies(free, c.spreadLeft(s, w))
	}
	at := time.Duration(0)
	for _, r := range releases {
		if total >= len(s.tasks) {
			break
		}
		w := r.attempt.worker
		before := held.Copies(room[w], c.spreadLeft(s, w))
		room[w] = room[w].Add(r.attempt.step.spec.Held())
		total += held.Copies(room[w], c.spreadLeft(s, w)) - before
		at = r.at
	}
	if total < len(s.tasks) {
		return false
	}
	return c.markReserved(s, room, c.now.Add(at)) && at == 0
}

// markReserved keeps the room and reports whether there is enough beside that of
// other gangs.
func (c *Cell) markReserved(s *step, room map[*worker]tanagerwork.Resources, until time.Time) bool {
	var found []candidate
	for w, free := range room {
		if n := s.spec.Held().Copies(free, c.spreadLeft(s, w)); n > 0 && w.reservedFor == nil {
			found = append(found, candidate{
				worker: w,
				copies: n,
				factor: c.timeFactor(w, s),
			})
		}
	}
	chosen := fill(found, len(s.tasks))
	for _, k := range chosen {
		k.worker.reservedFor = s
		k.worker.reservedRoom = s.spec.Held().Times(k.copies)
		k.worker.reservedUntil = until
	}
	return chosen != nil
}

// gangWorker reports whether a worker is known to be allowed for a gang.
func (c *Cell) gangWorker(w *worker, s *step) bool {
	if w.entry.Service != s.job.queue.config.Service {
		return false
	}
	if s.spec.Label != "" && !slices.Contains(w.entry.Labels, s.spec.Label) {
		return false
	}
	return s.job.queue.config.Advice == nil || s.advice.good[w.id]
}
