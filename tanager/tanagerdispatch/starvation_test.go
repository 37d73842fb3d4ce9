package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// adviceCall is a call for advice that is in flight in a test.
type adviceCall struct {
	order AdviceOrder
	sent  time.Time
}

// countStarts advances the time by d and returns how many tasks of a job start.
// Runs do not end. Calls for advice take as long as expected, and answer gives
// their results.
func (h *harness) countStarts(d time.Duration, id tanagerwork.JobID,
	answer func(AdviceOrder) (tanagerport.Advice, error)) int {
	const step = 20 * time.Millisecond
	count := 0
	for ; d > 0; d -= step {
		out := h.tick(step)
		for _, s := range out.Starts {
			h.accept(s)
			if s.Start.Task.Job == id {
				count++
			}
		}
		for _, o := range out.Advice {
			h.openCalls = append(h.openCalls, adviceCall{
				order: o,
				sent:  h.now,
			})
		}
		h.answerCalls(answer)
		h.reportNothing()
	}
	return count
}

// answerCalls answers the calls for advice that have taken as long as expected.
func (h *harness) answerCalls(answer func(AdviceOrder) (tanagerport.Advice, error)) {
	calls := h.openCalls
	h.openCalls = nil
	for _, call := range calls {
		if h.now.Sub(call.sent) < call.order.Expected {
			h.openCalls = append(h.openCalls, call)
			continue
		}
		advice, err := answer(call.order)
		h.cell.HandleAdviceResponse(h.now, call.order, call.sent, advice, err)
	}
}

// reportNothing responds to all open polls with incomplete reports, which say
// nothing about runs.
func (h *harness) reportNothing() {
	polls := h.openPolls
	h.openPolls = nil
	for _, o := range polls {
		h.cell.HandlePollResponse(h.now, o, h.now, tanagerport.Report{
			Response: tanagerport.Response{
				Status: tanagerport.Accepted,
				Clock:  h.clock,
			},
			Incarnation: 1,
		}, nil)
	}
}

// approveAll approves all workers of a call.
func approveAll(o AdviceOrder) (tanagerport.Advice, error) {
	tickets := make(map[string]string)
	for _, id := range o.Workers {
		tickets[id] = "ticket"
	}
	return tanagerport.Advice{
		Tickets: tickets,
		Valid:   time.Second,
	}, nil
}

// Gangs that waited for occupied workers took all reservations, and a gang with
// idle workers behind them was not started.
func TestGangsThatWaitForGoodHoldUpNoOtherGang(t *testing.T) {
	for name, tc := range map[string]struct {
		// longRunning tells that the workers are occupied for good, otherwise for an
		// hour. idleLater tells that the last gang's worker becomes idle only after
		// its tickets have expired.
		longRunning, idleLater bool
	}{
		"occupied for good":                   {longRunning: true},
		"occupied for an hour":                {},
		"occupied for good, other idle later": {longRunning: true, idleLater: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{
				{
					Name:     testQueue,
					Service:  testService,
					Priority: 1,
					Stretch:  4,
					Advice: &tanagerport.AdvicePolicy{
						DecisionTime: 50 * time.Millisecond,
						TicketTTL:    time.Second,
					},
				},
				{
					Name:    "direct",
					Service: testService,
				},
			}})
			occupied, idle := testWorker("a", 1), testWorker("b", 1)
			occupied.Labels, idle.Labels = []string{"x"}, []string{"y"}
			h.setWorkers(occupied, idle)
			h.cell.SetAdvisers([]string{"d1", "d2", "d3", "d4"})
			h.sync()
			occupy := func(id, label string, longRunning bool) StartOrder {
				step := testStep(1, 4000)
				step.Label, step.LongRunning, step.Estimate = label, longRunning, time.Hour
				r := testRecord(id, step)
				r.Queue = "direct"
				starts := h.submit(r)
				h.c.Assert(starts, qt.HasLen, 1)
				h.accept(starts[0])
				return starts[0]
			}
			add := func(id, label string, waited time.Duration) tanagerwork.JobID {
				step := gangStep(2, 1000)
				step.Label = label
				r := testRecord(id, step)
				r.Arrived = h.now.Add(-waited)
				h.cell.AddJob(h.now, r, nil)
				return r.ID
			}
			occupy("01", "x", tc.longRunning)
			for i := range minReservations {
				add(fmt.Sprintf("1%d", i), "x", 2*time.Hour)
			}
			h.countStarts(time.Second, "", approveAll)
			var other StartOrder
			if tc.idleLater {
				other = occupy("02", "y", false)
			}
			last := add("20", "y", time.Hour)
			if tc.idleLater {
				h.countStarts(2*time.Second, last, approveAll)
				h.reportEnds("b", 1, tanagerport.EndedDone, other)
			}
			h.c.Assert(h.countStarts(20*time.Second, last, approveAll), qt.Equals, 2)
		})
	}
}

// Steps whose calls for advice failed were asked about again at once, and took all
// advisers from a step behind them.
func TestFailingAdviceCallsHoldUpNoOther(t *testing.T) {
	for name, longRunning := range map[string]bool{
		"long-running": true,
		"expired":      false,
	} {
		t.Run(name, func(t *testing.T) {
			h := newBatchHarness(t, &tanagerport.AdvicePolicy{
				DecisionTime: 300 * time.Millisecond,
				TicketTTL:    time.Second,
			})
			h.setWorkers(testWorker("a", 1))
			h.cell.SetAdvisers([]string{"d1", "d2"})
			h.sync()
			failing := testStep(1, 1000)
			failing.LongRunning = longRunning
			for i := range 4 {
				r := testRecord(fmt.Sprintf("%02x", i), failing)
				r.Arrived = h.now.Add(-2 * time.Hour)
				h.cell.AddJob(h.now, r, nil)
			}
			last := testRecord("ff", testStep(1, 1000))
			last.Arrived = h.now.Add(-time.Hour)
			h.cell.AddJob(h.now, last, nil)
			started := h.countStarts(20*time.Second, last.ID, func(o AdviceOrder) (tanagerport.Advice, error) {
				if o.Step.Job != last.ID {
					return tanagerport.Advice{}, tanagerport.OutcomeUnknown.New("no response")
				}
				return approveAll(o)
			})
			h.c.Assert(started, qt.Equals, 1)
		})
	}
}

// Gangs that asked about each new worker took all advisers from a gang behind them.
func TestQuestionsAboutNewWorkersHoldUpNoOther(t *testing.T) {
	h := newBatchHarness(t, &tanagerport.AdvicePolicy{
		DecisionTime: 300 * time.Millisecond,
		TicketTTL:    time.Second,
	})
	entries := []tanagerport.WorkerEntry{testWorker("a00", 1)}
	h.setWorkers(entries...)
	h.cell.SetAdvisers([]string{"d1", "d2", "d3", "d4"})
	h.sync()
	add := func(id string, waited time.Duration, s tanagerwork.Step) tanagerwork.JobID {
		r := testRecord(id, s)
		r.Arrived = h.now.Add(-waited)
		h.cell.AddJob(h.now, r, nil)
		return r.ID
	}
	for i := range 12 {
		add(fmt.Sprintf("%02x", i), 2*time.Hour, gangStep(1000, 4000))
	}
	last := add("ff", time.Hour, gangStep(2, 1000))
	started := 0
	for range 40 {
		entries = append(entries, testWorker(fmt.Sprintf("a%02d", len(entries)), 1))
		h.setWorkers(entries...)
		started += h.countStarts(500*time.Millisecond, last, approveAll)
	}
	h.c.Assert(started, qt.Equals, 2)
}
