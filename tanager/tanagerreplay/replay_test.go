package tanagerreplay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replayBoth simulates a load on the cell and on the baseline and logs both
// reports.
func replayBoth(t *testing.T, l Load) (cell, baseline Report) {
	t.Helper()
	t.Logf("seed %d", l.Seed)
	cell = Simulate(l, NewCellScheduler(l))
	baseline = Simulate(l, NewBaseline(l))
	for name, r := range map[string]Report{"cell": cell, "baseline": baseline} {
		t.Logf("%s: value %.3f, wasted %.0f core-seconds, %d task starts",
			name, r.ValueRatio(), r.WastedCoreSeconds, r.TaskStarts)
		for _, k := range r.Kinds {
			t.Logf(
				"  %s: %d submitted, %d on time, %d late, %d expired, %d rejected, %d unfinished, wait p50 %v p95 %v, value %.3f",
				k.Name, k.Submitted, k.OnTime, k.Late, k.Expired, k.Rejected, k.Unfinished,
				k.WaitQuantile(0.5), k.WaitQuantile(0.95), k.EarnedValue/k.OfferedValue)
		}
	}
	return cell, baseline
}

func checkInvariants(t *testing.T, r Report) {
	t.Helper()
	c := qt.New(t)
	c.Check(r.OvercommittedStarts, qt.Equals, 0)
	c.Check(r.DuplicateRuns, qt.Equals, 0)
	c.Check(r.GangTimeouts, qt.Equals, 0)
}

// TestLightLoadMeetsObjectives checks that every job completes on time at 0.7 of
// the normal arrival rates. Failing runs are disabled: a pairing that fails once
// cannot meet its objective with a second run.
func TestLightLoadMeetsObjectives(t *testing.T) {
	l := LadderLoad()
	for i := range l.Kinds {
		l.Kinds[i].ArrivalRate *= 0.7
		l.Kinds[i].FailureShare = 0
	}
	cell, _ := replayBoth(t, l)
	checkInvariants(t, cell)
	for _, k := range cell.Kinds {
		qt.New(t).Check(k.OnTime, qt.Equals, k.Submitted, qt.Commentf("%s", k.Name))
	}
}

// TestBurstsOfOneKind checks that the cell earns more value than the baseline
// during a burst of each kind, and that urgent jobs are not starved by bursts of
// other queues.
func TestBurstsOfOneKind(t *testing.T) {
	for kind, name := range []string{"rerank", "verify", "pair"} {
		t.Run(name, func(t *testing.T) {
			l := LadderLoad()
			l.Bursts = []Burst{{
				Kind:     kind,
				Start:    4 * time.Second,
				Duration: 6 * time.Second,
				Factor:   2.4,
			}}
			cell, baseline := replayBoth(t, l)
			checkInvariants(t, cell)
			c := qt.New(t)
			c.Check(cell.ValueRatio() > baseline.ValueRatio(), qt.IsTrue)
			c.Check(cell.Kinds[2].EarnedValue > baseline.Kinds[2].EarnedValue, qt.IsTrue)
		})
	}
}

// TestLargeFleet covers a fleet several times as large with wide gangs.
func TestLargeFleet(t *testing.T) {
	cell, baseline := replayBoth(t, LargeFleet(LadderLoad()))
	checkInvariants(t, cell)
	qt.New(t).Check(cell.ValueRatio() > baseline.ValueRatio(), qt.IsTrue)
}

// TestPeakLoad covers the heaviest load of the large fleet, which exceeds its
// capacity and consists mostly of gangs. The cell must earn more value than the
// baseline with each kind, gangs included.
func TestPeakLoad(t *testing.T) {
	cell, baseline := replayBoth(t, PeakLoad())
	checkInvariants(t, cell)
	c := qt.New(t)
	for i, k := range cell.Kinds {
		c.Check(k.EarnedValue > baseline.Kinds[i].EarnedValue, qt.IsTrue, qt.Commentf("%s", k.Name))
	}
}

func BenchmarkOverload(b *testing.B) {
	l := LadderLoad()
	l.Duration = 20 * time.Second
	l.Bursts = []Burst{{
		Kind:     1,
		Start:    2 * time.Second,
		Duration: 10 * time.Second,
		Factor:   2.5,
	}}
	for b.Loop() {
		Simulate(l, NewCellScheduler(l))
	}
}
