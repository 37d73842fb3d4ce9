package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// execute carries out orders, each on its own goroutine. Responses come back as
// events that carry the term; those of an earlier term are dropped, because they
// prove nothing about what the workers know of the current epoch.
func (c *control) execute(orders tanagerdispatch.Orders) {
	term := c.term
	decidedAt := c.timer.Now()
	for _, o := range orders.Starts {
		go func() {
			sentAt := c.timer.Now()
			response, err := c.sendStart(o, sentAt.Sub(decidedAt))
			c.metrics.ObserveOrder(c.ctx, "start", c.timer.Now().Sub(sentAt))
			c.post(startCallFinished{
				term:     term,
				order:    o,
				response: response,
				err:      err,
			})
		}()
	}
	for _, o := range orders.Stops {
		go func() {
			response, err := c.ports.Workers.Stop(c.ctx, o.Worker, o.Stop)
			c.post(stopCallFinished{
				term:     term,
				order:    o,
				response: response,
				err:      err,
			})
		}()
	}
	for _, o := range orders.Polls {
		go func() {
			sentAt := c.timer.Now()
			report, err := c.sendPoll(o, sentAt.Sub(decidedAt))
			c.post(pollCallFinished{
				term:   term,
				order:  o,
				sentAt: sentAt,
				readAt: c.timer.Now(),
				report: report,
				err:    err,
			})
		}()
	}
	for _, o := range orders.Throttles {
		go func() {
			if _, err := c.ports.Workers.Throttle(c.ctx, o.Worker, o.Throttle); err != nil {
				c.log.Warn().Str("event", "throttle_failed").Str("task", o.Throttle.Task.String()).Err(err).Send()
			}
		}()
	}
	for _, o := range orders.Advice {
		if !c.send(o.Adviser, topicAdviceRequest, adviceRequest{Order: o}) {
			c.refuseAdvice(o, "message not queued")
		}
	}
	c.sendMaintenanceOrders(orders.Maintenance)
	c.writeWaveStatus(orders.WaveStatus)
	for _, o := range orders.Outcomes {
		c.metrics.CountOutcome(c.ctx, o.Queue, string(o.Result))
	}
	for _, f := range orders.Forecasts {
		c.metrics.ObserveForecast(c.ctx, f.Queue, f.Forecast, f.Actual)
	}
	for _, e := range orders.Events {
		c.logEvent(e)
	}
}

// maxOrderDelay is the time between the decision on an order and its call above which
// this process counts as paused: what the decision was based on may be out of date.
const maxOrderDelay = 500 * time.Millisecond

// maxResponseDelay is the time between a response and its application above which
// this process counts as paused.
const maxResponseDelay = time.Second

// sendStart sends a start that was decided on the given time ago. After a pause it
// sends nothing: another scheduler may have started the task meanwhile.
func (c *control) sendStart(o tanagerdispatch.StartOrder, age time.Duration) (tanagerport.Response, error) {
	if age > maxOrderDelay {
		return tanagerport.Response{}, tanagerport.NotSent.New("start was decided on %v ago", age)
	}
	return c.ports.Workers.Start(c.ctx, o.Worker, o.Start)
}

// sendPoll sends a poll that was decided on the given time ago. After a pause it
// acknowledges nothing, as the worker may have restarted meanwhile, and extends no
// lease.
func (c *control) sendPoll(o tanagerdispatch.PollOrder, age time.Duration) (tanagerport.Report, error) {
	if age > maxOrderDelay {
		o.Poll.Acknowledged = 0
		o.Poll.Deadline = 0
	}
	return c.ports.Workers.Poll(c.ctx, o.Worker, o.Poll)
}

type startCallFinished struct {
	term     uint64
	order    tanagerdispatch.StartOrder
	response tanagerport.Response
	err      error
}

func (e startCallFinished) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.HandleStartResponse(c.timer.Now(), e.order, e.response, e.err)
	}
}

type stopCallFinished struct {
	term     uint64
	order    tanagerdispatch.StopOrder
	response tanagerport.Response
	err      error
}

func (e stopCallFinished) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.HandleStopResponse(c.timer.Now(), e.order, e.response, e.err)
	}
}

type pollCallFinished struct {
	term  uint64
	order tanagerdispatch.PollOrder
	// sentAt and readAt are the times of the call and of its response.
	sentAt, readAt time.Time
	report         tanagerport.Report
	err            error
}

// late reports whether the response may have waited, in the network's buffers or in
// this process's queue, for longer than a poll or an event takes.
func (e pollCallFinished) late(now time.Time) bool {
	return e.readAt.Sub(e.sentAt) > e.order.Poll.Wait+maxOrderDelay || now.Sub(e.readAt) > maxResponseDelay
}

func (e pollCallFinished) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		now := c.timer.Now()
		e.report.Late = e.late(now)
		c.cell.HandlePollResponse(now, e.order, e.sentAt, e.report, e.err)
	}
}

// isCurrentTerm reports whether this daemon is still the scheduler of the term.
func (c *control) isCurrentTerm(term uint64) bool { return c.cell != nil && c.term == term }

func (c *control) logEvent(e tanagerdispatch.LogEvent) {
	entry := c.log.Info().Str("event", e.Name)
	if e.Job != "" {
		entry = entry.Str("job", string(e.Job))
	}
	if e.Queue != "" {
		entry = entry.Str("queue", e.Queue)
	}
	if e.Task.Job != "" {
		entry = entry.Int("occurrence", e.Task.Occurrence).Int("step", e.Task.Step).
			Int("task", e.Task.Index).Int64("run", e.Run)
	}
	if e.Worker != "" {
		entry = entry.Str("worker", e.Worker)
	}
	if e.Incarnation != 0 {
		entry = entry.Int64("incarnation", e.Incarnation)
	}
	if e.SequenceNumber != 0 {
		entry = entry.Int64("end", e.SequenceNumber)
	}
	if e.Clock != 0 {
		entry = entry.Dur("clock_ms", e.Clock)
	}
	if e.LeaseEnd != 0 {
		entry = entry.Dur("lease_end_ms", e.LeaseEnd)
	}
	if e.Reason != "" {
		entry = entry.Str("reason", e.Reason)
	}
	if e.Forecast > 0 {
		entry = entry.Dur("forecast_ms", e.Forecast)
	}
	entry.Dur("age_ms", e.Age).Uint64("epoch", c.leader.epoch).Send()
}
