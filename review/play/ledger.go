package main

import (
	"fmt"
	"sync"
	"time"
)

// ledger holds what the minions have run, for the checks.
type ledger struct {
	mu    sync.Mutex
	tasks map[string]*taskHistory
}

// taskHistory holds the runs of a task in the order of their starts.
type taskHistory struct {
	runs []*runHistory
	// rejections counts starts that a minion rejected for want of a ticket.
	rejections int
}

// runHistory is what happened to a run. The times are zero for what has not
// happened.
type runHistory struct {
	run                        *taskRun
	worker, how                string
	startedAt, endedAt, seenAt time.Time
}

func newLedger() *ledger { return &ledger{tasks: make(map[string]*taskHistory)} }

func (l *ledger) task(name string) *taskHistory {
	t := l.tasks[name]
	if t == nil {
		t = &taskHistory{}
		l.tasks[name] = t
	}
	return t
}

func (l *ledger) find(r *taskRun) *runHistory {
	for _, h := range l.task(r.task).runs {
		if h.run == r {
			return h
		}
	}
	return &runHistory{}
}

func (l *ledger) begun(worker string, r *taskRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(r.task)
	t.runs = append(t.runs, &runHistory{
		run:       r,
		worker:    worker,
		startedAt: r.started,
	})
}

func (l *ledger) rejected(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.task(task).rejections++
}

func (l *ledger) ended(_ string, r *taskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.find(r)
	h.endedAt = time.Now()
	h.how = how
}

// lost records the end of a run whose minion has crashed.
func (l *ledger) lost(worker string, r *taskRun) { l.ended(worker, r, "lost") }

func (l *ledger) takenNoteOf(_ string, r *taskRun, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(r).seenAt = time.Now()
}

// ends returns how often runs of a task have ended in a way.
func (l *ledger) ends(task, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.task(task).runs {
		if h.how == how {
			n++
		}
	}
	return n
}

// starts returns how often a task has been started, and how many starts were
// rejected for want of a ticket.
func (l *ledger) starts(task string) (started, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(task)
	return len(t.runs), t.rejections
}

// twice returns the breaks of the rule TWICE: a start after a run has ended done,
// if that end is taken note of then or later, or two runs at the same time.
func (l *ledger) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for name, t := range l.tasks {
		for i, first := range t.runs {
			for _, second := range t.runs[i+1:] {
				if b := compareRuns(name, first, second); b != "" {
					broken = append(broken, b)
				}
			}
		}
	}
	return broken
}

func compareRuns(task string, first, second *runHistory) string {
	switch {
	case first.how == "done" && !first.seenAt.IsZero() && second.startedAt.After(first.endedAt):
		return fmt.Sprintf("TWICE: %s run %d ended done on %s, its end was taken note of, and run %d started on %s %d ms after the end",
			task, first.run.number, first.worker, second.run.number, second.worker,
			second.startedAt.Sub(first.endedAt).Milliseconds())
	case first.endedAt.IsZero() || second.startedAt.Before(first.endedAt):
		return fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s at the same time",
			task, first.run.number, first.worker, second.run.number, second.worker)
	}
	return ""
}
