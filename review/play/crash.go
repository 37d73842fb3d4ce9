package main

import (
	"fmt"
	"strings"
	"time"
)

// The case deadly-task: a task crashes each minion that starts it.
const (
	deadlyMinions = 8
	// deadlyAfter is how long the task works before its minion crashes, deadlyDown
	// how long the minion is away.
	deadlyAfter = time.Second
	deadlyDown  = 2 * time.Second
	// deadlyWatch is how long the task is watched.
	deadlyWatch = 40 * time.Second
	// After deadlyCrashes crashes a task must not be started deadlyStarts times
	// more.
	deadlyCrashes = 3
	deadlyStarts  = 3
)

// playDeadlyTask hands in a job with such a task, beside other jobs. Without the
// trouble the task ends like the others.
func playDeadlyTask(e *environment, trouble bool) ([]string, error) {
	e.writeConfiguration(10, route("pairings", 4, false))
	if err := e.startWorkers(deadlyMinions, 4000); err != nil {
		return nil, err
	}
	deadly := jobID(99999)
	for _, w := range e.workers {
		w.duration = func(task string) time.Duration {
			if strings.HasPrefix(task, deadly) {
				return deadlyAfter
			}
			return rebornTaskTime
		}
		w.crashes = func(task string) bool { return trouble && strings.HasPrefix(task, deadly) }
		w.downTime = deadlyDown
	}
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.submitSteadily(stop)
	}()
	time.Sleep(2 * time.Second)
	c := e.newCaller()
	job := map[string]any{
		"spec":  "rerank",
		"steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 2000}},
	}
	if !c.submit("pairings", deadly, job) {
		return nil, errNotAccepted
	}
	time.Sleep(deadlyWatch)
	close(stop)
	<-done
	c.state(e.daemons[0], "pairings", deadly)
	crashes, further := e.ledger.startsAfterCrashes(deadly+".0.0.0", deadlyCrashes)
	e.note("%d minions have crashed under the task; it was started %d times after the third", crashes, further)
	if further >= deadlyStarts {
		return []string{fmt.Sprintf("BUDGET: %s was started %d times more after %d minions had crashed under it (%d crashes in %v)",
			deadly, further, deadlyCrashes, crashes, deadlyWatch)}, nil
	}
	return nil, nil
}

// startsAfterCrashes returns how many runs of a task ended with a crash, and how many
// were started after the given number of crashes.
func (l *ledger) startsAfterCrashes(task string, limit int) (crashes, further int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.task(task).runs {
		if crashes >= limit {
			further++
		}
		if h.how == "lost" {
			crashes++
		}
	}
	return crashes, further
}
