package tanagercell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// leaseStore is a scriptedStore that grants leases.
type leaseStore struct {
	*scriptedStore

	mu     sync.Mutex
	leases int64
}

func (s *leaseStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

// connectedControl is a control with a transport that others can connect to.
type connectedControl struct {
	*control
	inbox <-chan *message.Message
}

func newConnectedControl(t *testing.T, store Store) *connectedControl {
	server := httptest.NewUnstartedServer(nil)
	c := newTestMember(t, server.Listener.Addr().String()+"/process", store)
	server.Config.Handler = http.HandlerFunc(c.transport.ServeHTTP)
	server.Start()
	t.Cleanup(server.Close)
	inbox, err := c.transport.Subscribe(c.ctx, tanagerpeer.AllTopics)
	qt.Assert(t, err, qt.IsNil)
	return &connectedControl{
		control: c,
		inbox:   inbox,
	}
}

// waitUntil applies messages and events until a condition holds.
func (c *connectedControl) waitUntil(t *testing.T, what string, done func() bool) {
	for !done() {
		select {
		case m := <-c.inbox:
			c.receive(m)
		case e := <-c.events:
			e.apply(c.control)
		case <-time.After(testTimeout):
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// rejectedScheduler returns a scheduler that the store has just begun to
// reject, and another daemon that the store serves. Both know epoch 1.
func rejectedScheduler(t *testing.T) (scheduler, other *connectedControl) {
	store := &leaseStore{scriptedStore: newScriptedStore()}
	scheduler, other = newConnectedControl(t, unresponsiveStore{}), newConnectedControl(t, store)
	first := successionTransaction(leaderState{}, holderRecord{
		Member: scheduler.member,
		Epoch:  1,
		Lease:  99,
	})
	_, _, err := store.Commit(context.Background(), first)
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []*connectedControl{scheduler, other} {
		c.applyLeaderItem(store.items[epochKey])
		c.applyLeaderItem(store.items[holderKey])
		c.leader.initialized = true
		storeCallFinished{}.apply(c.control)
	}
	storedStateLoaded{
		term:  scheduler.term,
		state: &storedState{},
	}.apply(scheduler.control)
	scheduler.advance(2 * scheduler.settings.LeaderTTL)
	storeCallFinished{err: tanagerport.Refused.New("429")}.apply(scheduler.control)
	scheduler.advance(handoverThreshold + time.Millisecond)
	return scheduler, other
}

func (c *control) advance(d time.Duration) { c.timer.(interface{ Advance(time.Duration) }).Advance(d) }

// heartbeatFrom applies a heartbeat of a daemon, with the time since its
// last successful call to the store and the time for which its calls have
// succeeded.
func (c *control) heartbeatFrom(name string, weight float64, sinceSuccess, uptime time.Duration) {
	c.receiveHeartbeat(name, heartbeat{
		Weight:            weight,
		SinceStoreSuccess: sinceSuccess,
		StoreUptime:       uptime,
	})
}

// Guards against a scheduler that the store rejects and that keeps its role until
// its lease expires. One such scheduler saw none of the jobs that other daemons
// accepted for 3.3 s.
func TestSchedulerRejectedByStoreHandsOver(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	q := qt.New(t)
	scheduler.heartbeatFrom(other.member, 0.5, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	q.Assert(scheduler.cell, qt.IsNil)
	other.waitUntil(t, "election", func() bool { return other.cell != nil })
	q.Assert(other.leader.epoch, qt.Equals, uint64(2))
	// The store does not respond to the daemon that handed over; its successor
	// announces the result.
	scheduler.waitUntil(t, "announcement", func() bool { return scheduler.leader.holder.Member == other.member })
	q.Assert(scheduler.leader.epoch, qt.Equals, uint64(2))
	q.Assert(scheduler.leader.epochRevision, qt.Equals, other.leader.epochRevision)
}

// A handover request that arrives after another election is ignored. Otherwise
// two schedulers could act in one epoch.
func TestLateHandoverIsIgnored(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	other.applyLeaderItem(epochItem(2, 20))
	other.applyLeaderItem(holderItem("127.0.0.1:1/third", 2, 20))
	other.acceptHandover(scheduler.member, handoverRequest{Epoch: 1})
	qt.Assert(t, other.campaigning, qt.IsFalse)
	qt.Assert(t, other.leader.holder.Member, qt.Equals, "127.0.0.1:1/third")
}

// The scheduler keeps its role if no other daemon is served by the store.
func TestNoHandoverWithoutHealthySuccessor(t *testing.T) {
	for name, setUp := range map[string]func(c *control){
		"nobody else":   func(*control) {},
		"stale success": func(c *control) { c.heartbeatFrom("127.0.0.1:1/a", 1, time.Second, time.Minute) },
		"brief success": func(c *control) { c.heartbeatFrom("127.0.0.1:1/a", 1, 0, 100*time.Millisecond) },
		"store down":    func(c *control) { c.heartbeatFrom("127.0.0.1:1/a", 1, 0, 0) },
		"silent for 2s": func(c *control) { c.heartbeatFrom("127.0.0.1:1/a", 1, 0, time.Minute); c.advance(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := rejectedScheduler(t)
			setUp(scheduler.control)
			scheduler.maybeHandOver(scheduler.timer.Now())
			qt.Assert(t, scheduler.cell, qt.IsNotNil)
		})
	}
}

// A single failed call must not cause a handover.
func TestBriefFailureCausesNoHandover(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	storeCallFinished{}.apply(scheduler.control)
	storeCallFinished{err: tanagerport.Refused.New("429")}.apply(scheduler.control)
	scheduler.advance(handoverThreshold / 2)
	scheduler.heartbeatFrom(other.member, 0.5, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
}

// Guards against a scheduler that cannot read the stored state but keeps its
// lease, since a renewal is one small call. With one such scheduler no task
// started for half a minute.
func TestStalledTakeoverHandsOver(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	storeCallFinished{}.apply(scheduler.control)
	scheduler.takeOver()
	scheduler.heartbeatFrom(other.member, 0.5, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
	scheduler.advance(defaultTakeoverTimeout + time.Millisecond)
	scheduler.heartbeatFrom(other.member, 0.5, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNil)
	other.waitUntil(t, "election", func() bool { return other.cell != nil })
	// If the successor cannot read the state in that time either, it gets twice
	// as long before it hands over.
	other.heartbeatFrom("127.0.0.1:1/third", 0.5, 0, time.Minute)
	other.advance(defaultTakeoverTimeout + time.Millisecond)
	_, unable := other.unableSince(other.timer.Now())
	qt.Assert(t, unable, qt.IsFalse)
	other.advance(defaultTakeoverTimeout)
	_, unable = other.unableSince(other.timer.Now())
	qt.Assert(t, unable, qt.IsTrue)
}

// The daemon of the highest weight among those that the store serves takes
// over.
func TestHandoverTargetHasHighestWeight(t *testing.T) {
	scheduler, _ := rejectedScheduler(t)
	scheduler.heartbeatFrom("127.0.0.1:1/light", 0.2, 0, time.Minute)
	scheduler.heartbeatFrom("127.0.0.1:1/heavy", 0.8, 0, time.Minute)
	scheduler.heartbeatFrom("127.0.0.1:1/rejected", 0.9, 0, 0)
	qt.Assert(t, scheduler.handoverTarget(scheduler.timer.Now(), scheduler.storeDownSince), qt.Equals, "127.0.0.1:1/heavy")
}

// Guards against a handover to a small daemon whose heartbeat happened to be the
// first to arrive. One with a quarter of the weight had to serve 350 workers for
// six seconds while eight suitable daemons were idle.
func TestHandoverWaitsForHeavierDaemon(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	q := qt.New(t)
	heavy := other.member
	scheduler.heartbeatFrom(heavy, 0.8, handoverThreshold+time.Millisecond, time.Minute)
	scheduler.heartbeatFrom("127.0.0.1:1/light", 0.2, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	q.Assert(scheduler.cell, qt.IsNotNil)
	scheduler.heartbeatFrom(heavy, 0.8, 0, time.Minute)
	scheduler.maybeHandOver(scheduler.timer.Now())
	q.Assert(scheduler.cell, qt.IsNil)
	other.waitUntil(t, "election", func() bool { return other.cell != nil })
}

// A lighter daemon takes over if the heavier ones stay silent, and at once if the
// store rejects those too.
func TestHandoverToLighterDaemon(t *testing.T) {
	for name, setUp := range map[string]func(c *control){
		"heavier silent": func(c *control) {
			c.heartbeatFrom("127.0.0.1:1/heavy", 0.8, handoverThreshold+time.Millisecond, time.Minute)
			c.advance(lighterSuccessorDelay - handoverThreshold)
		},
		"heavier rejected": func(c *control) { c.heartbeatFrom("127.0.0.1:1/heavy", 0.8, time.Second, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			scheduler, other := rejectedScheduler(t)
			setUp(scheduler.control)
			scheduler.heartbeatFrom(other.member, 0.2, 0, time.Minute)
			scheduler.maybeHandOver(scheduler.timer.Now())
			qt.Assert(t, scheduler.cell, qt.IsNil)
			other.waitUntil(t, "election", func() bool { return other.cell != nil })
		})
	}
}

// A new scheduler must not hand over within the first lease TTL. Otherwise the
// role could move faster than any daemon can take over.
func TestNewSchedulerDoesNotHandOverAtOnce(t *testing.T) {
	scheduler, other := rejectedScheduler(t)
	scheduler.heartbeatFrom(other.member, 0.5, 0, time.Minute)
	scheduler.termStartedAt = scheduler.timer.Now().Add(-scheduler.settings.LeaderTTL)
	scheduler.maybeHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
}

// stopRecorder is a Workers that responds to no start and records the stops.
type stopRecorder struct {
	Workers
	stops chan tanagerport.Stop
}

func (r stopRecorder) Start(context.Context, tanagerport.WorkerRef, tanagerport.Start) (tanagerport.Response, error) {
	return tanagerport.Response{}, tanagerport.OutcomeUnknown.New("start")
}

func (r stopRecorder) Poll(context.Context, tanagerport.WorkerRef, tanagerport.Poll) (tanagerport.Report, error) {
	return tanagerport.Report{}, tanagerport.OutcomeUnknown.New("poll")
}

func (r stopRecorder) Stop(_ context.Context, _ tanagerport.WorkerRef, s tanagerport.Stop) (tanagerport.Response, error) {
	r.stops <- s
	return tanagerport.Response{Status: tanagerport.Accepted}, nil
}

// Guards against members of a gang that wait for others whose starts are lost with
// the term of their scheduler.
func TestSchedulerStopsIncompleteGangsAtTheEndOfItsTerm(t *testing.T) {
	for name, end := range map[string]func(c *control){
		"handed over":     func(c *control) { c.stepDown("handed over to another daemon") },
		"successor known": func(c *control) { c.applyLeaderItem(epochItem(2, 20)) },
		"resigned":        func(c *control) { resignFinished{done: make(chan struct{})}.apply(c) },
	} {
		t.Run(name, func(t *testing.T) {
			q := qt.New(t)
			c := newTestControl(t)
			stops := make(chan tanagerport.Stop, 2)
			c.ports.Workers = stopRecorder{stops: stops}
			c.settings.Dispatch = tanagerdispatch.Settings{
				Lease:    3 * time.Second,
				GangWait: 3 * time.Second,
			}
			c.becomeScheduler(1)
			now := c.timer.Now()
			c.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
				Name:        "q",
				Service:     "s",
				MaxAttempts: 1,
			}}})
			worker := tanagerport.WorkerEntry{
				ID:          "w",
				Service:     "s",
				Incarnation: 1,
				Capacity:    tanagerwork.Resources{MilliCPU: 1000},
			}
			c.cell.SetWorkers(now, []tanagerport.WorkerEntry{worker})
			c.cell.RosterStored(c.cell.Roster())
			c.cell.Tick(now)
			for _, o := range c.cell.TakeOrders().Polls {
				c.cell.HandlePollResponse(now, o, now, tanagerport.Report{
					Response:    tanagerport.Response{Status: tanagerport.Accepted},
					Incarnation: 1,
					Complete:    true,
				}, nil)
			}
			c.cell.AddJob(now, tanagerwork.Record{
				ID:      "0000000000000001",
				Queue:   "q",
				Service: "s",
				Epoch:   1,
				Arrived: now,
				Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
					TaskCount: 2,
					Gang:      true,
					Estimate:  time.Second,
					Resources: tanagerwork.Resources{MilliCPU: 100},
				}}},
			}, nil)
			c.cell.Tick(now)
			starts := c.cell.TakeOrders().Starts
			q.Assert(starts, qt.HasLen, 2)
			c.cell.HandleStartResponse(now, starts[0], tanagerport.Response{Status: tanagerport.Accepted}, nil)
			end(c)
			q.Assert(c.cell, qt.IsNil)
			stopped := make(map[int]bool)
			for range starts {
				select {
				case s := <-stops:
					stopped[s.Task.Index] = true
				case <-time.After(testTimeout):
					t.Fatal("a member was not stopped")
				}
			}
			q.Assert(stopped, qt.DeepEquals, map[int]bool{0: true, 1: true})
		})
	}
}
