package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
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
