package tanagerdispatch

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

func testFleet(n int) []tanagerport.WorkerEntry {
	var entries []tanagerport.WorkerEntry
	for i := range n {
		entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
	}
	return entries
}

// countPolls advances the time and responds to each poll when its wait is over.
// After the time warmup it counts the polls and returns them with the least number
// of usable workers.
func (b *harness) countPolls(warmup, measured time.Duration) (count, usable int) {
	usable = len(b.cell.workers)
	due := make(map[string]time.Time)
	measureFrom := b.now.Add(warmup)
	for end := measureFrom.Add(measured); b.now.Before(end); {
		var waiting []PollOrder
		for _, o := range b.openPolls {
			switch until, seen := due[o.Worker.ID]; {
			case !seen:
				due[o.Worker.ID] = b.now.Add(o.Poll.Wait)
				waiting = append(waiting, o)
			case b.now.Before(until):
				waiting = append(waiting, o)
			default:
				delete(due, o.Worker.ID)
				b.answerPoll(o, tanagerport.Report{})
			}
		}
		b.openPolls = waiting
		polls := b.tick(100 * time.Millisecond).Polls
		if b.now.After(measureFrom) {
			count += len(polls)
			usable = min(usable, len(b.cell.usableWorkers))
		}
	}
	return count, usable
}

// Guards against a new scheduler that loses its lease because it handles the
// first responses of thousands of workers at the same time.
func TestFirstPollsAreBounded(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testFleet(1000)...)
	b.tick(time.Millisecond)
	b.c.Assert(b.orders.Polls, qt.HasLen, maxFirstPolls)
	// Polls of silent workers do not count against the bound.
	for len(b.openPolls) > 0 {
		b.failPoll(b.openPolls[0].Worker.ID)
	}
	b.c.Assert(b.tick(2*pollRetryDelay).Polls, qt.HasLen, 2*maxFirstPolls)
}

// The total rate of polls of idle workers is bounded, and the workers stay
// usable.
func TestIdlePollRateIsBounded(t *testing.T) {
	for _, n := range []int{100, 1000, 3000} {
		b := newHarness(t, 1)
		b.setWorkers(testFleet(n)...)
		for range 2 + n/maxFirstPolls {
			b.sync()
		}
		const seconds = 20
		count, usable := b.countPolls(12*time.Second, seconds*time.Second)
		rate := float64(count) / seconds
		b.c.Check(rate <= 1.1*maxIdlePollRate, qt.IsTrue, qt.Commentf("%d workers: %.0f polls a second", n, rate))
		b.c.Check(usable, qt.Equals, n)
	}
}

// An idle worker that is given a task is polled soon, however long its pause was.
func TestStartEndsIdlePollPause(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testFleet(1000)...)
	for range 10 {
		b.sync()
	}
	b.countPolls(8*time.Second, 0)
	// A worker with an waiting poll needs no other one.
	for len(b.openPolls) > 0 {
		b.answerPoll(b.openPolls[0], tanagerport.Report{})
		b.openPolls = b.openPolls[1:]
	}
	start := b.submit(testRecord("01", testStep(1, 1000)))[0]
	b.tick(2 * minPollInterval)
	polled := false
	for _, o := range b.openPolls {
		polled = polled || o.Worker.ID == start.Worker.ID
	}
	b.c.Assert(polled, qt.IsTrue)
}
