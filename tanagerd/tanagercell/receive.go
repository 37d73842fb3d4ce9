package tanagercell

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// receive applies a message from another daemon, or one to it that was returned
// unsent. A message that cannot be decoded is logged and dropped, and so are
// unsent ones except requests for advice: heartbeats and hints are repeated, and
// accepted jobs and cancellations are in the store.
func (c *control) receive(m *message.Message) {
	from := m.Metadata.Get(tanagerpeer.FromKey)
	topic := m.Metadata.Get(tanagerpeer.TopicKey)
	unsent := m.Metadata.Get(tanagerpeer.UnsentKey) != ""
	var err error
	switch {
	case unsent && topic == topicAdviceRequest:
		err = decodeAndApply(m, func(r adviceRequest) { c.refuseAdvice(r.Order, "message not sent") })
	case !unsent:
		err = c.receiveSent(from, topic, m)
	}
	if err != nil {
		c.log.Error().Str("event", "message_decode_failed").Str("topic", topic).Str("from", from).Err(err).Send()
	}
}

// receiveSent applies a message that another daemon sent.
func (c *control) receiveSent(from, topic string, m *message.Message) (err error) {
	switch topic {
	case tanagerpeer.ConnectionLostTopic:
		c.connectionLost(from, m.Metadata.Get(tanagerpeer.PeerExitedKey) != "")
	case topicHeartbeat:
		err = decodeAndApply(m, func(h heartbeat) { c.receiveHeartbeat(from, h) })
	case topicHints:
		err = decodeAndApply(m, func(h hintsMessage) { c.receiveHints(h) })
	case topicJob:
		err = decodeAndApply(m, func(j jobStored) {
			j.Record.Arrived = c.timer.Now().Add(-min(max(j.Age, 0), maxJobAge))
			jobAdded{record: j.Record}.apply(c)
		})
	case topicCancel:
		err = decodeAndApply(m, func(s cancelStored) { cancelAdded{id: s.ID}.apply(c) })
	case topicStateRequest:
		err = decodeAndApply(m, func(r stateRequest) { c.send(from, topicStateResponse, c.jobState(r)) })
	case topicStateResponse:
		err = decodeAndApply(m, func(r stateResponse) { c.receiveStateResponse(r) })
	case topicForwardRequest:
		err = decodeAndApply(m, func(r forwardRequest) { c.serveForward(from, r) })
	case topicForwardResponse:
		err = decodeAndApply(m, func(r forwardResponse) { c.receiveForwardResponse(r) })
	case topicHandoverRequest:
		err = decodeAndApply(m, func(h handoverRequest) { c.acceptHandover(from, h) })
	case topicLeaderAnnouncement:
		err = decodeAndApply(m, func(a leaderAnnouncement) { c.applyAnnouncement(a) })
	case topicAdviceRequest:
		err = decodeAndApply(m, func(r adviceRequest) { c.serveAdvice(from, r) })
	case topicAdviceResponse:
		err = decodeAndApply(m, func(r adviceResponse) { c.receiveAdvice(r) })
	}
	return err
}

// maxJobAge bounds the age that a daemon reports for a job. No caller waits
// longer for its job to be accepted.
const maxJobAge = time.Minute

// connectionLost handles a broken connection. A daemon whose process has exited
// is asked for no more advice. If it was the scheduler, this daemon campaigns
// without waiting for the lease to expire.
func (c *control) connectionLost(from string, exited bool) {
	c.log.Debug().Str("event", "link_lost").Str("member", from).Bool("gone", exited).Send()
	if exited {
		delete(c.members, from)
		if c.authority != nil {
			c.authority.exited(from)
		}
	}
	if exited && from == c.leader.holder.Member && from != c.exitedScheduler {
		c.exitedScheduler = from
		c.campaignAt = time.Time{}
		c.log.Info().Str("event", "scheduler_gone").Str("member", from).Uint64("epoch", c.leader.epoch).Send()
	}
}

func decodeAndApply[T any](m *message.Message, f func(T)) error {
	var payload T
	if err := tanagerwire.Decode(m.Payload, &payload); err != nil {
		return err
	}
	f(payload)
	return nil
}

func (c *control) receiveHeartbeat(from string, h heartbeat) {
	if c.cell == nil {
		return
	}
	if _, known := c.members[from]; !known {
		c.log.Info().Str("event", "daemon_heard").Str("member", from).Send()
		c.lastHintBroadcast, c.lastHintsSent = time.Time{}, time.Time{}
	} else if h.HintsMissing {
		c.resetConnection(from, c.timer.Now())
	}
	now := c.timer.Now()
	if from != c.member {
		number := h.Followed.Number
		if h.Followed.Epoch != c.cell.Epoch() {
			number = 0
		}
		c.authority.followedBy(from, number, now)
	}
	c.members[from] = member{
		lastHeartbeat:    now,
		startedAt:        now.Add(-h.Uptime),
		stopping:         h.Stopping,
		weight:           h.Weight,
		lastStoreSuccess: now.Add(-h.SinceStoreSuccess),
		storeUpSince:     now.Add(-h.StoreUptime),
	}
}

func (c *control) receiveHints(h hintsMessage) {
	if h.Epoch < c.leader.epoch {
		return
	}
	c.heartbeatInterval = min(h.HeartbeatInterval, largeCellHeartbeatFactor*baseHeartbeatInterval)
	c.schedulerHeardAt = c.timer.Now()
	c.followed = followedBroadcast{
		Epoch:  h.Epoch,
		Number: h.Broadcast,
	}
	if !h.Unchanged {
		c.hints = h.Hints
		c.hintsReceivedAt = c.schedulerHeardAt
	}
}

// serveAdvice calls the advice service on behalf of the scheduler.
func (c *control) serveAdvice(from string, request adviceRequest) {
	go func() {
		start := c.timer.Now()
		advice, err := c.ports.Advice.Advise(c.ctx, request.Order.Step, request.Order.Workers, request.Order.Expected)
		if err != nil {
			c.log.Warn().Str("event", "advice_failed").Str("step", request.Order.Step.String()).Err(err).Send()
		}
		c.post(adviceServed{
			to: from,
			response: adviceResponse{
				Order:  request.Order,
				Advice: advice,
				Took:   c.timer.Now().Sub(start),
				Failed: err != nil,
			},
		})
	}()
}

type adviceServed struct {
	to       string
	response adviceResponse
}

func (e adviceServed) apply(c *control) { c.send(e.to, topicAdviceResponse, e.response) }

func (c *control) receiveAdvice(response adviceResponse) {
	if c.cell == nil {
		return
	}
	var err error
	if response.Failed {
		err = tanagerport.OutcomeUnknown.New("adviser %s: call to the advice service failed", response.Order.Adviser)
	}
	now := c.timer.Now()
	c.cell.HandleAdviceResponse(now, response.Order, now.Add(-response.Took), response.Advice, err)
}

// refuseAdvice hands a call for advice that was certainly not made back to the
// cell.
func (c *control) refuseAdvice(order tanagerdispatch.AdviceOrder, reason string) {
	if c.cell == nil {
		return
	}
	now := c.timer.Now()
	c.cell.HandleAdviceResponse(now, order, now, tanagerport.Advice{},
		tanagerport.Refused.New("adviser %s: %s", order.Adviser, reason))
}

// stateCall asks the scheduler for the state of a job.
type stateCall struct {
	request stateRequest
	reply   chan stateResponse
}

func (e stateCall) apply(c *control) {
	c.lastCorrelationID++
	e.request.CorrelationID = c.lastCorrelationID
	if c.leader.holder.Member == "" || !c.send(c.leader.holder.Member, topicStateRequest, e.request) {
		e.reply <- stateResponse{}
		return
	}
	c.stateReplies[c.lastCorrelationID] = e.reply
	// Drop the reply channel of an old request, whose response may be lost.
	delete(c.stateReplies, c.lastCorrelationID-maxPendingRequests)
}

// maxPendingRequests is the number of later requests after which a request
// without a response is dropped.
const maxPendingRequests = 4096

func (c *control) receiveStateResponse(response stateResponse) {
	if reply, pending := c.stateReplies[response.CorrelationID]; pending {
		delete(c.stateReplies, response.CorrelationID)
		reply <- response
	}
}

// notifyScheduler sends a message to the scheduler on behalf of another
// goroutine. The message is dropped if no scheduler is known.
type notifyScheduler struct {
	topic   string
	payload any
}

func (e notifyScheduler) apply(c *control) {
	if c.leader.holder.Member != "" {
		c.send(c.leader.holder.Member, e.topic, e.payload)
	}
}
