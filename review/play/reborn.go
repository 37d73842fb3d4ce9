package main

import (
	"sync"
	"time"
)

// The load and the crashes of the case reborn-minion.
const (
	rebornMinions  = 8
	rebornMilliCPU = 4000
	rebornTaskCPU  = 1000
	rebornTaskTime = 50 * time.Millisecond
	rebornJobPause = 15 * time.Millisecond
	rebornCrashes  = 14
	// rebornCount is how long starts are counted before each crash.
	rebornCount     = 500 * time.Millisecond
	rebornCyclePace = 4 * time.Second
)

// rebornDownTimes are the times for which the minion is down, in turn. The scheduler
// looks at a minion that is down less and less often; what is run between its start
// and the next look is at stake.
var rebornDownTimes = []time.Duration{1000 * time.Millisecond, 1100 * time.Millisecond}

// playRebornMinion crashes one of eight minions at a time, the busiest. It starts
// again under its id and address about a second later and writes its entry within its
// heartbeat.
func playRebornMinion(e *environment, trouble bool) ([]string, error) {
	e.writeConfiguration(10, route("pairings", 4, false))
	if err := e.startWorkers(rebornMinions, rebornMilliCPU); err != nil {
		return nil, err
	}
	for _, w := range e.workers {
		w.duration = func(string) time.Duration { return rebornTaskTime }
	}
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		e.submitSteadily(stop)
	}()
	time.Sleep(3 * time.Second)
	var err error
	for i := range rebornCrashes {
		begun := time.Now()
		if trouble {
			err = e.busiest().crash(rebornDownTimes[i%len(rebornDownTimes)], heartbeat/2)
		}
		if err != nil {
			break
		}
		time.Sleep(rebornCyclePace - time.Since(begun))
	}
	close(stop)
	done.Wait()
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return e.ledger.twice(), nil
}

// busiest returns the minion that starts the most runs within rebornCount.
func (e *environment) busiest() *worker {
	before := make(map[*worker]int)
	for _, w := range e.workers {
		before[w] = w.startCount()
	}
	time.Sleep(rebornCount)
	best := e.workers[0]
	for _, w := range e.workers {
		if w.startCount()-before[w] > best.startCount()-before[best] {
			best = w
		}
	}
	return best
}

// submitSteadily submits jobs of one short task until stop is closed.
func (e *environment) submitSteadily(stop chan struct{}) {
	c := e.newCaller()
	body := map[string]any{
		"spec": "pairing",
		"steps": []map[string]any{{
			"count":       1,
			"cpu":         rebornTaskCPU,
			"mem_mb":      64,
			"estimate_ms": rebornTaskTime.Milliseconds(),
		}},
	}
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rebornJobPause):
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			c.submit("pairings", jobID(n), body)
		}()
	}
}
