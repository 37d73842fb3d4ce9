package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// The scheduler's VM and its monotonic clock are suspended while workers run on
// and their leases expire. Afterwards the reported ends must be applied, and new
// leases must be computed from the workers' clocks.
func TestSuspendedScheduler(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(first)
	h.clock += 30 * time.Second
	h.reportEnds("a", 1, tanagerport.EndedLeaseExpired, first)
	h.storeProgress()
	again := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.c.Assert(again[0].Start.Run > first.Start.Run, qt.IsTrue)
	h.c.Assert(again[0].Start.Deadline > h.clock, qt.IsTrue,
		qt.Commentf("lease ends at %v, but the worker's clock is %v", again[0].Start.Deadline, h.clock))
}
