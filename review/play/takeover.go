package main

import (
	"fmt"
	"time"
)

// The case upkeep-takeover: a wave asks for the two machines on which the two tasks
// of a lasting step work, of which one may be unavailable at a time.
const (
	takeoverMinions = 350
	takeoverLabel   = "fast-disk"
	takeoverCap     = 2
	// startup is how long a lasting task takes until it is at work.
	startup = time.Second
	// takeoverKillAfter is when the scheduler is killed, after the wave was
	// written.
	takeoverKillAfter = time.Second
)

// playUpkeepTakeover has the scheduler killed while it drains the two machines of a
// wave.
func playUpkeepTakeover(e *environment, trouble bool) ([]string, error) {
	m, err := e.newMachines()
	if err != nil {
		return nil, err
	}
	e.writeConfiguration(10, route("pairings", 4, false))
	if err := e.startWorkers(takeoverMinions, 4000); err != nil {
		return nil, err
	}
	for i, w := range e.workers {
		w.duration = func(string) time.Duration { return time.Hour }
		w.startup = startup
		m.add(w)
		if i >= takeoverMinions-4 {
			w.labels = append(w.labels, takeoverLabel)
			w.register()
		}
	}
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	c := e.newCaller()
	id := jobID(1)
	job := map[string]any{
		"spec": "ladder",
		"steps": []map[string]any{{
			"count":           2,
			"cpu":             1000,
			"mem_mb":          64,
			"estimate_ms":     1000,
			"persistent":      true,
			"requirements":    takeoverLabel,
			"anti_affinity":   1,
			"max_unavailable": 1,
		}},
	}
	if !c.submit("pairings", id, job) {
		return nil, errNotAccepted
	}
	time.Sleep(4 * time.Second)
	var names []string
	for _, w := range e.workers {
		if w.atWork() > 0 {
			names = append(names, w.machine)
		}
	}
	if len(names) != 2 {
		return nil, errNotAccepted
	}
	e.writeWave(1, waveLimit, takeoverCap, names...)
	if trouble {
		time.Sleep(takeoverKillAfter)
		if err := e.restartScheduler(); err != nil {
			return nil, err
		}
	}
	await(waveLimit, func() bool { return e.waveState(1) == "completed" })
	e.note("operator: wave 1 is %s", e.waveState(1))
	return e.ledger.unavailable(1), nil
}

// unavailable returns the breaks of the rule AVAIL: an upkeep or a stop ended a task
// at work while most others of its step were away, ended in the same way and not at
// work again.
func (l *ledger) unavailable(most int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for name, t := range l.tasks {
		for _, h := range t.runs {
			if h.endedAt.IsZero() || h.endedAt.Sub(h.startedAt) < startup {
				continue
			}
			var away []string
			for other, o := range l.tasks {
				if other != name && o.awayAt(h.endedAt) {
					away = append(away, other)
				}
			}
			if len(away) >= most {
				broken = append(broken, fmt.Sprintf("AVAIL: %s run %d was ended (%s) on %s while %v was away", name, h.run.number, h.how, h.worker, away))
			}
		}
	}
	return broken
}

// awayAt reports whether a run of the task at work was ended by the system and none
// was at work at a moment.
func (t *taskHistory) awayAt(at time.Time) bool {
	ended := false
	for _, h := range t.runs {
		working := h.startedAt.Add(startup)
		if !h.endedAt.IsZero() && h.endedAt.Before(at) && h.endedAt.After(working) {
			ended = true
		}
		if working.Before(at) && (h.endedAt.IsZero() || !h.endedAt.Before(at)) {
			return false
		}
	}
	return ended
}
