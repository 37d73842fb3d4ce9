package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// worker is a row of the table of workers.
type worker struct {
	id          string
	incarnation int64
	entry       tanagerport.WorkerEntry
	// listed workers stand in the list of workers; inRoster ones are also in
	// the stored roster, so that a successor accounts for them.
	listed, inRoster bool
	// synced workers have answered a poll of this epoch in this life, so that
	// all their runs are known and older epochs are refused.
	synced   bool
	free     tanagerwork.Resources
	attempts map[*attempt]struct{}
	// orphanUsage is the room of runs that are there but no attempt stands for.
	orphanUsage tanagerwork.Resources
	// clock is the worker's clock as it was at clockAt; leaseEnd the latest
	// deadline that was sent, on that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// attemptsExpireAt is when the attempts of a worker in a new life that answers
	// nothing have ended.
	attemptsExpireAt time.Time
	lastResponse     time.Time

	pollInFlight bool
	pollSentAt   time.Time
	nextPollAt   time.Time
	missedPolls  int

	// lastAppliedEnd is the highest end that was applied, acks the ends that wait for
	// their job's progress to be stored.
	lastAppliedEnd, acknowledgedEnd int64
	pendingAcks                     []pendingAck
	drainDeadline                   time.Time
	// cordonedAt is when the worker began to be emptied for the upkeep of its
	// machine.
	cordonedAt time.Time
	// usable is whether the worker may get new work, as of the last tick.
	usable bool
	// fleetPosition is the worker's place between the end of the fleet that is filled
	// with single tasks first, 0, and the one where gangs are placed first, 1.
	fleetPosition float64
	// projectedReleases is the forecast of the last reckoning of reservations.
	projectedReleases []projectedRelease
	health            health
	// reservedFor is the gang that reservedRoom is kept for, since reservedAt.
	reservedFor      *step
	reservedCapacity tanagerwork.Resources
	reservedAt       time.Time
	// advanceGang is a gang further back that may use this worker: work with more
	// slack stays away unless it ends before yieldUntil.
	advanceGang  *step
	advanceStart time.Time
}

func (w *worker) ref() tanagerport.WorkerRef {
	return tanagerport.WorkerRef{
		ID:      w.id,
		Life:    w.incarnation,
		Address: w.entry.Address,
	}
}

func (w *worker) deallocate(a *attempt) {
	if _, held := w.attempts[a]; held {
		delete(w.attempts, a)
		w.free = w.free.Add(a.step.spec.Held())
	}
}

func (w *worker) allocate(a *attempt) {
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
			c.logEvent(Note{
				Event:  "worker_unlisted",
				Worker: w.id,
				Reason: "no entry in the list",
				Age:    now.Sub(w.lastResponse),
			})
		}
	}
}

func (c *Cell) setWorker(e tanagerport.WorkerEntry) {
	w := c.workers[e.ID]
	if w == nil {
		w = c.newWorker(e)
	}
	if e.Life < w.incarnation {
		return
	}
	if e.Life > w.incarnation {
		c.replaceIncarnation(w, e.Life, "its entry names a later life")
	}
	c.logEntryChange(w, e)
	held := w.entry.Capacity.Sub(w.free)
	w.entry = e
	w.free = e.Capacity.Sub(held)
	w.listed = true
}

func (c *Cell) newWorker(e tanagerport.WorkerEntry) *worker {
	w := &worker{
		id:           e.ID,
		incarnation:  e.Life,
		entry:        e,
		free:         e.Capacity,
		attempts:     make(map[*attempt]struct{}),
		lastResponse: c.now,
		nextPollAt:   c.now,
	}
	c.workers[e.ID] = w
	return w
}

// logEntryChange logs what an entry changes.
func (c *Cell) logEntryChange(w *worker, e tanagerport.WorkerEntry) {
	switch {
	case !w.listed:
		c.capacityVersion++
		c.logEvent(Note{
			Event:  "worker_listed",
			Worker: w.id,
			Reason: e.Service,
		})
	case e.Draining && !w.entry.Draining:
		w.drainDeadline = c.now.Add(e.LeavesIn)
		c.logEvent(Note{
			Event:  "worker_draining",
			Worker: w.id,
			Reason: "leaves in " + e.LeavesIn.String(),
		})
	}
}
