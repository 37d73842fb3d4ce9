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

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newBench(t, 1)
	b.workers(testWorker("a", 1), testWorker("b", 1))
	b.sync()
	single := b.add(testRecord("01", testStep(1, 3000)))
	b.c.Assert(single, qt.HasLen, 1)
	b.c.Assert(b.add(testRecord("02", gangStep(4, 2000))), qt.HasLen, 0)
	b.ends(single[0].Worker.ID, 1, tanagerport.EndedDone, single[0])
	starts := b.tick(100 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 4)
	for _, s := range starts {
		b.c.Check(s.Start.Run, qt.Equals, starts[0].Start.Run)
	}
}

// A gang whose member is refused starts again only when all others have ended.
func TestBrokenGangStartsAgainWhenAllHaveEnded(t *testing.T) {
	b := newBench(t, 1)
	b.workers(testWorker("a", 1))
	b.sync()
	starts := b.add(testRecord("01", gangStep(2, 2000)))
	b.c.Assert(starts, qt.HasLen, 2)
	b.accept(starts[0])
	b.cell.StartAnswered(b.now, starts[1], tanagerport.Answer{Verdict: tanagerport.Unhealthy}, nil)
	out := b.tick(50 * time.Millisecond)
	b.c.Assert(out.Starts, qt.HasLen, 0)
	b.c.Assert(out.Stops, qt.HasLen, 1)
	b.ends("a", 1, tanagerport.EndedStopped, starts[0])
	again := b.pass(time.Second)
	b.c.Assert(again, qt.HasLen, 2)
	b.c.Assert(again[0].Start.Run > starts[0].Start.Run, qt.IsTrue)
}
