package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// benchWorkers and benchStartsPerTick are the target size: 11,000 workers, and
	// 760 starts a second in ticks of 15 ms.
	benchWorkers       = 11000
	benchTick          = 15 * time.Millisecond
	benchStartsPerTick = 12
	// benchRunTicks is the duration of a run in ticks.
	benchRunTicks = 60
)

// BenchmarkTick measures one tick of a cell at the target size, with the jobs that
// arrive, the runs that end and the progress that is stored in its time.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	c := New(testSettings(), 1, now)
	c.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:        testQueue,
		Service:     testService,
		MaxAttempts: 3,
		Stretch:     4,
		Slack:       3 * time.Second,
	}}})
	var entries []tanagerport.WorkerEntry
	for i := range benchWorkers {
		entries = append(entries, testWorker(fmt.Sprintf("w%05d", i), 1))
	}
	c.SetWorkers(now, entries)
	c.RosterStored(c.Roster())
	running := make([][]StartOrder, benchRunTicks)
	numbers := make(map[string]int64)
	respond := func(o PollOrder, ended []tanagerport.EndedRun) {
		c.HandlePollResponse(now, o, now, tanagerport.Report{
			Response: tanagerport.Response{
				Status: tanagerport.Accepted,
				Clock:  time.Hour + now.Sub(time.Unix(1_700_000_000, 0)),
			},
			Incarnation: 1,
			Ended:       ended,
		}, nil)
	}
	step := func(i int) {
		now = now.Add(benchTick)
		for j := range benchStartsPerTick / 2 {
			c.AddJob(now, tanagerwork.Record{
				ID:      tanagerwork.JobID(fmt.Sprintf("%016x", i*benchStartsPerTick+j)),
				Queue:   testQueue,
				Service: testService,
				Epoch:   1,
				Arrived: now,
				Spec:    tanagerwork.Spec{Steps: []tanagerwork.Step{testStep(2, 1000)}},
			}, nil)
		}
		for _, s := range running[i%benchRunTicks] {
			numbers[s.Worker.ID]++
			respond(PollOrder{Worker: s.Worker}, []tanagerport.EndedRun{{
				SequenceNumber: numbers[s.Worker.ID],
				Task:           s.Start.Task,
				Run:            s.Start.Run,
				Reason:         tanagerport.EndedDone,
			}})
		}
		c.Tick(now)
		orders := c.TakeOrders()
		running[i%benchRunTicks] = orders.Starts
		for _, o := range orders.Polls {
			respond(o, nil)
		}
		for _, s := range c.TakeSnapshots(1000) {
			c.SnapshotWritten(s.Job, s.Version, true)
		}
	}
	warmup := benchWorkers/maxFirstPolls + 2*benchRunTicks
	for i := range warmup {
		step(i)
	}
	i := warmup
	b.ReportAllocs()
	for b.Loop() {
		step(i)
		i++
	}
	b.ReportMetric(float64(c.Counters().Starts)/float64(i), "starts/tick")
}

// backlogRecord returns the i-th job of a backlog. None fits on a worker with a
// single free core. Of ten jobs eight are single tasks, one is a task that requires a
// label that no worker has, and one is a gang of four.
func backlogRecord(i int, now time.Time) tanagerwork.Record {
	step := testStep(1, 2000)
	switch i % 10 {
	case 8:
		step.Label = "none"
	case 9:
		step = gangStep(4, 2000)
	}
	return tanagerwork.Record{
		ID:      tanagerwork.JobID(fmt.Sprintf("%016x", 1<<40+i)),
		Queue:   testQueue,
		Service: testService,
		Epoch:   1,
		Arrived: now,
		Spec:    tanagerwork.Spec{Steps: []tanagerwork.Step{step}},
	}
}

// BenchmarkTickBacklog measures the end of one run, with the tick that follows it and
// starts another, in a cell whose workers are full.
func BenchmarkTickBacklog(b *testing.B) {
	for _, size := range []struct {
		workers, waiting int
	}{
		{
			workers: 350,
			waiting: 1000,
		},
		{
			workers: 350,
			waiting: 10_000,
		},
		{
			workers: 350,
			waiting: 100_000,
		},
		{
			workers: benchWorkers,
			waiting: 1000,
		},
	} {
		b.Run(fmt.Sprintf("%d_workers/%d_waiting", size.workers, size.waiting), func(b *testing.B) {
			benchmarkBacklog(b, size.workers, size.waiting)
		})
	}
}

// backlogCell is a cell whose workers respond to polls at once.
type backlogCell struct {
	*Cell
	now time.Time
	// numbers counts the ends on each worker.
	numbers map[string]int64
}

func newBacklogCell(workers int) *backlogCell {
	start := time.Unix(1_700_000_000, 0)
	c := &backlogCell{
		Cell:    New(testSettings(), 1, start),
		now:     start,
		numbers: make(map[string]int64),
	}
	c.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:        testQueue,
		Service:     testService,
		MaxAttempts: 3,
		Stretch:     4,
		Slack:       3 * time.Second,
	}}})
	var entries []tanagerport.WorkerEntry
	for i := range workers {
		entries = append(entries, testWorker(fmt.Sprintf("w%05d", i), 1))
	}
	c.SetWorkers(start, entries)
	c.RosterStored(c.Roster())
	for range workers/maxFirstPolls + 2 {
		c.tick()
	}
	return c
}

func (c *backlogCell) respond(o PollOrder, ended ...tanagerport.EndedRun) {
	c.HandlePollResponse(c.now, o, c.now, tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  time.Hour + c.now.Sub(time.Unix(1_700_000_000, 0)),
		},
		Incarnation: 1,
		Ended:       ended,
	}, nil)
}

func (c *backlogCell) tick() []StartOrder {
	c.now = c.now.Add(benchTick)
	c.Tick(c.now)
	orders := c.TakeOrders()
	for _, o := range orders.Polls {
		c.respond(o)
	}
	for _, s := range c.TakeSnapshots(1000) {
		c.SnapshotWritten(s.Job, s.Version, true)
	}
	return orders.Starts
}

// fill adds the i-th job of those that leave a worker with a single free core.
func (c *backlogCell) fill(i int) {
	r := backlogRecord(0, c.now)
	r.ID = tanagerwork.JobID(fmt.Sprintf("%016x", i))
	r.Spec.Steps[0].Resources.MilliCPU = 3000
	c.AddJob(c.now, r, nil)
}

// end reports the end of a run.
func (c *backlogCell) end(o StartOrder) {
	c.numbers[o.Worker.ID]++
	c.respond(PollOrder{Worker: o.Worker}, tanagerport.EndedRun{
		SequenceNumber: c.numbers[o.Worker.ID],
		Task:           o.Start.Task,
		Run:            o.Start.Run,
		Reason:         tanagerport.EndedDone,
	})
}

func benchmarkBacklog(b *testing.B, workers, waiting int) {
	c := newBacklogCell(workers)
	for i := range workers {
		c.fill(i)
	}
	var running []StartOrder
	for len(running) < workers {
		running = append(running, c.tick()...)
	}
	for i := range waiting {
		c.AddJob(c.now, backlogRecord(i, c.now), nil)
	}
	next := workers
	b.ReportAllocs()
	for b.Loop() {
		c.fill(next)
		next++
		c.end(running[0])
		running = append(running[1:], c.tick()...)
		if len(running) == 0 {
			b.Fatal("nothing runs")
		}
	}
}
