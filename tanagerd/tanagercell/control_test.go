package tanagercell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	self = "10.0.0.1:1/self"
	// testTimeout bounds waits that only a failing test reaches.
	testTimeout = time.Minute
)

// unresponsiveStore responds to no call; calls fail when their context ends.
type unresponsiveStore struct{}

func (unresponsiveStore) Get(ctx context.Context, _ string) (tanagerport.Item, error) {
	<-ctx.Done()
	return tanagerport.Item{}, tanagerport.OutcomeUnknown.New("get")
}

func (unresponsiveStore) List(ctx context.Context, _, _ string) (tanagerport.Page, error) {
	<-ctx.Done()
	return tanagerport.Page{}, tanagerport.OutcomeUnknown.New("list")
}

func (unresponsiveStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (tanagerport.Page, error) {
	<-ctx.Done()
	return tanagerport.Page{}, tanagerport.OutcomeUnknown.New("watch")
}

func (unresponsiveStore) Commit(ctx context.Context, _ tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	<-ctx.Done()
	return 0, nil, tanagerport.OutcomeUnknown.New("commit")
}

func (unresponsiveStore) Grant(ctx context.Context, _ time.Duration) (int64, error) {
	<-ctx.Done()
	return 0, tanagerport.OutcomeUnknown.New("grant")
}

func (unresponsiveStore) Renew(ctx context.Context, _ int64) error {
	<-ctx.Done()
	return tanagerport.OutcomeUnknown.New("renew")
}

func (unresponsiveStore) Revoke(ctx context.Context, _ int64) error {
	<-ctx.Done()
	return tanagerport.OutcomeUnknown.New("revoke")
}

type stubDecoder struct{}

func (stubDecoder) WorkerPrefix() string   { return "workers/" }
func (stubDecoder) OperatorPrefix() string { return "operator/" }
func (stubDecoder) Worker(item tanagerport.Item) (tanagerport.WorkerEntry, error) {
	return tanagerport.WorkerEntry{ID: item.Key[len("workers/"):]}, nil
}
func (stubDecoder) Configuration(tanagerport.Item) (tanagerport.Configuration, bool, error) {
	return tanagerport.Configuration{}, false, nil
}

func (stubDecoder) Wave(tanagerport.Item) (tanagerport.Wave, bool, error) {
	return tanagerport.Wave{}, false, nil
}
func (stubDecoder) WaveStatus(int, bool) (string, []byte) { return "", nil }

// testMaxValueBytes is the largest value that the store of a test accepts.
const testMaxValueBytes = 1 << 20

// newTestControl returns a control with an unresponsive store. Its goroutines
// end with the test.
func newTestControl(t *testing.T) *control { return newTestMember(t, self, unresponsiveStore{}) }

func newTestMember(t *testing.T, member string, store Store) *control {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	timer := tanagertimer.NewManual(time.Unix(1_700_000_000, 0))
	c := &control{
		settings: Settings{
			LeaderTTL:     2 * time.Second,
			MaxValueBytes: testMaxValueBytes,
		},
		ports: Ports{
			Store:   store,
			Decoder: stubDecoder{},
		},
		timer:   timer,
		log:     zerolog.Nop(),
		metrics: discardMetrics{},
		transport: tanagerpeer.New(tanagerpeer.Settings{
			Self:         member,
			Token:        "token",
			InboxLength:  8,
			QueueLength:  8,
			DialTimeout:  testTimeout,
			WriteTimeout: testTimeout,
		}, Directory{}),
		member: member,
		candidate: &candidate{
			store:  store,
			member: member,
		},
		random:         rand.New(rand.NewPCG(1, 1)),
		ctx:            ctx,
		events:         make(chan event, 64),
		workers:        make(map[string]tanagerport.WorkerEntry),
		missingWorkers: make(map[string]time.Time),
		entryRevisions: make(map[string]int64),
		stateReplies:   make(map[uint64]chan stateResponse),
		forwardReplies: make(map[uint64]chan tanagerport.Reply),
		lastReset:      make(map[string]time.Time),
		waves:          make(map[int]tanagerport.Wave),
	}
	t.Cleanup(func() { _ = c.transport.Close() })
	return c
}

func holderItem(member string, epoch uint64, revision int64) tanagerport.Item {
	return tanagerport.Item{
		Key: holderKey,
		Value: tanagerwire.Encode(holderRecord{
			Member: member,
			Epoch:  epoch,
			Lease:  1,
		}),
		Revision: revision,
	}
}

func epochItem(epoch uint64, revision int64) tanagerport.Item {
	return tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: epoch}),
		Revision: revision,
	}
}

// becomeScheduler makes the control the scheduler of an epoch without any
// stored state.
func (c *control) becomeScheduler(epoch uint64) {
	c.applyLeaderItem(epochItem(epoch, int64(10*epoch)))
	c.applyLeaderItem(holderItem(self, epoch, int64(10*epoch)))
	storedStateLoaded{
		term:  c.term,
		state: &storedState{},
	}.apply(c)
}

// A scheduler that reads a higher epoch before the record of the new holder
// must step down: it is not the one that was elected.
func TestHigherEpochEndsTerm(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	q := qt.New(t)
	q.Assert(c.cell, qt.IsNotNil)
	c.applyLeaderItem(epochItem(2, 20))
	q.Assert(c.cell, qt.IsNil)
	q.Assert(c.isLeader(), qt.IsFalse)
	c.applyLeaderItem(holderItem("10.0.0.2:1/other", 2, 20))
	q.Assert(c.leader.holder.Member, qt.Equals, "10.0.0.2:1/other")
}

// A scheduler whose key expired and that won the next election keeps its state,
// since no other daemon was elected in between.
func TestReelectedSchedulerKeepsState(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	before := c.cell
	campaignFinished{result: electionResult{
		holder: holderRecord{
			Member: self,
			Epoch:  2,
		},
		epochRevision:  20,
		holderRevision: 20,
	}}.apply(c)
	q := qt.New(t)
	q.Assert(c.cell, qt.Equals, before)
	q.Assert(c.cell.Epoch(), qt.Equals, uint64(2))
}

// A deletion that is older than the current holder's record must not clear the
// holder.
func TestOldDeletionKeepsHolder(t *testing.T) {
	c := newTestControl(t)
	leaderUpdate{page: tanagerport.Page{
		Items: []tanagerport.Item{
			{
				Key:      holderKey,
				Revision: 19,
				Deleted:  true,
			},
			holderItem("10.0.0.2:1/other", 2, 20),
			epochItem(2, 20),
		},
		Revision: 30,
	}}.apply(c)
	qt.New(t).Assert(c.leader.holder.Member, qt.Equals, "10.0.0.2:1/other")
	leaderUpdate{page: tanagerport.Page{
		Items: []tanagerport.Item{{
			Key:      holderKey,
			Revision: 31,
			Deleted:  true,
		}},
		Revision: 31,
	}}.apply(c)
	qt.New(t).Assert(c.leader.holder.Member, qt.Equals, "")
}

// A response to a poll of an earlier term must not count as proof that the
// worker knows the current epoch.
func TestResponsesOfEarlierTermAreDropped(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	earlier := c.term
	c.applyLeaderItem(epochItem(2, 20))
	c.becomeScheduler(3)
	c.cell.AddPredecessorWorkers(c.timer.Now(), []string{"w"})
	c.cell.SetWorkers(c.timer.Now(), []tanagerport.WorkerEntry{{ID: "w"}})
	report := tanagerport.Report{
		Response: tanagerport.Response{Status: tanagerport.Accepted},
		Complete: true,
	}
	pollCallFinished{
		term:   earlier,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: report,
	}.apply(c)
	qt.New(t).Assert(c.cell.Load().PredecessorWorkers, qt.Equals, 1)
	pollCallFinished{
		term:   c.term,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: report,
	}.apply(c)
	qt.New(t).Assert(c.cell.Load().PredecessorWorkers, qt.Equals, 0)
}

// The first step has no predecessor. A gap measured from the zero time showed
// up in the first summary of each newly started daemon.
func TestFirstStepHasNoGap(t *testing.T) {
	c := newTestControl(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	c.step(now)
	qt.Assert(t, c.longestStepGap, qt.Equals, time.Duration(0))
	c.step(now.Add(7 * time.Millisecond))
	qt.Assert(t, c.longestStepGap, qt.Equals, 7*time.Millisecond)
}

// The successor must have a high weight: one on a narrow link could not read
// the stored state.
func TestSuccessorByWeightThenStartTime(t *testing.T) {
	c := newTestControl(t)
	now := c.timer.Now()
	c.members = map[string]member{
		"light, new": {
			lastHeartbeat: now,
			startedAt:     now,
			weight:        0.2,
		},
		"heavy, old": {
			lastHeartbeat: now,
			startedAt:     now.Add(-time.Hour),
			weight:        0.8,
		},
		"heavy, new": {
			lastHeartbeat: now,
			startedAt:     now.Add(-time.Minute),
			weight:        0.8,
		},
		"heavy, stopping": {
			lastHeartbeat: now,
			startedAt:     now,
			stopping:      true,
			weight:        0.8,
		},
		"heavy, silent": {
			lastHeartbeat: now.Add(-2 * memberTimeout),
			startedAt:     now,
			weight:        0.8,
		},
	}
	qt.Assert(t, c.successor(), qt.Equals, "heavy, new")
}

// In a large cell, heartbeats and hints at the base interval would take much of
// the scheduler's CPU time.
func TestLargeCellHasLongerHeartbeatInterval(t *testing.T) {
	for members, want := range map[int]time.Duration{
		largeCellMembers:     baseHeartbeatInterval,
		largeCellMembers + 1: largeCellHeartbeatFactor * baseHeartbeatInterval,
	} {
		c := newTestControl(t)
		c.becomeScheduler(1)
		for i := range members {
			c.heartbeatFrom("127.0.0.1:1/"+strconv.Itoa(i), 0.5, 0, 0)
		}
		c.broadcastHints(c.timer.Now())
		first := c.lastHintBroadcast
		c.advance(baseHeartbeatInterval)
		c.broadcastHints(c.timer.Now())
		qt.Check(t, c.lastHintBroadcast.After(first), qt.Equals, want == baseHeartbeatInterval)
		c.advance(baseHeartbeatInterval)
		c.broadcastHints(c.timer.Now())
		qt.Check(t, c.lastHintBroadcast, qt.Equals, c.timer.Now())
	}
}

func TestDaemonUsesRequestedHeartbeatInterval(t *testing.T) {
	c := newTestControl(t)
	c.applyLeaderItem(epochItem(1, 10))
	c.applyLeaderItem(holderItem("127.0.0.1:1/other", 1, 10))
	c.receiveHints(hintsMessage{
		Epoch:             1,
		HeartbeatInterval: largeCellHeartbeatFactor * baseHeartbeatInterval,
	})
	c.maintainMembership(c.timer.Now())
	first := c.lastHeartbeat
	c.advance(baseHeartbeatInterval)
	c.maintainMembership(c.timer.Now())
	qt.Assert(t, c.lastHeartbeat, qt.Equals, first)
	c.advance(baseHeartbeatInterval)
	c.maintainMembership(c.timer.Now())
	qt.Assert(t, c.lastHeartbeat, qt.Equals, c.timer.Now())
}

// hintBytes returns the size of the messages with and without hints for a daemon in
// the given number of seconds, while a job waits in each of the busy queues.
func hintBytes(t *testing.T, busyQueues, idleQueues, seconds int) int {
	c := newTestControl(t)
	c.becomeScheduler(1)
	var queues []tanagerport.Queue
	for i := range busyQueues + idleQueues {
		queues = append(queues, tanagerport.Queue{Name: "queue-" + strconv.Itoa(i)})
	}
	c.cell.Configure(tanagerport.Configuration{Queues: queues})
	for i, q := range queues[:busyQueues] {
		c.cell.AddJob(c.timer.Now(), tanagerwork.Record{
			ID:    tanagerwork.JobID(fmt.Sprintf("%016x", i)),
			Queue: q.Name,
			Epoch: 1,
			Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
				TaskCount: 1,
				Resources: tanagerwork.Resources{MilliCPU: 1000},
			}}},
		}, nil)
	}
	size := 0
	for range seconds * int(time.Second/baseHeartbeatInterval) {
		c.advance(baseHeartbeatInterval)
		c.cell.Tick(c.timer.Now())
		size += len(c.encodeHints(c.timer.Now(), baseHeartbeatInterval))
	}
	return size
}

// Hints that name each configured queue fill the scheduler's link once the operator
// adds queues, and orders and advice wait behind them.
func TestIdleQueuesDoNotGrowHintMessages(t *testing.T) {
	few := hintBytes(t, 1, 0, 1)
	qt.Assert(t, few > 0, qt.IsTrue)
	qt.Assert(t, hintBytes(t, 1, 1400, 1), qt.Equals, few)
}

// The teams' queues may all be busy. Their hints must leave a daemon within the bytes
// that it may exchange for control, and reach it before they are too old to be used.
func TestHintsOfBusyQueuesAreSentLessOften(t *testing.T) {
	const (
		teams   = 110
		seconds = 12
		// targetBytes is what a daemon may send and receive in a second for control.
		targetBytes = 7 << 10
	)
	bytes := hintBytes(t, teams, 0, seconds)
	qt.Assert(t, bytes > 0 && bytes <= seconds*targetBytes, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	qt.Assert(t, maxHintInterval < maxHintAge, qt.IsTrue)
}

// A daemon that hears from the scheduler between two hints keeps the hints that it
// has, and their age.
func TestMessageWithoutHintsKeepsHints(t *testing.T) {
	c := newTestControl(t)
	c.applyLeaderItem(epochItem(1, 10))
	c.receiveHints(hintsMessage{
		Epoch: 1,
		Hints: map[string]tanagerdispatch.AdmissionHint{"q": {Pending: 3}},
	})
	received := c.hintsReceivedAt
	c.advance(baseHeartbeatInterval)
	c.receiveHints(hintsMessage{
		Epoch:     1,
		Unchanged: true,
	})
	qt.Assert(t, c.hints["q"].Pending, qt.Equals, 3)
	qt.Assert(t, c.hintsReceivedAt, qt.Equals, received)
	qt.Assert(t, c.schedulerHeardAt, qt.Equals, c.timer.Now())
}

// Guards against a daemon that has stepped down, reads its own record again and
// serves a second term of the same epoch: no worker refuses the orders of the first.
func TestEpochIsServedOnce(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	c.stepDown("handed over to another daemon")
	c.applyLeaderItem(holderItem(self, 1, 10))
	q := qt.New(t)
	q.Assert(c.cell, qt.IsNil)
	q.Assert(c.isLeader(), qt.IsFalse)
	c.applyLeaderItem(epochItem(2, 20))
	c.applyLeaderItem(holderItem(self, 2, 20))
	q.Assert(c.cell, qt.IsNotNil)
	q.Assert(c.cell.Epoch(), qt.Equals, uint64(2))
}

// Guards against a job that is lost to a scheduler that is elected again: the job was
// accepted under the new epoch, and became known before the result of the election.
func TestJobOfTheNextEpochIsKept(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	const id = "0000000000000001"
	jobAdded{record: tanagerwork.Record{
		ID:    id,
		Queue: "q",
		Epoch: 2,
		Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
			TaskCount: 1,
			Resources: tanagerwork.Resources{MilliCPU: 1000},
			Estimate:  time.Second,
		}}},
	}}.apply(c)
	q := qt.New(t)
	q.Assert(c.jobState(stateRequest{ID: id}).Known, qt.IsFalse)
	campaignFinished{result: electionResult{
		holder: holderRecord{
			Member: self,
			Epoch:  2,
		},
		epochRevision:  20,
		holderRevision: 20,
	}}.apply(c)
	q.Assert(c.jobState(stateRequest{ID: id}).Known, qt.IsTrue)
}
