package tanagercell

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// receive applies a message of a daemon. One that cannot be read is logged and
// dropped: its sender repeats what matters or has stored it.
func (c *control) receive(m *message.Message) {
	from := m.Metadata.Get(tanagerpeer.FromKey)
	if m.Metadata.Get(tanagerpeer.UnsentKey) != "" {
		return
	}
	topic := m.Metadata.Get(tanagerpeer.TopicKey)
	var err error
	switch topic {
	case tanagerpeer.LostTopic:
		c.linkLost(from, m.Metadata.Get(tanagerpeer.GoneKey) != "")
	case topicHello:
		err = handle(m, func(h hello) { c.heard(from, h) })
	case topicHints:
		err = handle(m, func(h hintsTold) { c.hintsReceived(h) })
	case topicJob:
		err = handle(m, func(j jobStored) {
			j.Record.Arrived = c.timer.Now().Add(-min(max(j.Age, 0), oldestArrival))
			jobKnown{record: j.Record}.apply(c)
		})
	case topicCancel:
		err = handle(m, func(k cancelStored) { cancelKnown{id: k.ID}.apply(c) })
	case topicStateAsked:
		err = handle(m, func(q stateAsked) { c.send(from, topicStateTold, c.stateOf(q.ID, q.Question)) })
	case topicStateTold:
		err = handle(m, func(t stateTold) { c.answerQuestion(t) })
	case topicForwarded:
		err = handle(m, func(f forwarded) { c.serveForwarded(from, f) })
	case topicForwardTold:
		err = handle(m, func(t forwardTold) { c.answerForwarded(t) })
	case topicHandOver:
		err = handle(m, func(h handOver) { c.handedOver(from, h) })
	case topicLeadTold:
		err = handle(m, func(t leadTold) { c.leadLearnedFrom(t) })
	case topicAdviceAsked:
		err = handle(m, func(a adviceAsked) { c.advise(from, a) })
	case topicAdviceTold:
		err = handle(m, func(t adviceTold) { c.advised(t) })
	}
	if err != nil {
		c.log.Error().Str("event", "message_unreadable").Str("topic", topic).Str("from", from).Err(err).Send()
	}
}

// oldestArrival bounds the age that a daemon tells of a job: longer than any
// caller waits for an acceptance.
const oldestArrival = time.Minute

// linkLost notes that a connection broke. If the scheduler's process has ended,
// nobody waits for its key to lapse.
func (c *control) linkLost(from string, gone bool) {
	c.log.Debug().Str("event", "link_lost").Str("member", from).Bool("gone", gone).Send()
	if gone && from == c.lead.holder.Member && from != c.gone {
		c.gone = from
		c.standAt = time.Time{}
		c.log.Info().Str("event", "scheduler_gone").Str("member", from).Uint64("epoch", c.lead.epoch).Send()
	}
}

func handle[T any](m *message.Message, f func(T)) error {
	var payload T
	if err := tanagerwire.Decode(m.Payload, &payload); err != nil {
		return err
	}
	f(payload)
	return nil
}

func (c *control) heard(from string, h hello) {
	if c.cell == nil {
		return
	}
	if _, known := c.members[from]; !known {
		c.log.Info().Str("event", "daemon_heard").Str("member", from).Send()
		c.lastHints = time.Time{}
	} else if h.Deaf {
		c.reset(from, c.timer.Now())
	}
	now := c.timer.Now()
	c.members[from] = member{
		heard:       now,
		started:     now.Add(-h.UpTime),
		stopping:    h.Stopping,
		weight:      h.Weight,
		served:      now.Add(-h.StoreAge),
		servedSince: now.Add(-h.StoreSteady),
	}
}

func (c *control) hintsReceived(h hintsTold) {
	if h.Epoch < c.lead.epoch {
		return
	}
	c.hints = h.Hints
	c.helloEvery = min(h.Every, slowFactor*helloInterval)
	c.hintsAt = c.timer.Now()
}

// advise calls the advice service for the scheduler.
func (c *control) advise(from string, a adviceAsked) {
	go func() {
		began := c.timer.Now()
		advice, err := c.ports.Advisor.Advise(c.ctx, a.Order.Step, a.Order.Workers, a.Order.Expected)
		if err != nil {
			c.log.Warn().Str("event", "advice_failed").Str("step", a.Order.Step.String()).Err(err).Send()
		}
		c.post(adviceReady{
			to: from,
			told: adviceTold{
				Order:  a.Order,
				Advice: advice,
				Took:   c.timer.Now().Sub(began),
				Failed: err != nil,
			},
		})
	}()
}

type adviceReady struct {
	to   string
	told adviceTold
}

func (e adviceReady) apply(c *control) { c.send(e.to, topicAdviceTold, e.told) }

func (c *control) advised(t adviceTold) {
	if c.cell == nil {
		return
	}
	var err error
	if t.Failed {
		err = tanagerport.Unanswered.New("advice by %s", t.Order.Adviser)
	}
	now := c.timer.Now()
	c.cell.AdviceAnswered(now, t.Order, now.Add(-t.Took), t.Advice, err)
}

// question asks the scheduler for the state of a job.
type question struct {
	asked stateAsked
	reply chan stateTold
}

func (e question) apply(c *control) {
	c.asked++
	e.asked.Question = c.asked
	if c.lead.holder.Member == "" || !c.send(c.lead.holder.Member, topicStateAsked, e.asked) {
		e.reply <- stateTold{}
		return
	}
	c.questions[c.asked] = e.reply
	// A question whose answer got lost is forgotten after some later ones.
	delete(c.questions, c.asked-oldQuestion)
}

// oldQuestion is how many later questions make an unanswered one forgotten.
const oldQuestion = 4096

func (c *control) answerQuestion(t stateTold) {
	if reply, waits := c.questions[t.Question]; waits {
		delete(c.questions, t.Question)
		reply <- t
	}
}

// tell is a message to the scheduler from a caller's goroutine.
type tell struct {
	topic   string
	payload any
}

func (e tell) apply(c *control) {
	if c.lead.holder.Member != "" {
		c.send(c.lead.holder.Member, e.topic, e.payload)
	}
}
