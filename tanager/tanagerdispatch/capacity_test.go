package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// workerWithCPU returns a test worker with the given CPU.
func workerWithCPU(id string, milliCPU int64) tanagerport.WorkerEntry {
	e := testWorker(id, 1)
	e.Capacity.MilliCPU = milliCPU
	return e
}

func (h *harness) acceptAll(starts []StartOrder) []tanagerport.ActiveRun {
	var running []tanagerport.ActiveRun
	for _, s := range starts {
		h.accept(s)
		running = append(running, tanagerport.ActiveRun{
			Task: s.Start.Task,
			Run:  s.Start.Run,
		})
	}
	return running
}

// Runs on a worker whose capacity has shrunk go on, and nothing is started there
// until enough of them have ended.
func TestShrunkCapacityLimitsStarts(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(4, 1000)))
	h.c.Assert(starts, qt.HasLen, 4)
	h.acceptAll(starts)
	h.setWorkers(workerWithCPU("a", 2000))
	h.cell.AddJob(h.now, testRecord("02", testStep(4, 1000)), nil)
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(out.Stops, qt.HasLen, 0)
	for i, expected := range []int{0, 0, 1, 1} {
		h.reportEnds("a", int64(i+1), tanagerport.EndedDone, starts[i])
		out := h.tick(20 * time.Millisecond)
		h.c.Assert(out.Starts, qt.HasLen, expected, qt.Commentf("end %d", i))
		h.acceptAll(out.Starts)
	}
}

// What is being stopped counts against the capacity that is left.
func TestShrunkCapacityCountsStoppingRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(2, 2000)))
	h.acceptAll(starts)
	h.setWorkers(workerWithCPU("a", 2000))
	h.cell.CancelJob(starts[0].Start.Task.Job)
	h.c.Assert(h.tick(20*time.Millisecond).Stops, qt.HasLen, 2)
	h.c.Assert(h.submit(testRecord("02", testStep(1, 1000))), qt.HasLen, 0)
	h.reportEnds("a", 1, tanagerport.EndedStopped, starts[0])
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.reportEnds("a", 2, tanagerport.EndedStopped, starts[1])
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// A scheduler that adopts more runs than its worker's capacity starts nothing
// there until enough of them have ended.
func TestSuccessorStartsNothingOnOverfullWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.cell.AddPredecessorWorkers(h.now, []string{"a"})
	h.setWorkers(workerWithCPU("a", 1000))
	inherited := testRecord("01", testStep(3, 1000))
	h.cell.AddJob(h.now, inherited, nil)
	var running []tanagerport.ActiveRun
	var starts []StartOrder
	for i := range 3 {
		name := tanagerwork.TaskName{
			StepName: tanagerwork.StepName{Job: inherited.ID},
			Index:    i,
		}
		running = append(running, tanagerport.ActiveRun{
			Task: name,
			Run:  1,
		})
		starts = append(starts, StartOrder{Start: tanagerport.Start{
			Task: name,
			Run:  1,
		}})
	}
	h.tick(time.Millisecond)
	h.respondToPolls(tanagerport.Report{Running: running})
	h.cell.AddJob(h.now, testRecord("02", testStep(2, 1000)), nil)
	for i, expected := range []int{0, 0, 1} {
		out := h.tick(20 * time.Millisecond)
		h.c.Assert(out.Starts, qt.HasLen, 0)
		h.c.Assert(out.Stops, qt.HasLen, 0)
		h.reportEnds("a", int64(i+1), tanagerport.EndedDone, starts[i])
		h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, expected)
	}
}

// A task that needs none of the exhausted resource is not started on an overfull
// worker either.
func TestOverfullWorkerGetsNoBestEffortTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.acceptAll(h.submit(testRecord("01", testStep(1, 4000))))
	h.setWorkers(workerWithCPU("a", 2000))
	step := testStep(1, 1000)
	step.BestEffort = true
	h.c.Assert(h.submit(testRecord("02", step)), qt.HasLen, 0)
}

// A reservation that no longer fits is dropped, and the gang starts on another
// worker or once the capacity has grown again.
func TestReservationOnShrunkWorker(t *testing.T) {
	h := newBatchHarness(t, &tanagerport.AdvicePolicy{
		DecisionTime: 100 * time.Millisecond,
		TicketTTL:    30 * time.Second,
	})
	h.setWorkers(testWorker("a", 1))
	h.cell.SetAdvisers([]string{"d1", "d2"})
	h.sync()
	gang := testRecord("01", gangStep(2, 2000))
	h.cell.AddJob(h.now, gang, nil)
	order := h.tick(2 * reservationInterval).Advice[0]
	h.cell.HandleAdviceResponse(h.now, order, h.now, tanagerport.Advice{
		Valid:   30 * time.Second,
		Tickets: map[string]string{"a": "ticket"},
	}, nil)
	s := h.cell.jobs[gang.ID].steps[0]
	h.c.Assert(h.cell.reserveFree(s), qt.IsTrue)
	h.setWorkers(workerWithCPU("a", 3000))
	h.c.Assert(h.runIdle(2*reservationGrace), qt.HasLen, 0)
	h.c.Assert(h.cell.workers["a"].reservedFor, qt.IsNil)
	h.setWorkers(testWorker("a", 1))
	h.c.Assert(h.runIdle(time.Second), qt.HasLen, 2)
}

// A gang that needs no GPU was placed on a worker whose GPUs are overcommitted.
func TestGangAvoidsOverfullWorker(t *testing.T) {
	h := newHarness(t, 1)
	withGPUs := func(gpus int64) tanagerport.WorkerEntry {
		e := testWorker("a", 1)
		e.Capacity.GPUs = gpus
		return e
	}
	h.setWorkers(withGPUs(2))
	h.sync()
	step := testStep(1, 1000)
	step.Resources.GPUs = 2
	starts := h.submit(testRecord("01", step))
	h.acceptAll(starts)
	h.setWorkers(withGPUs(1))
	h.c.Assert(h.submit(testRecord("02", gangStep(2, 1000))), qt.HasLen, 0)
	h.reportEnds("a", 1, tanagerport.EndedDone, starts[0])
	h.c.Assert(h.tick(100*time.Millisecond).Starts, qt.HasLen, 2)
}

// A start without a response was sent again to a worker that had meanwhile become
// too small for it or had begun to drain.
func TestStartIsRepeatedOnlyWhereItMayRun(t *testing.T) {
	draining := testWorker("a", 1)
	draining.Draining = true
	draining.TerminatesIn = time.Minute
	for name, changed := range map[string]tanagerport.WorkerEntry{
		"shrunk":   workerWithCPU("a", 1000),
		"draining": draining,
	} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1))
		h.sync()
		start := h.submit(testRecord("01", testStep(1, 2000)))[0]
		h.setWorkers(changed)
		h.cell.HandleStartResponse(h.now, start, tanagerport.Response{}, tanagerport.OutcomeUnknown.New("no response"))
		out := h.tick(20 * time.Millisecond)
		h.c.Check(out.Starts, qt.HasLen, 0, qt.Commentf("%s", name))
		h.c.Check(out.Stops, qt.HasLen, 1, qt.Commentf("%s", name))
	}
}

// A run of an unknown job takes all of its worker's capacity. Capacity that was
// added between two reports was taken for free.
func TestOrphanedRunTakesAddedCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(workerWithCPU("a", 2000))
	h.tick(time.Millisecond)
	h.respondToPolls(tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "00000000000000ff"}},
		Run:  1,
	}}})
	h.c.Assert(h.submit(testRecord("01", testStep(1, 1000))), qt.HasLen, 0)
	h.setWorkers(testWorker("a", 1))
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.c.Assert(h.runIdle(2*time.Second), qt.HasLen, 1)
}

// Capacity that is added is used at once.
func TestAddedCapacityIsUsedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(workerWithCPU("a", 1000))
	h.sync()
	h.runIdle(2 * hintInterval)
	h.c.Assert(h.submit(testRecord("01", testStep(1, 2000))), qt.HasLen, 0)
	h.cell.SetWorkers(h.now, []tanagerport.WorkerEntry{testWorker("a", 1)})
	h.c.Assert(h.tick(time.Millisecond).Starts, qt.HasLen, 1)
}

// answerAdvice approves all workers of the given calls.
func (h *harness) answerAdvice(orders []AdviceOrder) {
	for _, o := range orders {
		tickets := make(map[string]string)
		for _, id := range o.Workers {
			tickets[id] = "ticket"
		}
		h.cell.HandleAdviceResponse(h.now, o, h.now, tanagerport.Advice{
			Valid:   time.Second,
			Tickets: tickets,
		}, nil)
	}
}

// runWithAdvice advances the time by d while all workers report that they run
// nothing and calls for advice are answered. It returns the starts.
func (h *harness) runWithAdvice(d time.Duration) []StartOrder {
	const step = 50 * time.Millisecond
	var starts []StartOrder
	for ; d > 0; d -= step {
		out := h.tick(step)
		h.answerAdvice(out.Advice)
		h.respondToPolls(tanagerport.Report{})
		starts = append(starts, out.Starts...)
	}
	return starts
}

// A gang whose reservation could not be used any more, and that was too far down
// the ready list to make a new one, kept its workers from the gangs before it.
func TestUnusableReservationIsDropped(t *testing.T) {
	workers := []tanagerport.WorkerEntry{testWorker("a", 1), testWorker("b", 1), testWorker("c", 1)}
	for name, tc := range map[string]struct {
		// shrinks tells that a reserved worker shrinks. The call for new tickets
		// fails with adviceFails, and stays open with callOpen.
		shrinks, adviceFails, callOpen bool
	}{
		"neither":        {},
		"worker shrinks": {shrinks: true},
		"advice fails":   {adviceFails: true},
		"call open":      {shrinks: true, callOpen: true},
	} {
		h := newBatchHarness(t, &tanagerport.AdvicePolicy{
			DecisionTime: 10 * time.Millisecond,
			TicketTTL:    time.Second,
		})
		h.setWorkers(workers...)
		h.cell.SetAdvisers([]string{"d1", "d2"})
		h.sync()
		last := testRecord("01", gangStep(2, 4000))
		last.Arrived = h.now
		h.cell.AddJob(h.now, last, nil)
		h.answerAdvice(h.tick(2 * reservationInterval).Advice)
		s := h.cell.jobs[last.ID].steps[0]
		// The tickets expire before they are used.
		h.now = h.now.Add(time.Second)
		h.clock += time.Second
		h.respondToPolls(tanagerport.Report{})
		calls := h.tick(time.Millisecond).Advice
		h.c.Assert(calls, qt.HasLen, 1)
		h.c.Assert(s.gang.reservation, qt.HasLen, 2)
		for i := range 2 * minReservations {
			r := testRecord(fmt.Sprintf("1%d", i), gangStep(2, 4000))
			r.Arrived = h.now.Add(-2 * time.Second)
			h.cell.AddJob(h.now, r, nil)
		}
		if tc.callOpen {
			h.c.Assert(h.runWithAdvice(500*time.Millisecond), qt.HasLen, 0)
		}
		if tc.shrinks {
			reserved := s.gang.reservation[0].worker.id
			entries := make([]tanagerport.WorkerEntry, 0, len(workers))
			for _, e := range workers {
				if e.ID == reserved {
					e = workerWithCPU(e.ID, 1000)
				}
				entries = append(entries, e)
			}
			h.setWorkers(entries...)
		}
		switch {
		case tc.adviceFails:
			h.cell.HandleAdviceResponse(h.now, calls[0], h.now, tanagerport.Advice{},
				tanagerport.OutcomeUnknown.New("no response"))
		case !tc.callOpen:
			h.answerAdvice(calls)
		}
		h.c.Check(h.runWithAdvice(time.Second), qt.HasLen, 2, qt.Commentf("%s", name))
	}
}

// refuseForCapacity submits a task and refuses its start for want of capacity. It
// returns the refused start.
func (h *harness) refuseForCapacity() StartOrder {
	starts := h.submit(testRecord("01", testStep(1, 2000)))
	h.c.Assert(starts, qt.HasLen, 1)
	h.cell.HandleStartResponse(h.now, starts[0], tanagerport.Response{
		Status: tanagerport.InsufficientCapacity,
		Clock:  h.clock,
	}, nil)
	return starts[0]
}

// A worker that guards its capacity and whose entry does not show yet that it has
// shrunk was offered the same task every 20 ms, although another had room.
func TestTaskLeavesWorkerThatRefusesForCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	refused := h.refuseForCapacity()
	again := h.tick(2 * refusedStartDelay).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.c.Assert(again[0].Worker.ID, qt.Not(qt.Equals), refused.Worker.ID)
}

// The only worker is tried again, but not at the rate of the scheduler's ticks.
func TestRefusalForCapacityIsRetriedLater(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.refuseForCapacity()
	h.c.Assert(h.runIdle(200*time.Millisecond), qt.HasLen, 0)
	h.c.Assert(h.runIdle(500*time.Millisecond), qt.HasLen, 1)
}
