package tanagercontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

func TestFencedOwnerStopsUsingTheWorker(t *testing.T) {
	h, red, name := readyCell(t)
	last := h.io.syncs[len(h.io.syncs)-1]
	h.say(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker: name,
		Epoch:  last.Call.Epoch,
		Err:    tanagerplatform.Fenced.New("%s", name),
	})
	h.accepted(red, spec(true, 1))
	h.pass(time.Second, true)
	h.Assert(h.io.starts, qt.HasLen, 0)
}

func TestNewOwnerStartsNothingUntilTheWorkersHaveTold(t *testing.T) {
	h := newHarness(t)
	red, name := h.ownRed()
	accept := tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       tanagerjob.ID(int(red), 1, 1),
			Branch:   "red",
			Spec:     spec(true, 2),
			Epoch:    1,
			Accepted: h.timer.Now(),
		},
	}
	h.loadJournals(accept)
	h.pass(500*time.Millisecond, true)
	// The worker runs the first task since the time of the earlier owner.
	running := tanagerplatform.TaskReport{
		ID:    accept.Accept.ID + "/0/7",
		State: tanagerplatform.Running,
		Record: tanagerwire.Encode(taskRecord{
			Shard: red,
			Ref: tanagerjob.TaskRef{
				Job:     accept.Accept.ID,
				Index:   0,
				Attempt: 7,
			},
			Branch:    "red",
			Kind:      tanagerjob.Batch,
			Resources: spec(true, 2).Resources,
		}),
	}
	h.synced(name, 100, 1, running)
	h.pass(500*time.Millisecond, true)
	h.Assert(h.io.starts, qt.HasLen, 0)
	// The other shards' owners answer, and the list has had its lag.
	h.vms()
	for _, shard := range []tanagershard.Shard{0, 1, 2} {
		h.say(h.shards.Shards[shard].Owner, tanagermessage.TopicJobRecovered, tanagermessage.JobRecovered{
			Shard: red,
			Epoch: 1,
			Complete: []tanagermessage.ShardEpoch{
				{
					Shard: shard,
					Epoch: 1,
				},
			},
		})
	}
	h.pass(2*time.Second, true)
	tasks := h.startAll(nil)
	h.Assert(tasks, qt.HasLen, 1)
	h.Assert(h.job(accept.Accept.ID).Tasks[0].Attempt, qt.Equals, 7)
	h.Assert(h.job(accept.Accept.ID).Tasks[1].State, qt.Equals, tanagerjob.Running)
}

func TestTaskThatIsNotIdempotentIsUnknownWhenNoWorkerKnowsIt(t *testing.T) {
	h := newHarness(t)
	red, name := h.ownRed()
	id := tanagerjob.ID(int(red), 1, 1)
	h.loadJournals(tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       id,
			Branch:   "red",
			Spec:     spec(false, 2),
			Epoch:    1,
			Accepted: h.timer.Now(),
		},
	}, tanagerjob.Entry{
		Attempt: &tanagerjob.AttemptEntry{
			Job:   id,
			Index: 0,
		},
	})
	h.pass(500*time.Millisecond, true)
	h.synced(name, 100, 1)
	h.pass(time.Second, true)
	h.vms()
	for shard, a := range h.shards.Shards {
		h.say(a.Owner, tanagermessage.TopicJobRecovered, tanagermessage.JobRecovered{
			Shard: red,
			Epoch: 1,
			Complete: []tanagermessage.ShardEpoch{
				{
					Shard: tanagershard.Shard(shard),
					Epoch: 1,
				},
			},
		})
	}
	h.pass(600*time.Millisecond, true)
	h.written(red, nil)
	job := h.job(id)
	h.Assert(job.Tasks[0].Outcome, qt.Equals, tanagerfailure.Unknown)
	h.Assert(job.Tasks[1].Outcome, qt.Equals, tanagerfailure.Outcome(""))
}

func TestOfferOfAnEarlierOwnerIsRefused(t *testing.T) {
	h, red, _ := readyCell(t)
	other := (red + 1) % 3
	h.say("d3", tanagermessage.TopicJobRecover, tanagermessage.JobRecover{
		Shard: other,
		Epoch: 5,
	})
	h.say("d2", tanagermessage.TopicTaskOffer, tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     4,
		Ref:       tanagerjob.TaskRef{Job: "j1-4-1"},
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: spec(true, 1).Resources,
	})
	h.Assert(h.io.starts, qt.HasLen, 0)
	answers := take[tanagermessage.TaskAnswer](h.C, h.out, tanagermessage.TopicTaskAnswer)
	h.Assert(answers, qt.HasLen, 1)
	h.Assert(answers[0].Verdict, qt.Equals, tanagermessage.TaskRefused)
}

func TestLateOfferOfAWithdrawnAttemptIsRefused(t *testing.T) {
	h, red, _ := readyCell(t)
	other := (red + 1) % 3
	ref := tanagerjob.TaskRef{
		Job:     "j1-1-1",
		Attempt: 3,
	}
	h.say("d3", tanagermessage.TopicTaskStop, tanagermessage.TaskStop{
		Shard: other,
		Epoch: 1,
		Ref:   ref,
	})
	h.say("d3", tanagermessage.TopicTaskOffer, tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     1,
		Ref:       ref,
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: spec(true, 1).Resources,
	})
	h.Assert(h.io.starts, qt.HasLen, 0)
}

// TestLossIsToldUntilTheJobsOwnerHasTakenNote loses a worker whose VM is gone
// from the list, and the first message about its task with it.
func TestLossIsToldUntilTheJobsOwnerHasTakenNote(t *testing.T) {
	h, red, name := readyCell(t)
	other := (red + 1) % 3
	offer := tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     1,
		Ref:       tanagerjob.TaskRef{Job: "j1-1-1"},
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: spec(true, 1).Resources,
	}
	h.say("d3", tanagermessage.TopicTaskOffer, offer)
	h.startAll(nil)
	gone := worker(name)
	gone.State = tanagerplatform.Gone
	h.vms(gone)
	h.pass(8*time.Second, true)
	h.Assert(take[tanagermessage.TaskWord](h.C, h.out, tanagermessage.TopicTaskEnded), qt.Not(qt.HasLen), 0)
	h.pass(2*time.Second, true)
	words := take[tanagermessage.TaskWord](h.C, h.out, tanagermessage.TopicTaskEnded)
	h.Assert(words, qt.Not(qt.HasLen), 0, qt.Commentf("the loss is told again"))
	h.Assert(words[0].End, qt.Equals, tanagermessage.TaskLost)
	h.say("d3", tanagermessage.TopicTaskAck, tanagermessage.TaskAck{
		Ref: offer.Ref,
	})
	h.pass(2*time.Second, true)
	h.Assert(take[tanagermessage.TaskWord](h.C, h.out, tanagermessage.TopicTaskEnded), qt.HasLen, 0)
	h.Assert(h.control.workers.rows, qt.HasLen, 0)
}

func TestWorkerIsUsedOnlyOnceEveryListShowsIt(t *testing.T) {
	h := newHarness(t)
	red, name := h.ownRed()
	h.loadJournals()
	h.pass(100*time.Millisecond, true)
	h.synced(name, 100, 1)
	h.accepted(red, spec(true, 1))
	h.pass(testSettings.ListLag-200*time.Millisecond, true)
	h.Assert(h.io.starts, qt.HasLen, 0)
	h.pass(300*time.Millisecond, true)
	h.Assert(h.io.starts, qt.HasLen, 1)
}
