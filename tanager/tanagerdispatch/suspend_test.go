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
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	first := b.submit(testRecord("01", testStep(1, 1000)))[0]
	b.accept(first)
	b.clock += 30 * time.Second
	b.reportEnds("a", 1, tanagerport.EndedLeaseExpired, first)
	b.storeProgress()
	again := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(again, qt.HasLen, 1)
	b.c.Assert(again[0].Start.Run > first.Start.Run, qt.IsTrue)
	b.c.Assert(again[0].Start.Deadline > b.clock, qt.IsTrue,
		qt.Commentf("lease ends at %v, but the worker's clock is %v", again[0].Start.Deadline, b.clock))
}
