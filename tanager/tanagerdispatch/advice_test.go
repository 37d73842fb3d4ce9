package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// The response to a call for advice may be lost. The step must not wait for it
// forever.
func TestLostAdviceCallIsRetried(t *testing.T) {
	b := newHarness(t, 1)
	b.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:    testQueue,
		Service: testService,
		Advice: &tanagerport.AdvicePolicy{
			Decision: 10 * time.Millisecond,
			Valid:    time.Second,
		},
	}}})
	b.setWorkers(testWorker("a", 1))
	b.sync()
	b.cell.SetAdvisers([]string{"d1"})
	b.cell.AddJob(b.now, testRecord("01", testStep(1, 1000)), nil)
	b.c.Assert(b.tick(20*time.Millisecond).Advice, qt.HasLen, 1)
	b.c.Assert(b.tick(20*time.Millisecond).Advice, qt.HasLen, 0)
	b.runIdle(time.Second)
	order := b.tick(time.Second).Advice
	b.c.Assert(order, qt.HasLen, 1)
	b.cell.AdviceAnswered(b.now, order[0], b.now, tanagerport.Advice{
		Tickets: map[string]string{"a": "ticket"},
		Valid:   time.Second,
	}, nil)
	starts := b.tick(20 * time.Millisecond).Starts
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Start.Ticket, qt.Equals, "ticket")
}
