package tanagercell

import (
	"context"
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

// newTestControl returns a control with an unresponsive store. Its goroutines
// end with the test.
func newTestControl(t *testing.T) *control { return newTestMember(t, self, unresponsiveStore{}) }

func newTestMember(t *testing.T, member string, store Store) *control {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	timer := tanagertimer.NewManual(time.Unix(1_700_000_000, 0))
	c := &control{
		settings: Settings{LeaderTTL: 2 * time.Second},
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
	pollCallFinished{
		term:   earlier,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: tanagerport.Report{Response: tanagerport.Response{Status: tanagerport.Accepted}},
	}.apply(c)
	qt.New(t).Assert(c.cell.Load().PredecessorWorkers, qt.Equals, 1)
	pollCallFinished{
		term:   c.term,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: tanagerport.Report{Response: tanagerport.Response{Status: tanagerport.Accepted}},
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

// messageRecorder implements Metrics. It adds up the sizes of messages by topic.
type messageRecorder struct {
	discardMetrics
	bytes map[string]int
}

func (r *messageRecorder) CountMessage(_ context.Context, topic string, size int) {
	r.bytes[topic] += size
}

// hintBytes returns how many bytes of hints a scheduler sends to three daemons in
// one second while one job waits and the given number of queues is idle.
func hintBytes(t *testing.T, idleQueues int) int {
	c := newTestControl(t)
	recorder := &messageRecorder{bytes: make(map[string]int)}
	c.metrics = recorder
	c.becomeScheduler(1)
	queues := []tanagerport.Queue{{Name: "busy"}}
	for i := range idleQueues {
		queues = append(queues, tanagerport.Queue{Name: "idle-" + strconv.Itoa(i)})
	}
	c.cell.Configure(tanagerport.Configuration{Queues: queues})
	c.cell.AddJob(c.timer.Now(), tanagerwork.Record{
		ID:    "00000000000000a1",
		Queue: "busy",
		Epoch: 1,
		Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
			TaskCount: 1,
			Resources: tanagerwork.Resources{MilliCPU: 1000},
		}}},
	}, nil)
	for i := range 3 {
		c.receiveHeartbeat("10.0.0."+strconv.Itoa(i+2)+":1/other", heartbeat{})
	}
	now := c.timer.Now()
	for range 5 {
		now = now.Add(baseHeartbeatInterval)
		c.cell.Tick(now)
		c.broadcastHints(now)
	}
	return recorder.bytes[topicHints]
}

// Hints that name each configured queue fill the scheduler's link once the operator
// adds queues, and orders and advice wait behind them.
func TestIdleQueuesDoNotGrowHintMessages(t *testing.T) {
	few := hintBytes(t, 0)
	qt.Assert(t, few > 0, qt.IsTrue)
	qt.Assert(t, hintBytes(t, 1400), qt.Equals, few)
}
