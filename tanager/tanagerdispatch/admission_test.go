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
	h.submit(testRecord("01", testStep(1, 4000)))
	h.submit(testRecord("02", testStep(1, 4000)))
	h.tick(2 * hintInterval)
	hints, _ := h.cell.AdmissionHints()
	h.c.Assert(hints, qt.HasLen, 1)
	h.c.Assert(hints[testQueue].Pending, qt.Equals, 1)
	// A queue without a hint is open, and nothing waits in it.
	idle := testRecord("03", testStep(1, 1000))
	h.c.Assert(hints["idle-7"].Decision(&idle.Spec).Closed, qt.IsFalse)
}

// A queue that was removed from the configuration is kept while it has jobs, and
// no longer.
func TestRemovedQueuesAreForgotten(t *testing.T) {
	h := newHarness(t, 1)
	h.configureIdleQueues(1400)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.submit(testRecord("01", testStep(1, 4000)))
	h.cell.Configure(tanagerport.Configuration{})
	h.tick(20 * time.Millisecond)
	h.c.Assert(h.cell.Load().Queues, qt.Equals, 1)
}
