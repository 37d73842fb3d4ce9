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

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
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

// linked is a control with a link to others.
type linked struct {
	*control
	inbox <-chan *message.Message
}

func newLinked(t *testing.T, store Store) *linked {
	server := httptest.NewUnstartedServer(nil)
	c := newMember(t, server.Listener.Addr().String()+"/process", store)
	server.Config.Handler = http.HandlerFunc(c.transport.ServeHTTP)
	server.Start()
	t.Cleanup(server.Close)
	inbox, err := c.transport.Subscribe(c.ctx, tanagerpeer.AllTopics)
	qt.Assert(t, err, qt.IsNil)
	return &linked{
		control: c,
		inbox:   inbox,
	}
}

// until applies messages and events until a condition holds.
func (l *linked) until(t *testing.T, what string, holds func() bool) {
	for !holds() {
		select {
		case m := <-l.inbox:
			l.receive(m)
		case e := <-l.events:
			e.apply(l.control)
		case <-time.After(testTimeout):
			t.Fatalf("%s: did not happen", what)
		}
	}
}

// refusedScheduler returns a scheduler that the store refuses since a moment ago,
// and a daemon that the store serves; both know the same first epoch.
func refusedScheduler(t *testing.T) (scheduler, other *linked) {
	store := &leaseStore{scriptedStore: newScriptedStore()}
	scheduler, other = newLinked(t, silentStore{}), newLinked(t, store)
	first := succession(lead{}, holder{
		Member: scheduler.member,
		Epoch:  1,
		Lease:  99,
	})
	_, _, err := store.Commit(context.Background(), first)
	qt.Assert(t, err, qt.IsNil)
	for _, l := range []*linked{scheduler, other} {
		l.learnLead(store.items[epochKey])
		l.learnLead(store.items[holderKey])
		l.lead.known = true
		storeReached{}.apply(l.control)
	}
	loaded{
		term:  scheduler.term,
		found: &inheritance{},
	}.apply(scheduler.control)
	scheduler.advance(2 * scheduler.settings.LeaderTTL)
	storeReached{err: tanagerport.Refused.New("429")}.apply(scheduler.control)
	scheduler.advance(handOverPatience + time.Millisecond)
	return scheduler, other
}

func (c *control) advance(d time.Duration) { c.timer.(interface{ Advance(time.Duration) }).Advance(d) }

// hears makes the scheduler know a daemon that the store served a time ago, and
// has served without a failure for another.
func (c *control) hears(name string, weight float64, age, steady time.Duration) {
	c.heard(name, hello{
		Weight:      weight,
		StoreAge:    age,
		StoreSteady: steady,
	})
}

// A scheduler that the store refused went on alone until its lease lapsed, 3.3 s in
// which nothing that others accepted reached the tables.
func TestRefusedSchedulerHandsOver(t *testing.T) {
	scheduler, other := refusedScheduler(t)
	q := qt.New(t)
	scheduler.hears(other.member, 0.5, 0, time.Minute)
	scheduler.considerHandOver(scheduler.timer.Now())
	q.Assert(scheduler.cell, qt.IsNil)
	other.until(t, "election", func() bool { return other.cell != nil })
	q.Assert(other.lead.epoch, qt.Equals, uint64(2))
	// The store does not tell the one that handed over; its successor does.
	scheduler.until(t, "news of the successor", func() bool { return scheduler.lead.holder.Member == other.member })
	q.Assert(scheduler.lead.epoch, qt.Equals, uint64(2))
	q.Assert(scheduler.lead.epochRevision, qt.Equals, other.lead.epochRevision)
}

// Two schedulers must not act for one epoch: a late request to take over, after
// another election, is ignored.
func TestLateHandOverIsIgnored(t *testing.T) {
	scheduler, other := refusedScheduler(t)
	other.learnLead(epochItem(2, 20))
	other.learnLead(holderItem("127.0.0.1:1/third", 2, 20))
	other.handedOver(scheduler.member, handOver{Epoch: 1})
	qt.Assert(t, other.standing, qt.IsFalse)
	qt.Assert(t, other.lead.holder.Member, qt.Equals, "127.0.0.1:1/third")
}

// While the store serves nobody, a change of scheduler would help nobody.
func TestNoHandOverWithoutAServedDaemon(t *testing.T) {
	for name, hear := range map[string]func(c *control){
		"nobody":                func(*control) {},
		"served before only":    func(c *control) { c.hears("127.0.0.1:1/a", 1, time.Second, time.Minute) },
		"served for a moment":   func(c *control) { c.hears("127.0.0.1:1/a", 1, 0, 100*time.Millisecond) },
		"not served":            func(c *control) { c.hears("127.0.0.1:1/a", 1, 0, 0) },
		"served, silent for 2s": func(c *control) { c.hears("127.0.0.1:1/a", 1, 0, time.Minute); c.advance(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := refusedScheduler(t)
			hear(scheduler.control)
			scheduler.considerHandOver(scheduler.timer.Now())
			qt.Assert(t, scheduler.cell, qt.IsNotNil)
		})
	}
}

// One failed call is no reason.
func TestBriefFailureIsNoReasonToHandOver(t *testing.T) {
	scheduler, other := refusedScheduler(t)
	storeReached{}.apply(scheduler.control)
	storeReached{err: tanagerport.Refused.New("429")}.apply(scheduler.control)
	scheduler.advance(handOverPatience / 2)
	scheduler.hears(other.member, 0.5, 0, time.Minute)
	scheduler.considerHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
}

// A scheduler that could not read its tables kept its lease, since renewing it is
// one small call, and nothing started for half a minute.
func TestTakeoverThatFailsIsGivenUp(t *testing.T) {
	scheduler, other := refusedScheduler(t)
	storeReached{}.apply(scheduler.control)
	scheduler.takeOver()
	scheduler.hears(other.member, 0.5, 0, time.Minute)
	scheduler.considerHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
	scheduler.advance(takeoverPatience + time.Millisecond)
	scheduler.hears(other.member, 0.5, 0, time.Minute)
	scheduler.considerHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNil)
	other.until(t, "election", func() bool { return other.cell != nil })
	// Where no daemon reads its tables in that time, the next one gets more.
	other.hears("127.0.0.1:1/third", 0.5, 0, time.Minute)
	other.advance(takeoverPatience + time.Millisecond)
	_, unable := other.unableSince(other.timer.Now())
	qt.Assert(t, unable, qt.IsFalse)
	other.advance(takeoverPatience)
	_, unable = other.unableSince(other.timer.Now())
	qt.Assert(t, unable, qt.IsTrue)
}

// Of the daemons that the store serves the heaviest follows.
func TestHandOverGoesToTheHeaviestServed(t *testing.T) {
	scheduler, _ := refusedScheduler(t)
	scheduler.hears("127.0.0.1:1/light", 0.2, 0, time.Minute)
	scheduler.hears("127.0.0.1:1/heavy", 0.8, 0, time.Minute)
	scheduler.hears("127.0.0.1:1/refused", 0.9, 0, 0)
	qt.Assert(t, scheduler.served(scheduler.timer.Now(), scheduler.storeLost), qt.Equals, "127.0.0.1:1/heavy")
}

// A part that passes on more often than leases end would never be carried out.
func TestNewSchedulerIsGivenTime(t *testing.T) {
	scheduler, other := refusedScheduler(t)
	scheduler.hears(other.member, 0.5, 0, time.Minute)
	scheduler.termBegan = scheduler.timer.Now().Add(-scheduler.settings.LeaderTTL)
	scheduler.considerHandOver(scheduler.timer.Now())
	qt.Assert(t, scheduler.cell, qt.IsNotNil)
}
