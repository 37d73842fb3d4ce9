package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// JobResult tells what a job's result was worth to its caller.
type JobResult string

// The results of ended jobs. A late job missed its objective, an expired one was
// of no use any more.
const (
	ResultOnTime    JobResult = "on_time"
	ResultLate      JobResult = "late"
	ResultExpired   JobResult = "expired"
	ResultFailed    JobResult = "failed"
	ResultCancelled JobResult = "cancelled"
)

// JobOutcome is the result of an accepted job, for metrics.
type JobOutcome struct {
	Queue  string
	Result JobResult
}

// ForecastOutcome compares the wait that was forecast for a job when it was
// accepted with its actual wait, for metrics.
type ForecastOutcome struct {
	Queue            string
	Forecast, Actual time.Duration
}

// recordOutcome reports the result of a job that has ended. The occurrences of
// recurring jobs have objectives of their own and are not reported.
func (c *Cell) recordOutcome(j *job) {
	if j.record.Spec.Times > 0 {
		return
	}
	o := JobOutcome{Queue: j.record.Queue}
	age := c.now.Sub(j.record.Arrived)
	switch {
	case j.state == tanagerwork.Failed:
		o.Result = ResultFailed
	case j.state == tanagerwork.Cancelled:
		o.Result = ResultCancelled
	case age <= j.objective:
		o.Result = ResultOnTime
	case age <= expiryFactor*j.objective:
		o.Result = ResultLate
	default:
		o.Result = ResultExpired
	}
	c.orders.Outcomes = append(c.orders.Outcomes, o)
}

// recordForecastOutcome reports the actual wait of a job that has started.
func (c *Cell) recordForecastOutcome(j *job) {
	if j.inherited || j.record.Spec.Times > 0 {
		return
	}
	c.orders.Forecasts = append(c.orders.Forecasts, ForecastOutcome{
		Queue:    j.record.Queue,
		Forecast: j.forecast,
		Actual:   c.now.Sub(j.record.Arrived),
	})
}
