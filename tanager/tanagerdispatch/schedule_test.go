package tanagerdispatch

import (
	"fmt"
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

// After an interruption of the scheduler a backlog of urgent jobs has missed its
// objective. It starts before batch jobs that have time to spare, and after those
// that have not.
func TestLateUrgentJobsPrecedeRelaxedJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		batchWaited time.Duration
		first       tanagerwork.JobID
	}{
		"time to spare": {batchWaited: 0, first: "0000000000000001"},
		"no time left":  {batchWaited: 5500 * time.Millisecond, first: "0000000000000002"},
	} {
		h := newHarness(t, 1)
		h.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{
			{
				Name:    "urgent",
				Service: testService,
				Stretch: 1.5,
			},
			{
				Name:     testQueue,
				Service:  testService,
				Priority: 1,
				Stretch:  4,
				Slack:    3 * time.Second,
			},
		}})
		h.setWorkers(testWorker("a", 1))
		h.sync()
		urgent := testRecord("01", testStep(1, 4000))
		urgent.Queue = "urgent"
		urgent.Arrived = h.now.Add(-2 * time.Second)
		batch := testRecord("02", testStep(1, 4000))
		batch.Arrived = h.now.Add(-tc.batchWaited)
		h.cell.AddJob(h.now, batch, nil)
		h.cell.AddJob(h.now, urgent, nil)
		starts := h.tick(20 * time.Millisecond).Starts
		h.c.Assert(starts, qt.HasLen, 1, qt.Commentf("%s", name))
		h.c.Check(starts[0].Start.Task.Job, qt.Equals, tc.first, qt.Commentf("%s", name))
	}
}

// newExpiredBacklog returns a harness with one worker that has been idle for the
// given number of ticks, count expired jobs of a step that no worker can run, and one
// expired job behind them that may start. advice may be nil.
func newExpiredBacklog(t *testing.T, advice *tanagerport.AdvicePolicy, ticks, count int,
	unplaceable, last tanagerwork.Step) (*harness, tanagerwork.JobID) {
	h := newBatchHarness(t, advice)
	h.setWorkers(testWorker("a", 1))
	h.cell.SetAdvisers([]string{"d1", "d2"})
	h.sync()
	for range ticks {
		h.tick(15 * time.Millisecond)
	}
	add := func(id string, waited time.Duration, s tanagerwork.Step) tanagerwork.JobID {
		r := testRecord("00", s)
		r.ID = tanagerwork.JobID(id)
		r.Arrived = h.now.Add(-waited)
		h.cell.AddJob(h.now, r, nil)
		return r.ID
	}
	for i := range count {
		add(fmt.Sprintf("%016x", i), 2*time.Hour, unplaceable)
	}
	return h, add("ffffffffffffffff", time.Hour, last)
}

// Expired steps that cannot start must not keep those behind them from free workers.
func TestUnplaceableExpiredStepsHoldUpNoOther(t *testing.T) {
	unplaceable := testStep(1, 1000)
	unplaceable.Label = "missing"
	unplaceableGang := gangStep(2, 1000)
	unplaceableGang.Label = "missing"
	for name, tc := range map[string]struct {
		unplaceable, last tanagerwork.Step
	}{
		"tasks":                {unplaceable: unplaceable, last: testStep(1, 1000)},
		"gangs before a task":  {unplaceable: unplaceableGang, last: testStep(1, 1000)},
		"tasks before a gang":  {unplaceable: unplaceable, last: gangStep(2, 1000)},
		"gangs before a gang":  {unplaceable: unplaceableGang, last: gangStep(2, 1000)},
		"too large for a task": {unplaceable: testStep(1, 100_000), last: testStep(1, 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			h, last := newExpiredBacklog(t, nil, 0, 5*maxExpiredSteps, tc.unplaceable, tc.last)
			started := false
			for range 40 {
				for _, s := range h.tick(15 * time.Millisecond).Starts {
					started = started || s.Start.Task.Job == last
				}
			}
			h.c.Assert(started, qt.IsTrue)
		})
	}
}

// Expired steps that wait for advice must not keep others from asking for it.
func TestExpiredStepsAwaitingAdviceHoldUpNoOther(t *testing.T) {
	const count = 2 * maxExpiredSteps
	h := newBatchHarness(t, &tanagerport.AdvicePolicy{
		DecisionTime: time.Second,
		TicketTTL:    time.Second,
	})
	h.setWorkers(testWorker("a", 1))
	var advisers []string
	for i := range 2 * count {
		advisers = append(advisers, fmt.Sprintf("d%d", i))
	}
	h.cell.SetAdvisers(advisers)
	h.sync()
	for i := range count {
		r := testRecord("00", testStep(1, 1000))
		r.ID = tanagerwork.JobID(fmt.Sprintf("%016x", i))
		r.Arrived = h.now.Add(-time.Hour)
		h.cell.AddJob(h.now, r, nil)
	}
	asked := make(map[tanagerwork.StepName]bool)
	for range 10 {
		for _, o := range h.tick(15 * time.Millisecond).Advice {
			asked[o.Step] = true
		}
	}
	h.c.Assert(asked, qt.HasLen, count)
}

// Rounds that take as many ticks as lie between two computations of reservations
// must not leave out the same gangs each time.
func TestExpiredGangsTakeTurnsWithReservations(t *testing.T) {
	unplaceable := testStep(1, 1000)
	unplaceable.Label = "missing"
	const ticksPerReservation = int(reservationInterval / (15 * time.Millisecond))
	for ticks := range ticksPerReservation {
		h, gang := newExpiredBacklog(t, &tanagerport.AdvicePolicy{TicketTTL: time.Second}, ticks,
			ticksPerReservation*maxExpiredSteps-1, unplaceable, gangStep(2, 1000))
		asked := false
		for range 20 * ticksPerReservation {
			for _, o := range h.tick(15 * time.Millisecond).Advice {
				asked = asked || o.Step.Job == gang
			}
		}
		h.c.Check(asked, qt.IsTrue, qt.Commentf("%d idle ticks", ticks))
	}
}

// An expired step that has tickets starts before they run out, however many others
// have their turn first.
func TestExpiredStepWithTicketsStartsAtOnce(t *testing.T) {
	unplaceable := testStep(1, 1000)
	unplaceable.Label = "missing"
	h, last := newExpiredBacklog(t, &tanagerport.AdvicePolicy{TicketTTL: time.Second}, 0,
		20*maxExpiredSteps, unplaceable, testStep(1, 1000))
	var orders []AdviceOrder
	for range 40 {
		orders = append(orders, h.tick(15*time.Millisecond).Advice...)
	}
	h.c.Assert(orders, qt.HasLen, 1)
	h.c.Assert(orders[0].Step.Job, qt.Equals, last)
	h.cell.HandleAdviceResponse(h.now, orders[0], h.now, tanagerport.Advice{
		Valid:   time.Second,
		Tickets: map[string]string{"a": "ticket"},
	}, nil)
	h.c.Assert(h.tick(15*time.Millisecond).Starts, qt.HasLen, 1)
}
