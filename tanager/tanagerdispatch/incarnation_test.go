package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Guards against a successor that no longer waits for a worker because its entry
// shows a restart: the predecessor may have started tasks on the new incarnation.
func TestSuccessorWaitsForReportOfNewIncarnation(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "b"})
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	h.cell.AddJob(h.now, record, nil)
	h.tick(time.Millisecond)
	h.respondToPoll(pollOf(h.openPolls, "b"), tanagerport.Report{})
	h.setWorkers(testWorker("a", 2), testWorker("b", 1))
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.respondToPoll(pollOf(h.orders.Polls, "a"), tanagerport.Report{})
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// Guards against the ends of a worker that are taken for those of its former
// incarnation, as its time of day was put back before it restarted: they were
// acknowledged unread, and their tasks ran again.
func TestEndsOfIncarnationWithLowerNumber(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 7))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(first)
	h.tick(20 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 40,
		Task:           first.Start.Task,
		Run:            first.Start.Run,
		Reason:         tanagerport.EndedDone,
	}}})
	h.storeProgress()
	h.setWorkers(testWorker("a", 5))
	h.tick(50 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{Incarnation: 5})
	second := h.submit(testRecord("02", testStep(1, 1000)))[0]
	h.accept(second)
	h.tick(50 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{
		Incarnation: 5,
		Ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           second.Start.Task,
			Run:            second.Start.Run,
			Reason:         tanagerport.EndedDone,
		}},
	})
	h.storeProgress()
	state, _ := h.cell.State(second.Start.Task.Job)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
	// An entry of the former incarnation that arrives late changes nothing.
	h.setWorkers(testWorker("a", 7))
	h.c.Assert(h.cell.workers["a"].incarnation, qt.Equals, int64(5))
}

// Guards against a task that a successor starts although its end is among those that a
// worker has not listed yet, as a report holds a limited number.
func TestSuccessorWaitsForAllEndsOfAWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.cell.AddPredecessorWorkers(h.now, []string{"a"})
	end := func(number int64, job tanagerwork.JobID) tanagerport.EndedRun {
		return tanagerport.EndedRun{
			SequenceNumber: number,
			Task:           tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: job}},
			Run:            1,
			Reason:         tanagerport.EndedDone,
		}
	}
	report := tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
	}
	var ids []tanagerwork.JobID
	for _, name := range []string{"01", "02"} {
		record := testRecord(name, testStep(1, 1000))
		record.Epoch = 1
		h.cell.AddJob(h.now, record, nil)
		ids = append(ids, record.ID)
	}
	h.tick(time.Millisecond)
	report.Ended = []tanagerport.EndedRun{end(1, ids[0])}
	h.cell.HandlePollResponse(h.now, h.openPolls[0], h.now, report, nil)
	h.storeProgress()
	h.openPolls = nil
	h.c.Assert(h.tick(50*time.Millisecond).Starts, qt.HasLen, 0)
	h.respondToPolls(tanagerport.Report{Ended: []tanagerport.EndedRun{end(2, ids[1])}})
	h.c.Assert(h.tick(50*time.Millisecond).Starts, qt.HasLen, 0)
	state, _ := h.cell.State(ids[1])
	h.c.Assert(state, qt.Equals, tanagerwork.Running)
	h.storeProgress()
	state, _ = h.cell.State(ids[1])
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
}

// Guards against a predecessor that has not heard of the takeover and starts a task on a
// worker that has restarted after its first report, and so refuses no epoch.
func TestSuccessorWaitsForWorkerThatRestartsAfterItsReport(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "b"})
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	h.cell.AddJob(h.now, record, nil)
	h.tick(time.Millisecond)
	polls := h.openPolls
	h.openPolls = nil
	h.respondToPoll(pollOf(polls, "a"), tanagerport.Report{})
	h.setWorkers(testWorker("a", 2), testWorker("b", 1))
	h.respondToPoll(pollOf(polls, "b"), tanagerport.Report{})
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.respondToPoll(pollOf(h.orders.Polls, "a"), tanagerport.Report{})
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// Guards against a worker that is lost because an entry of its former incarnation arrived
// late: the present one, which goes on to answer, was taken for ended.
func TestLateEntryOfFormerIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 7))
	h.sync()
	h.setWorkers(testWorker("a", 5))
	polls := 0
	for range 100 {
		polls += len(h.tick(20 * time.Millisecond).Polls)
		h.respondToPolls(tanagerport.Report{Incarnation: 7})
	}
	h.c.Assert(h.cell.workers["a"].incarnation, qt.Equals, int64(7))
	h.c.Assert(h.cell.workers["a"].synced, qt.IsTrue)
	h.c.Assert(polls <= int(2*time.Second/minPollInterval), qt.IsTrue)
	h.c.Assert(h.submit(testRecord("01", testStep(1, 1000))), qt.HasLen, 1)
}

// An entry that names no incarnation changes nothing of a worker that has one.
func TestEntryWithoutIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 7))
	foreign := testWorker("a", 0)
	foreign.Service = "other"
	h.setWorkers(foreign)
	h.c.Assert(h.cell.workers["a"].entry.Service, qt.Equals, testService)
}

// Guards against a lease that is extended by the clock of a worker's former incarnation: its
// response to an order was read after the next incarnation had reported.
func TestClockOfFormerIncarnationIsIgnored(t *testing.T) {
	const age = 10 * time.Second
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.setWorkers(testWorker("a", 2))
	former := h.clock
	h.clock = age
	h.openPolls = nil
	h.tick(20 * time.Millisecond)
	h.respondToPolls(tanagerport.Report{})
	h.cell.HandleStartResponse(h.now, start, tanagerport.Response{
		Status: tanagerport.Accepted,
		Clock:  former,
	}, nil)
	h.tick(50 * time.Millisecond)
	deadline := pollOf(h.openPolls, "a").Poll.Deadline
	h.c.Assert(deadline > age, qt.IsTrue)
	h.c.Assert(deadline <= h.clock+testSettings().Lease, qt.IsTrue, qt.Commentf("%v", deadline))
}
