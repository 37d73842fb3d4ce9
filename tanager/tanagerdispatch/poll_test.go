package tanagerdispatch

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

func testFleet(n int) []tanagerport.WorkerEntry {
	var entries []tanagerport.WorkerEntry
	for i := range n {
		entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
	}
	return entries
}

// countPolls advances the time and responds to each poll when its wait is over.
// It returns the number of polls after the time warmup and the least number of
// usable workers since then.
func (h *harness) countPolls(warmup, measured time.Duration) (count, usable int) {
	usable = len(h.cell.workers)
	due := make(map[string]time.Time)
	measureFrom := h.now.Add(warmup)
	for end := measureFrom.Add(measured); h.now.Before(end); {
		var waiting []PollOrder
		for _, o := range h.openPolls {
			switch until, seen := due[o.Worker.ID]; {
			case !seen:
				due[o.Worker.ID] = h.now.Add(o.Poll.Wait)
				waiting = append(waiting, o)
			case h.now.Before(until):
				waiting = append(waiting, o)
			default:
				delete(due, o.Worker.ID)
				h.respondToPoll(o, tanagerport.Report{})
			}
		}
		h.openPolls = waiting
		polls := h.tick(100 * time.Millisecond).Polls
		if h.now.After(measureFrom) {
			count += len(polls)
			usable = min(usable, len(h.cell.usableWorkers))
		}
	}
	return count, usable
}

// Guards against a new scheduler that loses its lease because it handles the
// first responses of thousands of workers at the same time.
func TestFirstPollsAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testFleet(1000)...)
	h.tick(time.Millisecond)
	h.c.Assert(h.orders.Polls, qt.HasLen, maxFirstPolls)
	// Polls of silent workers do not count against the bound.
	for len(h.openPolls) > 0 {
		h.failPoll(h.openPolls[0].Worker.ID)
	}
	h.c.Assert(h.tick(2*pollRetryDelay).Polls, qt.HasLen, 2*maxFirstPolls)
}

// Guards against workers that left the list before their first poll and take the
// turns of others.
func TestUnlistedWorkersTakeNoFirstPolls(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testFleet(maxFirstPolls)...)
	h.setWorkers(testWorker("z", 1))
	h.tick(time.Millisecond)
	h.c.Assert(h.orders.Polls, qt.HasLen, 1)
	h.c.Assert(h.orders.Polls[0].Worker.ID, qt.Equals, "z")
}

// The total rate of polls of idle workers is bounded, and the workers stay
// usable.
func TestIdlePollRateIsBounded(t *testing.T) {
	for _, n := range []int{100, 1000, 3000} {
		h := newHarness(t, 1)
		h.setWorkers(testFleet(n)...)
		for range 2 + n/maxFirstPolls {
			h.sync()
		}
		const seconds = 20
		count, usable := h.countPolls(12*time.Second, seconds*time.Second)
		rate := float64(count) / seconds
		h.c.Check(rate <= 1.1*maxIdlePollRate, qt.IsTrue, qt.Commentf("%d workers: %.0f polls a second", n, rate))
		h.c.Check(usable, qt.Equals, n)
	}
}

// An idle worker that is given a task is polled soon, however long its pause was.
func TestStartEndsIdlePollPause(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testFleet(1000)...)
	for range 10 {
		h.sync()
	}
	h.countPolls(8*time.Second, 0)
	// A worker with an open poll needs no other one.
	for len(h.openPolls) > 0 {
		h.respondToPoll(h.openPolls[0], tanagerport.Report{})
		h.openPolls = h.openPolls[1:]
	}
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.tick(2 * minPollInterval)
	polled := false
	for _, o := range h.openPolls {
		polled = polled || o.Worker.ID == start.Worker.ID
	}
	h.c.Assert(polled, qt.IsTrue)
}

// A worker that restarted under its id forgot its first ends, as a poll acknowledged
// those of its former incarnation. Their tasks ran again.
func TestAcknowledgementSparesNextIncarnation(t *testing.T) {
	for name, unnoticed := range map[string]bool{"polls fail": false, "idle": true} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1))
		h.sync()
		start := h.submit(testRecord("01", testStep(1, 1000)))[0]
		h.accept(start)
		h.reportEnds("a", 40, tanagerport.EndedDone, start)
		h.storeProgress()
		h.openPolls = nil
		w := h.cell.workers["a"]
		w.pollInFlight = false
		if unnoticed {
			w.nextPollAt = h.now.Add(2 * maxAcknowledgementDelay)
			h.tick(2 * maxAcknowledgementDelay)
		} else {
			h.tick(minPollInterval)
			h.c.Assert(h.openPolls, qt.HasLen, 1, qt.Commentf("%s", name))
			h.c.Check(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(40))
			h.failPoll("a")
			h.tick(pollRetryDelay)
		}
		h.c.Assert(h.openPolls, qt.HasLen, 1, qt.Commentf("%s", name))
		h.c.Check(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(0), qt.Commentf("%s", name))
		// The same incarnation reports the end once more, which is acknowledged then.
		h.respondToPolls(tanagerport.Report{Ended: []tanagerport.EndedRun{{
			SequenceNumber: 40,
			Task:           start.Start.Task,
			Run:            start.Start.Run,
			Reason:         tanagerport.EndedDone,
		}}})
		h.tick(minPollInterval)
		h.c.Assert(h.openPolls, qt.HasLen, 1, qt.Commentf("%s", name))
		h.c.Check(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(40), qt.Commentf("%s", name))
	}
}

// Guards against a scheduler that was paused and acknowledges ends to the next
// incarnation of a worker, by a response that had waited for it to go on.
func TestNothingIsAcknowledgedByALateResponse(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	ended := tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 40,
		Task:           start.Start.Task,
		Run:            start.Start.Run,
		Reason:         tanagerport.EndedDone,
	}}}
	h.tick(minPollInterval)
	ended.Late = true
	h.respondToPolls(ended)
	h.storeProgress()
	for len(h.openPolls) == 0 {
		h.tick(minPollInterval)
	}
	h.c.Assert(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(0))
	ended.Late = false
	h.respondToPolls(ended)
	h.tick(minPollInterval)
	h.c.Assert(h.openPolls, qt.HasLen, 1)
	h.c.Assert(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(40))
}

// A scheduler whose ticks take over a second still acknowledges.
func TestSlowTicksAcknowledge(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	h.tick(maxAcknowledgementDelay + 100*time.Millisecond)
	h.respondToPolls(tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 40,
		Task:           start.Start.Task,
		Run:            start.Start.Run,
		Reason:         tanagerport.EndedDone,
	}}})
	h.storeProgress()
	h.tick(maxAcknowledgementDelay)
	h.c.Assert(h.openPolls, qt.HasLen, 1)
	h.c.Assert(h.openPolls[0].Poll.Acknowledged, qt.Equals, int64(40))
}

// Guards against an end that a report shows only after one with a higher number: it
// was skipped and acknowledged, and its task ran again.
func TestEndThatIsReportedAfterALaterOne(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", testStep(2, 500)))
	h.reportEnds("a", 2, tanagerport.EndedDone, starts[1])
	h.reportEnds("a", 1, tanagerport.EndedDone, starts[0], starts[1])
	h.storeProgress()
	state, _ := h.cell.State(starts[0].Start.Task.Job)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
}
