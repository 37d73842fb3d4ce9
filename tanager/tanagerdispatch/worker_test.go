package tanagerdispatch

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// harness drives a cell with simulated time and simulated workers.
type harness struct {
	c    *qt.C
	cell *Cell
	now  time.Time
	// clock is the value of all workers' clocks at now.
	clock  time.Duration
	orders Orders
	// openPolls are the polls without a response so far.
	openPolls []PollOrder
	// openCalls are the calls for advice without a response so far.
	openCalls []adviceCall
}

const (
	testQueue   = "q"
	testService = "pool"
)

func testSettings() Settings {
	return Settings{
		Lease:        5 * time.Second,
		StopGrace:    900 * time.Millisecond,
		GangWait:     3 * time.Second,
		Retention:    time.Minute,
		RemoteFactor: 1.5,
	}
}

func newHarness(t *testing.T, epoch uint64) *harness {
	h := &harness{
		c:     qt.New(t),
		now:   time.Unix(1_700_000_000, 0),
		clock: time.Hour,
	}
	h.cell = New(testSettings(), epoch, h.now)
	h.cell.Configure(tanagerport.Configuration{
		Queues: []tanagerport.Queue{{
			Name:        testQueue,
			Service:     testService,
			MaxAttempts: 3,
			Stretch:     4,
			Slack:       3 * time.Second,
		}},
	})
	return h
}

func testWorker(id string, incarnation int64) tanagerport.WorkerEntry {
	return tanagerport.WorkerEntry{
		ID:          id,
		Incarnation: incarnation,
		Service:     testService,
		Capacity: tanagerwork.Resources{
			MilliCPU: 4000,
			MemoryMB: 4000,
		},
	}
}

func (h *harness) setWorkers(entries ...tanagerport.WorkerEntry) {
	h.cell.SetWorkers(h.now, entries)
	ids := h.cell.Roster()
	h.cell.RosterStored(ids)
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
		TaskCount: count,
		Resources: tanagerwork.Resources{MilliCPU: cpu},
		Estimate:  time.Second,
	}
}

// tick advances the time by d, calls Tick and returns the orders.
func (h *harness) tick(d time.Duration) Orders {
	h.now = h.now.Add(d)
	h.clock += d
	h.cell.Tick(h.now)
	h.orders = h.cell.TakeOrders()
	h.openPolls = append(h.openPolls, h.orders.Polls...)
	return h.orders
}

// respondToPolls responds to all open polls with the same report.
func (h *harness) respondToPolls(r tanagerport.Report) {
	polls := h.openPolls
	h.openPolls = nil
	for _, o := range polls {
		h.respondToPoll(o, r)
	}
}

// runIdle advances the time by d while all workers report that they run nothing.
// It returns the starts.
func (h *harness) runIdle(d time.Duration) []StartOrder {
	const step = 50 * time.Millisecond
	var starts []StartOrder
	for ; d > 0; d -= step {
		starts = append(starts, h.tick(step).Starts...)
		h.respondToPolls(tanagerport.Report{})
	}
	return starts
}

func (h *harness) respondToPoll(o PollOrder, r tanagerport.Report) {
	r.Status = tanagerport.Accepted
	r.Clock = h.clock
	r.Complete = true
	if r.Incarnation == 0 {
		r.Incarnation = o.Worker.Incarnation
	}
	h.cell.HandlePollResponse(h.now, o, h.now, r, nil)
}

// failPoll fails the open poll of a worker, if there is one, without a response.
func (h *harness) failPoll(id string) {
	for i, o := range h.openPolls {
		if o.Worker.ID == id {
			h.openPolls = slices.Delete(h.openPolls, i, i+1)
			h.cell.HandlePollResponse(h.now, o, h.now, tanagerport.Report{}, tanagerport.OutcomeUnknown.New("no response"))
			return
		}
	}
}

// sync lets all workers respond to their first poll.
func (h *harness) sync() {
	h.tick(time.Millisecond)
	h.respondToPolls(tanagerport.Report{})
}

func (h *harness) accept(o StartOrder) {
	h.cell.HandleStartResponse(h.now, o, tanagerport.Response{
		Status: tanagerport.Accepted,
		Clock:  h.clock,
	}, nil)
}

// A worker that no longer responds loses its runs when its lease expires. Polls
// without a response must not postpone that.
func TestSilentWorkerLosesItsRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	h.cell.AddJob(h.now, testRecord("01", testStep(1, 1000)), nil)
	starts := h.tick(20 * time.Millisecond).Starts
	h.c.Assert(starts, qt.HasLen, 1)
	h.accept(starts[0])
	h.failPoll("a")
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	restarted := 0
	var running []tanagerport.ActiveRun
	for range 80 {
		h.tick(100 * time.Millisecond)
		h.failPoll("a")
		h.respondToPolls(tanagerport.Report{Running: running})
		for _, s := range h.orders.Starts {
			restarted++
			h.c.Check(s.Worker.ID, qt.Equals, "b")
			h.c.Check(h.now.Sub(time.Unix(1_700_000_000, 0)) > testSettings().Lease, qt.IsTrue)
			h.accept(s)
			running = append(running, tanagerport.ActiveRun{
				Task: s.Start.Task,
				Run:  s.Start.Run,
			})
		}
	}
	h.c.Assert(restarted, qt.Equals, 1)
}
