package tanagercell

import (
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// adviceTestControl returns a scheduler with one adviser and a job that has asked
// it for advice, and the order of that call.
func adviceTestControl(t *testing.T, adviser string) (*control, tanagerdispatch.AdviceOrder) {
	c := newTestControl(t)
	c.settings.Dispatch = tanagerdispatch.Settings{
		Lease: 3 * time.Second,
	}
	c.becomeScheduler(1)
	now := c.timer.Now()
	c.cell.Configure(tanagerport.Configuration{Queues: []tanagerport.Queue{{
		Name:        "q",
		Service:     "s",
		MaxAttempts: 1,
		Advice: &tanagerport.AdvicePolicy{
			DecisionTime: time.Millisecond,
			TicketTTL:    time.Second,
		},
	}}})
	c.cell.SetWorkers(now, []tanagerport.WorkerEntry{{
		ID:          "w",
		Service:     "s",
		Incarnation: 1,
		Capacity:    tanagerwork.Resources{MilliCPU: 1000},
	}})
	c.cell.RosterStored(c.cell.Roster())
	c.cell.SetAdvisers([]string{adviser})
	c.cell.Tick(now)
	for _, o := range c.cell.TakeOrders().Polls {
		c.cell.HandlePollResponse(now, o, now, tanagerport.Report{
			Response: tanagerport.Response{
				Status: tanagerport.Accepted,
				Clock:  time.Second,
			},
			Incarnation: 1,
		}, nil)
	}
	c.cell.AddJob(now, tanagerwork.Record{
		ID:      "1",
		Queue:   "q",
		Service: "s",
		Epoch:   1,
		Arrived: now,
		Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
			TaskCount: 1,
			Resources: tanagerwork.Resources{MilliCPU: 1000},
		}}},
	}, nil)
	c.cell.Tick(now)
	orders := c.cell.TakeOrders().Advice
	qt.Assert(t, orders, qt.HasLen, 1)
	return c, orders[0]
}

// Guards against an adviser and a step that wait for the response to a request
// that was never sent.
func TestUnsentAdviceRequestIsMadeAgain(t *testing.T) {
	const (
		adviser = "10.0.0.2:1/other"
		// retryTime is more than the pause after a failed call and less than the
		// time after which a response counts as lost.
		retryTime = 200 * time.Millisecond
	)
	c, order := adviceTestControl(t, adviser)
	m := message.NewMessage("", tanagerwire.Encode(adviceRequest{Order: order}))
	m.Metadata.Set(tanagerpeer.TopicKey, topicAdviceRequest)
	m.Metadata.Set(tanagerpeer.FromKey, adviser)
	m.Metadata.Set(tanagerpeer.UnsentKey, "true")
	c.receive(m)
	c.cell.Tick(c.timer.Now().Add(retryTime))
	qt.Assert(t, c.cell.TakeOrders().Advice, qt.HasLen, 1)
}

// A request to a process that has exited is returned at once. Its daemon must not
// attract each call until its heartbeats count as missing.
func TestExitedDaemonGetsNoMoreAdviceRequests(t *testing.T) {
	const exited, other = "10.0.0.2:1/other", "10.0.0.3:1/other"
	c := newTestControl(t)
	c.becomeScheduler(1)
	c.receiveHeartbeat(exited, heartbeat{})
	c.receiveHeartbeat(other, heartbeat{})
	for _, lost := range []struct{ member, exited string }{
		{
			member: exited,
			exited: "true",
		},
		{member: other},
	} {
		m := message.NewMessage("", nil)
		m.Metadata.Set(tanagerpeer.TopicKey, tanagerpeer.ConnectionLostTopic)
		m.Metadata.Set(tanagerpeer.FromKey, lost.member)
		m.Metadata.Set(tanagerpeer.PeerExitedKey, lost.exited)
		c.receive(m)
	}
	qt.Assert(t, c.members, qt.HasLen, 1)
	_, found := c.members[other]
	qt.Assert(t, found, qt.IsTrue)
}

// An unsent message is this daemon's own and must not be taken for the peer's.
func TestUnsentMessageIsNotApplied(t *testing.T) {
	const other = "10.0.0.2:1/other"
	c := newTestControl(t)
	c.becomeScheduler(1)
	m := message.NewMessage("", tanagerwire.Encode(heartbeat{}))
	m.Metadata.Set(tanagerpeer.TopicKey, topicHeartbeat)
	m.Metadata.Set(tanagerpeer.FromKey, other)
	m.Metadata.Set(tanagerpeer.UnsentKey, "true")
	c.receive(m)
	qt.Assert(t, c.members, qt.HasLen, 0)
}
