package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
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
