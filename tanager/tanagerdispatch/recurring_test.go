package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// storeValueLimit is the largest value that the platform's store accepts, in bytes.
	storeValueLimit = 1 << 20
	// manySteps and manyOccurrences are the most that a job may have.
	manySteps       = 64
	manyOccurrences = 10000
)

// recurringRecord returns a job of small tasks that all are due.
func recurringRecord(steps int, now time.Time) tanagerwork.Record {
	record := testRecord("01")
	for range steps {
		record.Spec.Steps = append(record.Spec.Steps, testStep(1, 10))
	}
	record.Spec.Times = manyOccurrences
	record.Spec.Interval = 100 * time.Millisecond
	record.Spec.FirstDue = now.Add(-manyOccurrences * record.Spec.Interval)
	return record
}

// finishOccurrence marks all tasks of an occurrence as done.
func finishOccurrence(h *harness, j *job, number int) {
	for _, s := range j.occurrences[number].steps {
		for i := range s.tasks {
			h.cell.markTaskDone(s, i)
		}
	}
}

// Guards against a recurring job whose progress grows with each occurrence until the store
// refuses it: its ends were never acknowledged, and in the end no job of the cell went on.
func TestProgressOfRecurringJobIsBounded(t *testing.T) {
	for name, tc := range map[string]struct{ steps, stride int }{
		"in order": {
			steps:  manySteps,
			stride: 1,
		},
		"every second one": {
			steps:  2,
			stride: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			record := recurringRecord(tc.steps, h.now)
			h.cell.AddJob(h.now, record, nil)
			j := h.cell.jobs[record.ID]
			largest := 0
			for first := range tc.stride {
				for number := first; number < manyOccurrences; number += tc.stride {
					h.cell.createStoredOccurrences(j, number)
					finishOccurrence(h, j, number)
					if number%500 == first {
						j.removeDoneOccurrences()
						p := j.progress()
						h.c.Check(p.Done.Contains(number), qt.Equals, !p.State.Final(), qt.Commentf("%d", number))
						largest = max(largest, len(tanagerwire.Encode(p)))
					}
				}
			}
			h.c.Assert(largest <= storeValueLimit, qt.IsTrue, qt.Commentf("%d bytes", largest))
			h.c.Assert(j.state, qt.Equals, tanagerwork.Completed)
		})
	}
}

// Guards against a recurring job that takes more memory with each occurrence.
func TestStepsOfDoneOccurrencesAreRemoved(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	record := recurringRecord(2, h.now)
	record.Spec.FirstDue = h.now
	starts := h.submit(record)
	h.c.Assert(len(starts) > 0, qt.IsTrue)
	done := 0
	for range 200 {
		h.reportEnds("a", int64(done+1), tanagerport.EndedDone, starts...)
		done += len(starts)
		starts = h.tick(100 * time.Millisecond).Starts
	}
	j := h.cell.jobs[record.ID]
	h.c.Assert(done > 100, qt.IsTrue)
	h.c.Assert(len(j.steps) < 50, qt.IsTrue, qt.Commentf("%d steps after %d ends", len(j.steps), done))
	h.c.Assert(j.openTasks, qt.Equals, j.unfinishedSteps)
}

// A successor repeats no occurrence that is stored as done, and runs all others.
func TestSuccessorRestoresDoneOccurrences(t *testing.T) {
	const occurrences = 40
	h := newHarness(t, 2)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	record := recurringRecord(2, h.now)
	record.Epoch = 1
	record.Spec.Times = occurrences
	stored := &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Steps: []tanagerwork.StepProgress{{
			Occurrence: 30,
			Step:       1,
			AllDone:    true,
		}},
	}
	for number := range occurrences {
		if number%7 != 0 && number != 30 {
			stored.Done.Add(number)
		}
	}
	h.cell.AddJob(h.now, record, stored)
	started := make(map[string]bool)
	for range 40 {
		for _, s := range h.tick(20 * time.Millisecond).Starts {
			h.accept(s)
			name := s.Start.Task
			h.c.Check(stored.Done.Contains(name.Occurrence), qt.IsFalse, qt.Commentf("%s", name))
			started[name.String()] = true
		}
	}
	h.c.Assert(started, qt.HasLen, 2*(occurrences-len(storedNumbers(stored.Done)))-1)
}

func storedNumbers(s tanagerwork.OccurrenceSet) []int {
	var out []int
	for _, r := range s {
		for k := r.First; k <= r.Last; k++ {
			out = append(out, k)
		}
	}
	return out
}

// A job that is complete by the set of its done occurrences completes under a successor,
// also if they are not due by its clock.
func TestSuccessorCompletesJobOfDoneOccurrences(t *testing.T) {
	h := newHarness(t, 2)
	record := recurringRecord(2, h.now)
	record.Epoch = 1
	record.Spec.Times = 3
	record.Spec.FirstDue = h.now.Add(time.Hour)
	h.cell.AddJob(h.now, record, &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Done: tanagerwork.OccurrenceSet{{
			First: 0,
			Last:  2,
		}},
	})
	h.storeProgress()
	state, _ := h.cell.State(record.ID)
	h.c.Assert(state, qt.Equals, tanagerwork.Completed)
}

// Guards against progress beyond the store's limit of a recurring job whose occurrences
// take longer than the interval between them.
func TestOpenTasksOfRecurringJobAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	record := recurringRecord(manySteps, h.now)
	h.cell.AddJob(h.now, record, nil)
	j := h.cell.jobs[record.ID]
	for range 100 {
		h.tick(20 * time.Millisecond)
	}
	h.c.Assert(j.openTasks < maxOpenTasks+manySteps, qt.IsTrue, qt.Commentf("%d open tasks", j.openTasks))
	// The largest progress: all steps but the last of each occurrence are done, and each of
	// these has a failed run and a checkpoint.
	for _, s := range j.steps {
		if s.name.Step < manySteps-1 {
			h.cell.markTaskDone(s, 0)
			continue
		}
		s.tasks[0].failures.Add(1)
		s.tasks[0].checkpoint = "00000bb87a21d94b"
	}
	bytes := len(tanagerwire.Encode(j.progress()))
	h.c.Assert(bytes <= storeValueLimit, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	for number := range 10 {
		finishOccurrence(h, j, number)
	}
	next := j.nextOccurrence
	h.tick(20 * time.Millisecond)
	h.c.Assert(j.nextOccurrence > next, qt.IsTrue)
}

// Guards against the stored crashes of a long-running task that is not given up, as they
// are not confirmed.
func TestCrashesOfLongRunningTaskAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	step := testStep(1, 1000)
	step.LongRunning = true
	record := testRecord("01", step)
	h.submit(record)
	j := h.cell.jobs[record.ID]
	for run := range int64(1000) {
		h.cell.recordCrash(&attempt{
			step:      j.steps[0],
			run:       run + 1,
			worker:    h.cell.workers["a"],
			suspicion: suspectedUnconfirmed,
		})
	}
	h.c.Assert(j.state.Final(), qt.IsFalse)
	h.c.Assert(len(j.progress().Steps[0].UnconfirmedCrashes[0]) <= maxUnconfirmedCrashes, qt.IsTrue)
}

// Guards against the stored failures of a long-running task, which has no limit of them.
func TestFailuresOfLongRunningTaskAreNotStored(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	step := testStep(1, 1000)
	step.LongRunning = true
	record := testRecord("01", step)
	h.submit(record)
	j := h.cell.jobs[record.ID]
	fail := func(run int64) {
		h.cell.handleEnd(h.cell.workers["a"], tanagerport.EndedRun{
			Task:   tanagerwork.TaskName{StepName: j.steps[0].name},
			Run:    run,
			Reason: tanagerport.EndedFailed,
		})
	}
	fail(1)
	before := len(tanagerwire.Encode(j.progress()))
	for run := range int64(1000) {
		fail(run + 2)
	}
	h.c.Assert(len(tanagerwire.Encode(j.progress())), qt.Equals, before)
	h.c.Assert(j.state.Final(), qt.IsFalse)
}
