package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// Guards against a scheduler that is cut off from its successor with some of the
// workers, and keeps their tasks running while the successor starts them elsewhere.
func TestSchedulerWithoutAuthorityExtendsNoLease(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	until := h.now.Add(RenewalWindow)
	h.cell.SetAuthority(until)
	running := tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: start.Start.Task,
		Run:  start.Start.Run,
	}}}
	latest := start.Start.Deadline
	// The workers' clock at the end of the authority.
	clockAtEnd := h.clock + RenewalWindow
	for h.now.Before(until.Add(testSettings().Lease)) {
		out := h.tick(50 * time.Millisecond)
		for _, o := range out.Polls {
			latest = max(latest, o.Poll.Deadline)
			if h.now.After(until) {
				h.c.Assert(o.Poll.Deadline, qt.Equals, time.Duration(0))
			}
		}
		h.respondToPolls(running)
	}
	h.c.Assert(latest <= clockAtEnd+testSettings().Lease, qt.IsTrue)
	// A new job is not started, and a start without a response is not repeated.
	h.c.Assert(h.submit(testRecord("02", testStep(1, 1000))), qt.HasLen, 0)
	h.cell.SetAuthority(h.now.Add(time.Second))
	second := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(second, qt.HasLen, 1)
	h.cell.SetAuthority(h.now)
	h.now = h.now.Add(time.Millisecond)
	h.cell.HandleStartResponse(h.now, second[0], tanagerport.Response{}, noResponse)
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(out.Stops, qt.HasLen, 1)
}
