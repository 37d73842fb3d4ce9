package tanagerdispatch

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// newBatchHarness returns a harness with a queue that is not urgent. advice may
// be nil.
func newBatchHarness(t *testing.T, advice *tanagerport.AdvicePolicy) *harness {
	b := newHarness(t, 1)
	b.cell.Configure(tanagerport.Configuration{
		Version: 2,
		Queues: []tanagerport.Queue{{
			Name:        testQueue,
			Service:     testService,
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     4,
			Slack:       3 * time.Second,
			Advice:      advice,
		}},
	})
	return b
}

// Several gangs wait for the same worker. The one with the least slack would end
// late, so a gang that can still be on time must start first.
func TestLateGangYieldsToGangsOnTime(t *testing.T) {
	b := newBatchHarness(t, nil)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	// The objective is 7 s and the work 1 s.
	for id, waited := range map[string]time.Duration{
		"01": 5700 * time.Millisecond,
		"02": 5300 * time.Millisecond,
		"03": 0,
	} {
		r := testRecord(id, gangStep(2, 2000))
		r.Arrived = b.now.Add(-waited)
		b.cell.AddJob(b.now, r, nil)
	}
	first := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(first, qt.HasLen, 2)
	b.c.Assert(first[0].Start.Task.Job, qt.Equals, tanagerwork.JobID("0000000000000002"))
	b.reportEnds("a", 1, tanagerport.EndedDone, first...)
	second := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(second[0].Start.Task.Job, qt.Equals, tanagerwork.JobID("0000000000000003"))
}

// A call for advice names as many workers as allowed for a gang, and fewer for
// single tasks.
func TestAdviceCallNamesMoreWorkersForGangs(t *testing.T) {
	for _, gang := range []bool{true, false} {
		b := newBatchHarness(t, &tanagerport.AdvicePolicy{
			Decision: 400 * time.Millisecond,
			Each:     10 * time.Millisecond,
			Valid:    time.Second,
		})
		var entries []tanagerport.WorkerEntry
		for i := range 120 {
			entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
		}
		b.setWorkers(entries...)
		b.cell.SetAdvisers([]string{"d1", "d2"})
		b.sync()
		step := testStep(2, 1000)
		step.Gang = gang
		b.cell.AddJob(b.now, testRecord("01", step), nil)
		advice := b.tick(2 * reservationInterval).Advice
		b.c.Assert(advice, qt.HasLen, 1)
		asked := map[bool]int{true: tanagerport.MaxAdviceWorkers, false: 40}
		b.c.Assert(advice[0].Workers, qt.HasLen, asked[gang])
	}
}
