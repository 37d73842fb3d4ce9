package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Guards against jobs whose final state is removed early: it can be reported only
// from when it is stored, which takes seconds in an outage of the store.
func TestRetentionBeginsWhenTheFinalStateIsStored(t *testing.T) {
	const outage = 20 * time.Second
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	h.reportEnds("a", 1, tanagerport.EndedDone, start)
	h.runIdle(outage)
	h.storeProgress()
	expired := func() int { return len(h.cell.ExpiredJobs(h.now, 10)) }
	h.runIdle(testSettings().Retention - time.Second)
	h.c.Assert(expired(), qt.Equals, 0)
	h.runIdle(2 * time.Second)
	h.c.Assert(expired(), qt.Equals, 1)
}

// Guards against a job that a successor finds to be complete, and removes at once as
// if its final state had been reported long ago: it was unknown to its callers, and
// ran again when it was submitted once more.
func TestJobCompletedByItsStoredProgressIsRetained(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	h.cell.AddJob(h.now, record, &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Steps:   []tanagerwork.StepProgress{{AllDone: true}},
	})
	h.c.Assert(h.cell.ExpiredJobs(h.now, 10), qt.HasLen, 0)
	state, _ := h.cell.State(record.ID)
	h.c.Assert(state, qt.Equals, tanagerwork.Running)
	h.storeProgress()
	state, _ = h.cell.State(record.ID)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
	h.c.Assert(h.cell.ExpiredJobs(h.now, 10), qt.HasLen, 0)
	h.c.Assert(h.cell.ExpiredJobs(h.now.Add(2*testSettings().Retention), 10), qt.HasLen, 1)
}
