package tanagerdispatch

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// cutTime is somewhat longer than a lease, so that a worker that is cut off loses its
// runs and responds again soon after that.
const cutTime = 5500 * time.Millisecond

// longerThanLease is the duration of a gang that is not done before the lease of a
// member that is cut off expires.
const longerThanLease = 10 * time.Second

// suspectSteps are a single task and a gang.
func suspectSteps() map[string]tanagerwork.Step {
	return map[string]tanagerwork.Step{
		"single": testStep(1, 1000),
		"gang":   gangStep(3, 2000),
	}
}

// Guards against jobs that are given up because workers were cut off shortly after
// they had started a run, and responded again.
func TestWorkersCutOffFailNoJob(t *testing.T) {
	for name, s := range suspectSteps() {
		t.Run(name, func(t *testing.T) {
			r := testRecord("01", s)
			f := newCrashFleet(t, 8)
			f.awayTime = cutTime
			f.taskDuration = longerThanLease
			f.cutRuns = 2 * maxUnconfirmedCrashes
			f.add(r)
			f.runUntilCut()
			f.run(2 * longerThanLease)
			f.checkState(r.ID, tanagerwork.Completed)
		})
	}
}

// runUntilCut advances the time until the last of cutRuns was cut off, for two minutes
// at most.
func (f *crashFleet) runUntilCut() {
	f.c.Helper()
	for end := f.now.Add(2 * time.Minute); f.cutRuns > 0; f.run(crashTestTick) {
		f.c.Assert(f.now.Before(end), qt.IsTrue, qt.Commentf("%d runs left", f.cutRuns))
	}
}

// Guards against jobs that are given up before the workers that were cut off respond
// again: the task waits until then.
func TestTaskAwaitsSilentWorkers(t *testing.T) {
	for name, s := range suspectSteps() {
		t.Run(name, func(t *testing.T) {
			r := testRecord("01", s)
			f := newCrashFleet(t, 24)
			f.awayTime = time.Minute
			f.taskDuration = longerThanLease
			f.cutRuns = maxUnconfirmedCrashes
			f.add(r)
			f.runUntilCut()
			starts := len(f.starts[r.ID])
			f.run(15 * time.Second)
			f.c.Check(f.starts[r.ID], qt.HasLen, starts)
			f.checkState(r.ID, tanagerwork.Running)
			f.run(time.Minute)
			f.checkState(r.ID, tanagerwork.Completed)
		})
	}
}

// Guards against jobs that are given up for workers that left the list, as they were
// cut off from the store too, and are back.
func TestWorkersThatReturnToListFailNoJob(t *testing.T) {
	for name, s := range suspectSteps() {
		t.Run(name, func(t *testing.T) {
			r := testRecord("01", s)
			f := newCrashFleet(t, 8)
			f.awayTime = 20 * time.Second
			f.taskDuration = longerThanLease
			f.cutRuns = 2 * maxUnconfirmedCrashes
			f.add(r)
			for range 300 {
				f.unlisted = f.unlisted[:0]
				for _, id := range sortedKeys(f.workers) {
					if f.workers[id].cut {
						f.unlisted = append(f.unlisted, id)
					}
				}
				f.list()
				f.run(time.Second)
			}
			f.c.Check(f.cutRuns, qt.Equals, 0)
			f.checkState(r.ID, tanagerwork.Completed)
		})
	}
}

// Guards against a task that is started for ever because its workers come back, or
// leave the list, only after their leases have expired.
func TestSilentWorkersThatCrashedCount(t *testing.T) {
	for name, gone := range map[string]bool{"restarted": false, "gone": true} {
		for kind, s := range suspectSteps() {
			t.Run(name+" "+kind, func(t *testing.T) {
				r := testRecord("01", s)
				f := newCrashFleet(t, 24, r.ID)
				f.awayTime = 12 * time.Second
				if gone {
					f.awayTime = time.Hour
				}
				f.add(r)
				for range 60 {
					f.run(time.Second)
					f.list()
				}
				f.c.Check(f.crashes <= maxStartsOfDeadlyTask, qt.IsTrue, qt.Commentf("%d crashes", f.crashes))
				f.checkState(r.ID, tanagerwork.Failed)
			})
		}
	}
}

// Guards against presumed crashes that a successor takes for certain or forgets.
func TestPresumedCrashesAreRestored(t *testing.T) {
	for name, tc := range map[string]struct {
		incarnation           int64
		presumed, unconfirmed int
	}{
		"same incarnation responds":    {incarnation: 1},
		"another incarnation responds": {incarnation: 2, unconfirmed: 1},
		"no response":                  {presumed: 1},
	} {
		for kind, s := range suspectSteps() {
			t.Run(name+" "+kind, func(t *testing.T) {
				r := testRecord("01", s)
				f := newCrashFleet(t, 2)
				f.awayTime = time.Hour
				f.taskDuration = longerThanLease
				f.cutRuns = 1
				f.add(r)
				f.runUntil(func() bool { return f.cell.jobs[r.ID].steps[0].suspect(0) })
				// The progress as the next scheduler reads it.
				stored := tanagerwire.Encode(f.cell.jobs[r.ID].progress())
				var progress tanagerwork.Progress
				f.c.Assert(tanagerwire.Decode(stored, &progress), qt.IsNil)

				h := newHarness(t, 2)
				h.setWorkers(testWorker("w0", max(tc.incarnation, 1)), testWorker("w1", max(tc.incarnation, 1)))
				h.cell.AddJob(h.now, r, &progress)
				h.tick(crashTestTick)
				if tc.incarnation > 0 {
					h.respondToPolls(tanagerport.Report{Incarnation: tc.incarnation})
				}
				h.tick(attemptScanInterval)
				restored := h.cell.jobs[r.ID].steps[0].crashes(0)
				h.c.Check(restored.presumed, qt.HasLen, tc.presumed)
				h.c.Check(restored.unconfirmed, qt.HasLen, tc.unconfirmed)
				h.c.Check(restored.confirmed, qt.HasLen, 0)
			})
		}
	}
}

// Guards against a task that is started for ever because its workers come back under
// other ids.
func TestWorkerReplacedAtItsAddressCounts(t *testing.T) {
	entry := func(id string) tanagerport.WorkerEntry {
		e := testWorker(id, 1)
		e.Address = netip.MustParseAddrPort("10.0.0.1:80")
		return e
	}
	h := newHarness(t, 1)
	h.setWorkers(entry("a"))
	h.sync()
	r := testRecord("01", testStep(1, 1000))
	h.accept(h.submit(r)[0])
	crashes := h.cell.jobs[r.ID].steps[0].crashes(0)
	for end := h.now.Add(cutTime); h.now.Before(end); h.tick(crashTestTick) {
		h.failPoll("a")
	}
	h.c.Assert(crashes.presumed, qt.HasLen, 1)
	h.c.Assert(crashes.count(), qt.Equals, 0)
	h.setWorkers(entry("a"), entry("b"))
	h.tick(attemptScanInterval)
	h.c.Check(crashes.count(), qt.Equals, 0)
	h.failPoll("a")
	h.respondToPolls(tanagerport.Report{})
	h.tick(attemptScanInterval)
	h.c.Check(crashes.presumed, qt.HasLen, 0)
	h.c.Check(crashes.unconfirmed, qt.HasLen, 1)
}
