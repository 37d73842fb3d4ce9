package tanagerdispatch

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// crashTestTick is the time between two ticks of a crashFleet.
	crashTestTick = 20 * time.Millisecond
	// restartTime is how long a crashed worker of a crashFleet is away.
	restartTime = 3 * time.Second
	// cutAge is the age of a run at which its worker is cut off.
	cutAge = 100 * time.Millisecond
)

// crashFleet simulates workers that deadly tasks crash right after their start.
type crashFleet struct {
	*harness
	// newIDs lets workers come back under another id, which then responds at
	// their former address.
	newIDs bool
	deadly func(tanagerwork.TaskName) bool
	// deadlyAge is how long after its start a deadly task crashes its worker.
	deadlyAge time.Duration
	// awayTime is how long a crashed worker, or one that is cut off, is away. One worker
	// of each of the next cutRuns runs is cut off at cutAge; lastCutRun is the last of
	// these runs.
	awayTime   time.Duration
	cutRuns    int
	lastCutRun int64
	// unlisted workers are missing from the platform's list.
	unlisted []string
	workers  map[string]*fleetWorker
	// badWorker crashes whatever it starts; crashNextStart lets the next start crash
	// its worker.
	badWorker      string
	crashNextStart bool
	taskDuration   time.Duration
	// starts are the accepted starts by job, startedAt the time of the last one, and
	// crashes the number of crashed workers.
	starts    map[tanagerwork.JobID][]StartOrder
	startedAt map[tanagerwork.JobID]time.Time
	crashes   int
}

// fleetWorker is a worker of a crashFleet.
type fleetWorker struct {
	incarnation int64
	running     []fleetRun
	ended       []tanagerport.EndedRun
	lastNumber  int64
	// upAt is when a crashed worker is back. A replaced worker does not come
	// back: another one has its address.
	upAt     time.Time
	down     bool
	cut      bool
	replaced bool
}

type fleetRun struct {
	tanagerport.ActiveRun
	startedAt time.Time
}

func newCrashFleet(t *testing.T, size int, deadly ...tanagerwork.JobID) *crashFleet {
	f := &crashFleet{
		harness: newHarness(t, 1),
		deadly: func(name tanagerwork.TaskName) bool {
			return name.Index == 0 && slices.Contains(deadly, name.Job)
		},
		workers:      make(map[string]*fleetWorker),
		starts:       make(map[tanagerwork.JobID][]StartOrder),
		startedAt:    make(map[tanagerwork.JobID]time.Time),
		taskDuration: 2 * time.Second,
		awayTime:     restartTime,
	}
	for i := range size {
		f.workers["w"+strconv.Itoa(i)] = &fleetWorker{incarnation: 1}
	}
	f.list()
	f.run(100 * time.Millisecond)
	return f
}

// list tells the cell which workers are up.
func (f *crashFleet) list() {
	var entries []tanagerport.WorkerEntry
	for _, id := range sortedKeys(f.workers) {
		if w := f.workers[id]; !w.down && !w.replaced && !slices.Contains(f.unlisted, id) {
			entries = append(entries, testWorker(id, w.incarnation))
		}
	}
	f.setWorkers(entries...)
}

// run advances the time by d.
func (f *crashFleet) run(d time.Duration) {
	for ; d > 0; d -= crashTestTick {
		f.tick(crashTestTick)
		f.restartWorkers()
		f.crashByAge()
		f.cutByAge()
		polls := f.openPolls
		f.openPolls = nil
		for _, o := range f.orders.Starts {
			f.start(o)
		}
		for _, o := range f.orders.Stops {
			f.stop(o)
		}
		for _, o := range polls {
			f.poll(o)
		}
		f.storeProgress()
	}
}

// runUntil advances the time until a condition holds, for a minute at most.
func (f *crashFleet) runUntil(holds func() bool) {
	f.c.Helper()
	for end := f.now.Add(time.Minute); !holds(); {
		f.c.Assert(f.now.Before(end), qt.IsTrue)
		f.run(crashTestTick)
	}
}

func (f *crashFleet) restartWorkers() {
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		if f.now.Before(w.upAt) {
			continue
		}
		w.cut = false
		if !w.down {
			continue
		}
		w.down = false
		if f.newIDs {
			w.replaced = true
			f.workers[id+"n"] = &fleetWorker{incarnation: 1}
		} else {
			w.incarnation++
		}
		f.list()
	}
}

// crashByAge crashes the workers whose deadly tasks have reached deadlyAge.
func (f *crashFleet) crashByAge() {
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		if slices.ContainsFunc(w.running, func(r fleetRun) bool {
			return f.deadlyAge > 0 && f.deadly(r.Task) && f.now.Sub(r.startedAt) >= f.deadlyAge
		}) {
			f.crash(w)
		}
	}
}

func (f *crashFleet) start(o StartOrder) {
	w := f.workers[o.Worker.ID]
	switch {
	case w.down || w.cut:
		f.cell.HandleStartResponse(f.now, o, tanagerport.Response{}, tanagerport.Refused.New("connection refused"))
		return
	case w.replaced:
		f.cell.HandleStartResponse(f.now, o, tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
		return
	}
	f.starts[o.Start.Task.Job] = append(f.starts[o.Start.Task.Job], o)
	w.running = append(w.running, fleetRun{
		ActiveRun: tanagerport.ActiveRun{
			Task: o.Start.Task,
			Run:  o.Start.Run,
		},
		startedAt: f.now,
	})
	f.startedAt[o.Start.Task.Job] = f.now
	f.accept(o)
	if f.deadlyAge == 0 && f.deadly(o.Start.Task) || o.Worker.ID == f.badWorker || f.crashNextStart {
		f.crashNextStart = false
		f.crash(w)
	}
}

// cutByAge cuts off a worker of a run that has reached cutAge.
func (f *crashFleet) cutByAge() {
	for _, id := range sortedKeys(f.workers) {
		for _, r := range f.workers[id].running {
			if f.cutRuns > 0 && r.Run > f.lastCutRun && f.now.Sub(r.startedAt) >= cutAge {
				f.cutRuns--
				f.lastCutRun = r.Run
				f.cutOff(f.workers[id])
				break
			}
		}
	}
}

// cutOff cuts a worker off from the scheduler. Its runs end with its lease.
func (f *crashFleet) cutOff(w *fleetWorker) {
	w.cut = true
	w.upAt = f.now.Add(f.awayTime)
	for _, r := range slices.Clone(w.running) {
		f.end(w, r.Task, r.Run, tanagerport.EndedLeaseExpired)
	}
}

func (f *crashFleet) crash(w *fleetWorker) {
	f.crashes++
	w.down = true
	w.upAt = f.now.Add(f.awayTime)
	w.running, w.ended, w.lastNumber = nil, nil, 0
}

func (f *crashFleet) stop(o StopOrder) {
	w := f.workers[o.Worker.ID]
	switch {
	case w.down || w.cut:
		f.cell.HandleStopResponse(f.now, o, tanagerport.Response{}, tanagerport.OutcomeUnknown.New("connection refused"))
		return
	case w.replaced:
		f.cell.HandleStopResponse(f.now, o, tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
		return
	}
	f.end(w, o.Stop.Task, o.Stop.Run, tanagerport.EndedStopped)
	f.cell.HandleStopResponse(f.now, o, tanagerport.Response{Status: tanagerport.Accepted}, nil)
}

func (f *crashFleet) end(w *fleetWorker, name tanagerwork.TaskName, run int64, reason tanagerport.EndReason) {
	i := slices.IndexFunc(w.running, func(r fleetRun) bool { return r.Task == name && r.Run == run })
	if i < 0 {
		return
	}
	w.running = slices.Delete(w.running, i, i+1)
	w.lastNumber++
	w.ended = append(w.ended, tanagerport.EndedRun{
		SequenceNumber: w.lastNumber,
		Task:           name,
		Run:            run,
		Reason:         reason,
	})
}

func (f *crashFleet) poll(o PollOrder) {
	w := f.workers[o.Worker.ID]
	switch {
	case w.down || w.cut:
		f.cell.HandlePollResponse(f.now, o, f.now, tanagerport.Report{}, tanagerport.OutcomeUnknown.New("connection reset"))
		return
	case w.replaced:
		r := tanagerport.Report{Response: tanagerport.Response{Status: tanagerport.OtherIncarnation}}
		f.cell.HandlePollResponse(f.now, o, f.now, r, nil)
		return
	}
	for _, r := range slices.Clone(w.running) {
		if f.now.Sub(r.startedAt) >= f.taskDuration {
			f.end(w, r.Task, r.Run, tanagerport.EndedDone)
		}
	}
	r := tanagerport.Report{
		Incarnation: w.incarnation,
		Ended:       slices.Clone(w.ended),
	}
	for _, active := range w.running {
		active.Percent = int(100 * f.now.Sub(active.startedAt) / f.taskDuration)
		r.Running = append(r.Running, active.ActiveRun)
	}
	f.respondToPoll(o, r)
}

func (f *crashFleet) add(r tanagerwork.Record) { f.cell.AddJob(f.now, r, nil) }

func (f *crashFleet) checkState(id tanagerwork.JobID, want tanagerwork.State) {
	f.c.Helper()
	state, known := f.cell.State(id)
	f.c.Check(known, qt.IsTrue)
	f.c.Check(state, qt.Equals, want, qt.Commentf("job %s", id))
}

// maxStartsOfDeadlyTask is the most starts of a task that crashes each worker:
// two starts after three crashes are within the users' rule.
const maxStartsOfDeadlyTask = 5

// A task that crashes each worker that starts it took worker after worker for as
// long as its job was open.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, newIDs := range map[string]bool{"same id": false, "new id": true} {
		t.Run(name, func(t *testing.T) {
			for _, s := range []tanagerwork.Step{testStep(1, 1000), testStep(3, 1000), gangStep(3, 2000)} {
				r := testRecord("01", s)
				f := newCrashFleet(t, 6, r.ID)
				f.newIDs = newIDs
				f.add(r)
				f.run(time.Minute)
				f.c.Check(f.crashes <= maxStartsOfDeadlyTask, qt.IsTrue, qt.Commentf("%d crashes", f.crashes))
				f.checkState(r.ID, tanagerwork.Failed)
			}
		})
	}
}

// A task that crashed its workers a second after its start was never suspected, and
// was started again and again.
func TestTaskThatCrashesItsWorkersLaterIsGivenUp(t *testing.T) {
	for _, s := range []tanagerwork.Step{testStep(1, 1000), gangStep(3, 2000)} {
		r := testRecord("01", s)
		f := newCrashFleet(t, 6, r.ID)
		f.deadlyAge = time.Second
		f.add(r)
		f.run(time.Minute)
		f.c.Check(f.crashes <= maxStartsOfDeadlyTask, qt.IsTrue, qt.Commentf("%d crashes", f.crashes))
		f.checkState(r.ID, tanagerwork.Failed)
	}
}

// Jobs that shared workers with deadly tasks from the start complete.
func TestBystandersOfCrashesComplete(t *testing.T) {
	for name, newIDs := range map[string]bool{"same id": false, "new id": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 6, "0000000000000001", "0000000000000002", "0000000000000003")
			f.newIDs = newIDs
			var bystanders []tanagerwork.JobID
			for i := 1; i <= 12; i++ {
				r := testRecord(fmt.Sprintf("%02x", i), testStep(1, 300))
				f.add(r)
				if i > 3 {
					bystanders = append(bystanders, r.ID)
				}
			}
			f.run(time.Minute)
			for _, id := range bystanders {
				f.checkState(id, tanagerwork.Completed)
			}
			for _, id := range []tanagerwork.JobID{"0000000000000001", "0000000000000002", "0000000000000003"} {
				f.checkState(id, tanagerwork.Failed)
			}
			f.c.Check(f.crashes <= 3*maxSoleCrashes, qt.IsTrue, qt.Commentf("%d crashes", f.crashes))
		})
	}
}

// A worker that crashes whatever it starts fails no job while there are others.
func TestCrashingWorkerFailsNoJob(t *testing.T) {
	f := newCrashFleet(t, 2)
	f.badWorker = "w0"
	var ids []tanagerwork.JobID
	for i := 1; i <= 8; i++ {
		r := testRecord(fmt.Sprintf("%02x", i), testStep(1, 500))
		f.add(r)
		ids = append(ids, r.ID)
		f.run(2 * time.Second)
	}
	f.run(time.Minute)
	f.c.Check(f.crashes > 0, qt.IsTrue)
	for _, id := range ids {
		f.checkState(id, tanagerwork.Completed)
	}
}

// While a suspect may crash its worker, the worker gets no other task.
func TestSuspectIsStartedAlone(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.badWorker = "w0"
	suspect := testRecord("01", testStep(1, 500))
	f.add(suspect)
	f.run(200 * time.Millisecond)
	f.c.Assert(f.crashes, qt.Equals, 1)
	f.badWorker = ""
	other := testRecord("02", testStep(1, 500))
	f.add(other)
	f.run(restartTime + time.Second)
	f.c.Assert(f.starts[suspect.ID], qt.HasLen, 2)
	f.c.Assert(f.starts[other.ID], qt.HasLen, 1)
	apart := f.startedAt[other.ID].Sub(f.startedAt[suspect.ID]).Abs()
	f.c.Check(apart >= crashWindow, qt.IsTrue, qt.Commentf("started %v apart", apart))
}

// A worker that a suspect may crash gets other tasks once it has outlived that
// time, also if nothing else changes.
func TestWorkIsStartedAfterProbation(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.taskDuration = time.Minute
	f.crashNextStart = true
	suspect := testRecord("01", testStep(1, 500))
	f.add(suspect)
	f.runUntil(func() bool { return len(f.starts[suspect.ID]) == 2 })
	other := testRecord("02", testStep(1, 500))
	f.add(other)
	f.run(crashWindow / 2)
	f.c.Check(f.starts[other.ID], qt.HasLen, 0)
	f.run(crashWindow)
	f.c.Check(f.starts[other.ID], qt.HasLen, 1)
}

// A suspect is started once a worker has had no other start for some time, also if
// nothing else changes.
func TestSuspectIsStartedAfterOthers(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.taskDuration = time.Minute
	f.crashNextStart = true
	suspect := testRecord("01", testStep(1, 500))
	f.add(suspect)
	f.runUntil(func() bool { return f.cell.jobs[suspect.ID].steps[0].suspect(0) })
	other := testRecord("02", testStep(1, 500))
	f.add(other)
	f.cell.workers["w0"].lastStartAt = f.now
	f.run(crashWindow / 2)
	f.c.Check(f.starts[suspect.ID], qt.HasLen, 1)
	f.run(2 * crashWindow)
	f.c.Check(f.starts[suspect.ID], qt.HasLen, 2)
}

// Under overload each worker gets starts all the time; a suspect still starts.
func TestSuspectStartsWithoutQuietWorker(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.crashNextStart = true
	suspect := testRecord("01", testStep(1, 500))
	f.add(suspect)
	f.runUntil(func() bool { return f.cell.jobs[suspect.ID].steps[0].suspect(0) })
	suspectSince := f.now
	f.runUntil(func() bool {
		f.cell.workers["w0"].lastStartAt = f.now
		return len(f.starts[suspect.ID]) == 2
	})
	waited := f.now.Sub(suspectSince)
	f.c.Check(waited >= maxIsolationWait, qt.IsTrue, qt.Commentf("started after %v", waited))
}

// Who is blamed for a crash.
func TestSuspicion(t *testing.T) {
	first := testRecord("01", testStep(2, 500))
	second := testRecord("02", testStep(1, 500))
	for name, tc := range map[string]struct {
		records                 []tanagerwork.Record
		silentAfter, knownAfter time.Duration
		leaseExpired            bool
		want                    suspicion
	}{
		"tasks of one job":      {records: []tanagerwork.Record{first}, want: suspectedAlone},
		"tasks of two jobs":     {records: []tanagerwork.Record{first, second}, want: suspectedWithOthers},
		"noticed late":          {records: []tanagerwork.Record{first}, silentAfter: 2 * crashWindow, want: suspectedLate},
		"no restart seen":       {records: []tanagerwork.Record{first}, leaseExpired: true, want: suspectedUnconfirmed},
		"responded before that": {records: []tanagerwork.Record{first}, knownAfter: 2 * crashWindow, want: unsuspected},
	} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1))
		h.sync()
		for _, r := range tc.records {
			h.cell.AddJob(h.now, r, nil)
		}
		for _, o := range h.tick(20 * time.Millisecond).Starts {
			h.accept(o)
		}
		w := h.cell.workers["a"]
		w.lastAlive = h.now.Add(tc.knownAfter)
		h.cell.now = h.now.Add(tc.silentAfter + tc.knownAfter)
		h.cell.suspectAttempts(w, !tc.leaseExpired)
		for _, a := range w.attempts {
			h.c.Check(a.suspicion, qt.Equals, tc.want, qt.Commentf("%s", name))
		}
	}
}

// The second crash of the same worker does not suffice to give a task up.
func TestSecondCrashOfOneWorkerIsNotDecisive(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.badWorker = "w0"
	r := testRecord("01", testStep(1, 500))
	f.add(r)
	f.run(2*restartTime + time.Second)
	f.c.Assert(f.crashes, qt.Equals, 3)
	f.checkState(r.ID, tanagerwork.Running)
}

// Starts on workers that had crashed already, unnoticed, were counted as crashes
// and failed a job after three.
func TestCrashesNoticedLateFailLast(t *testing.T) {
	s := &step{spec: &tanagerwork.Step{}}
	confirmed := func(n int) *crashHistory { return &crashHistory{confirmed: make(tanagerwork.FailedRuns, n)} }
	qt.Check(t, s.crashLimitReached(confirmed(maxCrashes), suspectedLate), qt.IsFalse)
	qt.Check(t, s.crashLimitReached(confirmed(maxLateCrashes), suspectedLate), qt.IsTrue)
	qt.Check(t, s.crashLimitReached(confirmed(maxCrashes), suspectedWithOthers), qt.IsTrue)
}

// A gang is suspected until all its members have outlived the time after their
// start.
func TestGangIsSuspectedUntilAllMembersSurvive(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.sync()
	starts := h.submit(testRecord("01", gangStep(2, 3000)))
	h.c.Assert(starts, qt.HasLen, 2)
	s := h.cell.jobs[starts[0].Start.Task.Job].steps[0]
	s.gang.crashes.confirmed = tanagerwork.FailedRuns{1}
	for i := range s.tasks {
		h.c.Check(s.suspect(0), qt.IsTrue)
		h.cell.recordSurvival(s.tasks[i].attempt, h.now.Add(crashWindow))
	}
	h.c.Check(s.suspect(0), qt.IsFalse)
}

// A run that has outlived the time after its start is not blamed for a crash.
func TestLongRunsAreNotSuspected(t *testing.T) {
	f := newCrashFleet(t, 2)
	f.taskDuration = 10 * time.Second
	r := testRecord("01", testStep(1, 500))
	f.add(r)
	for range 4 {
		f.run(restartTime + 2*time.Second)
		for _, id := range sortedKeys(f.workers) {
			if w := f.workers[id]; len(w.running) > 0 {
				f.crash(w)
			}
		}
	}
	f.run(restartTime + 11*time.Second)
	f.checkState(r.ID, tanagerwork.Completed)
	f.c.Check(f.cell.jobs[r.ID].steps[0].suspect(0), qt.IsFalse)
}

// A run that outlives the time after its start ends the count of crashes in a row.
func TestSurvivalClearsSuspect(t *testing.T) {
	f := newCrashFleet(t, 3)
	f.taskDuration = time.Minute
	r := testRecord("01", testStep(1, 500))
	f.add(r)
	for range 4 {
		f.crashNextStart = true
		f.run(2*restartTime + 2*time.Second)
		for _, id := range sortedKeys(f.workers) {
			if w := f.workers[id]; len(w.running) > 0 {
				f.crash(w)
			}
		}
	}
	f.checkState(r.ID, tanagerwork.Running)
}

// A worker that is about to leave takes its runs with it without a crash.
func TestLeavingWorkerBlamesNoTask(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	start := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.accept(start)
	draining := testWorker("a", 1)
	draining.Draining = true
	draining.TerminatesIn = 3 * time.Second
	h.setWorkers(draining)
	h.cell.loseAttempts(h.cell.workers["a"], "another incarnation responded at its address", true)
	h.c.Check(h.cell.jobs[start.Start.Task.Job].steps[0].suspect(0), qt.IsFalse)
}

// A long-running task is given up only after all crashes.
func TestLongRunningTaskIsGivenUpLast(t *testing.T) {
	s := testStep(1, 500)
	s.LongRunning = true
	r := testRecord("01", s)
	f := newCrashFleet(t, 6, r.ID)
	f.add(r)
	f.run(time.Minute)
	f.c.Check(f.crashes, qt.Equals, maxCrashes)
	f.checkState(r.ID, tanagerwork.Failed)
}

// A successor continues to count the crashes under a task.
func TestCrashesAreRestored(t *testing.T) {
	for name, s := range map[string]tanagerwork.Step{"single": testStep(1, 500), "gang": gangStep(2, 500)} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1))
		h.sync()
		r := testRecord("01", s)
		for _, o := range h.submit(r) {
			h.accept(o)
		}
		h.cell.loseAttempts(h.cell.workers["a"], "another incarnation responded at its address", true)
		snapshots := h.cell.TakeSnapshots(10)
		h.c.Assert(snapshots, qt.HasLen, 1)
		stored := tanagerwire.Encode(snapshots[0].Progress)
		var progress tanagerwork.Progress
		h.c.Assert(tanagerwire.Decode(stored, &progress), qt.IsNil)

		successor := newHarness(t, 2)
		successor.setWorkers(testWorker("b", 1), testWorker("c", 1))
		successor.sync()
		r.Epoch = 1
		successor.cell.AddJob(successor.now, r, &progress)
		for i := 1; i < maxSoleCrashes; i++ {
			state, _ := successor.cell.State(r.ID)
			successor.c.Check(state, qt.Not(qt.Equals), tanagerwork.Failed, qt.Commentf("%s", name))
			var starts []StartOrder
			for waited := time.Duration(0); len(starts) == 0 && waited < 2*crashWindow; waited += crashTestTick {
				starts = successor.tick(crashTestTick).Starts
			}
			successor.c.Assert(len(starts) > 0, qt.IsTrue, qt.Commentf("%s", name))
			for _, o := range starts {
				successor.accept(o)
			}
			w := successor.cell.workers[starts[0].Worker.ID]
			successor.cell.loseAttempts(w, "another incarnation responded at its address", true)
			successor.storeProgress()
		}
		state, _ := successor.cell.State(r.ID)
		successor.c.Check(state, qt.Equals, tanagerwork.Failed, qt.Commentf("%s", name))
	}
}

// A suspect is started again only when its crash is stored, so that a successor
// knows of it, or after maxCrashWriteWait.
func TestSuspectWaitsForItsCrashToBeStored(t *testing.T) {
	for name, stored := range map[string]bool{"stored": true, "store away": false} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1), testWorker("b", 1))
		h.sync()
		start := h.submit(testRecord("01", testStep(1, 500)))[0]
		h.accept(start)
		h.cell.loseAttempts(h.cell.workers[start.Worker.ID], "another incarnation responded at its address", true)
		h.c.Check(h.tick(20*time.Millisecond).Starts, qt.HasLen, 0, qt.Commentf("%s", name))
		wait := maxCrashWriteWait
		if stored {
			h.storeProgress()
			wait = 20 * time.Millisecond
		}
		h.c.Check(h.tick(wait).Starts, qt.HasLen, 1, qt.Commentf("%s", name))
	}
}

// An unanswered start that crashed its worker was sent to the next incarnation
// as well.
func TestUnansweredStartIsNotSentToNextIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.setWorkers(testWorker("a", 2))
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{}, tanagerport.OutcomeUnknown.New("connection reset"))
	out := h.tick(20 * time.Millisecond)
	h.c.Check(out.Starts, qt.HasLen, 0)
	h.c.Check(out.Stops, qt.HasLen, 1)
}

// crashBeforeResponse lets the worker of an open start restart: the start gets no
// response, and its repetition reaches another incarnation.
func (h *harness) crashBeforeResponse(o StartOrder) {
	h.cell.HandleStartResponse(h.now, o, tanagerport.Response{}, tanagerport.OutcomeUnknown.New("connection reset"))
	again := h.tick(crashTestTick).Starts
	h.c.Assert(again, qt.HasLen, 1)
	h.cell.HandleStartResponse(h.now, again[0], tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
	h.storeProgress()
}

// restart lists a worker with its next incarnation and polls it.
func (h *harness) restart(id string) {
	h.setWorkers(testWorker(id, h.cell.workers[id].incarnation+1))
	h.tick(crashTestTick)
	h.respondToPolls(tanagerport.Report{Incarnation: h.cell.workers[id].incarnation})
}

// nextStart advances the time until a start is ordered.
func (h *harness) nextStart() StartOrder {
	h.c.Helper()
	for range 200 {
		if starts := h.tick(crashTestTick).Starts; len(starts) > 0 {
			return starts[0]
		}
		h.respondToPolls(tanagerport.Report{Incarnation: 1})
	}
	h.c.Fatal("no start")
	return StartOrder{}
}

// Starts that reached another incarnation at once, so that nothing ran, counted as
// crashes and failed the job.
func TestRefusedStartsFailNoJob(t *testing.T) {
	h := newHarness(t, 1)
	var entries []tanagerport.WorkerEntry
	for i := range 2 * maxUnconfirmedCrashes {
		entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
	}
	h.setWorkers(entries...)
	h.sync()
	r := testRecord("01", testStep(1, 1000))
	h.cell.AddJob(h.now, r, nil)
	for range 2 * maxUnconfirmedCrashes {
		o := h.nextStart()
		h.cell.HandleStartResponse(h.now, o, tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
		h.storeProgress()
		h.c.Assert(h.cell.jobs[r.ID].state.Final(), qt.IsFalse)
		h.c.Assert(h.cell.jobs[r.ID].steps[0].suspect(0), qt.IsFalse)
	}
}

// Two starts without a response on workers that had restarted failed the job,
// although nothing may have run. The task is suspected, and given up only after
// maxUnconfirmedCrashes.
func TestStartsWithoutResponseFailJobLast(t *testing.T) {
	for name, s := range map[string]tanagerwork.Step{"single": testStep(1, 1000), "gang": gangStep(1, 1000)} {
		h := newHarness(t, 1)
		var entries []tanagerport.WorkerEntry
		for i := range maxUnconfirmedCrashes {
			entries = append(entries, testWorker("w"+strconv.Itoa(i), 1))
		}
		h.setWorkers(entries...)
		h.sync()
		r := testRecord("01", s)
		h.cell.AddJob(h.now, r, nil)
		for i := range maxUnconfirmedCrashes {
			h.c.Assert(h.cell.jobs[r.ID].state.Final(), qt.IsFalse, qt.Commentf("%s after %d", name, i))
			h.crashBeforeResponse(h.nextStart())
			h.c.Assert(h.cell.jobs[r.ID].steps[0].suspect(0), qt.IsTrue)
		}
		h.c.Check(h.cell.jobs[r.ID].state, qt.Equals, tanagerwork.Failed, qt.Commentf("%s", name))
	}
}

// Unconfirmed crashes do not help a single confirmed one to give a task up. With two
// confirmed ones they count like crashes that were noticed late.
func TestUnconfirmedCrashesDoNotAddToConfirmedOnes(t *testing.T) {
	s := &step{spec: &tanagerwork.Step{}}
	h := &crashHistory{
		confirmed:   tanagerwork.FailedRuns{1},
		unconfirmed: tanagerwork.FailedRuns{2, 3},
	}
	qt.Check(t, s.crashLimitReached(h, suspectedAlone), qt.IsFalse)
	h.confirmed.Add(4)
	qt.Check(t, s.crashLimitReached(h, suspectedAlone), qt.IsTrue)
	qt.Check(t, s.crashLimitReached(h, suspectedUnconfirmed), qt.IsTrue)
	h.unconfirmed = h.unconfirmed[:1]
	qt.Check(t, s.crashLimitReached(h, suspectedUnconfirmed), qt.IsFalse)
}

// A start that was addressed to a former incarnation, and refused at the address
// that it had, ended the runs of the present one in the scheduler's view.
func TestMisdirectedStartKeepsRunsOfNextIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	first := h.submit(testRecord("01", testStep(1, 1000)))[0]
	h.restart("a")
	second := h.submit(testRecord("02", testStep(1, 1000)))[0]
	h.accept(second)
	h.cell.HandleStartResponse(h.now, first, tanagerport.Response{Status: tanagerport.OtherIncarnation}, nil)
	h.c.Check(h.cell.jobs[second.Start.Task.Job].steps[0].tasks[0].attempt, qt.IsNotNil)
	h.c.Check(h.cell.jobs[first.Start.Task.Job].steps[0].tasks[0].attempt, qt.IsNil)
}

// A successor continues to count unconfirmed crashes, and as such.
func TestUnconfirmedCrashesAreRestored(t *testing.T) {
	for name, s := range map[string]tanagerwork.Step{"single": testStep(1, 500), "gang": gangStep(1, 500)} {
		h := newHarness(t, 1)
		h.setWorkers(testWorker("a", 1))
		h.sync()
		r := testRecord("01", s)
		o := h.submit(r)[0]
		h.cell.HandleStartResponse(h.now, o, tanagerport.Response{}, tanagerport.OutcomeUnknown.New("connection reset"))
		h.cell.loseAttempts(h.cell.workers["a"], "another incarnation responded at its address", true)
		snapshots := h.cell.TakeSnapshots(10)
		h.c.Assert(snapshots, qt.HasLen, 1)
		stored := tanagerwire.Encode(snapshots[0].Progress)
		var progress tanagerwork.Progress
		h.c.Assert(tanagerwire.Decode(stored, &progress), qt.IsNil)
		successor := newHarness(t, 2)
		successor.cell.AddJob(successor.now, r, &progress)
		restored := successor.cell.jobs[r.ID].steps[0].crashes(0)
		h.c.Check(restored.confirmed, qt.HasLen, 0, qt.Commentf("%s", name))
		h.c.Check(restored.unconfirmed, qt.HasLen, 1, qt.Commentf("%s", name))
	}
}
