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
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1), testWorker("b", 1))
	b.sync()
	single := b.submit(testRecord("01", testStep(1, 3000)))
	b.c.Assert(single, qt.HasLen, 1)
	b.c.Assert(b.submit(testRecord("02", gangStep(4, 2000))), qt.HasLen, 0)
	b.reportEnds(single[0].Worker.ID, 1, tanagerport.EndedDone, single[0])
	starts := b.tick(100 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 4)
	for _, s := range starts {
		b.c.Check(s.Start.Run, qt.Equals, starts[0].Start.Run)
	}
}

// A gang of which one start was refused is started again only after its other
// members have ended.
func TestAbortedGangRestartsAfterAllMembersEnded(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	starts := b.submit(testRecord("01", gangStep(2, 2000)))
	b.c.Assert(starts, qt.HasLen, 2)
	b.accept(starts[0])
	b.cell.StartAnswered(b.now, starts[1], tanagerport.Answer{Verdict: tanagerport.Unhealthy}, nil)
	out := b.tick(50 * time.Millisecond)
	b.c.Assert(out.Starts, qt.HasLen, 0)
	b.c.Assert(out.Stops, qt.HasLen, 1)
	b.reportEnds("a", 1, tanagerport.EndedStopped, starts[0])
	again := b.runIdle(time.Second)
	b.c.Assert(again, qt.HasLen, 2)
	b.c.Assert(again[0].Start.Run > starts[0].Start.Run, qt.IsTrue)
}
