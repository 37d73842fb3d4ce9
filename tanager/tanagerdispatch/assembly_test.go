package tanagerdispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// memberRun returns a report's row for a member of the gang of job 01.
func memberRun(index, percent int) tanagerport.ActiveRun {
	return tanagerport.ActiveRun{
		Task: tanagerwork.TaskName{
			StepName: tanagerwork.StepName{Job: "0000000000000001"},
			Index:    index,
		},
		Run:     1,
		Percent: percent,
	}
}

// newGangSuccessor returns a scheduler of epoch 2 that inherits a gang of two members
// and whose predecessor gave work to workers a and b. It returns the first polls
// by worker.
func newGangSuccessor(t *testing.T) (*harness, map[string]PollOrder) {
	h := newHarness(t, 2)
	h.cell.AddPredecessorWorkers(h.now, []string{"a", "b"})
	record := testRecord("01", gangStep(2, 3000))
	record.Epoch = 1
	h.cell.AddJob(h.now, record, nil)
	h.setWorkers(testWorker("a", 1), testWorker("b", 1))
	h.tick(time.Millisecond)
	polls := make(map[string]PollOrder)
	for _, o := range h.openPolls {
		polls[o.Worker.ID] = o
	}
	h.openPolls = nil
	return h, polls
}

// Guards against members that wait alone after a change of scheduler for one that
// the predecessor did not start or had given up.
func TestInheritedGangWithoutAMemberIsStopped(t *testing.T) {
	h, polls := newGangSuccessor(t)
	h.respondToPoll(polls["a"], tanagerport.Report{Running: []tanagerport.ActiveRun{memberRun(0, 0)}})
	h.c.Assert(h.tick(attemptScanInterval).Stops, qt.HasLen, 0)
	h.respondToPoll(polls["b"], tanagerport.Report{})
	out := h.tick(attemptScanInterval)
	h.c.Assert(out.Starts, qt.HasLen, 0)
	h.c.Assert(stoppedTasks(out.Stops), qt.DeepEquals, map[int]bool{0: true})
}

// Guards against members that wait alone for one on a worker that the successor
// cannot reach, and against stopping a gang that works.
func TestInheritedGangWithUnreachableMember(t *testing.T) {
	for name, tc := range map[string]struct {
		percent int
		stopped map[int]bool
	}{
		"waiting": {stopped: map[int]bool{0: true}},
		"working": {percent: 7, stopped: map[int]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			h, polls := newGangSuccessor(t)
			report := tanagerport.Report{Running: []tanagerport.ActiveRun{memberRun(0, tc.percent)}}
			h.respondToPoll(polls["a"], report)
			h.cell.HandlePollResponse(h.now, polls["b"], h.now, tanagerport.Report{}, noResponse)
			stopped := make(map[int]bool)
			for d := time.Duration(0); d < testSettings().GangWait/8; d += attemptScanInterval {
				for index := range stoppedTasks(h.tick(attemptScanInterval).Stops) {
					stopped[index] = true
				}
				h.failPoll("b")
				h.respondToPolls(report)
			}
			h.c.Assert(stopped, qt.DeepEquals, tc.stopped)
		})
	}
}

// Guards against adopting a member of a run that another member has ended.
func TestMemberOfEndedGangRunIsNotAdopted(t *testing.T) {
	h, polls := newGangSuccessor(t)
	ended := memberRun(1, 0)
	h.respondToPoll(polls["b"], tanagerport.Report{Ended: []tanagerport.EndedRun{{
		SequenceNumber: 1,
		Task:           ended.Task,
		Run:            ended.Run,
		Reason:         tanagerport.EndedStopped,
	}}})
	h.respondToPoll(polls["a"], tanagerport.Report{Running: []tanagerport.ActiveRun{memberRun(0, 0)}})
	h.c.Assert(stoppedTasks(h.cell.TakeOrders().Stops), qt.DeepEquals, map[int]bool{0: true})
}

// Guards against members that wait alone for one whose worker has become silent, or
// whose start is still without a result when the workers are about to end them.
func TestGangIsStoppedIfAMemberDoesNotComeInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		accepted, silent bool
		stopped          map[int]bool
	}{
		"start without a result": {stopped: map[int]bool{0: true, 1: true}},
		"worker silent": {
			accepted: true,
			silent:   true,
			stopped:  map[int]bool{0: true, 1: true},
		},
		"all present": {
			accepted: true,
			stopped:  map[int]bool{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			second := startPair(h)
			running := []tanagerport.ActiveRun{memberRun(1-second.Start.Task.Index, 0)}
			if tc.accepted {
				h.accept(second)
			}
			other := []tanagerport.ActiveRun{}
			if tc.accepted {
				other = append(other, memberRun(second.Start.Task.Index, 0))
			}
			stopped := make(map[int]bool)
			for d := time.Duration(0); d < testSettings().GangWait*3/4; d += attemptScanInterval {
				for index := range stoppedTasks(h.tick(attemptScanInterval).Stops) {
					stopped[index] = true
				}
				if tc.silent {
					h.failPoll(second.Worker.ID)
				}
				polls := h.openPolls
				h.openPolls = nil
				for _, o := range polls {
					r := tanagerport.Report{Running: running}
					if o.Worker.ID == second.Worker.ID {
						r.Running = other
					}
					h.respondToPoll(o, r)
				}
			}
			h.c.Assert(stopped, qt.DeepEquals, tc.stopped)
		})
	}
}

// Guards against stopping the only member of a gang on a worker that is cut off for
// a moment: it waits for nobody.
func TestGangOfOneIsNotStoppedOnSilentWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	starts := h.submit(testRecord("01", gangStep(1, 3000)))
	h.c.Assert(starts, qt.HasLen, 1)
	h.accept(starts[0])
	for d := time.Duration(0); d < testSettings().GangWait; d += attemptScanInterval {
		h.c.Assert(h.tick(attemptScanInterval).Stops, qt.HasLen, 0)
		h.failPoll("a")
	}
}

// Guards against members that a scheduler leaves waiting when it hands over.
func TestIncompleteGangsAreStoppedBeforeHandover(t *testing.T) {
	for name, tc := range map[string]struct {
		accepted bool
		stopped  map[int]bool
	}{
		"start in flight": {stopped: map[int]bool{0: true, 1: true}},
		"complete":        {accepted: true, stopped: map[int]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			second := startPair(h)
			if tc.accepted {
				h.accept(second)
			}
			h.cell.AbortIncompleteGangs(h.now)
			h.c.Assert(stoppedTasks(h.cell.TakeOrders().Stops), qt.DeepEquals, tc.stopped)
		})
	}
}
