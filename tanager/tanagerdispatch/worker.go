package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// worker is what the cell knows of a worker.
type worker struct {
	id          string
	incarnation int64
	// ended holds the former incarnations. An incarnation is named by a time of day,
	// which may have been put back before a restart, so a lower one can be the later.
	// It was last replaced at replacedAt.
	ended      map[int64]bool
	replacedAt time.Time
	entry      tanagerport.WorkerEntry
	// listed workers are in the latest list of workers; inRoster workers are also
	// in the stored roster, so that a successor waits for them. leavingRoster
	// workers were left out of the roster that was last to be stored.
	listed, inRoster, leavingRoster bool
	// synced workers have responded to a poll of this epoch in this incarnation:
	// all their runs are known, and they refuse older epochs.
	synced   bool
	free     tanagerwork.Resources
	attempts []*attempt
	// orphans are the runs in the last report that no attempt stands for, and
	// orphanUsage is the capacity that they take.
	orphans     []tanagerport.ActiveRun
	orphanUsage tanagerwork.Resources
	// clock is the worker's clock at clockAt. leaseEnd is the latest deadline
	// that was sent, on that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// attemptsExpireAt is when the attempts on a new incarnation that does not
	// respond have certainly ended; zero if there is no such incarnation.
	attemptsExpireAt time.Time
	lastResponse     time.Time
	// answeredLate is set if the last response may have waited to be read.
	answeredLate bool

	// lastAlive is when the worker last responded to any call, and silentSince when
	// a call after that first got no response. lastStartAt is when a start was last
	// sent. Until probationUntil a suspect may crash the worker.
	lastAlive, silentSince, lastStartAt, probationUntil time.Time

	pollInFlight bool
	pollSentAt   time.Time
	nextPollAt   time.Time
	missedPolls  int

	// lastAppliedEnd is the highest number of an end that was applied, and
	// acknowledgedEnd that of the last one whose progress is stored. pendingAcks
	// are the applied ends after it, sorted by number.
	lastAppliedEnd, acknowledgedEnd int64
	pendingAcks                     []pendingAck
	// reportedIdle is set if the last report was complete and contained no run.
	reportedIdle  bool
	drainDeadline time.Time
	// cordonedAt is when the worker was cordoned for the maintenance of its
	// machine.
	cordonedAt time.Time
	// usable workers may be given new work as of the last tick.
	usable bool
	// fleetPosition is between 0, for the worker where single tasks are placed
	// first, and 1, for the one where gangs are placed first.
	fleetPosition float64
	// projectedReleases are sorted by time, as of the last computation of
	// reservations.
	projectedReleases []projectedRelease
	health            health
	// reservedFor is the gang that reservedCapacity is reserved for, since
	// reservedAt.
	reservedFor      *step
	reservedCapacity tanagerwork.Resources
	reservedAt       time.Time
	// advanceGang is a gang with an advance reservation: it may start on this
	// worker at advanceStart. Tasks with more slack stay off the worker unless
	// they end before that.
	advanceGang  *step
	advanceStart time.Time
}

func (w *worker) ref() tanagerport.WorkerRef {
	return tanagerport.WorkerRef{
		ID:          w.id,
		Incarnation: w.incarnation,
		Address:     w.entry.Address,
	}
}

// replacedBy reports whether a worker has restarted, as its entry or a report names
// another incarnation that is not one of the former. 0 names none.
func (w *worker) replacedBy(incarnation int64) bool {
	return incarnation != 0 && incarnation != w.incarnation && !w.ended[incarnation]
}

func (w *worker) deallocate(a *attempt) {
	if i := slices.Index(w.attempts, a); i >= 0 {
		w.attempts = slices.Delete(w.attempts, i, i+1)
		w.free = w.free.Add(a.step.spec.Allocation())
	}
}

func (w *worker) allocate(a *attempt) {
	w.attempts = append(w.attempts, a)
	w.free = w.free.Sub(a.step.spec.Allocation())
}

// overcommitted reports whether more is allocated on the worker than it has,
// because its capacity has shrunk or orphaned runs take some of it.
func (w *worker) overcommitted() bool { return !tanagerwork.Resources{}.FitsIn(w.free) }

// SetWorkers replaces the list of workers. Workers that are no longer listed get
// no new work.
func (c *Cell) SetWorkers(now time.Time, entries []tanagerport.WorkerEntry) {
	c.now = now
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		c.setWorker(e)
	}
	for _, w := range c.workerList {
		if w.listed && !present[w.id] {
			w.listed = false
			c.logEvent(LogEvent{
				Name:   "worker_unlisted",
				Worker: w.id,
				Reason: "no longer in the list",
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
	if w.ended[e.Incarnation] || e.Incarnation == 0 && w.incarnation != 0 {
		return
	}
	if w.replacedBy(e.Incarnation) {
		c.replaceIncarnation(w, e.Incarnation, "listed with another incarnation")
	}
	c.logEntryChange(w, e)
	c.setCapacity(w, e.Capacity)
	w.entry = e
	w.listed = true
}

// setCapacity replaces a worker's capacity, which may be less than what is allocated.
// Orphaned runs that count as the whole worker take what is added as well.
func (c *Cell) setCapacity(w *worker, capacity tanagerwork.Resources) {
	before := w.entry.Capacity
	if capacity != before {
		c.capacityVersion++
	}
	if w.orphanUsage != (tanagerwork.Resources{}) && before.FitsIn(w.orphanUsage) {
		w.setOrphanUsage(w.orphanUsage.Add(capacity.Sub(before)))
	}
	w.free = w.free.Add(capacity.Sub(before))
	w.entry.Capacity = capacity
}

func (c *Cell) newWorker(e tanagerport.WorkerEntry) *worker {
	w := &worker{
		id:           e.ID,
		incarnation:  e.Incarnation,
		entry:        e,
		free:         e.Capacity,
		lastResponse: c.now,
		nextPollAt:   c.now,
	}
	c.workers[e.ID] = w
	i, _ := slices.BinarySearchFunc(c.workerList, w, compareWorkers)
	c.workerList = slices.Insert(c.workerList, i, w)
	return w
}

func (c *Cell) removeWorker(w *worker) {
	delete(c.workers, w.id)
	if i, known := slices.BinarySearchFunc(c.workerList, w, compareWorkers); known {
		c.workerList = slices.Delete(c.workerList, i, i+1)
	}
}

func compareWorkers(a, b *worker) int { return cmp.Compare(a.id, b.id) }

// logEntryChange logs the first entry of a worker and the start of its draining,
// and records when it will terminate.
func (c *Cell) logEntryChange(w *worker, e tanagerport.WorkerEntry) {
	switch {
	case !w.listed:
		c.capacityVersion++
		c.logEvent(LogEvent{
			Name:   "worker_listed",
			Worker: w.id,
			Reason: e.Service,
		})
	case e.Draining && !w.entry.Draining:
		w.drainDeadline = c.now.Add(e.TerminatesIn)
		c.logEvent(LogEvent{
			Name:   "worker_draining",
			Worker: w.id,
			Reason: "terminates in " + e.TerminatesIn.String(),
		})
	}
}
