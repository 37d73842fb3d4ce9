package tanagerdispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// submit adds a job and returns the starts of the next tick.
func (h *harness) submit(r tanagerwork.Record) []StartOrder {
	h.cell.AddJob(h.now, r, nil)
	return h.tick(20 * time.Millisecond).Starts
}

// reportEnds reports the ends of runs on a worker, numbered from first.
func (h *harness) reportEnds(worker string, first int64, reason tanagerport.EndReason, starts ...StartOrder) {
	var ended []tanagerport.EndedRun
	for i, s := range starts {
		ended = append(ended, tanagerport.EndedRun{
			SequenceNumber: first + int64(i),
			Task:           s.Start.Task,
			Run:            s.Start.Run,
			Reason:         reason,
		})
	}
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers[worker].ref()}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
		Ended:       ended,
		// Complete is not set, so the report says nothing about other runs.
	}, nil)
}

// storeProgress marks all pending snapshots as stored.
func (h *harness) storeProgress() {
	for _, s := range h.cell.TakeSnapshots(100) {
		h.cell.SnapshotWritten(s.Job, s.Version, true)
	}
}

func TestCapacityIsNotExceeded(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(9, 1500)))
	h.c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		h.accept(s)
	}
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.reportEnds("a", 1, tanagerport.EndedDone, starts[0])
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// The capacity of a run that is being stopped stays allocated until its end is
// reported.
func TestStoppedRunKeepsCapacityUntilItsEnd(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(1, 4000)))
	h.accept(starts[0])
	h.cell.CancelJob(starts[0].Start.Task.Job)
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(out.Stops, qt.HasLen, 1)
	h.cell.HandleStopResponse(h.now, out.Stops[0], tanagerport.Response{Status: tanagerport.Accepted}, nil)
	h.c.Assert(h.submit(testRecord("02", testStep(1, 1000))), qt.HasLen, 0)
	h.reportEnds("a", 1, tanagerport.EndedStopped, starts[0])
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// An orphaned run takes capacity and is stopped.
func TestOrphanedRunTakesCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.tick(time.Millisecond)
	h.respondToPolls(tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "00000000000000ff"}},
		Run:  1,
	}}})
	starts := h.submit(testRecord("01", testStep(1, 1000)))
	h.c.Assert(starts, qt.HasLen, 0)
	h.c.Assert(h.orders.Stops, qt.HasLen, 1)
}

func TestStepsWaitForDependencies(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	second := testStep(1, 500)
	second.After = []int{0}
	first := h.submit(testRecord("01", testStep(2, 500), second))
	h.c.Assert(first, qt.HasLen, 2)
	h.reportEnds("a", 1, tanagerport.EndedDone, first[0])
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.reportEnds("a", 2, tanagerport.EndedDone, first[1])
	starts := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Start.Task.Step, qt.Equals, 1)
}

// A start without a response is sent again with the same run number, and the run
// is then stopped. The task is not started elsewhere until a report shows that
// the worker does not run it.
func TestStartWithoutResponseIsResolvedByWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	noResponse := tanagerport.OutcomeUnknown.New("no response")
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{}, noResponse)
	again := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.c.Assert(again[0].Start.Run, qt.Equals, first.Start.Run)
	h.c.Assert(again[0].Worker, qt.Equals, first.Worker)
	h.cell.HandleStartResponse(h.now, again[0], tanagerport.Response{}, noResponse)
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(out.Stops, qt.HasLen, 1)
	h.cell.HandleStopResponse(h.now, out.Stops[0], tanagerport.Response{Status: tanagerport.Accepted}, nil)
	// A report to a poll that was sent before the stop was accepted proves nothing.
	sentBefore := h.now.Add(-time.Millisecond)
	w := h.cell.workers[first.Worker.ID]
	report := tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
		Complete:    true,
	}
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: w.ref()}, sentBefore, report, nil)
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: w.ref()}, h.now, report, nil)
	starts := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Start.Run > first.Start.Run, qt.IsTrue)
}

// A new scheduler may receive ends repeatedly and in any order. Each failed run
// counts once, and the job fails with the last of its allowed attempts.
func TestFailedRunsCountOnce(t *testing.T) {
	for _, order := range [][]int64{{1, 2, 3}, {3, 1, 2}, {3, 3, 2, 2, 1}} {
		h := newHarness(t, 2)
		h.setWorkers(testWorker("a", 1), testWorker("b", 1))
		h.sync()
		r := testRecord("01", testStep(1, 1000))
		h.cell.AddJob(h.now, r, nil)
		failed := 0
		for i, run := range order {
			h.reportEnds("a", int64(i+1), tanagerport.EndedFailed, StartOrder{Start: tanagerport.Start{
				Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: r.ID}},
				Run:  run,
			}})
			if h.cell.jobs[r.ID].state == tanagerwork.Failed {
				failed = i + 1
				break
			}
		}
		h.c.Check(failed, qt.Equals, len(order), qt.Commentf("order %v", order))
	}
}

// Ends are acknowledged only after the progress that contains them is stored.
func TestEndsAreAcknowledgedAfterStorage(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(2, 500)))
	h.reportEnds("a", 1, tanagerport.EndedDone, starts...)
	h.respondToPolls(tanagerport.Report{})
	polls := h.tick(time.Second).Polls
	h.c.Assert(polls, qt.HasLen, 1)
	h.c.Assert(polls[0].Poll.Acknowledged, qt.Equals, int64(0))
	state, _ := h.cell.State(starts[0].Start.Task.Job)
	h.c.Assert(state, qt.Equals, tanagerwork.Running)
	h.storeProgress()
	h.respondToPolls(tanagerport.Report{})
	polls = h.tick(time.Second).Polls
	h.c.Assert(polls[0].Poll.Acknowledged, qt.Equals, int64(2))
	state, _ = h.cell.State(starts[0].Start.Task.Job)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
}

// While a worker of its predecessor cannot be reached, a new scheduler starts no
// task that the predecessor may have started there. It does start jobs that were
// accepted in its own epoch.
func TestSuccessorWaitsForUnreachableWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "lost"})
	h.setWorkers(testWorker("a", 1))
	h.sync()
	inherited := testRecord("01", testStep(1, 1000))
	inherited.Epoch = 1
	h.c.Assert(h.submit(inherited), qt.HasLen, 0)
	current := testRecord("02", testStep(1, 1000))
	current.Epoch = 2
	h.c.Assert(h.submit(current), qt.HasLen, 1)
	takeoverAt := h.now
	for len(h.orders.Starts) == 0 || h.orders.Starts[0].Start.Task.Job != inherited.ID {
		h.tick(100 * time.Millisecond)
		h.respondToPolls(tanagerport.Report{})
		h.c.Assert(h.now.Sub(takeoverAt) < time.Minute, qt.IsTrue)
	}
	h.c.Assert(h.now.Sub(takeoverAt) > testSettings().Lease+pollWait, qt.IsTrue)
}

// A silent worker stays in the roster until its lease has expired, as it may hold
// ends that have not been acknowledged.
func TestSilentWorkerStaysInRosterUntilLeaseExpires(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	silentSince := h.now
	var removedAfter time.Duration
	for range 100 {
		h.tick(100 * time.Millisecond)
		h.failPoll("a")
		h.respondToPolls(tanagerport.Report{})
		ids := h.cell.Roster()
		if !slices.Contains(ids, "a") {
			removedAfter = h.now.Sub(silentSince)
			break
		}
	}
	h.c.Assert(removedAfter > testSettings().Lease, qt.IsTrue, qt.Commentf("removed after %v", removedAfter))
}

// A job that was accepted in a later epoch belongs to another scheduler.
func TestJobOfLaterEpochIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	r := testRecord("01", testStep(1, 1000))
	r.Epoch = 2
	h.c.Assert(h.submit(r), qt.HasLen, 0)
}

// A run that a predecessor started is adopted and not started again.
func TestRunningTaskIsAdopted(t *testing.T) {
	h := newHarness(t, 2)
	h.cell.AddPredecessorWorkers(h.now, []string{"a"})
	h.setWorkers(testWorker("a", 1))
	r := testRecord("01", testStep(1, 1000))
	r.Epoch = 1
	h.cell.AddJob(h.now, r, nil)
	h.tick(time.Millisecond)
	h.respondToPolls(tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: r.ID}},
		Run:  1,
	}}})
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	state, known := h.cell.State(r.ID)
	h.c.Assert(known, qt.IsTrue)
	h.c.Assert(state, qt.Equals, tanagerwork.Running)
}

// The refusal of an order from an earlier term does not end the present one.
func TestFencedOrderOfEarlierTermIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.RaiseEpoch(2)
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{Status: tanagerport.Fenced}, nil)
	h.c.Assert(h.cell.Fenced(), qt.IsFalse)
	second := h.runIdle(time.Second)
	h.c.Assert(second, qt.HasLen, 1)
	h.cell.HandleStartResponse(h.now, second[0], tanagerport.Response{Status: tanagerport.Fenced}, nil)
	h.c.Assert(h.cell.Fenced(), qt.IsTrue)
}

func TestSpreadLimitAndLabel(t *testing.T) {
	h := newHarness(t, 1)
	labelled := testWorker("b", 1)
	labelled.Labels = []string{"big"}
	h.setWorkers(testWorker("a", 1), labelled, testWorker("c", 1))
	h.sync()
	s := testStep(4, 100)
	s.SpreadLimit = 1
	h.c.Assert(h.submit(testRecord("01", s)), qt.HasLen, 3)
	s = testStep(2, 100)
	s.Label = "big"
	for _, o := range h.submit(testRecord("02", s)) {
		h.c.Check(o.Worker.ID, qt.Equals, "b")
	}
}

func TestDrainingWorkerGetsNoNewWorkAndIsDrained(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	long := testStep(1, 1000)
	long.Estimate = time.Minute
	starts := h.submit(testRecord("01", long))
	h.accept(starts[0])
	draining := testWorker("a", 1)
	draining.Draining = true
	draining.TerminatesIn = 3 * time.Second
	h.setWorkers(draining)
	h.c.Assert(h.submit(testRecord("02", testStep(1, 100))), qt.HasLen, 0)
	h.c.Assert(h.orders.Stops, qt.HasLen, 0)
	h.c.Assert(h.tick(2*time.Second).Stops, qt.HasLen, 1)
}

// Runs on a worker that comes back as a new incarnation are lost and started
// again.
func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))
	h.accept(first[0])
	h.setWorkers(testWorker("a", 2))
	h.tick(100 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{Incarnation: 2})
	again := h.tick(100 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.c.Assert(again[0].Worker.Incarnation, qt.Equals, int64(2))
	h.c.Assert(again[0].Start.Run > first[0].Start.Run, qt.IsTrue)
}

// A start that was in flight when its worker restarted may be executed by the new
// incarnation. The scheduler must not treat the run as lost.
func TestStartExecutedByNextIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	first := h.submit(testRecord("01", gangStep(2, 2000)))
	h.c.Assert(first, qt.HasLen, 2)
	worker := first[0].Worker.ID
	h.c.Assert(first[1].Worker.ID, qt.Equals, worker)
	var running []tanagerport.ActiveRun
	for _, o := range first {
		h.accept(o)
		running = append(running, tanagerport.ActiveRun{
			Task: o.Start.Task,
			Run:  o.Start.Run,
		})
	}
	h.tick(20 * time.Millisecond)
	for _, o := range h.openPolls {
		if o.Worker.ID == worker {
			h.respondToPoll(o, tanagerport.Report{
				Incarnation: 2,
				Running:     running,
			})
		}
	}
	h.openPolls = nil
	h.c.Assert(h.tick(100*time.Millisecond).Starts, qt.HasLen, 0)
	h.c.Assert(h.orders.Stops, qt.HasLen, 0)
}

// A new scheduler continues from the stored progress.
func TestProgressIsRestored(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	r := testRecord("01", testStep(3, 500))
	starts := h.submit(r)
	h.reportEnds("a", 1, tanagerport.EndedDone, starts[0])
	h.reportEnds("a", 2, tanagerport.EndedFailed, starts[1])
	snapshots := h.cell.TakeSnapshots(10)
	h.c.Assert(snapshots, qt.HasLen, 1)

	successor := newHarness(t, 2)
	successor.cell.AddPredecessorWorkers(successor.now, []string{"a"})
	successor.setWorkers(testWorker("a", 1))
	r.Epoch = 1
	successor.cell.AddJob(successor.now, r, &snapshots[0].Progress)
	successor.sync()
	again := successor.tick(200 * time.Millisecond).Starts
	successor.c.Assert(again, qt.HasLen, 2)
	for _, o := range again {
		successor.c.Check(o.Start.Task.Index, qt.Not(qt.Equals), starts[0].Start.Task.Index)
		successor.c.Check(o.Start.Run > runsPerEpoch, qt.IsTrue)
	}
}

// A worker that was drained and has left must not delay a successor: it leaves
// the roster once it runs nothing and all its ends are stored, before its lease
// has expired.
func TestDrainedWorkerLeavesRosterOnceIdle(t *testing.T) {
	h := newHarness(t, 1)
	draining := testWorker("a", 1)
	h.setWorkers(draining)
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	draining.Draining = true
	draining.TerminatesIn = 6 * time.Second
	h.cell.SetWorkers(h.now, []tanagerport.WorkerEntry{draining, testWorker("b", 1)})
	h.c.Assert(h.cell.Roster(), qt.Contains, "a", qt.Commentf("a run is left"))

	h.tick(20 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 1,
		Task:           start.Start.Task,
		Run:            start.Start.Run,
		Reason:         tanagerport.EndedDone,
	}}})
	h.c.Assert(h.cell.Roster(), qt.Contains, "a", qt.Commentf("an end is not stored"))

	h.storeProgress()
	h.c.Assert(h.cell.RosterChanged(), qt.IsTrue)
	h.c.Assert(slices.Contains(h.cell.Roster(), "a"), qt.IsFalse)
}

// A worker gets no work from the moment at which a roster without it may be in
// the store, also if it is ready again before the write is answered.
func TestWorkerLeavingRosterGetsNoWork(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	draining := testWorker("a", 1)
	draining.Draining = true
	h.cell.SetWorkers(h.now, []tanagerport.WorkerEntry{draining})
	h.c.Assert(h.cell.Roster(), qt.HasLen, 0)

	h.cell.SetWorkers(h.now, []tanagerport.WorkerEntry{testWorker("a", 1)})
	h.c.Assert(h.submit(testRecord("01", testStep(1, 1000))), qt.HasLen, 0)

	h.c.Assert(h.cell.RosterChanged(), qt.IsTrue, qt.Commentf("also if the write has failed"))
	h.cell.RosterStored(h.cell.Roster())
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// Jobs of a predecessor that wait for a silent worker keep no queue closed: new
// jobs do not wait for that worker.
func TestInheritedJobsDoNotCloseQueues(t *testing.T) {
	h := newHarness(t, 2)
	h.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:    testQueue,
		Service: testService,
		Stretch: 1.5,
		Advice: &tanagerport.AdvicePolicy{
			DecisionTime: 10 * time.Millisecond,
			TicketTTL:    time.Second,
		},
	}}})
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "silent"})
	h.setWorkers(testWorker("a", 1))
	for i := range 50 {
		r := testRecord(fmt.Sprintf("%02d", i), testStep(4, 1000))
		r.Epoch = 1
		r.Arrived = h.now
		h.cell.AddJob(h.now, r, nil)
	}
	h.sync()
	for range 10 {
		h.tick(2 * hintInterval)
		h.respondToPolls(tanagerport.Report{})
	}
	hints, _ := h.cell.AdmissionHints()
	h.c.Assert(h.cell.Load().PredecessorWorkers, qt.Equals, 1)
	h.c.Assert(hints[testQueue].Others.Closed, qt.IsFalse)
	h.c.Assert(hints[testQueue].Others.Wait, qt.Equals, time.Duration(0))
}

// Guards against jobs that wait for their start to reach a worker and are not counted
// as pending.
func TestJobIsPendingUntilAWorkerHasStartedIt(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.HandleStartResponse(h.now, start, tanagerport.Response{}, noResponse)
	h.c.Assert(h.cell.Pending()[testQueue], qt.Equals, 1)
	h.accept(h.tick(20 * time.Millisecond).Starts[0])
	h.c.Assert(h.cell.Pending()[testQueue], qt.Equals, 0)
}
