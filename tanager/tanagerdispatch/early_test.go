package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// reportEarlyEnd reports the end of task 0 of job 01, with number 1, on worker a.
func reportEarlyEnd(h *harness) {
	h.cell.HandlePollResponse(h.now, PollOrder{Worker: h.cell.workers["a"].ref()}, h.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  h.clock,
		},
		Incarnation: 1,
		Ended: []tanagerport.EndedRun{{
			SequenceNumber: 1,
			Task:           tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: "0000000000000001"}},
			Run:            1,
			Reason:         tanagerport.EndedDone,
		}},
		Complete: true,
	}, nil)
}

// acknowledged returns the highest end that the polls of the next second
// acknowledge.
func (h *harness) acknowledged() int64 {
	highest := int64(0)
	for range 20 {
		for _, p := range h.tick(50 * time.Millisecond).Polls {
			highest = max(highest, p.Poll.Acknowledged)
		}
		h.respondToPolls(tanagerport.Report{})
		h.storeProgress()
	}
	return highest
}

// Guards against tasks that run a second time under a successor that had acknowledged
// their end before it learned of their job.
func TestEndOfJobThatIsNotKnownYet(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	reportEarlyEnd(h)
	h.c.Assert(h.acknowledged(), qt.Equals, int64(0))
	record := testRecord("01", testStep(1, 1000))
	record.Epoch = 1
	starts := h.submit(record)
	h.c.Assert(starts, qt.HasLen, 0)
	state, _ := h.cell.State(record.ID)
	h.c.Assert(state, qt.Equals, tanagerwork.Running)
	h.storeProgress()
	state, _ = h.cell.State(record.ID)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
	h.c.Assert(h.acknowledged(), qt.Equals, int64(1))
}

// An end of a job that does not exist is acknowledged once all jobs that were
// accepted before it are known.
func TestEndOfNoJobIsAcknowledged(t *testing.T) {
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.tick(50 * time.Millisecond)
	before := h.now
	h.tick(50 * time.Millisecond)
	reportEarlyEnd(h)
	h.cell.JobsKnown(before)
	h.c.Assert(h.acknowledged(), qt.Equals, int64(0))
	h.cell.JobsKnown(h.now)
	h.c.Assert(h.acknowledged(), qt.Equals, int64(1))
	h.c.Assert(h.cell.earlyEnds, qt.HasLen, 0)
}
