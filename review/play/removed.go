package main

import (
	"fmt"
	"strings"
	"time"
)

// The times of the case removed-route.
const (
	// removedFirstStep is how long the first step works: the route is removed and
	// the scheduler killed meanwhile.
	removedFirstStep = 9 * time.Second
	// configApply is the bound of the pages for a configuration to apply, and
	// finish the time after the traffic within which jobs must have run.
	configApply = 2 * time.Second
	finish      = 14 * time.Second
	// restartPause is how long the killed daemon is away.
	restartPause = 3 * time.Second
)

// playRemovedRoute has two jobs accepted, removes their routes by a configuration,
// kills the scheduling daemon and adds the routes again later. The job of the queue
// with advice has a second step that becomes ready after the kill. The job of the
// other queue has a task that fails once of the four times that are allowed.
func playRemovedRoute(e *environment, trouble bool) ([]string, error) {
	advised, plain, other := route("rerank", 4, true), route("verify", 4, false), route("pairings", 4, false)
	e.writeConfiguration(10, advised, plain, other)
	if err := e.startWorkers(6, 4000); err != nil {
		return nil, err
	}
	rerank, verify := jobID(1), jobID(2)
	for _, w := range e.workers {
		w.duration = func(task string) time.Duration {
			if strings.Contains(task, ".0.0.") {
				return removedFirstStep
			}
			return time.Second
		}
		w.needsTicket = func(task string) bool { return strings.HasPrefix(task, rerank) }
		w.how = func(task string, _ int64) string {
			if strings.HasPrefix(task, verify+".0.1.") && e.ledger.ends(task, "failed") == 0 {
				return "failed"
			}
			return "done"
		}
	}
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	c := e.newCaller()
	time.Sleep(time.Second)
	if !c.submit("rerank", rerank, twoSteps()) || !c.submit("verify", verify, twoSteps()) {
		return nil, errNotAccepted
	}
	time.Sleep(time.Second)
	e.writeConfiguration(11, other)
	time.Sleep(configApply + time.Second)
	if trouble {
		if err := e.restartScheduler(); err != nil {
			return nil, err
		}
	}
	ready := await(removedFirstStep, func() bool {
		return e.ledger.ends(rerank+".0.0.0", "done") > 0 && e.ledger.ends(verify+".0.0.0", "done") > 0
	})
	if !ready {
		e.note("the first steps have not ended")
	}
	time.Sleep(finish)
	var broken []string
	if started, rejected := e.ledger.starts(rerank + ".0.1.0"); started == 0 {
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted; %v after the end of its first step and with idle minions, "+
			"nothing of its second step has run (%d starts rejected for want of a ticket)", rerank, finish, rejected))
	}
	e.writeConfiguration(12, advised, plain, other)
	time.Sleep(configApply)
	failed := e.ledger.ends(verify+".0.1.0", "failed")
	if state := c.state(e.daemons[0], "verify", verify); state == "failed" && failed < 4 {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed; its task has failed %d of 4 times", verify, failed))
	}
	c.state(e.daemons[0], "rerank", rerank)
	return broken, nil
}

// twoSteps returns a job of two steps of one task each.
func twoSteps() map[string]any {
	return map[string]any{
		"spec": "recomputation",
		"steps": []map[string]any{
			{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": removedFirstStep.Milliseconds()},
			{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000, "after": []int{0}},
		},
	}
}
