package tanagerdispatch

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// The decisions of this file answer workers that fall silent. A worker whose lease
// expires in silence may have crashed or may only be cut off, so the crash is
// presumed until one of these facts is known:
//
//   - The same incarnation responds again: the crash is refuted.
//   - Another incarnation, or another worker at the address, responds: it counts.
//   - The worker is missing from the platform's list: it counts until the worker is
//     listed again.
//
// A presumed crash gives no task up. A task that would be given up if its presumed
// crashes counted is not started until it is known whether they do, so that it is
// started no more often than if they counted at once.

const (
	// missingEntryDelay is how long a worker must be missing from the platform's list to
	// be taken for gone. A scheduler that has just started may not have read the list yet,
	// or just after an outage of the store, when entries take two seconds to return.
	missingEntryDelay = 3 * time.Second
	// maxPresumedWorkers bounds the workers with presumed crashes that are kept of one
	// run, as a wide gang may lose many at once.
	maxPresumedWorkers = 3
)

// presumedCrash is the loss of a run that may have crashed its worker, which has
// not responded since.
type presumedCrash struct {
	step   *step
	index  int
	run    int64
	worker tanagerport.WorkerRef
	// presumedAt is when the worker's lease had expired, or when a successor read of
	// it. unlistedSince is zero while the worker is listed.
	presumedAt, unlistedSince time.Time
	// gone is set if the worker has been unlisted for missingEntryDelay.
	gone bool
}

// crashes returns the crashes under the task, or under its gang.
func (p *presumedCrash) crashes() *crashHistory { return p.step.crashes(p.index) }

// relevant reports whether the crash may still count. A run that survives clears its
// task of all crashes, and a job that has ended is not given up.
func (p *presumedCrash) relevant() bool {
	return !p.step.job.state.Final() && slices.Contains(p.crashes().presumed, p)
}

// addPresumed adds a presumed crash, unless its run is counted already, and reports
// whether it did. Only the last runs are kept, as of other crashes.
func (h *crashHistory) addPresumed(p *presumedCrash) bool {
	if h.counted(p.run) {
		return false
	}
	workers := 0
	for _, o := range h.presumed {
		if o.run == p.run {
			workers++
		}
	}
	if workers >= maxPresumedWorkers {
		return false
	}
	h.presumed = append(h.presumed, p)
	if h.presumedRuns(anyPresumed) > maxUnconfirmedCrashes {
		h.dropPresumed(h.presumed[0].run)
	}
	return true
}

// dropPresumed removes the presumed crashes of a run.
func (h *crashHistory) dropPresumed(run int64) {
	h.presumed = slices.DeleteFunc(h.presumed, func(p *presumedCrash) bool { return p.run == run })
}

// presumedRuns returns the number of runs with presumed crashes for which a condition
// holds.
func (h *crashHistory) presumedRuns(holds func(*presumedCrash) bool) int {
	var runs tanagerwork.FailedRuns
	for _, p := range h.presumed {
		if holds(p) {
			runs.Add(p.run)
		}
	}
	return len(runs)
}

func anyPresumed(*presumedCrash) bool { return true }

func (p *presumedCrash) isGone() bool { return p.gone }

// presumeCrash records that a run may have crashed its worker, whose lease has
// expired.
func (c *Cell) presumeCrash(a *attempt) {
	s := a.step
	p := &presumedCrash{
		step:       s,
		index:      a.index,
		run:        a.run,
		worker:     a.worker.ref(),
		presumedAt: c.now,
	}
	p.worker.Incarnation = a.incarnation
	crashes := p.crashes()
	if !crashes.addPresumed(p) {
		return
	}
	c.presumedCrashes = append(c.presumedCrashes, p)
	crashes.last = suspectedUnconfirmed
	c.storeCrash(a)
	c.logPresumed("crash_presumed", p, fmt.Sprintf("%d presumed, %d counted", crashes.presumedRuns(anyPresumed), crashes.count()))
}

// refuteCrashes clears the runs that were presumed to have crashed a worker, after
// the same incarnation has responded to a poll sent at sentAt.
func (c *Cell) refuteCrashes(w *worker, sentAt time.Time) {
	c.presumedCrashes = slices.DeleteFunc(c.presumedCrashes, func(p *presumedCrash) bool {
		if p.worker.ID != w.id || p.worker.Incarnation != w.incarnation || !sentAt.After(p.presumedAt) || !p.relevant() {
			return false
		}
		crashes := p.crashes()
		crashes.presumed = slices.DeleteFunc(crashes.presumed, func(o *presumedCrash) bool { return o == p })
		c.markDirty(p.step.job)
		c.capacityVersion++
		c.logPresumed("crash_refuted", p, "the same incarnation has responded")
		return true
	})
}

// reviewPresumedCrashes counts the presumed crashes of workers that have restarted or
// are gone, and forgets those that no longer matter.
func (c *Cell) reviewPresumedCrashes() {
	if len(c.presumedCrashes) == 0 {
		return
	}
	c.presumedCrashes = slices.DeleteFunc(c.presumedCrashes, func(p *presumedCrash) bool { return !p.relevant() })
	occupants := c.occupants()
	for _, p := range slices.Clone(c.presumedCrashes) {
		if p.relevant() {
			c.reviewPresumedCrash(p, occupants[p.worker.Address])
		}
	}
}

// occupants returns, by address, the workers that have responded last.
func (c *Cell) occupants() map[netip.AddrPort]*worker {
	found := make(map[netip.AddrPort]*worker)
	for _, w := range c.workerList {
		address := w.entry.Address
		if !w.synced || !address.IsValid() {
			continue
		}
		if other := found[address]; other == nil || w.lastResponse.After(other.lastResponse) {
			found[address] = w
		}
	}
	return found
}

// reviewPresumedCrash counts a presumed crash as an unconfirmed one if its worker has
// ended, though not necessarily because of the run, or is gone. The occupant is the
// worker that has last responded at the address, or nil.
func (c *Cell) reviewPresumedCrash(p *presumedCrash, occupant *worker) {
	w := c.workers[p.worker.ID]
	switch {
	case w != nil && w.synced && w.incarnation != p.worker.Incarnation:
		p.crashes().add(p.run, suspectedUnconfirmed)
		c.applyPresumed(p, "worker has restarted")
	case occupant != nil && occupant.id != p.worker.ID && occupant.lastResponse.After(p.presumedAt):
		p.crashes().add(p.run, suspectedUnconfirmed)
		c.applyPresumed(p, "another worker responds at its address")
	case w != nil && w.listed:
		p.unlistedSince = time.Time{}
		p.gone = false
	case p.unlistedSince.IsZero():
		p.unlistedSince = c.now
	case !p.gone && c.now.Sub(p.unlistedSince) >= missingEntryDelay:
		p.gone = true
		c.applyPresumed(p, "worker is gone")
	}
}

// applyPresumed applies that a presumed crash counts from now on.
func (c *Cell) applyPresumed(p *presumedCrash, reason string) {
	crashes := p.crashes()
	c.markDirty(p.step.job)
	c.capacityVersion++
	c.logPresumed("run_crashed", p, fmt.Sprintf("crash %d in a row, %d confirmed, %s",
		crashes.count(), len(crashes.confirmed), reason))
	c.checkCrashLimit(p.name(), p.run, p.step, crashes)
}

// name returns the name of the task, or of the member of a gang, that was lost.
func (p *presumedCrash) name() tanagerwork.TaskName {
	return tanagerwork.TaskName{
		StepName: p.step.name,
		Index:    p.index,
	}
}

func (c *Cell) logPresumed(event string, p *presumedCrash, reason string) {
	c.logEvent(LogEvent{
		Name:        event,
		Job:         p.step.job.record.ID,
		Queue:       p.step.job.record.Queue,
		Task:        p.name(),
		Run:         p.run,
		Worker:      p.worker.ID,
		Incarnation: p.worker.Incarnation,
		Reason:      reason,
		Age:         c.now.Sub(p.presumedAt),
	})
}

// awaitsCrashVerdict reports whether a task would be given up if its presumed crashes
// counted, and must not be started before they are settled.
func (s *step) awaitsCrashVerdict(index int) bool {
	h := s.crashes(index)
	total := len(h.confirmed) + len(h.unconfirmed) + h.presumedRuns(anyPresumed)
	return len(h.presumed) > 0 && s.crashCountReached(len(h.confirmed), total, h.last)
}

// restorePresumedCrashes applies the presumed crashes in the stored progress of a step.
func (c *Cell) restorePresumedCrashes(s *step, sp *tanagerwork.StepProgress) {
	for _, index := range slices.Sorted(maps.Keys(sp.PresumedCrashes)) {
		if !s.hasTask(index) {
			continue
		}
		for _, stored := range sp.PresumedCrashes[index] {
			p := &presumedCrash{
				step:  s,
				index: index,
				run:   stored.Run,
				worker: tanagerport.WorkerRef{
					ID:          stored.Worker,
					Incarnation: stored.Incarnation,
				},
				presumedAt: c.now,
			}
			if p.crashes().addPresumed(p) {
				c.presumedCrashes = append(c.presumedCrashes, p)
			}
		}
	}
}
