package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Guards against occurrences that run again under a successor whose time of day is
// behind that of its predecessor, and for which they are not yet due.
func TestOccurrenceThatRanBeforeItsTimeIsNotRepeated(t *testing.T) {
	const ahead = 2 * time.Second
	done := &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Steps:   []tanagerwork.StepProgress{{AllDone: true}},
	}
	for name, tc := range map[string]struct {
		progress *tanagerwork.Progress
		ended    []tanagerport.EndedRun
		starts   int
	}{
		"end in the store": {progress: done},
		"end at the worker": {ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "0000000000000001"}},
			Run:            1,
			Reason:         tanagerport.EndedDone,
		}}},
		"not started": {starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.setWorkers(testWorker("a", 1))
			h.sync()
			record := testRecord("01", testStep(1, 1000))
			record.Spec.Times = 2
			record.Spec.FirstDue = h.now.Add(ahead)
			record.Spec.Interval = time.Hour
			h.cell.AddJob(h.now, record, tc.progress)
			h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers["a"].ref()}, h.now, tanagerport.Report{
				Response: tanagerport.Response{
					Status: tanagerport.Accepted,
					Clock:  h.clock,
				},
				Incarnation: 1,
				Ended:       tc.ended,
			}, nil)
			h.c.Assert(h.runIdle(ahead-500*time.Millisecond), qt.HasLen, 0)
			h.c.Assert(h.runIdle(time.Second), qt.HasLen, tc.starts)
		})
	}
}

// Guards against an occurrence that runs again although its end is stored, as the clock of
// the successor is far behind.
func TestStoredOccurrenceIsRestoredWhateverTheClock(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	record.Spec.Times = 1
	record.Spec.Interval = time.Minute
	record.Spec.FirstDue = h.now.Add(2 * maxClockDifference)
	h.cell.AddJob(h.now, record, &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Steps:   []tanagerwork.StepProgress{{AllDone: true}},
	})
	h.c.Assert(h.runIdle(3*maxClockDifference), qt.HasLen, 0)
}
