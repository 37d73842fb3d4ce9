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

// loadJournals answers the loads of job journals that were started.
func (h *harness) loadJournals(entries ...tanagerjob.Entry) {
	loads := h.io.loads
	h.io.loads = nil
	for _, s := range loads {
		m := tanagermessage.JournalLoaded{
			Shard: s,
			Epoch: h.control.epoch(s),
		}
		if s == h.control.shardMap.Of("red") && len(entries) > 0 {
			m.Recovery = tanagerjournal.Recovery{
				Records: []tanagerjournal.Record{
					{
						Sequence: 1,
						Payload:  tanagerwire.Encode(entries),
					},
				},
			}
		}
		h.say(self, tanagermessage.TopicJournalLoaded, m)
	}
}

// written answers the append that is under way in a shard.
func (h *harness) written(s tanagershard.Shard, err error) {
	h.say(self, tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
		Shard: s,
		Epoch: h.control.epoch(s),
		Err:   err,
	})
}

func spec(idempotent bool, tasks int) tanagerjob.Spec {
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

func (h *harness) submit(waiter uint64, s tanagerjob.Spec) {
	h.say(self, tanagermessage.TopicJobWanted, tanagermessage.JobWanted{
		Call: tanagermessage.JobCall{
			Waiter: waiter,
			Kind:   tanagermessage.JobSubmit,
			Branch: "red",
			Spec:   &s,
		},
	})
}

func (h *harness) jobAnswer(waiter uint64) tanagermessage.JobAnswer {
	got, ok := h.io.answers[waiter].(tanagermessage.JobAnswer)
	h.Assert(ok, qt.IsTrue, qt.Commentf("waiter %d has no answer", waiter))
	return got
}

// ownRed gives this daemon the shard of branch red, and another daemon the
// others. The shard's worker is not known yet.
func (h *harness) ownRed() (tanagershard.Shard, string) {
	h.shards = tanagershard.New(3, "d2")
	h.shards.Roster.Members = []string{"d1", "d2", "d3"}
	red := h.shards.Of("red")
	h.shards.Shards[red].Owner = "d1"
	h.shards.Shards[(red+1)%3].Owner = "d3"
	h.showMap()
	name := h.named("w", red)
	h.vms(worker(name))
	return red, name
}

// synced answers the sync that is under way with a worker.
func (h *harness) synced(name string, base int64, version uint64, tasks ...tanagerplatform.TaskReport) {
	last := h.io.syncs[len(h.io.syncs)-1]
	h.Assert(last.Worker, qt.Equals, name)
	h.say(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker: name,
		Epoch:  last.Call.Epoch,
		Report: tanagerplatform.SyncReport{
			LeaseBase: base,
			Version:   version,
			Tasks:     tasks,
		},
		Sent:         h.timer.Now(),
		Received:     h.timer.Now(),
		Acknowledged: last.Call.Acknowledged,
	})
}

// readyCell returns a control that owns branch red and one known worker.
func readyCell(t *testing.T) (*harness, tanagershard.Shard, string) {
	h := newHarness(t)
	red, name := h.ownRed()
	h.loadJournals()
	h.pass(testSettings.ListLag, true)
	h.synced(name, 100, 1)
	h.pass(50*time.Millisecond, true)
	return h, red, name
}

// accepted submits a job and lets it be written.
func (h *harness) accepted(red tanagershard.Shard, s tanagerjob.Spec) string {
	h.submit(1, s)
	h.written(red, nil)
	answer := h.jobAnswer(1)
	h.Assert(answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
	return answer.Jobs[0].ID
}

// startAll answers the start calls that were sent: the worker starts everything.
func (h *harness) startAll(err error) []tanagerplatform.Task {
	var tasks []tanagerplatform.Task
	starts := h.io.starts
	h.io.starts = nil
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
		h.say(self, tanagermessage.TopicTasksStarted, started)
	}
	return tasks
}

func (h *harness) job(id string) *tanagerjob.Job {
	shard, _ := tanagerjob.ShardOf(id)
	return h.control.jobs.shards[tanagershard.Shard(shard)].table.Job(id)
}

func TestJobIsAcceptedOnlyOnceItIsInTheStore(t *testing.T) {
	h, red, _ := readyCell(t)
	h.submit(1, spec(true, 1))
	_, answered := h.io.answers[1]
	h.Assert(answered, qt.IsFalse)
	h.Assert(h.io.appends, qt.HasLen, 1)
	h.written(red, tanagerstore.Unavailable.New("down"))
	h.Assert(h.jobAnswer(1).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	h.Assert(h.jobAnswer(1).Failure.RetryAfter > 0, qt.IsTrue)
	// While the store is out further jobs are refused at once.
	h.submit(2, spec(true, 1))
	h.Assert(h.jobAnswer(2).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	h.pass(time.Second, true)
	id := h.accepted(red, spec(true, 1))
	// A repeated key is the same job.
	h.submit(4, spec(true, 1))
	h.Assert(h.jobAnswer(4).Jobs[0].ID, qt.Equals, id)
}

func TestOwnerWithoutRightSaysNothingAboutJobs(t *testing.T) {
	h, red, _ := readyCell(t)
	h.accepted(red, spec(true, 1))
	h.pass(4*time.Second, false)
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
		h.say(self, tanagermessage.TopicJobWanted, tanagermessage.JobWanted{
			Call: call,
		})
		h.Check(h.jobAnswer(waiter).Failure.Code, qt.Equals, tanagerfailure.NoOwner)
	}
}

func TestAmbiguousAcceptanceIsSettledByReadingTheJournal(t *testing.T) {
	for _, inStore := range []bool{false, true} {
		h, red, _ := readyCell(t)
		h.submit(1, spec(true, 1))
		entries := h.io.appends[0]
		h.written(red, tanagerstore.Ambiguous.New("lost"))
		_, answered := h.io.answers[1]
		h.Assert(answered, qt.IsFalse)
		h.Assert(h.io.loads, qt.HasLen, 1)
		if inStore {
			h.loadJournals(entries...)
			h.Assert(h.jobAnswer(1).Jobs, qt.HasLen, 1)
			continue
		}
		h.loadJournals()
		h.Assert(h.jobAnswer(1).Failure.Code, qt.Equals, tanagerfailure.StoreUnavailable)
	}
}

func TestTaskStartsElsewhereOnlyAfterTheLeaseHasLapsed(t *testing.T) {
	h, red, _ := readyCell(t)
	id := h.accepted(red, spec(true, 1))
	h.Assert(h.startAll(nil), qt.HasLen, 1)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Running)
	// The worker falls silent. One task lease, drift and slack must pass.
	h.pass(6*time.Second, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Running)
	h.pass(700*time.Millisecond, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Not(qt.Equals), tanagerjob.Running)
}

func TestUnansweredStartIsSettledByTheWorkersWord(t *testing.T) {
	h, red, name := readyCell(t)
	id := h.accepted(red, spec(true, 1))
	h.startAll(tanagerplatform.Unanswered.New("lost"))
	h.pass(time.Second, true)
	// A report that lacks the task proves nothing while the call may still
	// arrive.
	h.synced(name, 200, 1)
	h.pass(time.Second, true)
	h.Assert(h.job(id).Tasks[0].State, qt.Equals, tanagerjob.Offered)
	h.Assert(h.io.starts, qt.HasLen, 0)
	for range 6 {
		h.pass(time.Second, true)
		h.synced(name, 300, 1)
	}
	h.pass(time.Second, true)
	h.synced(name, 400, 1)
	h.pass(200*time.Millisecond, true)
	h.Assert(h.io.starts, qt.HasLen, 1, qt.Commentf("the task is offered again"))
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	h, red, _ := readyCell(t)
	record := tanagerwire.Encode(quotaRecord(h.timer.Now()))
	h.configure(record, record)
	h.accepted(red, spec(true, 10))
	h.pass(100*time.Millisecond, true)
	h.Assert(h.startAll(nil), qt.HasLen, 3)
	h.pass(2*time.Second, true)
	h.Assert(h.startAll(nil), qt.HasLen, 0)
}

func TestOlderGangTakesTheRoomOfAYoungerOne(t *testing.T) {
	h, red, _ := readyCell(t)
	ask := tanagermessage.GangReserve{
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
	h.say("d2", tanagermessage.TopicGangReserve, ask)
	older := ask
	older.Job = "old"
	older.Count = 4
	older.Accepted = ask.Accepted.Add(-time.Minute)
	h.say("d3", tanagermessage.TopicGangReserve, older)
	h.say("d2", tanagermessage.TopicGangReserve, ask)
	answers := take[tanagermessage.GangReserved](h.C, h.out, tanagermessage.TopicGangReserved)
	var counts []int
	for _, a := range answers {
		counts = append(counts, a.Count)
	}
	// The young gang gets 3, loses them to the old one, and then finds nothing.
	h.Assert(counts, qt.DeepEquals, []int{3, 0, 4, 0})
	// A reservation that nobody renews is freed.
	h.pass(2100*time.Millisecond, true)
	h.Assert(h.control.workers.fleet.Held().IsZero(), qt.IsTrue)
}

func TestOutcomesGatherAndAreWrittenTogether(t *testing.T) {
	h, red, name := readyCell(t)
	id := h.accepted(red, spec(true, 3))
	tasks := h.startAll(nil)
	appends := len(h.io.appends)
	for i, task := range tasks {
		h.pass(100*time.Millisecond, true)
		h.synced(name, int64(200+i), uint64(2+i), tanagerplatform.TaskReport{
			ID:     task.ID,
			State:  tanagerplatform.Ended,
			Record: task.Record,
		})
	}
	h.Assert(h.io.appends, qt.HasLen, appends)
	h.pass(time.Second, true)
	h.Assert(h.io.appends, qt.HasLen, appends+1)
	h.Assert(h.io.appends[appends], qt.HasLen, 3)
	h.written(red, nil)
	h.Assert(h.job(id).Outcome(), qt.Equals, tanagerfailure.Done)
	// The worker may forget the tasks only now.
	h.pass(2*time.Second, true)
	h.synced(name, 300, 9)
	h.pass(100*time.Millisecond, true)
	h.Assert(h.io.syncs[len(h.io.syncs)-1].Call.Acknowledged, qt.HasLen, 3)
}

// TestTaskThatFitsNowhereDoesNotHoldUpOthers accepts a job while a large worker
// lives, loses that worker and checks that a small job behind it still starts.
func TestTaskThatFitsNowhereDoesNotHoldUpOthers(t *testing.T) {
	h, red, name := readyCell(t)
	large := worker(h.named("large", red))
	large.Capacity.CPU = 64000
	h.vms(large)
	huge := spec(true, 1)
	huge.Key = "huge"
	huge.Resources.CPU = 60000
	h.accepted(red, huge)
	large.State = tanagerplatform.Gone
	h.vms(large)
	for range 10 {
		h.pass(time.Second, true)
		h.say(self, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
			Worker: name,
			Epoch:  1,
			Report: tanagerplatform.SyncReport{
				LeaseBase: 100,
				Version:   1,
			},
			Sent:     h.timer.Now(),
			Received: h.timer.Now(),
		})
	}
	h.Assert(h.control.workers.rows, qt.HasLen, 1)
	delete(h.io.answers, 1)
	h.accepted(red, spec(true, 1))
	h.pass(200*time.Millisecond, true)
	h.Assert(h.startAll(nil), qt.HasLen, 1)
}
