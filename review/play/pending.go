package main

import (
	"fmt"
	"net/http"
	"time"
)

// The case pending-count: the only minion with a label is lost, and jobs that need
// the label are handed in within pendingSubmitTime.
const (
	pendingMinions    = 8
	pendingLabel      = "fast-disk"
	pendingJobs       = 8
	pendingSubmitTime = 320 * time.Millisecond
	// visible is the bound of the pages for what was accepted to be shown, to
	// which the rule adds visibleSlack.
	visible      = 3 * time.Second
	visibleSlack = 2 * time.Second
	pendingLooks = 6
)

// playPendingCount asks all daemons for the number of jobs that have not begun,
// while the one minion that could run them is gone.
func playPendingCount(e *environment, trouble bool) ([]string, error) {
	e.writeConfiguration(10, route("pairings", 4, false))
	if err := e.startWorkers(pendingMinions, 8000); err != nil {
		return nil, err
	}
	labelled := e.workers[0]
	labelled.labels = []string{"a", "r1-1", pendingLabel}
	labelled.register()
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		labelled.lose()
	}
	c := e.newCaller()
	var accepted []string
	for n := range pendingJobs {
		id := jobID(n)
		if !c.submit("pairings", id, labelledJob()) {
			return nil, errNotAccepted
		}
		accepted = append(accepted, id)
		time.Sleep(pendingSubmitTime / pendingJobs)
	}
	time.Sleep(visible + visibleSlack + time.Second)
	var broken []string
	for range pendingLooks {
		waiting := 0
		for _, id := range accepted {
			if started, _ := e.ledger.starts(id + ".0.0.0"); started == 0 {
				waiting++
			}
		}
		for _, d := range e.daemons {
			status, fields := c.call(d, http.MethodGet, "/pairings/", nil)
			pending, known := number(fields["pending"])
			e.note("client: GET /pairings/ from %s: %d, pending %d; %d accepted jobs have not begun", d.name, status, pending, waiting)
			if status == http.StatusOK && known && 2*pending < waiting {
				broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending; %d jobs were accepted over %v before and have not begun",
					d.name, pending, waiting, visible+visibleSlack))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}

// labelledJob returns a job of one task that needs the label.
func labelledJob() map[string]any {
	return map[string]any{
		"spec": "pairing",
		"steps": []map[string]any{{
			"count":        1,
			"cpu":          500,
			"mem_mb":       64,
			"estimate_ms":  300,
			"requirements": pendingLabel,
		}},
	}
}

// number returns a decoded number, and whether it is one.
func number(v any) (int, bool) {
	switch n := v.(type) {
	case uint64:
		return int(n), true
	case int64:
		return int(n), true
	}
	return 0, false
}
