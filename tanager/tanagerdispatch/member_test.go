package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

var noResponse = tanagerport.OutcomeUnknown.New("no response")

// startPair starts a gang of two members on two workers and lets the first one be
// accepted. It returns the start of the second.
func startPair(h *harness) StartOrder {
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	starts := h.submit(testRecord("01", gangStep(2, 3000)))
	h.c.Assert(starts, qt.HasLen, 2)
	h.accept(starts[0])
	return starts[1]
}

// repeatStart lets a start have no response and returns the repeated one.
func (h *harness) repeatStart(o StartOrder) StartOrder {
	h.cell.HandleStartResponse(h.now, o, tanagerport.Response{}, noResponse)
	again := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	return again[0]
}

// stoppedTasks returns the indices of the tasks with an order to stop.
func stoppedTasks(stops []StopOrder) map[int]bool {
	stopped := make(map[int]bool)
	for _, s := range stops {
		stopped[s.Stop.Task.Index] = true
	}
	return stopped
}

// Guards against a gang whose members wait alone for one whose start has been
// given up.
func TestGangIsStoppedWithMemberThatIsGivenUp(t *testing.T) {
	both := map[int]bool{0: true, 1: true}
	for name, tc := range map[string]struct {
		response tanagerport.Response
		err      error
		stopped  map[int]bool
	}{
		"no response again":    {err: noResponse, stopped: both},
		"worker unreachable":   {err: tanagerport.Refused.New("not connected"), stopped: both},
		"ticket expired":       {response: tanagerport.Response{Status: tanagerport.TicketRejected}, stopped: both},
		"capacity lacking":     {response: tanagerport.Response{Status: tanagerport.InsufficientCapacity}, stopped: both},
		"worker unhealthy":     {response: tanagerport.Response{Status: tanagerport.Unhealthy}, stopped: both},
		"another incarnation":  {response: tanagerport.Response{Status: tanagerport.OtherIncarnation}, stopped: map[int]bool{0: true}},
		"accepted after all":   {response: tanagerport.Response{Status: tanagerport.Accepted}, stopped: map[int]bool{}},
		"outdated at a worker": {response: tanagerport.Response{Status: tanagerport.Outdated}, stopped: both},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			second := h.repeatStart(startPair(h))
			h.cell.HandleStartResponse(h.now, second, tc.response, tc.err)
			out := h.tick(20 * time.Millisecond)
			h.c.Assert(out.Starts, qt.HasLen, 0)
			h.c.Assert(stoppedTasks(out.Stops), qt.DeepEquals, tc.stopped)
		})
	}
}

// Guards against a gang whose other members go on when one is stopped on a worker
// that terminates.
func TestGangIsStoppedWithMemberOnTerminatingWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.accept(startPair(h))
	leaving := testWorker("a", 1)
	leaving.Draining = true
	leaving.TerminatesIn = 500 * time.Millisecond
	h.setWorkers(leaving, testWorker("b", 1))
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(stoppedTasks(out.Stops), qt.DeepEquals, map[int]bool{0: true, 1: true})
}

// Guards against members that are left waiting by a start that had no response
// while its worker was restarting.
func TestGangIsStoppedWhenStartMayHaveReachedOtherIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	second := startPair(h)
	other := "a"
	if second.Worker.ID == "a" {
		other = "b"
	}
	h.setWorkers(testWorker(other, 1), testWorker(second.Worker.ID, 2))
	h.cell.HandleStartResponse(h.now, second, tanagerport.Response{}, noResponse)
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(stoppedTasks(out.Stops), qt.DeepEquals, map[int]bool{0: true, 1: true})
}

// A start that a paused scheduler has not sent does not count against the worker.
func TestStartThatWasNotSentIsPlacedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.HandleStartResponse(h.now, start, tanagerport.Response{}, tanagerport.NotSent.New("paused"))
	again := h.tick(2 * refusedStartDelay).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.c.Assert(again[0].Start.Run > start.Start.Run, qt.IsTrue)
}

// A start that was not sent, as the worker has not answered on a new connection, is sent
// again; then its task is placed again without waiting for the lease.
func TestStartThatReachedNoWorkerIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	notReached := tanagerport.NotReached.New("no answer")
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{}, notReached)
	again := h.tick(20 * time.Millisecond)
	h.c.Assert(again.Starts, qt.HasLen, 1)
	h.c.Assert(again.Starts[0].Start.Run, qt.Equals, first.Start.Run)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.respondToPolls(tanagerport.Report{})
	h.cell.HandleStartResponse(h.now, again.Starts[0], tanagerport.Response{}, notReached)
	var starts []StartOrder
	for range 10 {
		out := h.tick(20 * time.Millisecond)
		h.respondToPolls(tanagerport.Report{})
		h.c.Assert(out.Stops, qt.HasLen, 0)
		starts = append(starts, out.Starts...)
	}
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Worker.ID, qt.Equals, "b")
}

// Guards against a run that is stopped because a repeated start reached nobody, although
// the first one has started it.
func TestRunGoesOnIfItsRepeatedStartReachedNoWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{}, noResponse)
	again := h.tick(50 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.respondToPolls(tanagerport.Report{Running: []tanagerport.ActiveRun{{
		Task: first.Start.Task,
		Run:  first.Start.Run,
	}}})
	h.cell.HandleStartResponse(h.now, again[0], tanagerport.Response{}, tanagerport.NotReached.New("no answer"))
	h.c.Assert(h.tick(20*time.Millisecond).Stops, qt.HasLen, 0)
}

// A run whose first start got no response may have started, whatever became of the second.
func TestStartThatReachedNoWorkerAfterOneWithoutResponseIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{}, noResponse)
	again := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.cell.HandleStartResponse(h.now, again[0], tanagerport.Response{}, tanagerport.NotReached.New("no answer"))
	out := h.tick(20 * time.Millisecond)
	h.c.Assert(out.Stops, qt.HasLen, 1)
	h.c.Assert(out.Starts, qt.HasLen, 0)
}
