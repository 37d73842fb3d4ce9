package tanagersite

import "time"

const (
	// noticeAllowance is how long after a job was shown as completed its tasks may
	// still be started.
	noticeAllowance = time.Second
	// contactTime is how long a daemon has to be without disruption to be in touch.
	contactTime = 3 * time.Second
)

// secondStarts checks that no task is started a second time, as the users check it:
// by what workers and callers see. The observer's lock protects it.
type secondStarts struct {
	live map[string][]liveRun
	done map[string][]*doneEnd
	// leases holds the times at which the leases of the workers lapse.
	leases map[string]time.Time
	// shown holds the times at which jobs were first shown as completed.
	shown map[string]time.Time
	// disruptions counts the present disruptions of each daemon, calmSince holds the
	// end of its last one.
	disruptions map[int]int
	calmSince   map[int]time.Time
	// outOfTouch counts the starts of jobs shown as completed that broke no rule, as
	// their daemons were out of touch.
	outOfTouch int
}

type liveRun struct {
	worker string
	run    int64
}

// doneEnd is an end as done that the scheduler may still take note of.
type doneEnd struct {
	liveRun
	// noted is zero until the scheduler has taken note of the end.
	noted time.Time
	// forgotten tells that the run ended after its number had been acknowledged, so that
	// the worker never listed the end.
	forgotten bool
	// later holds the starts of the task since the end.
	later []startNote
}

// startNote describes a start.
type startNote struct {
	at     time.Time
	worker string
	run    int64
	daemon int
	// late is set if the worker executed the order late.
	late bool
}

func newSecondStarts() *secondStarts {
	return &secondStarts{
		live:        make(map[string][]liveRun),
		done:        make(map[string][]*doneEnd),
		leases:      make(map[string]time.Time),
		shown:       make(map[string]time.Time),
		disruptions: make(map[int]int),
		calmSince:   make(map[int]time.Time),
	}
}

// checkSecondStart checks a start against the other runs of its task. The caller
// holds the lock.
func (o *observer) checkSecondStart(c wireCommand, worker string) {
	s, now := o.second, o.now()
	start := startNote{
		at:     now,
		worker: worker,
		run:    c.Run,
		daemon: c.daemon,
		late:   c.late,
	}
	for _, other := range s.live[c.Task] {
		if now.Before(s.leases[other.worker]) {
			o.addViolation("task %s: two runs at once: run %d on %s by daemon %d, run %d on %s goes on",
				c.Task, c.Run, worker, c.daemon, other.run, other.worker)
		}
	}
	s.live[c.Task] = append(s.live[c.Task], liveRun{
		worker: worker,
		run:    c.Run,
	})
	for _, end := range s.done[c.Task] {
		if end.noted.IsZero() {
			end.later = append(end.later, start)
		} else {
			o.addStartAfterEnd(c.Task, end, start)
		}
	}
	o.checkShown(c.Task, start)
}

// checkShown checks that a task is not started long after its job was shown as
// completed. The caller holds the lock.
func (o *observer) checkShown(task string, start startNote) {
	job, _ := splitTaskName(task)
	shown, isShown := o.second.shown[job]
	if !isShown || start.late || start.at.Sub(shown) <= noticeAllowance {
		return
	}
	if !o.second.inTouch(start.daemon, start.at) {
		o.second.outOfTouch++
		o.notes.Note("start_out_of_touch", Fields{
			"task": task, "run": start.run, "worker": start.worker, "daemon": start.daemon,
		})
		return
	}
	o.addViolation("task %s: run %d on %s by daemon %d started %v after its job was shown as completed",
		task, start.run, start.worker, start.daemon, start.at.Sub(shown).Round(time.Millisecond))
}

// addStartAfterEnd records the start of a task after an end as done that the
// scheduler has taken note of. The caller holds the lock.
func (o *observer) addStartAfterEnd(task string, end *doneEnd, start startNote) {
	how := "noted"
	if end.forgotten {
		how = "forgotten at once"
	}
	o.addViolation("task %s: run %d on %s by daemon %d started after run %d ended as done on %s, %s %v before",
		task, start.run, start.worker, start.daemon, end.run, end.worker, how,
		start.at.Sub(end.noted).Round(time.Millisecond))
}

// inTouch reports whether a daemon has been without disruption for long enough.
func (s *secondStarts) inTouch(daemon int, at time.Time) bool {
	return s.disruptions[daemon] == 0 && at.Sub(s.calmSince[daemon]) >= contactTime
}

// removeLive removes a run that goes on no longer, 0 for any run on the worker.
func (s *secondStarts) removeLive(task, worker string, number int64) {
	var kept []liveRun
	for _, r := range s.live[task] {
		if r.worker != worker || number != 0 && r.run != number {
			kept = append(kept, r)
		}
	}
	s.live[task] = kept
	if len(kept) == 0 {
		delete(s.live, task)
	}
}

// ended records the end of a run.
func (s *secondStarts) ended(task string, number int64, worker, reason string) {
	s.removeLive(task, worker, number)
	if reason != endDone {
		return
	}
	s.done[task] = append(s.done[task], &doneEnd{liveRun: liveRun{
		worker: worker,
		run:    number,
	}})
}

// endNoted records that the scheduler has taken note of the end of a run.
func (o *observer) endNoted(task string, number int64, worker string, forgotten bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, end := range o.second.done[task] {
		if end.worker != worker || end.run != number || !end.noted.IsZero() {
			continue
		}
		end.noted, end.forgotten = o.now(), forgotten
		for _, start := range end.later {
			o.addStartAfterEnd(task, end, start)
		}
		end.later = nil
	}
}

// leaseExtended records when a worker's lease lapses.
func (o *observer) leaseExtended(worker string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.second.leases[worker] = until
}

func (o *observer) jobShown(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, isShown := o.second.shown[job]; !isShown {
		o.second.shown[job] = o.now()
	}
}

func (o *observer) disrupt(daemon, change int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.second.disruptions[daemon] += change
	o.second.calmSince[daemon] = o.now()
}

// Disrupt records that disruptions of daemons begin, named by their store endpoints.
// restore records their end.
func (s *Site) Disrupt(daemons ...int) (restore func()) {
	for _, d := range daemons {
		s.observer.disrupt(d, 1)
	}
	return func() {
		for _, d := range daemons {
			s.observer.disrupt(d, -1)
		}
	}
}

// JobShownCompleted records that a caller was shown a job as completed.
func (s *Site) JobShownCompleted(id string) {
	if s.settings.WorkerLinks {
		s.observer.jobShown(id)
	}
}

// StartsOutOfTouch returns the number of starts of jobs that had been shown as
// completed which no rule forbids, because their daemons were out of touch.
func (s *Site) StartsOutOfTouch() int {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.second.outOfTouch
}
