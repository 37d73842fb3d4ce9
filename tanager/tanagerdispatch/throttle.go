package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

const (
	// fullPercent lets a task work undisturbed.
	fullPercent = 100
	// throttleInterval spaces the changes of one worker's pace: a change works at
	// once, and the tail is measured over half a second.
	throttleInterval = 600 * time.Millisecond
	// cpuPercentStep is added to the pace, in percent, while there is headroom.
	cpuPercentStep = 10
	// Above highLatencyRatio of its target a serving task's tail halves the pace of
	// what fills beside it; below headroomShare the pace rises.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.6
)

// adjustThrottling answers filling tasks that slow down the serving ones beside them:
// additive increase and multiplicative decrease by the worst tail of the worker.
func (c *Cell) adjustThrottling() {
	for _, w := range c.workers {
		pressure := w.tailLatencyRatio()
		for a := range w.attempts {
			if !a.step.spec.Fills || a.phase != running || c.now.Sub(a.cpuPercentSetAt) < throttleInterval {
				continue
			}
			c.setCPUPercent(a, nextCPUPercent(a.cpuPercent, pressure))
		}
	}
}

// tailLatencyRatio is the worst tail of the serving tasks, as a share of its target.
func (w *worker) tailLatencyRatio() float64 {
	worst := 0.0
	for a := range w.attempts {
		if target := a.step.spec.TailTarget; target > 0 {
			worst = max(worst, a.gauge*float64(time.Millisecond)/float64(target))
		}
	}
	return worst
}

func nextCPUPercent(pace int, pressure float64) int {
	switch {
	case pressure > highLatencyRatio:
		return pace / 2
	case pressure < lowLatencyRatio:
		return min(pace+cpuPercentStep, fullPercent)
	}
	return pace
}

func (c *Cell) setCPUPercent(a *attempt, percent int) {
	a.cpuPercentSetAt = c.now
	if percent == a.cpuPercent {
		return
	}
	a.cpuPercent = percent
	c.orders.Paces = append(c.orders.Paces, PaceOrder{
		Worker: a.worker.ref(),
		Pace: tanagerport.Pace{
			Task:    a.name(),
			Run:     a.run,
			Percent: percent,
			Epoch:   c.epoch,
		},
	})
}
