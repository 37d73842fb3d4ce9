package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// The response to a call for advice may be lost. The step must not wait for it
// forever.
func TestLostAdviceCallIsRetried(t *testing.T) {
	h := newHarness(t, 1)
	h.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:    testQueue,
		Service: testService,
		Advice: &tanagerport.AdvicePolicy{
			DecisionTime: 10 * time.Millisecond,
			TicketTTL:    time.Second,
		},
	}}})
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.cell.SetAdvisers([]string{"d1"})
	h.cell.AddJob(h.now, testRecord("01", testStep(1, 1000)), nil)
	h.c.Assert(h.tick(20*time.Millisecond).Advice, qt.HasLen, 1)
	h.c.Assert(h.tick(20*time.Millisecond).Advice, qt.HasLen, 0)
	h.runIdle(time.Second)
	order := h.tick(time.Second).Advice
	h.c.Assert(order, qt.HasLen, 1)
	h.cell.HandleAdviceResponse(h.now, order[0], h.now, tanagerport.Advice{
		Tickets: map[string]string{"a": "ticket"},
		Valid:   time.Second,
	}, nil)
	starts := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Start.Ticket, qt.Equals, "ticket")
}

// A worker that was forgotten after a long absence returned under its id, and steps
// that had asked about it before never used it again.
func TestForgottenWorkerIsAskedAboutAgain(t *testing.T) {
	h := newBatchHarness(t, &tanagerport.AdvicePolicy{TicketTTL: time.Second})
	h.setWorkers(testWorker("a", 1))
	h.cell.SetAdvisers([]string{"d1", "d2"})
	h.sync()
	h.cell.AddJob(h.now, testRecord("01", testStep(1, 1000)), nil)
	h.answerAdvice(h.tick(15 * time.Millisecond).Advice)
	h.setWorkers()
	h.c.Assert(h.tick(2*unlistedRetention).Starts, qt.HasLen, 0)
	h.c.Assert(h.cell.workers, qt.HasLen, 0)
	h.setWorkers(testWorker("a", 2))
	h.sync()
	h.c.Assert(h.runWithAdvice(time.Second), qt.HasLen, 1)
}

// Guards against a scheduler that runs short of memory, and then of processor time,
// as it keeps the advice of ended steps for as long as their jobs' states.
func TestEndedStepsKeepNoAdvice(t *testing.T) {
	for name, tc := range map[string]struct {
		end func(h *harness, start StartOrder)
	}{
		"done": {end: func(h *harness, start StartOrder) {
			h.reportEnds("a", 1, tanagerport.EndedDone, start)
		}},
		"cancelled": {end: func(h *harness, start StartOrder) {
			h.cell.CancelJob(start.Start.Task.Job)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBatchHarness(t, &tanagerport.AdvicePolicy{TicketTTL: time.Second})
			h.setWorkers(testWorker("a", 1))
			h.cell.SetAdvisers([]string{"d1", "d2"})
			h.sync()
			h.cell.AddJob(h.now, testRecord("01", testStep(1, 1000)), nil)
			call := h.tick(15 * time.Millisecond).Advice
			h.c.Assert(call, qt.HasLen, 1)
			answer := func() {
				h.cell.HandleAdviceResponse(h.now, call[0], h.now, tanagerport.Advice{
					Tickets: map[string]string{"a": "ticket"},
					Valid:   time.Second,
				}, nil)
			}
			answer()
			s := h.cell.jobs["0000000000000001"].steps[0]
			h.c.Assert(s.advice.tickets, qt.HasLen, 1)
			starts := h.tick(15 * time.Millisecond).Starts
			h.c.Assert(starts, qt.HasLen, 1)
			h.accept(starts[0])
			tc.end(h, starts[0])
			answer()
			h.c.Check(s.advice.tickets, qt.IsNil)
			h.c.Check(s.advice.queried, qt.IsNil)
			h.c.Check(s.advice.approved, qt.IsNil)
		})
	}
}
