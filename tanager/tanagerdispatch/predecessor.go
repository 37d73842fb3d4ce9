package tanagerdispatch

import "time"

// Inherit tells which workers a predecessor may have started tasks on. Tasks of
// inherited jobs that no worker shows wait until each of these has answered a
// poll of this epoch, has begun another life, or has certainly let its lease run
// out. It must be called before AddJob.
//
// The predecessor may go on extending leases until a worker refuses its epoch,
// which predecessorWindow bounds.
func (c *Cell) Inherit(now time.Time, workers []string) {
	c.now = now
	lease := time.Duration(float64(c.settings.Lease) * (1 + clockDrift))
	for _, id := range workers {
		c.predecessorLeases[id] = now.Add(predecessorRenewalWindow + lease + leaseExpiryMargin)
	}
}

// expirePredecessorLeases gives up on workers whose leases have run out.
func (c *Cell) expirePredecessorLeases() {
	for id, until := range c.predecessorLeases {
		if c.now.After(until) {
			delete(c.predecessorLeases, id)
			c.logEvent(Note{
				Event:  "predecessor_lease_over",
				Worker: id,
			})
		}
	}
}

// predecessorRunsKnown reports whether all runs of an inherited job are known.
func (c *Cell) predecessorRunsKnown(j *job) bool {
	if !j.inherited {
		return true
	}
	if len(c.predecessorLeases) > 0 {
		return false
	}
	j.inherited = false
	return true
}

// RosterChanged reports whether the stored roster has others than Roster returns.
func (c *Cell) RosterChanged() bool {
	for _, w := range c.workers {
		if c.belongsInRoster(w) != w.inRoster {
			return true
		}
	}
	return false
}

// Roster returns the workers that a successor has to account for. Workers that are
// silent are left out once their leases are over, so that a successor need not wait
// for them: before that they may list ends of runs that are not acknowledged.
func (c *Cell) Roster() []string {
	var ids []string
	for id, w := range c.workers {
		if c.belongsInRoster(w) {
			ids = append(ids, id)
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
	if len(w.attempts) > 0 || w.listed && w.missedPolls < silentPollCount || !c.holdsNoLease(w) {
		return true
	}
	_, awaited := c.predecessorLeases[w.id]
	return awaited
}

// silentPollCount is how many polls in a row a worker leaves unanswered before it
// counts as silent.
const silentPollCount = 3

// RosterStored tells that a roster is in the store: only its workers may be
// used.
func (c *Cell) RosterStored(ids []string) {
	stored := make(map[string]bool, len(ids))
	for _, id := range ids {
		stored[id] = true
	}
	for id, w := range c.workers {
		w.inRoster = stored[id]
	}
	c.capacityVersion++
}
