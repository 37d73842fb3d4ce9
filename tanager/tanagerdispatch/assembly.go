package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// A gang works only from the moment at which all its members are on their workers.
// A worker ends a member that has waited for the others for Settings.GangWait. The
// cell watches a gang from its first start until it is known to work, and aborts it
// if it will not be complete in time: its capacity is of use elsewhere, and its
// members would end one by one.
//
// A member is present if its worker has accepted the start or reported the run, is
// the same incarnation and has responded to the last poll.

// maxAssemblyFraction is the part of Settings.GangWait after which the members of
// a gang must be present. The rest is for the stops to arrive.
const maxAssemblyFraction = 0.5

// assembly is the state of a gang between its first start and its work.
type assembly struct {
	// watched is set while the step is in Cell.assembling.
	watched bool
	// since is when the first member was started or adopted.
	since time.Time
	// working is set once a member has made progress, which takes all members.
	working bool
	// endedRun is the highest run of which a member has ended before its work was
	// done, so that the other members have no use.
	endedRun int64
}

// adoptable reports whether a run of a member that a predecessor started is of
// use: the gang is not being aborted, has no later run and has lost no member of
// this one.
func (g *gangState) adoptable(run int64) bool {
	return run >= g.lastRun && run > g.assembly.endedRun && !g.aborting
}

// watchAssembly begins to watch a gang with the first attempt of a run. A gang of
// one waits for nobody, and a former run is only being stopped.
func (c *Cell) watchAssembly(s *step, run int64) {
	if len(s.tasks) == 1 || run < s.gang.lastRun {
		return
	}
	if s.activeAttempts == 0 || run > s.gang.lastRun {
		s.gang.assembly.since = c.now
		s.gang.assembly.working = false
	}
	if !s.gang.assembly.watched {
		s.gang.assembly.watched = true
		c.assembling = append(c.assembling, s)
	}
}

// showsWork reports whether a reported run has made progress. The first report of
// a run that resumes from a checkpoint shows the progress up to there.
func (a *attempt) showsWork(active tanagerport.ActiveRun) bool {
	resumedFrom := a.step.checkpoint(a.index)
	if active.Checkpoint != "" && active.Checkpoint != resumedFrom {
		return true
	}
	return active.Percent > a.progressPercent && (resumedFrom == "" || !a.progressAt.IsZero())
}

// checkAssemblies aborts the gangs that will not be complete in time.
func (c *Cell) checkAssemblies() {
	c.assembling = slices.DeleteFunc(c.assembling, func(s *step) bool {
		s.gang.assembly.watched = c.checkAssembly(s)
		return !s.gang.assembly.watched
	})
}

// checkAssembly aborts a gang that will not be complete in time, and reports
// whether to watch it further.
func (c *Cell) checkAssembly(s *step) bool {
	g := &s.gang
	if s.activeAttempts == 0 || g.aborting || s.unfinishedTasks == 0 || s.job.state.Final() {
		return false
	}
	if !s.hasAllMembers() {
		if c.predecessorRunsKnown(s.job) {
			// No worker runs the missing members, and none will.
			c.abortGang(s, "members missing")
			return false
		}
		if !g.assembly.working && c.predecessorWorkersPolled() {
			// How long the members have waited under the predecessor is not known.
			c.abortGang(s, "members not found")
			return false
		}
	}
	if g.assembly.working {
		return !s.hasAllMembers()
	}
	waited := c.now.Sub(g.assembly.since)
	if s.allPresent() {
		return waited < c.settings.GangWait
	}
	if waited < time.Duration(maxAssemblyFraction*float64(c.settings.GangWait)) {
		return true
	}
	c.abortGang(s, "members not present in time")
	return false
}

// predecessorWorkersPolled reports whether each worker on which a predecessor may
// have started tasks has responded to a poll, or has failed to.
func (c *Cell) predecessorWorkersPolled() bool {
	for id := range c.predecessorLeases {
		if w := c.workers[id]; w != nil && w.missedPolls == 0 {
			return false
		}
	}
	return true
}

// hasAllMembers reports whether each member of a gang has an attempt of the
// current run.
func (s *step) hasAllMembers() bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a == nil || a.run != s.gang.lastRun {
			return false
		}
	}
	return true
}

// allPresent reports whether all members of a gang are known to be on their
// workers.
func (s *step) allPresent() bool {
	for i := range s.tasks {
		a := s.tasks[i].attempt
		if a == nil || a.run != s.gang.lastRun || a.phase != running ||
			a.incarnation != a.worker.incarnation || !a.worker.synced || a.worker.missedPolls > 0 {
			return false
		}
	}
	return true
}

// AbortIncompleteGangs stops the members of all gangs that are not known to be
// complete. A scheduler that hands over must call it and send the orders: its
// successor does not know of starts that are on their way, and the members would
// wait for them.
func (c *Cell) AbortIncompleteGangs(now time.Time) {
	c.now = now
	for _, s := range c.assembling {
		if !s.gang.assembly.working && !s.gang.aborting && s.unfinishedTasks > 0 && !s.allPresent() {
			c.abortGang(s, "scheduler hands over")
		}
	}
}
