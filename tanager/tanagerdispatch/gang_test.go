package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

func gangStep(count int, cpu int64) tanagerwork.Step {
	s := testStep(count, cpu)
	s.Gang = true
	return s
}

func TestGangStartsAllOrNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	single := h.submit(testRecord("01", testStep(1, 3000)))
	h.c.Assert(single, qt.HasLen, 1)
	h.c.Assert(h.submit(testRecord("02", gangStep(4, 2000))), qt.HasLen, 0)
	h.reportEnds(single[0].Worker.ID, 1, tanagerport.EndedDone, single[0])
	starts := h.tick(100 * time.Millisecond).Starts
	h.c.Assert(starts, qt.HasLen, 4)
	for _, s := range starts {
		h.c.Check(s.Start.Run, qt.Equals, starts[0].Start.Run)
	}
}

// A gang of which one start was refused is started again only after its other
// members have ended.
func TestAbortedGangRestartsAfterAllMembersEnded(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", gangStep(2, 2000)))
	h.c.Assert(starts, qt.HasLen, 2)
	h.accept(starts[0])
	h.cell.HandleStartResponse(h.now, starts[1], tanagerport.Response{Status: tanagerport.Unhealthy}, nil)
	out := h.tick(50 * time.Millisecond)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(out.Stops, qt.HasLen, 1)
	h.reportEnds("a", 1, tanagerport.EndedStopped, starts[0])
	again := h.runIdle(time.Second)
	h.c.Assert(again, qt.HasLen, 2)
	h.c.Assert(again[0].Start.Run > starts[0].Start.Run, qt.IsTrue)
}
