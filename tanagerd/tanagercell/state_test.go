package tanagercell

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwork"
)

// completeJob makes the control's cell run a job of one task to its end. Its
// final state is not stored.
func completeJob(t *testing.T, c *control, id tanagerwork.JobID) {
	t.Helper()
	now := c.timer.Now()
	c.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:    "q",
		Service: "pool",
		Stretch: 4,
	}}})
	c.cell.SetWorkers(now, []tanagerport.WorkerEntry{{
		ID:          "w",
		Incarnation: 1,
		Service:     "pool",
		Capacity:    tanagerwork.Resources{MilliCPU: 1000},
	}})
	c.cell.RosterStored(c.cell.Roster())
	report := tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  time.Hour,
		},
		Incarnation: 1,
		Complete:    true,
	}
	c.cell.Tick(now)
	c.cell.HandlePollResponse(now, c.cell.TakeOrders().Polls[0], now, report, nil)
	c.cell.AddJob(now, tanagerwork.Record{
		ID:      id,
		Queue:   "q",
		Service: "pool",
		Epoch:   1,
		Arrived: now,
		Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
			TaskCount: 1,
			Resources: tanagerwork.Resources{MilliCPU: 1000},
			Estimate:  time.Second,
		}}},
	}, nil)
	c.cell.Tick(now)
	orders := c.cell.TakeOrders()
	qt.Assert(t, orders.Starts, qt.HasLen, 1)
	start := orders.Starts[0]
	report.Ended = []tanagerport.EndedRun{{
		SequenceNumber: 1,
		Task:           start.Start.Task,
		Run:            start.Start.Run,
		Reason:         tanagerport.EndedDone,
	}}
	c.cell.HandlePollResponse(now, tanagerdispatch.PollOrder{Worker: start.Worker}, now, report, nil)
}

// Guards against a job that callers are told is completed while only the scheduler
// and a worker know it: both failed, and the successor ran its tasks again.
func TestCompletionIsReportedOnlyWhenStored(t *testing.T) {
	const id = "0000000000000001"
	for _, storeUp := range []bool{true, false} {
		for _, age := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
			c := newTestControl(t)
			c.becomeScheduler(1)
			completeJob(t, c, id)
			c.timer.(*tanagertimer.Manual).Advance(age)
			c.storeUp = storeUp
			c.lastStoreSuccess = c.timer.Now()
			unstored := c.jobState(stateRequest{ID: id})
			comment := qt.Commentf("store up: %v, %v after the end", storeUp, age)
			qt.Check(t, unstored.Known, qt.IsTrue, comment)
			qt.Check(t, unstored.State, qt.Equals, tanagerwork.Running, comment)
			for _, s := range c.cell.TakeSnapshots(1) {
				c.cell.SnapshotWritten(s.Job, s.Version, true)
			}
			qt.Check(t, c.jobState(stateRequest{ID: id}).State, qt.Equals, tanagerwork.Completed, comment)
		}
	}
}

// A store that takes 0.4 s a call, while 500 jobs a second change their state,
// must not make finished jobs wait for a transaction.
func TestSlowStoreTakesAllChanges(t *testing.T) {
	const (
		callDuration     = 400 * time.Millisecond
		changesPerSecond = 500
	)
	c := newTestControl(t)
	c.becomeScheduler(1)
	start := c.timer.Now()
	for n := 0; c.timer.Now().Before(start.Add(callDuration)); n++ {
		id := tanagerwork.JobID(fmt.Sprintf("%016x", n+1))
		c.cell.AddJob(c.timer.Now(), tanagerwork.Record{
			ID:      id,
			Queue:   "q",
			Service: "pool",
			Epoch:   1,
			Arrived: start,
			Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
				TaskCount: 1,
				Resources: tanagerwork.Resources{MilliCPU: 1000},
				Estimate:  time.Second,
			}}},
		}, nil)
		c.cell.CancelJob(id)
		c.writeProgress(c.timer.Now())
		c.timer.(*tanagertimer.Manual).Advance(time.Second / changesPerSecond)
	}
	c.timer.(*tanagertimer.Manual).Advance(progressWriteInterval)
	c.writeProgress(c.timer.Now())
	qt.Assert(t, c.writer.progressInFlight > 0, qt.IsTrue)
	qt.Assert(t, c.cell.TakeSnapshots(1), qt.HasLen, 0)
}
