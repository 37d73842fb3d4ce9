package tanagerdispatch

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// configureIdleQueues configures the harness's queue and count further ones.
func (h *harness) configureIdleQueues(count int) {
	queues := []tanagerport.Queue{{
		Name:        testQueue,
		Service:     testService,
		MaxAttempts: 3,
		Stretch:     4,
	}}
	for i := range count {
		queues = append(queues, tanagerport.Queue{
			Name:    "idle-" + strconv.Itoa(i),
			Service: testService,
		})
	}
	h.cell.Configure(tanagerport.Configuration{Queues: queues})
}

// The hints go to every daemon several times a second, so a configuration with
// thousands of queues must not make them larger.
func TestIdleQueuesHaveNoHints(t *testing.T) {
	h := newHarness(t, 1)
	h.configureIdleQueues(1400)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.accept(h.submit(testRecord("01", testStep(1, 4000)))[0])
	h.submit(testRecord("02", testStep(1, 4000)))
	h.tick(2 * hintInterval)
	hints, _ := h.cell.AdmissionHints()
	h.c.Assert(hints, qt.HasLen, 1)
	h.c.Assert(hints[testQueue].Pending, qt.Equals, 1)
	// A queue without a hint is open, and nothing waits in it.
	idle := testRecord("03", testStep(1, 1000))
	h.c.Assert(hints["idle-7"].Decision(&idle.Spec).Closed, qt.IsFalse)
}

// A queue that was removed from the configuration is kept while it has jobs or may
// still get some, and no longer.
func TestRemovedQueuesAreForgotten(t *testing.T) {
	h := newHarness(t, 1)
	h.configureIdleQueues(1400)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.submit(testRecord("01", testStep(1, 4000)))
	h.cell.Configure(tanagerport.Configuration{})
	h.tick(removedQueueRetention)
	h.cell.Configure(tanagerport.Configuration{})
	h.c.Assert(h.cell.Load().Queues, qt.Equals, 1)
}

// A job that was accepted before the operator removed its queue can reach the
// scheduler afterwards. Without the queue's policy it was started without a ticket.
func TestLateJobOfRemovedQueueKeepsItsPolicy(t *testing.T) {
	h := newBatchHarness(t, &tanagerport.AdvicePolicy{
		DecisionTime: 10 * time.Millisecond,
		TicketTTL:    time.Second,
	})
	h.setWorkers(testWorker("a", 1))
	h.cell.SetAdvisers([]string{"d1"})
	h.sync()
	h.cell.Configure(tanagerport.Configuration{Version: 3})
	h.tick(removedQueueRetention / 2)
	h.cell.Configure(tanagerport.Configuration{Version: 4})
	h.cell.AddJob(h.now, testRecord("01", testStep(1, 1000)), nil)
	h.c.Assert(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0)
	h.c.Assert(h.cell.queues[testQueue].maxAttempts(), qt.Equals, 3)
}
