package tanagerdispatch

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// submit adds a job and returns the starts of the next tick.
func (b *harness) submit(r tanagerwork.Record) []StartOrder {
	b.cell.AddJob(b.now, r, nil)
	return b.tick(20 * time.Millisecond).Starts
}

// reportEnds reports the ends of runs on a worker, numbered from first.
func (b *harness) reportEnds(worker string, first int64, how tanagerport.How, starts ...StartOrder) {
	var rows []tanagerport.EndedRow
	for i, s := range starts {
		rows = append(rows, tanagerport.EndedRow{
			Number: first + int64(i),
			Task:   s.Start.Task,
			Run:    s.Start.Run,
			How:    how,
		})
	}
	b.cell.PollAnswered(b.now, PollOrder{Worker: b.cell.workers[worker].ref()}, b.now, tanagerport.Report{
		Answer: tanagerport.Answer{
			Verdict: tanagerport.Accepted,
			Clock:   b.clock,
		},
		Life:  1,
		Ended: rows,
		// Without Whole the report says nothing about other runs.
	}, nil)
}

// storeProgress marks all pending snapshots as stored.
func (b *harness) storeProgress() {
	for _, s := range b.cell.Unwritten(100) {
		b.cell.Written(s.Job, s.Version, true)
	}
}

func TestCapacityIsNotExceeded(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	starts := b.submit(testRecord("01", testStep(9, 1500)))
	b.c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		b.accept(s)
	}
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	b.reportEnds("a", 1, tanagerport.EndedDone, starts[0])
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// The capacity of a run that is being stopped stays allocated until its end is
// reported.
func TestStoppedRunKeepsCapacityUntilItsEnd(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	starts := b.submit(testRecord("01", testStep(1, 4000)))
	b.accept(starts[0])
	b.cell.CancelJob(starts[0].Start.Task.Job)
	out := b.tick(20 * time.Millisecond)
	b.c.Assert(out.Stops, qt.HasLen, 1)
	b.cell.StopAnswered(b.now, out.Stops[0], tanagerport.Answer{Verdict: tanagerport.Accepted}, nil)
	b.c.Assert(b.submit(testRecord("02", testStep(1, 1000))), qt.HasLen, 0)
	b.reportEnds("a", 1, tanagerport.EndedStopped, starts[0])
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// An orphaned run takes capacity and is stopped.
func TestOrphanedRunTakesCapacity(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.tick(time.Millisecond)
	b.answerPolls(tanagerport.Report{Running: []tanagerport.RunningRow{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "00000000000000ff"}},
		Run:  1,
	}}})
	starts := b.submit(testRecord("01", testStep(1, 1000)))
	b.c.Assert(starts, qt.HasLen, 0)
	b.c.Assert(b.orders.Stops, qt.HasLen, 1)
}

func TestStepsWaitForDependencies(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	second := testStep(1, 500)
	second.After = []int{0}
	first := b.submit(testRecord("01", testStep(2, 500), second))
	b.c.Assert(first, qt.HasLen, 2)
	b.reportEnds("a", 1, tanagerport.EndedDone, first[0])
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	b.reportEnds("a", 2, tanagerport.EndedDone, first[1])
	starts := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Start.Task.Step, qt.Equals, 1)
}

// A start without a response is sent again with the same run number, and the run
// is then stopped. The task is not started elsewhere until a report shows that
// the worker does not run it.
func TestStartWithoutResponseIsResolvedByWorker(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1), testWorker("b", 1))
	b.sync()
	first := b.submit(testRecord("01", testStep(1, 1000)))[0]
	noResponse := tanagerport.Unanswered.New("no response")
	b.cell.StartAnswered(b.now, first, tanagerport.Answer{}, noResponse)
	again := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(again, qt.HasLen, 1)
	b.c.Assert(again[0].Start.Run, qt.Equals, first.Start.Run)
	b.c.Assert(again[0].Worker, qt.Equals, first.Worker)
	b.cell.StartAnswered(b.now, again[0], tanagerport.Answer{}, noResponse)
	out := b.tick(20 * time.Millisecond)
	b.c.Assert(out.Starts, qt.HasLen, 0)
	b.c.Assert(out.Stops, qt.HasLen, 1)
	b.cell.StopAnswered(b.now, out.Stops[0], tanagerport.Answer{Verdict: tanagerport.Accepted}, nil)
	// A report to a poll that was sent before the stop was accepted proves nothing.
	sentBefore := b.now.Add(-time.Millisecond)
	w := b.cell.workers[first.Worker.ID]
	whole := tanagerport.Report{
		Answer: tanagerport.Answer{
			Verdict: tanagerport.Accepted,
			Clock:   b.clock,
		},
		Life:  1,
		Whole: true,
	}
	b.cell.PollAnswered(b.now, PollOrder{Worker: w.ref()}, sentBefore, whole, nil)
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	b.cell.PollAnswered(b.now, PollOrder{Worker: w.ref()}, b.now, whole, nil)
	starts := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Start.Run > first.Start.Run, qt.IsTrue)
}

// A new scheduler may receive ends repeatedly and in any order. Each failed run
// counts once, and the job fails with the last of its allowed attempts.
func TestFailedRunsCountOnce(t *testing.T) {
	for _, order := range [][]int64{{1, 2, 3}, {3, 1, 2}, {3, 3, 2, 2, 1}} {
		b := newHarness(t, 2)
		b.setWorkers(testWorker("a", 1), testWorker("b", 1))
		b.sync()
		r := testRecord("01", testStep(1, 1000))
		b.cell.AddJob(b.now, r, nil)
		failed := 0
		for i, run := range order {
			b.reportEnds("a", int64(i+1), tanagerport.EndedFailed, StartOrder{Start: tanagerport.Start{
				Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: r.ID}},
				Run:  run,
			}})
			if b.cell.jobs[r.ID].state == tanagerwork.Failed {
				failed = i + 1
				break
			}
		}
		b.c.Check(failed, qt.Equals, len(order), qt.Commentf("order %v", order))
	}
}

// Ends are acknowledged only after the progress that contains them is stored.
func TestEndsAreAcknowledgedAfterStorage(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	starts := b.submit(testRecord("01", testStep(2, 500)))
	b.reportEnds("a", 1, tanagerport.EndedDone, starts...)
	b.answerPolls(tanagerport.Report{})
	polls := b.tick(time.Second).Polls
	b.c.Assert(polls, qt.HasLen, 1)
	b.c.Assert(polls[0].Poll.Acknowledged, qt.Equals, int64(0))
	state, _ := b.cell.State(starts[0].Start.Task.Job)
	b.c.Assert(state, qt.Equals, tanagerwork.Running)
	b.storeProgress()
	b.answerPolls(tanagerport.Report{})
	polls = b.tick(time.Second).Polls
	b.c.Assert(polls[0].Poll.Acknowledged, qt.Equals, int64(2))
	state, _ = b.cell.State(starts[0].Start.Task.Job)
	b.c.Assert(state, qt.Equals, tanagerwork.Completed)
}

// While a worker of its predecessor cannot be reached, a new scheduler starts no
// task that the predecessor may have started there. It does start jobs that were
// accepted in its own epoch.
func TestSuccessorWaitsForUnreachableWorkers(t *testing.T) {
	b := newHarness(t, 2)
	b.cell.Inherit(b.now, []string{"a", "lost"})
	b.setWorkers(testWorker("a", 1))
	b.sync()
	old := testRecord("01", testStep(1, 1000))
	old.Epoch = 1
	b.c.Assert(b.submit(old), qt.HasLen, 0)
	fresh := testRecord("02", testStep(1, 1000))
	fresh.Epoch = 2
	b.c.Assert(b.submit(fresh), qt.HasLen, 1)
	takeoverAt := b.now
	for len(b.orders.Starts) == 0 || b.orders.Starts[0].Start.Task.Job != old.ID {
		b.tick(100 * time.Millisecond)
		b.answerPolls(tanagerport.Report{})
		b.c.Assert(b.now.Sub(takeoverAt) < time.Minute, qt.IsTrue)
	}
	b.c.Assert(b.now.Sub(takeoverAt) > testSettings().Lease+pollWait, qt.IsTrue)
}

// A silent worker stays in the roster until its lease has expired, as it may hold
// ends that have not been acknowledged.
func TestSilentWorkerStaysInRosterUntilLeaseExpires(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1), testWorker("b", 1))
	b.sync()
	silentSince := b.now
	var removedAfter time.Duration
	for range 100 {
		b.tick(100 * time.Millisecond)
		b.failPoll("a")
		b.answerPolls(tanagerport.Report{})
		ids := b.cell.Roster()
		if !slices.Contains(ids, "a") {
			removedAfter = b.now.Sub(silentSince)
			break
		}
	}
	b.c.Assert(removedAfter > testSettings().Lease, qt.IsTrue, qt.Commentf("removed after %v", removedAfter))
}

// A job that was accepted in a later epoch belongs to another scheduler.
func TestJobOfLaterEpochIsIgnored(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	r := testRecord("01", testStep(1, 1000))
	r.Epoch = 2
	b.c.Assert(b.submit(r), qt.HasLen, 0)
}

// A run that a predecessor started is adopted and not started again.
func TestRunningTaskIsAdopted(t *testing.T) {
	b := newHarness(t, 2)
	b.cell.Inherit(b.now, []string{"a"})
	b.setWorkers(testWorker("a", 1))
	r := testRecord("01", testStep(1, 1000))
	r.Epoch = 1
	b.cell.AddJob(b.now, r, nil)
	b.tick(time.Millisecond)
	b.answerPolls(tanagerport.Report{Running: []tanagerport.RunningRow{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: r.ID}},
		Run:  1,
	}}})
	b.c.Assert(b.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	state, known := b.cell.State(r.ID)
	b.c.Assert(known, qt.IsTrue)
	b.c.Assert(state, qt.Equals, tanagerwork.Running)
}

// The refusal of an order from an earlier term does not end the present one.
func TestFencedOrderOfEarlierTermIsIgnored(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	first := b.submit(testRecord("01", testStep(1, 1000)))[0]
	b.cell.Reelected(2)
	b.cell.StartAnswered(b.now, first, tanagerport.Answer{Verdict: tanagerport.Fenced}, nil)
	b.c.Assert(b.cell.Deposed(), qt.IsFalse)
	second := b.runIdle(time.Second)
	b.c.Assert(second, qt.HasLen, 1)
	b.cell.StartAnswered(b.now, second[0], tanagerport.Answer{Verdict: tanagerport.Fenced}, nil)
	b.c.Assert(b.cell.Deposed(), qt.IsTrue)
}

func TestSpreadLimitAndLabel(t *testing.T) {
	b := newHarness(t, 1)
	labelled := testWorker("b", 1)
	labelled.Labels = []string{"big"}
	b.setWorkers(testWorker("a", 1), labelled, testWorker("c", 1))
	b.sync()
	s := testStep(4, 100)
	s.SpreadLimit = 1
	b.c.Assert(b.submit(testRecord("01", s)), qt.HasLen, 3)
	s = testStep(2, 100)
	s.Label = "big"
	for _, o := range b.submit(testRecord("02", s)) {
		b.c.Check(o.Worker.ID, qt.Equals, "b")
	}
}

func TestDrainingWorkerGetsNoNewWorkAndIsDrained(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	long := testStep(1, 1000)
	long.Estimate = time.Minute
	starts := b.submit(testRecord("01", long))
	b.accept(starts[0])
	leaving := testWorker("a", 1)
	leaving.Draining = true
	leaving.LeavesIn = 3 * time.Second
	b.setWorkers(leaving)
	b.c.Assert(b.submit(testRecord("02", testStep(1, 100))), qt.HasLen, 0)
	b.c.Assert(b.orders.Stops, qt.HasLen, 0)
	b.c.Assert(b.tick(2*time.Second).Stops, qt.HasLen, 1)
}

// Runs on a worker that comes back as a new incarnation are lost and started
// again.
func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	first := b.submit(testRecord("01", testStep(1, 1000)))
	b.accept(first[0])
	b.setWorkers(testWorker("a", 2))
	b.tick(100 * time.Millisecond)
	b.answerPolls(tanagerport.Report{Life: 2})
	again := b.tick(100 * time.Millisecond).Starts
	b.c.Assert(again, qt.HasLen, 1)
	b.c.Assert(again[0].Worker.Life, qt.Equals, int64(2))
	b.c.Assert(again[0].Start.Run > first[0].Start.Run, qt.IsTrue)
}

// A start that was in flight when its worker restarted may be executed by the new
// incarnation. The scheduler must not treat the run as lost.
func TestStartExecutedByNextIncarnation(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1), testWorker("b", 1))
	b.sync()
	first := b.submit(testRecord("01", gangStep(2, 2000)))
	b.c.Assert(first, qt.HasLen, 2)
	worker := first[0].Worker.ID
	b.c.Assert(first[1].Worker.ID, qt.Equals, worker)
	var running []tanagerport.RunningRow
	for _, o := range first {
		b.accept(o)
		running = append(running, tanagerport.RunningRow{
			Task: o.Start.Task,
			Run:  o.Start.Run,
		})
	}
	b.tick(20 * time.Millisecond)
	for _, o := range b.openPolls {
		if o.Worker.ID == worker {
			b.answerPoll(o, tanagerport.Report{
				Life:    2,
				Running: running,
			})
		}
	}
	b.openPolls = nil
	b.c.Assert(b.tick(100*time.Millisecond).Starts, qt.HasLen, 0)
	b.c.Assert(b.orders.Stops, qt.HasLen, 0)
}

// A new scheduler continues from the stored progress.
func TestProgressIsRestored(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	r := testRecord("01", testStep(3, 500))
	starts := b.submit(r)
	b.reportEnds("a", 1, tanagerport.EndedDone, starts[0])
	b.reportEnds("a", 2, tanagerport.EndedFailed, starts[1])
	snapshots := b.cell.Unwritten(10)
	b.c.Assert(snapshots, qt.HasLen, 1)

	successor := newHarness(t, 2)
	successor.cell.Inherit(successor.now, []string{"a"})
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
