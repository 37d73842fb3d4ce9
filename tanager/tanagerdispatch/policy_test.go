package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// newSuccessor returns a cell of epoch 2 that has not seen testQueue in any
// configuration, with a worker and an adviser.
func newSuccessor(t *testing.T) *harness {
	h := newHarness(t, 2)
	h.cell = New(testSettings(), 2, h.now)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.cell.SetAdvisers([]string{"d1"})
	return h
}

// recordWithPolicy returns a record, as read from the store, that was accepted under
// version 10 of a queue with four attempts and, if advised is set, with advice.
func recordWithPolicy(c *qt.C, id string, advised bool) tanagerwork.Record {
	q := tanagerport.Queue{
		Name:        testQueue,
		MaxAttempts: 4,
		Stretch:     4,
		Slack:       3 * time.Second,
	}
	if advised {
		q.Advice = &tanagerport.AdvicePolicy{
			DecisionTime: 10 * time.Millisecond,
			TicketTTL:    time.Second,
		}
	}
	r := testRecord(id, testStep(1, 1000))
	r.Epoch = 1
	r.Policy = q.Policy(10)
	var stored tanagerwork.Record
	c.Assert(tanagerwire.Decode(tanagerwire.Encode(r), &stored), qt.IsNil)
	return stored
}

// After a change of the scheduler, a job of a removed queue with advice was started
// without a ticket again and again, which its workers refuse.
func TestSuccessorAsksAdviceForRemovedQueue(t *testing.T) {
	for name, configured := range map[string]bool{"removed": true, "configuration not read yet": false} {
		h := newSuccessor(t)
		if configured {
			h.cell.Configure(tanagerport.Configuration{Version: 11})
		}
		out := h.submitOrders(recordWithPolicy(h.c, "01", true))
		h.c.Check(out.Starts, qt.HasLen, 0, qt.Commentf("%s", name))
		h.c.Check(out.Advice, qt.HasLen, 1, qt.Commentf("%s", name))
	}
}

// submitOrders adds a job and returns the orders of the next tick.
func (h *harness) submitOrders(r tanagerwork.Record) Orders {
	h.cell.AddJob(h.now, r, nil)
	return h.tick(20 * time.Millisecond)
}

// After a change of the scheduler, a job of a removed queue failed with the first
// failed run of a task.
func TestSuccessorKeepsAttemptsOfRemovedQueue(t *testing.T) {
	h := newSuccessor(t)
	h.cell.Configure(tanagerport.Configuration{Version: 11})
	r := recordWithPolicy(h.c, "01", false)
	h.cell.AddJob(h.now, r, nil)
	for i := range int64(4) {
		h.c.Assert(h.cell.jobs[r.ID].state.Final(), qt.IsFalse, qt.Commentf("after %d runs", i))
		start := h.nextStart()
		h.accept(start)
		h.reportEnds("a", i+1, tanagerport.EndedFailed, start)
	}
	h.c.Assert(h.cell.jobs[r.ID].state, qt.Equals, tanagerwork.Failed)
	h.c.Assert(h.cell.jobs[r.ID].objective, qt.Equals, 4*time.Second+3*time.Second)
}

// The latest policy that is known is in force: a configured one before those of
// records, and of these the one of the latest version.
func TestLatestPolicyIsInForce(t *testing.T) {
	attempts := func(q *queue) int { return q.maxAttempts() }
	policy := func(version int64, attempts int) *tanagerwork.QueuePolicy {
		q := tanagerport.Queue{MaxAttempts: attempts}
		return q.Policy(version)
	}
	h := newSuccessor(t)
	r := testRecord("01", testStep(1, 1000))
	r.Policy = policy(5, 2)
	h.cell.AddJob(h.now, r, nil)
	q := h.cell.queues[testQueue]
	h.c.Check(attempts(q), qt.Equals, 2)
	q.adoptPolicy(policy(7, 6))
	q.adoptPolicy(policy(6, 3))
	h.c.Check(attempts(q), qt.Equals, 6)
	h.cell.Configure(tanagerport.Configuration{
		Version: 8,
		Queues: []tanagerport.Queue{{
			Name:        testQueue,
			MaxAttempts: 4,
		}},
	})
	q.adoptPolicy(policy(9, 5))
	h.c.Check(attempts(q), qt.Equals, 4)
	h.cell.Configure(tanagerport.Configuration{Version: 10})
	q.adoptPolicy(policy(7, 6))
	h.c.Check(attempts(q), qt.Equals, 4)
}
