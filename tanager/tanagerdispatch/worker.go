package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// worker is a row of the table of workers.
type worker struct {
	id    string
	life  int64
	entry tanagerport.WorkerEntry
	// listed workers stand in the list of workers; rostered ones are also in
	// the stored roster, so that a successor accounts for them.
	listed, rostered bool
	// synced workers have answered a poll of this epoch in this life, so that
	// all their runs are known and older epochs are refused.
	synced   bool
	free     tanagerwork.Resources
	attempts map[*attempt]struct{}
	// strays is the room of runs that are there but no attempt stands for.
	strays tanagerwork.Resources
	// clock is the worker's clock as it was at clockAt; leaseEnd the latest
	// deadline that was sent, on that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// giveUpAt is when the attempts of a worker in a new life that answers
	// nothing have ended.
	giveUpAt time.Time
	heard    time.Time

	polling  bool
	pollSent time.Time
	pollDue  time.Time
	misses   int

	// seen is the highest end that was applied, acks the ends that wait for
	// their job's progress to be stored.
	seen, acknowledged int64
	acks               []ack
	leavesAt           time.Time
	// cordonedAt is when the worker began to be emptied for the upkeep of its
	// machine.
	cordonedAt time.Time
	// usable is whether the worker may get new work, as of the last tick.
	usable bool
	// side is the worker's place between the end of the fleet that is filled
	// with single tasks first, 0, and the one where gangs are placed first, 1.
	side float64
	// releases is the forecast of the last reckoning of reservations.
	releases []release
	health   health
	// reservedFor is the gang that reservedRoom is kept for, since reservedAt.
	reservedFor  *step
	reservedRoom tanagerwork.Resources
	reservedAt   time.Time
	// yieldTo is a gang further back that may use this worker: work with more
	// slack stays away unless it ends before yieldUntil.
	yieldTo    *step
	yieldUntil time.Time
}

func (w *worker) ref() tanagerport.WorkerRef {
	return tanagerport.WorkerRef{
		ID:      w.id,
		Life:    w.life,
		Address: w.entry.Address,
	}
}

func (w *worker) release(a *attempt) {
	if _, held := w.attempts[a]; held {
		delete(w.attempts, a)
		w.free = w.free.Add(a.step.spec.Held())
	}
}

func (w *worker) hold(a *attempt) {
	w.attempts[a] = struct{}{}
	w.free = w.free.Sub(a.step.spec.Held())
}

// SetWorkers replaces the list of workers.
func (c *Cell) SetWorkers(now time.Time, entries []tanagerport.WorkerEntry) {
	c.now = now
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		c.setWorker(e)
	}
	for _, w := range c.workers {
		if w.listed && !present[w.id] {
			w.listed = false
			c.note(Note{
				Event:  "worker_unlisted",
				Worker: w.id,
				Reason: "no entry in the list",
				Age:    now.Sub(w.heard),
			})
		}
	}
}

func (c *Cell) setWorker(e tanagerport.WorkerEntry) {
	w := c.workers[e.ID]
	if w == nil {
		w = c.newWorker(e)
	}
	if e.Life < w.life {
		return
	}
	if e.Life > w.life {
		c.reborn(w, e.Life, "its entry names a later life")
	}
	c.noteEntry(w, e)
	held := w.entry.Capacity.Sub(w.free)
	w.entry = e
	w.free = e.Capacity.Sub(held)
	w.listed = true
}

func (c *Cell) newWorker(e tanagerport.WorkerEntry) *worker {
	w := &worker{
		id:       e.ID,
		life:     e.Life,
		entry:    e,
		free:     e.Capacity,
		attempts: make(map[*attempt]struct{}),
		heard:    c.now,
		pollDue:  c.now,
	}
	c.workers[e.ID] = w
	return w
}

// noteEntry logs what an entry changes.
func (c *Cell) noteEntry(w *worker, e tanagerport.WorkerEntry) {
	switch {
	case !w.listed:
		c.roomVersion++
		c.note(Note{
			Event:  "worker_listed",
			Worker: w.id,
			Reason: e.Service,
		})
	case e.Draining && !w.entry.Draining:
		w.leavesAt = c.now.Add(e.LeavesIn)
		c.note(Note{
			Event:  "worker_draining",
			Worker: w.id,
			Reason: "leaves in " + e.LeavesIn.String(),
		})
	}
}
