package tanagercheck

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// rulesTest is a world without daemons, whose workers a test gives orders.
type rulesTest struct {
	*world
	task tanagerwork.TaskName
}

// checkRules runs a test in a bubble and compares the rules that it broke.
func checkRules(t *testing.T, play func(r *rulesTest), broken ...string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(Plan{
			Daemons: 2,
			Workers: 2,
			jobs: []plannedJob{{
				id: "0000000000000001",
				spec: tanagerwork.Spec{Steps: []tanagerwork.Step{
					{TaskCount: 1},
					{
						TaskCount: 1,
						After:     []int{0},
					},
				}},
				duration: []time.Duration{time.Second, time.Second},
			}},
		}, false)
		w.rules.jobs["0000000000000001"].stored = true
		for _, k := range w.workers {
			k.begin(false)
		}
		r := &rulesTest{world: w}
		r.task.Job = "0000000000000001"
		w.spawn(w.expireLeases)
		play(r)
		close(w.done)
		w.ongoing.Wait()
		var found []string
		for _, v := range w.rules.violations {
			found = append(found, v.Rule)
		}
		qt.Assert(t, found, qt.DeepEquals, broken)
	})
}

func (r *rulesTest) start(worker int, run int64, lease time.Duration) tanagerport.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.workers[worker]
	return k.start(startOrder{
		Start: tanagerport.Start{
			Task:     r.task,
			Run:      run,
			Deadline: k.clock() + lease,
			Epoch:    1,
		},
		from: r.machines[0],
	})
}

func (r *rulesTest) acknowledge(worker int, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[worker].beginPoll(r.machines[0], tanagerport.Poll{
		Epoch:        1,
		Acknowledged: end,
	})
}

func TestTwoRunsAtOnce(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.start(0, 1, workerLease)
		r.start(1, 2, workerLease)
		time.Sleep(2 * time.Second)
	}, "TWICE")
}

func TestRunAfterACrash(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.start(0, 1, workerLease)
		r.mu.Lock()
		r.workers[0].crash()
		r.mu.Unlock()
		r.start(1, 2, workerLease)
		time.Sleep(2 * time.Second)
	})
}

func TestStartAfterANotedEnd(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.start(0, 1, workerLease)
		time.Sleep(2 * time.Second)
		r.acknowledge(0, 1)
		r.start(1, 2, workerLease)
		time.Sleep(2 * time.Second)
	}, "TWICE")
}

func TestEndThatIsNotedAfterAnotherStart(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.start(0, 1, workerLease)
		time.Sleep(2 * time.Second)
		r.start(1, 2, workerLease)
		r.acknowledge(0, 1)
		time.Sleep(2 * time.Second)
	}, "TWICE")
}

func TestEndThatIsNotedAfterItsLeaseLapsed(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.start(0, 1, workerLease)
		time.Sleep(2 * workerLease)
		r.start(1, 2, workerLease)
		r.acknowledge(0, 1)
		time.Sleep(2 * time.Second)
	})
}

func TestStartBeforeAnEarlierStep(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.task.Step = 1
		r.start(0, 1, workerLease)
		time.Sleep(2 * time.Second)
	}, "ORDER")
}

func TestStartOfAnUnknownTask(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.task.Index = 7
		r.start(0, 1, workerLease)
		time.Sleep(2 * time.Second)
	}, "UNASKED")
}

func TestStateThatIsShownWrongly(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rules.submitted(r.task.Job, tanagerport.ReplyAccepted)
		r.rules.shown(r.machines[0], r.task.Job, tanagerport.Result{
			Reply: tanagerport.ReplyState,
			State: tanagerwork.Failed,
		})
		r.rules.shown(r.machines[0], r.task.Job, tanagerport.Result{
			Reply: tanagerport.ReplyState,
			State: tanagerwork.Completed,
		})
	}, "LOST", "MIXED")
}

func TestJobThatDoesNotEnd(t *testing.T) {
	checkRules(t, func(r *rulesTest) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rules.submitted(r.task.Job, tanagerport.ReplyAccepted)
		r.rules.finish()
	}, "LOST")
}

// A walk is of use only if its seed repeats it.
func TestSeedRepeatsWalk(t *testing.T) {
	for seed := range uint64(3) {
		first, second := walk(t, NewPlan(seed), false), walk(t, NewPlan(seed), false)
		qt.Assert(t, table(&second), qt.Equals, table(&first))
	}
}
