package main

import (
	"sync"
	"time"
)

// The load and the crashes of the case reborn-minion.
const (
	rebornMinions   = 8
	rebornMilliCPU  = 4000
	rebornTaskCPU   = 1000
	rebornTaskTime  = 100 * time.Millisecond
	rebornJobPause  = 20 * time.Millisecond
	rebornCrashes   = 8
	rebornDownTime  = 1100 * time.Millisecond
	rebornCyclePace = 5 * time.Second
)

// playRebornMinion crashes one of eight minions, which starts again under its id
// and address after less than a second and writes its entry within its heartbeat.
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
	for range rebornCrashes {
		begun := time.Now()
		if trouble {
			err = e.workers[0].crash(rebornDownTime, heartbeat/2)
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
