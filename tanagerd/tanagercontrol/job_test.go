package tanagercontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// completeJournalLoads completes the pending loads of job journals. The journal
// of the branch red holds the entries, the others are empty.
func (h *harness) completeJournalLoads(entries ...tanagerjob.Entry) {
	loads := h.effects.loads
	h.effects.loads = nil
	for _, s := range loads {
		m := tanagermessage.JournalLoaded{
			Shard: s,
			Epoch: h.control.epoch(s),
		}
		if s == h.control.shardMap.ShardOf("red") && len(entries) > 0 {
			m.Recovery = tanagerjournal.Recovery{
				Records: []tanagerjournal.Record{
					{
						Sequence: 1,
						Payload:  tanagerwire.Encode(entries),
					},
				},
			}
		}
		h.deliver(self, tanagermessage.TopicJournalLoaded, m)
	}
}

// completeAppend completes the append in progress of a shard.
func (h *harness) completeAppend(s tanagershard.Shard, err error) {
	h.deliver(self, tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
		Shard: s,
		Epoch: h.control.epoch(s),
		Err:   err,
	})
}

func batchSpec(idempotent bool, tasks int) tanagerjob.Spec {
	return tanagerjob.Spec{
		Key:   "nightly",
		Kind:  tanagerjob.Batch,
		Class: tanagerqueue.Normal,
		Tasks: tasks,
		Resources: tanagerresource.Vector{
			CPU:    1000,
			Memory: 1000,
		},
		Idempotent: idempotent,
	}
}

func (h *harness) submitJob(waiter uint64, s tanagerjob.Spec) {
	h.deliver(self, tanagermessage.TopicJobCallArrived, tanagermessage.JobCallArrived{
		Call: tanagermessage.JobCall{
			Waiter: waiter,
			Kind:   tanagermessage.JobSubmit,
			Branch: "red",
			Spec:   &s,
		},
	})
}

func (h *harness) jobResponse(waiter uint64) tanagermessage.JobResponse {
	got, ok := h.effects.responses[waiter].(tanagermessage.JobResponse)
	h.Assert(ok, qt.IsTrue, qt.Commentf("waiter %d has no response", waiter))
	return got
}

// assignRedShard gives this daemon the shard of the branch red, and d2 and d3
// the others. It returns the shard and the name of its worker, which has not
// reported yet.
func (h *harness) assignRedShard() (tanagershard.Shard, string) {
	h.shardMap = tanagershard.New(3, "d2")
	h.shardMap.Roster.Members = []string{"d1", "d2", "d3"}
	red := h.shardMap.ShardOf("red")
	h.shardMap.Shards[red].Owner = "d1"
	h.shardMap.Shards[(red+1)%3].Owner = "d3"
	h.publishMap()
	name := h.vmName("w", red)
	h.listVMs(workerVM(name))
	return red, name
}

// completeSync completes the sync in progress with a worker.
func (h *harness) completeSync(name string, base int64, version uint64, tasks ...tanagerplatform.TaskReport) {
	last := h.effects.syncs[len(h.effects.syncs)-1]
	h.Assert(last.Worker, qt.Equals, name)
	h.deliver(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker: name,
		Epoch:  last.Call.Epoch,
		Report: tanagerplatform.SyncResponse{
			LeaseBase: base,
			Version:   version,
			Tasks:     tasks,
		},
		SentAt:       h.timer.Now(),
		ReceivedAt:   h.timer.Now(),
		Acknowledged: last.Call.Acknowledged,
	})
}

// newReadyHarness returns a harness whose Control owns the shard of the branch
// red and one known worker.
func newReadyHarness(t *testing.T) (*harness, tanagershard.Shard, string) {
	h := newHarness(t)
	red, name := h.assignRedShard()
	h.completeJournalLoads()
	h.advance(testSettings.MaxListLag, true)
	h.completeSync(name, 100, 1)
	h.advance(50*time.Millisecond, true)
	return h, red, name
}

// submitAccepted submits a job, completes its journal write and returns its id.
func (h *harness) submitAccepted(red tanagershard.Shard, s tanagerjob.Spec) string {
	h.submitJob(1, s)
	h.completeAppend(red, nil)
	response := h.jobResponse(1)
	h.Assert(response.Failure == nil, qt.IsTrue, qt.Commentf("%v", response.Failure))
	return response.Jobs[0].ID
}

// completeStarts completes the start calls in progress, with all tasks started
// if err is nil. It returns the tasks.
func (h *harness) completeStarts(err error) []tanagerplatform.Task {
	var tasks []tanagerplatform.Task
	starts := h.effects.starts
	h.effects.starts = nil
	for _, order := range starts {
		started := tanagermessage.TasksStarted{
			Worker: order.Worker,
			Epoch:  order.Call.Epoch,
			Err:    err,
		}
		for _, task := range order.Call.Tasks {
			tasks = append(tasks, task)
			started.Tasks = append(started.Tasks, task.ID)
			if err == nil {
				started.Report.Started = append(started.Report.Started, task.ID)
			}
		}
		h.deliver(self, tanagermessage.TopicTasksStarted, started)
	}
	return tasks
}

func (h *harness) job(id string) *tanagerjob.Job {
	shard, _ := tanagerjob.ShardOf(id)
	return h.control.jobs.shards[tanagershard.Shard(shard)].table.Job(id)
}

func TestJobIsAcceptedOnlyAfterJournalWrite(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	h.submitJob(1, batchSpec(true, 1))
	_, responded := h.effects.responses[1]
	h.Assert(responded, qt.IsFalse)
	h.Assert(h.effects.appends, qt.HasLen, 1)
	h.completeAppend(red, tanagerstore.Unavailable.New("down"))
	h.Assert(h.jobResponse(1).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	h.Assert(h.jobResponse(1).Failure.RetryAfter > 0, qt.IsTrue)
	// During the outage further jobs are rejected at once.
	h.submitJob(2, batchSpec(true, 1))
	h.Assert(h.jobResponse(2).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	h.advance(time.Second, true)
	id := h.submitAccepted(red, batchSpec(true, 1))
	// A repeated key returns the same job.
	h.submitJob(4, batchSpec(true, 1))
	h.Assert(h.jobResponse(4).Jobs[0].ID, qt.Equals, id)
}

func TestOwnerWithoutLeaseRejectsJobCalls(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	h.submitAccepted(red, batchSpec(true, 1))
	h.advance(4*time.Second, false)
	for waiter, call := range map[uint64]tanagermessage.JobCall{
		10: {
			Kind: tanagermessage.JobShow,
			ID:   tanagerjob.ID(int(red), 9, 1),
		},
		11: {
			Kind: tanagermessage.JobSubmit,
			Spec: &tanagerjob.Spec{},
		},
	} {
		call.Waiter = waiter
		call.Shard = red
		call.Branch = "red"
		h.deliver(self, tanagermessage.TopicJobCallArrived, tanagermessage.JobCallArrived{
			Call: call,
		})
		h.Check(h.jobResponse(waiter).Failure.Code, qt.Equals, tanagerfailure.NoOwner)
	}
}

func TestAmbiguousAcceptanceIsResolvedByReloadingTheJournal(t *testing.T) {
	for _, inStore := range []bool{false, true} {
		h, red, _ := newReadyHarness(t)
		h.submitJob(1, batchSpec(true, 1))
		entries := h.effects.appends[0]
		h.completeAppend(red, tanagerstore.Ambiguous.New("lost"))
		_, responded := h.effects.responses[1]
		h.Assert(responded, qt.IsFalse)
		h.Assert(h.effects.loads, qt.HasLen, 1)
		if inStore {
			h.completeJournalLoads(entries...)
			h.Assert(h.jobResponse(1).Jobs, qt.HasLen, 1)
			continue
		}
		h.completeJournalLoads()
		h.Assert(h.jobResponse(1).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	}
}

func TestTaskIsRequeuedOnlyAfterTheTaskLeaseHasExpired(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	id := h.submitAccepted(red, batchSpec(true, 1))
	h.Assert(h.completeStarts(nil), qt.HasLen, 1)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Running)
	// The worker stops responding. One task lease, the clock drift and the slack
	// must pass.
	h.advance(6*time.Second, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Running)
	h.advance(700*time.Millisecond, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Not(qt.Equals), tanagerjob.Running)
}

func TestStartOfUnknownOutcomeIsResolvedByTheWorkersReport(t *testing.T) {
	h, red, name := newReadyHarness(t)
	id := h.submitAccepted(red, batchSpec(true, 1))
	h.completeStarts(tanagerplatform.OutcomeUnknown.New("lost"))
	h.advance(time.Second, true)
	// A report without the task proves nothing while the start call may still
	// arrive.
	h.completeSync(name, 200, 1)
	h.advance(time.Second, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Offered)
	h.Assert(h.effects.starts, qt.HasLen, 0)
	for range 6 {
		h.advance(time.Second, true)
		h.completeSync(name, 300, 1)
	}
	h.advance(time.Second, true)
	h.completeSync(name, 400, 1)
	h.advance(200*time.Millisecond, true)
	h.Assert(h.effects.starts, qt.HasLen, 1, qt.Commentf("the task is offered again"))
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	record := tanagerwire.Encode(quotaRecord(h.timer.Now()))
	h.applyConfig(record, record)
	h.submitAccepted(red, batchSpec(true, 10))
	h.advance(100*time.Millisecond, true)
	h.Assert(h.completeStarts(nil), qt.HasLen, 3)
	h.advance(2*time.Second, true)
	h.Assert(h.completeStarts(nil), qt.HasLen, 0)
}

func TestOlderGangPreemptsReservationOfYoungerGang(t *testing.T) {
	h, red, _ := newReadyHarness(t)
	request := tanagermessage.GangReservationRequest{
		Shard:  red,
		Epoch:  1,
		Job:    "young",
		Round:  1,
		Branch: "red",
		Resources: tanagerresource.Vector{
			CPU: 4000,
		},
		Count:    3,
		Accepted: h.timer.Now(),
	}
	h.deliver("d2", tanagermessage.TopicGangReservationRequest, request)
	older := request
	older.Job = "old"
	older.Count = 4
	older.Accepted = request.Accepted.Add(-time.Minute)
	h.deliver("d3", tanagermessage.TopicGangReservationRequest, older)
	h.deliver("d2", tanagermessage.TopicGangReservationRequest, request)
	responses := takeMessages[tanagermessage.GangReservation](h.C, h.outbox, tanagermessage.TopicGangReservation)
	var counts []int
	for _, reservation := range responses {
		counts = append(counts, reservation.Count)
	}
	// The young gang reserves 3, loses them to the old gang, and then finds no
	// capacity.
	h.Assert(counts, qt.DeepEquals, []int{3, 0, 4, 0})
	// A reservation that is not renewed expires.
	h.advance(2100*time.Millisecond, true)
	h.Assert(h.control.workers.fleet.Allocated().IsZero(), qt.IsTrue)
}

func TestOutcomesAreWrittenInOneBatch(t *testing.T) {
	h, red, name := newReadyHarness(t)
	id := h.submitAccepted(red, batchSpec(true, 3))
	tasks := h.completeStarts(nil)
	appends := len(h.effects.appends)
	for i, task := range tasks {
		h.advance(100*time.Millisecond, true)
		h.completeSync(name, int64(200+i), uint64(2+i), tanagerplatform.TaskReport{
			ID:     task.ID,
			State:  tanagerplatform.Ended,
			Record: task.Record,
		})
	}
	h.Assert(h.effects.appends, qt.HasLen, appends)
	h.advance(time.Second, true)
	h.Assert(h.effects.appends, qt.HasLen, appends+1)
	h.Assert(h.effects.appends[appends], qt.HasLen, 3)
	h.completeAppend(red, nil)
	h.Assert(h.job(id).Outcome(), qt.Equals, tanagerfailure.Done)
	// The worker may forget the tasks only now that their outcomes are
	// recorded.
	h.advance(2*time.Second, true)
	h.completeSync(name, 300, 9)
	h.advance(100*time.Millisecond, true)
	h.Assert(h.effects.syncs[len(h.effects.syncs)-1].Call.Acknowledged, qt.HasLen, 3)
}

// TestInfeasibleTaskDoesNotBlockOthers accepts a job that only one large worker
// can hold, removes that worker and checks that a small job submitted later
// still starts.
func TestInfeasibleTaskDoesNotBlockOthers(t *testing.T) {
	h, red, name := newReadyHarness(t)
	large := workerVM(h.vmName("large", red))
	large.Capacity.CPU = 64000
	h.listVMs(large)
	huge := batchSpec(true, 1)
	huge.Key = "huge"
	huge.Resources.CPU = 60000
	h.submitAccepted(red, huge)
	large.State = tanagerplatform.Gone
	h.listVMs(large)
	for range 10 {
		h.advance(time.Second, true)
		h.deliver(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
			Worker: name,
			Epoch:  1,
			Report: tanagerplatform.SyncResponse{
				LeaseBase: 100,
				Version:   1,
			},
			SentAt:     h.timer.Now(),
			ReceivedAt: h.timer.Now(),
		})
	}
	h.Assert(h.control.workers.rows, qt.HasLen, 1)
	delete(h.effects.responses, 1)
	h.submitAccepted(red, batchSpec(true, 1))
	h.advance(200*time.Millisecond, true)
	h.Assert(h.completeStarts(nil), qt.HasLen, 1)
}
