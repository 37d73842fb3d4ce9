package tanagerdispatch

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// newBatchHarness has a queue that is not urgent, with advice if a policy is given.
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

// Gangs queue for one worker, which a season's end brings by the dozen. The one
// that has waited longest but would end late lets those pass that can be on time.
func TestGangThatWouldEndLateLetsOthersPass(t *testing.T) {
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

// A gang asks about as many workers as a call may name, single tasks about fewer.
func TestGangsAskAboutMoreWorkers(t *testing.T) {
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
