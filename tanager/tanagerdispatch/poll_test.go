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

// countPolls lets time pass in which each poll is answered when its wait is over. After
// a warm-up it counts them, and the least number of workers that were usable.
func (b *harness) countPolls(warm, measured time.Duration) (count, usable int) {
	usable = len(b.cell.workers)
	due := make(map[string]time.Time)
	begins := b.now.Add(warm)
	for end := begins.Add(measured); b.now.Before(end); {
		var open []PollOrder
		for _, o := range b.openPolls {
			switch until, seen := due[o.Worker.ID]; {
			case !seen:
				due[o.Worker.ID] = b.now.Add(o.Poll.Wait)
				open = append(open, o)
			case b.now.Before(until):
				open = append(open, o)
			default:
				delete(due, o.Worker.ID)
				b.answerPoll(o, tanagerport.Report{})
			}
		}
		b.openPolls = open
		polls := b.tick(100 * time.Millisecond).Polls
		if b.now.After(begins) {
			count += len(polls)
			usable = min(usable, len(b.cell.usableWorkers))
		}
	}
	return count, usable
}

// A new scheduler of thousands of workers spent its lease on their first polls,
// lost it, and so did each that followed.
func TestFirstContactsAreSpread(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testFleet(1000)...)
	b.tick(time.Millisecond)
	b.c.Assert(b.orders.Polls, qt.HasLen, maxFirstPolls)
	// Those that are silent keep no place of the others.
	for len(b.openPolls) > 0 {
		b.failPoll(b.openPolls[0].Worker.ID)
	}
	b.c.Assert(b.tick(2*pollRetryDelay).Polls, qt.HasLen, 2*maxFirstPolls)
}

// Workers that run nothing cost a bounded number of polls, and stay usable.
func TestIdlePollsDoNotGrowWithTheFleet(t *testing.T) {
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

// A worker that gets a task is polled at once, whatever its pause was.
func TestPauseEndsWithTheFirstRun(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testFleet(1000)...)
	for range 10 {
		b.sync()
	}
	b.countPolls(8*time.Second, 0)
	// A worker with an open poll is covered by that one.
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
