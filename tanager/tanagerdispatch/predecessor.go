package tanagerdispatch

import "time"

// AddPredecessorWorkers names the workers on which a predecessor may have
// started tasks. Tasks of inherited jobs that no worker reports as running wait
// until each of these workers has reported all its runs and ends to this epoch or has
// a lease that has certainly expired.
// AddPredecessorWorkers must be called before AddJob.
//
// The predecessor extends leases for at most RenewalWindow, see SetAuthority.
func (c *Cell) AddPredecessorWorkers(now time.Time, workers []string) {
	c.now = now
	c.predecessorEndsAt = now.Add(RenewalWindow)
	for _, id := range workers {
		c.awaitPredecessorLease(id)
	}
}

// awaitPredecessorLease makes the tasks of inherited jobs wait for a worker.
func (c *Cell) awaitPredecessorLease(id string) {
	lease := time.Duration(float64(c.settings.Lease) * (1 + clockDrift))
	c.predecessorLeases[id] = c.predecessorEndsAt.Add(lease + leaseExpiryMargin)
}

// expirePredecessorLeases stops waiting for workers whose leases from a
// predecessor have expired.
func (c *Cell) expirePredecessorLeases() {
	for id, until := range c.predecessorLeases {
		if c.now.After(until) {
			delete(c.predecessorLeases, id)
			c.logEvent(LogEvent{
				Name:   "predecessor_lease_over",
				Worker: id,
			})
		}
	}
}

// predecessorRunsKnown reports whether all runs that a predecessor may have
// started for a job are known or have ended.
func (c *Cell) predecessorRunsKnown(j *job) bool {
	if !j.inherited {
		return true
	}
	if len(c.predecessorLeases) > 0 {
		return false
	}
	// Until the predecessor has ended, a worker that restarts has to be waited for again.
	j.inherited = c.now.Before(c.predecessorEndsAt)
	return true
}

// RosterChanged reports whether Roster differs from the roster that was stored
// last.
func (c *Cell) RosterChanged() bool {
	for _, w := range c.workerList {
		belongs := c.belongsInRoster(w)
		if belongs != w.inRoster || belongs && w.leavingRoster {
			return true
		}
	}
	return false
}

// Roster returns the workers whose runs a successor has to wait for. A silent
// worker stays in it until its lease has expired, as it may hold ends of runs
// that nobody has acknowledged; after that a successor need not wait for it.
//
// The caller must store the result. Workers that it leaves out get no work from
// now on, since the write may take effect before its response arrives.
func (c *Cell) Roster() []string {
	var ids []string
	for _, w := range c.workerList {
		w.leavingRoster = !c.belongsInRoster(w)
		if !w.leavingRoster {
			ids = append(ids, w.id)
		}
	}
	for id := range c.predecessorLeases {
		if c.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Cell) belongsInRoster(w *worker) bool {
	if _, inherited := c.predecessorLeases[w.id]; inherited || len(w.attempts) > 0 {
		return true
	}
	if w.listed && !w.entry.Draining && w.missedPolls < silentPollCount {
		return true
	}
	return !c.holdsNoLease(w) && !w.leftIdle()
}

// leftIdle reports whether a worker that gets no new work, because it drains or
// is no longer listed, has nothing left that a successor must learn from it.
// Waiting for the lease of such a worker would delay the inherited jobs if the
// scheduler is lost shortly after a planned departure.
func (w *worker) leftIdle() bool {
	return (w.entry.Draining || !w.listed) && w.reportedIdle && !w.hasUnstoredEnds()
}

// silentPollCount is the number of failed polls in a row after which a worker
// counts as silent.
const silentPollCount = 3

// RosterStored records that a roster has been stored. Only workers in the stored
// roster are given work.
func (c *Cell) RosterStored(ids []string) {
	stored := make(map[string]bool, len(ids))
	for _, id := range ids {
		stored[id] = true
	}
	for _, w := range c.workerList {
		w.inRoster = stored[w.id]
	}
	c.capacityVersion++
}
