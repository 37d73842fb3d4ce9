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
	h, red, name := newReadyHarness(t)
	last := h.effects.syncs[len(h.effects.syncs)-1]
	h.deliver(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker: name,
		Epoch:  last.Call.Epoch,
		Err:    tanagerplatform.Fenced.New("%s", name),
	})
	h.submitAccepted(red, batchSpec(true, 1))
	h.advance(time.Second, true)
	h.Assert(h.effects.starts, qt.HasLen, 0)
}

func TestSuccessorStartsNothingBeforeRecoveryIsComplete(t *testing.T) {
	h := newHarness(t)
	red, name := h.assignRedShard()
	accept := tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       tanagerjob.ID(int(red), 1, 1),
			Branch:   "red",
			Spec:     batchSpec(true, 2),
			Epoch:    1,
			Accepted: h.timer.Now(),
		},
	}
	h.completeJournalLoads(accept)
	h.advance(500*time.Millisecond, true)
	// The worker runs the first task since before the shard was taken over.
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
			Resources: batchSpec(true, 2).Resources,
		}),
	}
	h.completeSync(name, 100, 1, running)
	h.advance(500*time.Millisecond, true)
	h.Assert(h.effects.starts, qt.HasLen, 0)
	// The owners of the other shards respond, and the list is read again.
	h.listVMs()
	for _, shard := range []tanagershard.Shard{0, 1, 2} {
		h.deliver(h.shardMap.Shards[shard].Owner, tanagermessage.TopicRecoveryResponse, tanagermessage.RecoveryResponse{
			Shard: red,
			Epoch: 1,
			CompleteShards: []tanagermessage.ShardEpoch{
				{
					Shard: shard,
					Epoch: 1,
				},
			},
		})
	}
	h.advance(2*time.Second, true)
	tasks := h.completeStarts(nil)
	h.Assert(tasks, qt.HasLen, 1)
	h.Assert(h.job(accept.Accept.ID).Tasks[0].Attempt, qt.Equals, 7)
	h.Assert(h.job(accept.Accept.ID).Tasks[1].State, qt.Equals, tanagerjob.Running)
}

func TestUnreportedNonIdempotentTaskEndsUnknown(t *testing.T) {
	h := newHarness(t)
	red, name := h.assignRedShard()
	id := tanagerjob.ID(int(red), 1, 1)
	h.completeJournalLoads(tanagerjob.Entry{
		Accept: &tanagerjob.AcceptEntry{
			ID:       id,
			Branch:   "red",
			Spec:     batchSpec(false, 2),
			Epoch:    1,
			Accepted: h.timer.Now(),
		},
	}, tanagerjob.Entry{
		Attempt: &tanagerjob.AttemptEntry{
			Job:   id,
			Index: 0,
		},
	})
	h.advance(500*time.Millisecond, true)
	h.completeSync(name, 100, 1)
	h.advance(time.Second, true)
	h.listVMs()
	for shard, a := range h.shardMap.Shards {
		h.deliver(a.Owner, tanagermessage.TopicRecoveryResponse, tanagermessage.RecoveryResponse{
			Shard: red,
			Epoch: 1,
			CompleteShards: []tanagermessage.ShardEpoch{
				{
					Shard: tanagershard.Shard(shard),
					Epoch: 1,
				},
			},
		})
	}
	h.advance(600*time.Millisecond, true)
	h.completeAppend(red, nil)
	job := h.job(id)
	h.Assert(job.Tasks[0].Outcome, qt.Equals, tanagerfailure.Unknown)
	h.Assert(job.Tasks[1].Outcome, qt.Equals, tanagerfailure.Outcome(""))
}

func TestOfferWithStaleEpochIsRejected(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	other := (red + 1) % 3
	h.deliver("d3", tanagermessage.TopicRecoveryRequest, tanagermessage.RecoveryRequest{
		Shard: other,
		Epoch: 5,
	})
	h.deliver("d2", tanagermessage.TopicTaskOffer, tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     4,
		Ref:       tanagerjob.TaskRef{Job: "j1-4-1"},
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: batchSpec(true, 1).Resources,
	})
	h.Assert(h.effects.starts, qt.HasLen, 0)
	responses := takeMessages[tanagermessage.OfferResponse](h.C, h.outbox, tanagermessage.TopicOfferResponse)
	h.Assert(responses, qt.HasLen, 1)
	h.Assert(responses[0].Result, qt.Equals, tanagermessage.OfferRejected)
}

func TestLateOfferOfWithdrawnAttemptIsRejected(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	other := (red + 1) % 3
	ref := tanagerjob.TaskRef{
		Job:     "j1-1-1",
		Attempt: 3,
	}
	h.deliver("d3", tanagermessage.TopicStopAttempt, tanagermessage.StopAttempt{
		Shard: other,
		Epoch: 1,
		Ref:   ref,
	})
	h.deliver("d3", tanagermessage.TopicTaskOffer, tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     1,
		Ref:       ref,
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: batchSpec(true, 1).Resources,
	})
	h.Assert(h.effects.starts, qt.HasLen, 0)
}

// TestLossIsReportedUntilAcknowledged loses a worker whose VM is gone from the
// list, together with the first report about its task.
func TestLossIsReportedUntilAcknowledged(t *testing.T) {
	h, red, name := newReadyHarness(t)
	other := (red + 1) % 3
	offer := tanagermessage.TaskOffer{
		Shard:     other,
		Epoch:     1,
		Ref:       tanagerjob.TaskRef{Job: "j1-1-1"},
		Branch:    "red",
		Kind:      tanagerjob.Batch,
		Resources: batchSpec(true, 1).Resources,
	}
	h.deliver("d3", tanagermessage.TopicTaskOffer, offer)
	h.completeStarts(nil)
	gone := workerVM(name)
	gone.State = tanagerplatform.Gone
	h.listVMs(gone)
	h.advance(8*time.Second, true)
	reports := takeMessages[tanagermessage.AttemptStatus](h.C, h.outbox, tanagermessage.TopicAttemptStatus)
	h.Assert(reports, qt.Not(qt.HasLen), 0)
	h.advance(2*time.Second, true)
	reports = takeMessages[tanagermessage.AttemptStatus](h.C, h.outbox, tanagermessage.TopicAttemptStatus)
	h.Assert(reports, qt.Not(qt.HasLen), 0, qt.Commentf("the loss is reported again"))
	h.Assert(reports[0].End, qt.Equals, tanagermessage.AttemptLost)
	h.deliver("d3", tanagermessage.TopicAttemptAck, tanagermessage.AttemptAck{
		Ref: offer.Ref,
	})
	h.advance(2*time.Second, true)
	h.Assert(takeMessages[tanagermessage.AttemptStatus](h.C, h.outbox, tanagermessage.TopicAttemptStatus), qt.HasLen, 0)
	h.Assert(h.control.workers.rows, qt.HasLen, 0)
}

func TestWorkerIsUsedOnlyAfterListLag(t *testing.T) {
	h := newHarness(t)
	red, name := h.assignRedShard()
	h.completeJournalLoads()
	h.advance(100*time.Millisecond, true)
	h.completeSync(name, 100, 1)
	h.submitAccepted(red, batchSpec(true, 1))
	h.advance(testSettings.MaxListLag-200*time.Millisecond, true)
	h.Assert(h.effects.starts, qt.HasLen, 0)
	h.advance(300*time.Millisecond, true)
	h.Assert(h.effects.starts, qt.HasLen, 1)
}
