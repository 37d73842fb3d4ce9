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
	h := newHarness(t, 1)
	h.cell.Configure(tanagerport.Configuration{
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
	return h
}

// Several gangs wait for the same worker. The one with the least slack would end
// late, so a gang that can still be on time must start first.
func TestLateGangYieldsToGangsOnTime(t *testing.T) {
	h := newBatchHarness(t, nil)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	// The objective is 7 s and the work 1 s.
	for id, waited := range map[string]time.Duration{
		"01": 5700 * time.Millisecond,
		"02": 5300 * time.Millisecond,
		"03": 0,
	} {
		r := testRecord(id, gangStep(2, 2000))
		r.Arrived = h.now.Add(-waited)
		h.cell.AddJob(h.now, r, nil)
	}
	first := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(first, qt.HasLen, 2)
	h.c.Assert(first[0].Start.Task.Job, qt.Equals, tanagerwork.JobID("0000000000000002"))
	h.reportEnds("a", 1, tanagerport.EndedDone, first...)
	second := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(second[0].Start.Task.Job, qt.Equals, tanagerwork.JobID("0000000000000003"))
}

// A call for advice names as many workers as allowed for a gang, and fewer for
// single tasks.
func TestAdviceCallNamesMoreWorkersForGangs(t *testing.T) {
	for _, gang := range []bool{true, false} {
		h := newBatchHarness(t, &tanagerport.AdvicePolicy{
			DecisionTime:  400 * time.Millisecond,
			TimePerWorker: 10 * time.Millisecond,
			TicketTTL:     time.Second,
		})
		var entries []tanagerport.WorkerEntry
		for i := range 120 {
			entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
		}
		h.setWorkers(entries...)
		h.cell.SetAdvisers([]string{"d1", "d2"})
		h.sync()
		step := testStep(2, 1000)
		step.Gang = gang
		h.cell.AddJob(h.now, testRecord("01", step), nil)
		advice := h.tick(2 * reservationInterval).Advice
		h.c.Assert(advice, qt.HasLen, 1)
		expected := map[bool]int{true: tanagerport.MaxAdviceWorkers, false: 40}
		h.c.Assert(advice[0].Workers, qt.HasLen, expected[gang])
	}
}
