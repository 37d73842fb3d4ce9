package tanagercell

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// Guards against progress that the store refuses for its size: each transaction with it
// failed, and with it the progress of the other jobs. Now its job fails, and the others are
// stored.
func TestProgressBeyondTheLimitOfTheStoreFailsOnlyItsJob(t *testing.T) {
	const large, small = tanagerwork.JobID("0000000000000001"), tanagerwork.JobID("0000000000000002")
	store := &recordingStore{commits: make(chan tanagerport.Transaction, 2)}
	c := newTestMember(t, self, store)
	c.cell = tanagerdispatch.New(tanagerdispatch.Settings{Retention: time.Minute}, 1, c.timer.Now())
	c.writer = newStoreWriter()
	c.cell.SetWorkers(c.timer.Now(), []tanagerport.WorkerEntry{{ID: "w"}})
	var ended []tanagerport.EndedRun
	for id, checkpoint := range map[tanagerwork.JobID]string{
		large: strings.Repeat("x", testMaxValueBytes),
		small: "x",
	} {
		c.cell.AddJob(c.timer.Now(), tanagerwork.Record{
			ID:    id,
			Epoch: 1,
			Spec:  tanagerwork.Spec{Steps: []tanagerwork.Step{{TaskCount: 2}}},
		}, nil)
		ended = append(ended, tanagerport.EndedRun{
			SequenceNumber: int64(len(ended) + 1),
			Task:           tanagerwork.TaskName{StepName: tanagerwork.StepName{Job: id}},
			Run:            1,
			Reason:         tanagerport.EndedStopped,
			Checkpoint:     checkpoint,
		})
	}
	c.cell.HandlePollResponse(c.timer.Now(), tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		c.timer.Now(), tanagerport.Report{
			Response: tanagerport.Response{Status: tanagerport.Accepted},
			Ended:    ended,
		}, nil)
	stored := make(map[string]tanagerwork.Progress)
	for range 2 {
		c.writer.lastProgressWrite = time.Time{}
		c.writeProgress(c.timer.Now())
		for _, w := range (<-store.commits).Writes {
			var p tanagerwork.Progress
			qt.Assert(t, len(w.Value) <= testMaxValueBytes, qt.IsTrue)
			qt.Assert(t, tanagerwire.Decode(w.Value, &p), qt.IsNil)
			stored[w.Key] = p
		}
	}
	qt.Assert(t, stored[outcomePrefix+string(large)].State, qt.Equals, tanagerwork.Failed)
	qt.Assert(t, stored[outcomePrefix+string(small)].Steps[0].Checkpoints, qt.DeepEquals, map[int]string{0: "x"})
}
