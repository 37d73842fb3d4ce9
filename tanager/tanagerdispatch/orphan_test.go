package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Guards against a task that a new scheduler starts although a worker has reported a
// run of it, before its job was known.
func TestRunReportedBeforeItsJobIsKnownIsNotDuplicated(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.tick(time.Millisecond)
	task := tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "0000000000000001"}}
	running := tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: task,
		Run:  1,
	}}}
	for _, o := range h.openPolls {
		if o.Worker.ID == "a" {
			h.respondToPoll(o, running)
		} else {
			h.respondToPoll(o, tanagerport.Report{})
		}
	}
	h.openPolls = nil
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	h.c.Assert(h.submit(record), qt.HasLen, 0)
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers["a"].ref()}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
		Ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           task,
			Run:            1,
			Reason:         tanagerport.EndedStopped,
		}},
	}, nil)
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 1)
}

// Guards against a gang that is started again while a worker still runs a member of
// its former run, which no attempt stands for.
func TestGangWaitsForOrphanOfItsFormerRun(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "b"})
	record := testRecord("01", gangStep(2, 1500))
	record.Epoch = 1
	h.cell.AddJob(h.now, record, nil)
	h.tick(time.Millisecond)
	member := func(index int) tanagerwork.TaskName {
		return tanagerwork.TaskName{
			StepName: tanagerwork.StepName{Job: record.ID},
			Index:    index,
		}
	}
	polls := h.openPolls
	h.openPolls = nil
	// The end of one member shows that the run is of no use.
	h.respondToPoll(pollOf(polls, "a"), tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 1,
		Task:           member(0),
		Run:            1,
		Reason:         tanagerport.EndedGangTimeout,
	}}})
	h.respondToPoll(pollOf(polls, "b"), tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: member(1),
		Run:  1,
	}}})
	out := h.tick(200 * time.Millisecond)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(out.Stops, qt.HasLen, 1)
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers["b"].ref()}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
		Ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           member(1),
			Run:            1,
			Reason:         tanagerport.EndedStopped,
		}},
	}, nil)
	h.c.Assert(h.tick(200*time.Millisecond).Starts, qt.HasLen, 2)
}

// pollOf returns the poll of a worker.
func pollOf(polls []PollOrder, id string) PollOrder {
	for _, o := range polls {
		if o.Worker.ID == id {
			return o
		}
	}
	return PollOrder{}
}

// Guards against a task that never starts, since a run of it was reported by a worker
// whose lease has expired before the job was known.
func TestOrphanOfExpiredWorkerIsForgotten(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.tick(time.Millisecond)
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	polls := h.openPolls
	h.openPolls = nil
	h.respondToPoll(pollOf(polls, "a"), tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: record.ID}},
		Run:  1,
	}}})
	h.respondToPoll(pollOf(polls, "b"), tanagerport.Report{})
	for silentUntil := h.now.Add(2 * testSettings().Lease); h.now.Before(silentUntil); {
		h.tick(50 * time.Millisecond)
		h.failPoll("a")
		h.respondToPolls(tanagerport.Report{})
	}
	h.c.Assert(h.submit(record), qt.HasLen, 1)
}

// Guards against a task that starts again while an orphaned run of it goes on: a start of
// a replaced scheduler reached a worker that had restarted and lost the present run.
func TestTaskWaitsForItsOrphan(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	h.tick(50 * time.Millisecond)
	own := start.Worker.ID
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: start.Worker}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 2,
		Running: []tanagerport.ActiveRun{{
			Task: start.Start.Task,
			Run:  1,
		}},
		Complete: true,
	}, nil)
	// The worker may have crashed under the lost run: its task waits for that to be
	// stored, and then for its orphan.
	h.storeProgress()
	h.c.Assert(h.tick(2*crashWindow).Starts, qt.HasLen, 0)
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers[own].ref()}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 2,
		Ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           start.Start.Task,
			Run:            1,
			Reason:         tanagerport.EndedStopped,
		}},
		Complete: true,
	}, nil)
	h.c.Assert(h.tick(200*time.Millisecond).Starts, qt.HasLen, 1)
}
