package tanagerdispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// The decisions of this file answer tasks that crash each worker that starts
// them. All other runs on such a worker are lost with it, and the worker is away
// for seconds, so a task must be found out after few crashes. Those that merely
// shared its workers must not be given up with it.
//
// A worker's crash is attributed to the runs that may have started within
// crashWindow before it. Their tasks are suspects until a run of theirs outlives
// crashWindow. A suspect is started where no other run has been started within
// crashWindow, and no other follows within that time, so that the next crash
// separates the culprit from the others.
//
// A crash is confirmed if the worker had accepted or reported the run and has
// restarted. A start without a response may never have reached the worker, and a
// worker may have restarted long after it fell silent: such unconfirmed crashes do
// not suffice to give a task up as soon. While it is not known whether a silent
// worker has crashed at all, its crash is only presumed, see presumed.go.

const (
	// crashWindow is how long after its start a task may crash its worker.
	crashWindow = 300 * time.Millisecond
	// maxCrashes is the number of crashes in a row that are attributed to a task
	// after which the task is given up. maxSoleCrashes is the number that suffices
	// if the last one can be attributed to no other job, and maxLateCrashes the
	// number if it was noticed late or is not confirmed. They require that
	// maxSoleCrashes are confirmed; otherwise maxUnconfirmedCrashes is the number.
	maxCrashes            = 3
	maxSoleCrashes        = 2
	maxLateCrashes        = 4
	maxUnconfirmedCrashes = 5
	// maxCrashWriteWait bounds how long a suspect waits until its crashes are
	// stored, so that a successor continues to count.
	maxCrashWriteWait = 80 * time.Millisecond
	// maxIsolationWait bounds how long a suspect waits for a worker on which nothing
	// has been started within crashWindow. Under overload there may be none.
	maxIsolationWait = 2 * time.Second
)

// suspicion tells whether a run may have crashed its worker.
type suspicion uint8

const (
	// unsuspected runs had outlived crashWindow.
	unsuspected suspicion = iota
	// suspectedUnconfirmed runs may not have been started before the crash, or it is
	// not known whether the worker has crashed.
	suspectedUnconfirmed
	// suspectedLate runs may have been started shortly before the crash, but it was
	// noticed late.
	suspectedLate
	// suspectedWithOthers runs were started shortly before the crash, as were runs
	// of other jobs.
	suspectedWithOthers
	// suspectedAlone runs belong to the only job that was started shortly before
	// the crash.
	suspectedAlone
)

// String returns the form that is written to the log.
func (s suspicion) String() string {
	switch s {
	case suspectedUnconfirmed:
		return "unconfirmed"
	case suspectedLate:
		return "noticed late"
	case suspectedWithOthers:
		return "suspected with others"
	case suspectedAlone:
		return "suspected alone"
	}
	return "unsuspected"
}

// recordAlive records a response of a worker.
func (w *worker) recordAlive(now time.Time) {
	w.lastAlive = now
	w.silentSince = time.Time{}
}

// recordSilent records a call to a worker that got no response.
func (w *worker) recordSilent(now time.Time) {
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// suspectAttempts determines which attempts may have crashed a worker whose
// incarnation has ended. If restarted is false, the worker may also have been
// cut off. Workers that were about to leave have not crashed.
func (c *Cell) suspectAttempts(w *worker, restarted bool) {
	if w.entry.Draining || !w.cordonedAt.IsZero() {
		return
	}
	w.recordSilent(c.now)
	var suspects []*attempt
	for _, a := range w.attempts {
		if a.mayHaveCrashed(w) {
			suspects = append(suspects, a)
		}
	}
	for _, a := range suspects {
		a.workerRestarted = restarted
		otherJob := slices.ContainsFunc(suspects, func(o *attempt) bool { return o.step.job != a.step.job })
		switch {
		case !restarted || a.startedAt.IsZero():
			a.suspicion = suspectedUnconfirmed
		case w.silentSince.Sub(a.startSentAt) > crashWindow:
			a.suspicion = suspectedLate
		case otherJob:
			a.suspicion = suspectedWithOthers
		default:
			a.suspicion = suspectedAlone
		}
	}
}

// mayHaveCrashed reports whether an attempt may have started within crashWindow
// before its worker crashed, which was between the last response and the first
// call without one.
func (a *attempt) mayHaveCrashed(w *worker) bool {
	if a.startSentAt.After(w.silentSince) || a.suspicion != unsuspected {
		return false
	}
	return a.startedAt.IsZero() || !a.startSentAt.Add(crashWindow).Before(w.lastAlive)
}

// crashHistory holds the runs in a row of a task, or of its gang, under which their
// workers have crashed.
type crashHistory struct {
	confirmed, unconfirmed tanagerwork.FailedRuns
	// presumed are crashes that are not known to have happened. They are not among
	// the others.
	presumed []*presumedCrash
	// last is the certainty of the crash that was recorded last, which a successor does
	// not know.
	last suspicion
}

// counted reports whether a run is among the crashes.
func (h *crashHistory) counted(run int64) bool {
	return slices.Contains(h.confirmed, run) || slices.Contains(h.unconfirmed, run)
}

// add adds a run and reports whether it was not yet known. Only the last runs are kept: a
// long-running task is not given up for any number of unconfirmed crashes.
func (h *crashHistory) add(run int64, s suspicion) bool {
	if h.counted(run) {
		return false
	}
	h.dropPresumed(run)
	runs := &h.confirmed
	if s == suspectedUnconfirmed {
		runs = &h.unconfirmed
	}
	runs.Add(run)
	if len(*runs) > maxUnconfirmedCrashes {
		*runs = slices.Delete(*runs, 0, 1)
	}
	return true
}

// count returns the number of crashes, confirmed or not. Presumed ones count while the
// worker is gone.
func (h *crashHistory) count() int {
	return len(h.confirmed) + len(h.unconfirmed) + h.presumedRuns((*presumedCrash).isGone)
}

// crashes returns the crashes under a task, or under its gang.
func (s *step) crashes(index int) *crashHistory {
	if s.spec.Gang {
		return &s.gang.crashes
	}
	return &s.tasks[index].crashes
}

// suspect reports whether a task, or its gang, may crash the worker that starts it.
func (s *step) suspect(index int) bool {
	h := s.crashes(index)
	return h.count()+len(h.presumed) > 0
}

// recordCrash counts the crash of a worker under an attempt that has been
// removed, and gives its task up after too many.
func (c *Cell) recordCrash(a *attempt) {
	s := a.step
	if a.suspicion == unsuspected || s.job.state.Final() {
		return
	}
	if a.suspicion == suspectedUnconfirmed && !a.workerRestarted {
		c.presumeCrash(a)
		return
	}
	crashes := s.crashes(a.index)
	if !crashes.add(a.run, a.suspicion) {
		return
	}
	certainty := a.suspicion
	if certainty == suspectedAlone && s.crashedBefore(a.worker) {
		certainty = suspectedWithOthers
	}
	crashes.last = certainty
	c.storeCrash(a)
	c.logAttempt("run_crashed", a, fmt.Sprintf("crash %d in a row, %d confirmed, %s",
		crashes.count(), len(crashes.confirmed), certainty))
	c.checkCrashLimit(a.name(), a.run, s, crashes)
}

// storeCrash records that the crash of a worker under an attempt is to be stored.
func (c *Cell) storeCrash(a *attempt) {
	s := a.step
	c.markDirty(s.job)
	s.crashVersion = s.job.progressVersion
	s.crashedAt = c.now
	s.crashedWorker = a.worker.ref()
}

// checkCrashLimit gives a task up if too many workers have crashed under it.
func (c *Cell) checkCrashLimit(name tanagerwork.TaskName, run int64, s *step, h *crashHistory) {
	if !s.crashLimitReached(h, h.last) {
		return
	}
	c.logEvent(LogEvent{
		Name:   "task_given_up",
		Job:    s.job.record.ID,
		Task:   name,
		Run:    run,
		Reason: fmt.Sprintf("%d workers have crashed under it", h.count()),
	})
	c.finishJob(s.job, tanagerwork.Failed, "a task crashes its workers")
}

// crashedBefore reports whether the last crash under a task of the step happened
// to the same worker or to another one at its address. A worker may crash again
// and again for reasons of its own.
func (s *step) crashedBefore(w *worker) bool {
	last := s.crashedWorker
	return w.id == last.ID || w.entry.Address.IsValid() && w.entry.Address == last.Address
}

// crashLimitReached reports whether a task is given up after its crashes in a
// row.
func (s *step) crashLimitReached(h *crashHistory, last suspicion) bool {
	return s.crashCountReached(len(h.confirmed), h.count(), last)
}

// crashCountReached reports whether a number of crashes suffices to give a task up.
// A long-running task, which must otherwise be restarted however it ends, needs all
// crashes and a certain one.
func (s *step) crashCountReached(confirmed, total int, last suspicion) bool {
	if s.spec.LongRunning {
		return confirmed >= maxCrashes && last == suspectedAlone
	}
	if confirmed < maxSoleCrashes {
		return total >= maxUnconfirmedCrashes
	}
	switch last {
	case suspectedAlone:
		return true
	case suspectedWithOthers:
		return total >= maxCrashes
	}
	return total >= maxLateCrashes
}

// recordSurvival clears a task of suspicion if a run of it, or all members of its
// gang, have outlived crashWindow. The run was in the report to a poll sent at
// sentAt.
func (c *Cell) recordSurvival(a *attempt, sentAt time.Time) {
	s := a.step
	a.suspicion = unsuspected
	if a.survived || sentAt.Before(a.startSentAt.Add(crashWindow)) {
		return
	}
	a.survived = true
	if !s.suspect(a.index) || s.spec.Gang && !s.allSurvived() {
		return
	}
	*s.crashes(a.index) = crashHistory{}
	c.markDirty(s.job)
}

func (s *step) allSurvived() bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a == nil || !a.survived {
			return false
		}
	}
	return true
}

// awaitsCrashWrite reports whether a step waits until its last crash is stored.
func (c *Cell) awaitsCrashWrite(s *step) bool {
	return s.crashVersion > s.job.storedVersion && c.now.Sub(s.crashedAt) < maxCrashWriteWait
}

// isolatedWorker returns the worker for a suspect, among those where no run has
// been started within crashWindow: preferably not the one that crashed last, and
// the one with the fewest runs. It returns nil if there is none. After
// maxIsolationWait it accepts any worker.
func (c *Cell) isolatedWorker(s *step) *worker {
	waitsSince := s.readyAt
	if s.crashedAt.After(waitsSince) {
		waitsSince = s.crashedAt
	}
	mustBeQuiet := c.now.Sub(waitsSince) < maxIsolationWait
	var best *worker
	for _, w := range c.candidateWorkers(s) {
		if mustBeQuiet && c.now.Sub(w.lastStartAt) <= crashWindow || !c.canPlace(w, s) {
			continue
		}
		if best == nil || s.compareIsolation(w, best) < 0 {
			best = w
		}
	}
	return best
}

func (s *step) compareIsolation(a, b *worker) int {
	return cmp.Or(
		compareBool(s.crashedBefore(a), s.crashedBefore(b)),
		cmp.Compare(len(a.attempts), len(b.attempts)),
	)
}
