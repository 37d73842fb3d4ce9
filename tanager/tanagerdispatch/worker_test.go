package tanagerdispatch

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// harness drives a cell with a simulated time and simulated workers.
type harness struct {
	c    *qt.C
	cell *Cell
	now  time.Time
	// clock is the value of all workers' clocks at now.
	clock  time.Duration
	orders Orders
	// openPolls have not been responded to.
	openPolls []PollOrder
}

const (
	testQueue   = "q"
	testService = "pool"
)

func testSettings() Settings {
	return Settings{
		Lease:        5 * time.Second,
		StopGrace:    900 * time.Millisecond,
		Retention:    time.Minute,
		RemoteFactor: 1.5,
	}
}

func newHarness(t *testing.T, epoch uint64) *harness {
	b := &harness{
		c:     qt.New(t),
		now:   time.Unix(1_700_000_000, 0),
		clock: time.Hour,
	}
	b.cell = New(testSettings(), epoch, b.now)
	b.cell.Configure(tanagerport.Configuration{
		Queues: []tanagerport.Queue{{
			Name:        testQueue,
			Service:     testService,
			MaxAttempts: 3,
			Stretch:     4,
			Slack:       3 * time.Second,
		}},
	})
	return b
}

func testWorker(id string, life int64) tanagerport.WorkerEntry {
	return tanagerport.WorkerEntry{
		ID:      id,
		Life:    life,
		Service: testService,
		Capacity: tanagerwork.Resources{
			MilliCPU: 4000,
			MemoryMB: 4000,
		},
	}
}

func (b *harness) setWorkers(entries ...tanagerport.WorkerEntry) {
	b.cell.SetWorkers(b.now, entries)
	ids := b.cell.Roster()
	b.cell.RosterStored(ids)
}

func testRecord(id string, steps ...tanagerwork.Step) tanagerwork.Record {
	return tanagerwork.Record{
		ID:      tanagerwork.JobID("00000000000000" + id),
		Queue:   testQueue,
		Service: testService,
		Arrived: time.Unix(1_700_000_000, 0),
		Spec:    tanagerwork.Spec{Steps: steps},
	}
}

func testStep(count int, cpu int64) tanagerwork.Step {
	return tanagerwork.Step{
		Count:    count,
		Need:     tanagerwork.Resources{MilliCPU: cpu},
		Estimate: time.Second,
	}
}

// tick advances the time by d, calls Tick and returns the orders.
func (b *harness) tick(d time.Duration) Orders {
	b.now = b.now.Add(d)
	b.clock += d
	b.cell.Tick(b.now)
	b.orders = b.cell.TakeOrders()
	b.openPolls = append(b.openPolls, b.orders.Polls...)
	return b.orders
}

// answerPolls responds to all open polls with the same report.
func (b *harness) answerPolls(r tanagerport.Report) {
	open := b.openPolls
	b.openPolls = nil
	for _, o := range open {
		b.answerPoll(o, r)
	}
}

// runIdle advances the time by d while all workers report that they run nothing.
// It returns the starts.
func (b *harness) runIdle(d time.Duration) []StartOrder {
	const step = 50 * time.Millisecond
	var starts []StartOrder
	for ; d > 0; d -= step {
		starts = append(starts, b.tick(step).Starts...)
		b.answerPolls(tanagerport.Report{})
	}
	return starts
}

func (b *harness) answerPoll(o PollOrder, r tanagerport.Report) {
	r.Verdict = tanagerport.Accepted
	r.Clock = b.clock
	r.Whole = true
	if r.Life == 0 {
		r.Life = o.Worker.Life
	}
	b.cell.PollAnswered(b.now, o, b.now, r, nil)
}

// failPoll fails the open poll of a worker, if there is one, without a response.
func (b *harness) failPoll(id string) {
	for i, o := range b.openPolls {
		if o.Worker.ID == id {
			b.openPolls = slices.Delete(b.openPolls, i, i+1)
			b.cell.PollAnswered(b.now, o, b.now, tanagerport.Report{}, tanagerport.Unanswered.New("no response"))
			return
		}
	}
}

// sync lets all workers respond to their first poll.
func (b *harness) sync() {
	b.tick(time.Millisecond)
	b.answerPolls(tanagerport.Report{})
}

func (b *harness) accept(o StartOrder) {
	b.cell.StartAnswered(b.now, o, tanagerport.Answer{
		Verdict: tanagerport.Accepted,
		Clock:   b.clock,
	}, nil)
}

// A worker that no longer responds loses its runs when its lease expires. Polls
// without a response must not postpone that.
func TestSilentWorkerLosesItsRuns(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	b.cell.AddJob(b.now, testRecord("01", testStep(1, 1000)), nil)
	starts := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 1)
	b.accept(starts[0])
	b.failPoll("a")
	b.setWorkers(testWorker("a", 1), testWorker("b", 1))
	restarted := 0
	var running []tanagerport.RunningRow
	for range 80 {
		b.tick(100 * time.Millisecond)
		b.failPoll("a")
		b.answerPolls(tanagerport.Report{Running: running})
		for _, s := range b.orders.Starts {
			restarted++
			b.c.Check(s.Worker.ID, qt.Equals, "b")
			b.c.Check(b.now.Sub(time.Unix(1_700_000_000, 0)) > testSettings().Lease, qt.IsTrue)
			b.accept(s)
			running = append(running, tanagerport.RunningRow{
				Task: s.Start.Task,
				Run:  s.Start.Run,
			})
		}
	}
	b.c.Assert(restarted, qt.Equals, 1)
}
