package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// execute carries out orders, each on its own goroutine. Answers come back as
// events that carry the term; answers of an earlier term are dropped, because
// they prove nothing about what the workers know of the current epoch.
func (c *control) execute(orders tanagerdispatch.Orders) {
	term := c.term
	for _, o := range orders.Starts {
		go func() {
			sent := c.timer.Now()
			answer, err := c.ports.Workers.Start(c.ctx, o.Worker, o.Start)
			c.metrics.ObserveOrder(c.ctx, "start", c.timer.Now().Sub(sent))
			c.post(startAnswered{
				term:   term,
				order:  o,
				answer: answer,
				err:    err,
			})
		}()
	}
	for _, o := range orders.Stops {
		go func() {
			answer, err := c.ports.Workers.Stop(c.ctx, o.Worker, o.Stop)
			c.post(stopAnswered{
				term:   term,
				order:  o,
				answer: answer,
				err:    err,
			})
		}()
	}
	for _, o := range orders.Polls {
		go func() {
			sent := c.timer.Now()
			report, err := c.ports.Workers.Poll(c.ctx, o.Worker, o.Poll)
			c.post(pollAnswered{
				term:   term,
				order:  o,
				sent:   sent,
				report: report,
				err:    err,
			})
		}()
	}
	for _, o := range orders.Throttles {
		go func() {
			if _, err := c.ports.Workers.Throttle(c.ctx, o.Worker, o.Throttle); err != nil {
				c.log.Warn().Str("event", "pace_unanswered").Str("task", o.Throttle.Task.String()).Err(err).Send()
			}
		}()
	}
	for _, o := range orders.Advice {
		if !c.send(o.Adviser, topicAdviceRequest, adviceRequest{Order: o}) {
			c.cell.AdviceAnswered(c.timer.Now(), o, c.timer.Now(), tanagerport.Advice{},
				tanagerport.Refused.New("adviser %s: message not queued", o.Adviser))
		}
	}
	c.requestUpkeep(orders.Maintenance)
	c.writeWaveStatus(orders.WaveStatus)
	for _, n := range orders.Events {
		c.logNote(n)
	}
}

type startAnswered struct {
	term   uint64
	order  tanagerdispatch.StartOrder
	answer tanagerport.Response
	err    error
}

func (e startAnswered) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.StartAnswered(c.timer.Now(), e.order, e.answer, e.err)
	}
}

type stopAnswered struct {
	term   uint64
	order  tanagerdispatch.StopOrder
	answer tanagerport.Response
	err    error
}

func (e stopAnswered) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.StopAnswered(c.timer.Now(), e.order, e.answer, e.err)
	}
}

type pollAnswered struct {
	term   uint64
	order  tanagerdispatch.PollOrder
	sent   time.Time
	report tanagerport.Report
	err    error
}

func (e pollAnswered) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.PollAnswered(c.timer.Now(), e.order, e.sent, e.report, e.err)
	}
}

// isCurrentTerm reports whether this daemon is still the scheduler of the term.
func (c *control) isCurrentTerm(term uint64) bool { return c.cell != nil && c.term == term }

func (c *control) logNote(n tanagerdispatch.LogEvent) {
	entry := c.log.Info().Str("event", n.Name)
	if n.Job != "" {
		entry = entry.Str("job", string(n.Job))
	}
	if n.Queue != "" {
		entry = entry.Str("queue", n.Queue)
	}
	if n.Task.Job != "" {
		entry = entry.Int("occurrence", n.Task.Occurrence).Int("step", n.Task.Step).
			Int("task", n.Task.Index).Int64("run", n.Run)
	}
	if n.Worker != "" {
		entry = entry.Str("worker", n.Worker)
	}
	if n.Reason != "" {
		entry = entry.Str("reason", n.Reason)
	}
	entry.Dur("age_ms", n.Age).Uint64("epoch", c.leader.epoch).Send()
}
