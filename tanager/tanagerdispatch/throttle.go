package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

const (
	// fullPercent is the CPU percentage of a run that is not throttled, and the
	// progress of a long-running task that is ready to serve.
	fullPercent = 100
	// throttleInterval is the time between two changes for one run. A change
	// takes effect at once, and tail latency is measured over half a second.
	throttleInterval = 600 * time.Millisecond
	// cpuPercentStep is added to the CPU percentage while tail latency is low.
	cpuPercentStep = 10
	// Above highLatencyRatio of the target tail latency the CPU percentage of
	// best-effort tasks is halved; below lowLatencyRatio it rises.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.6
)

// adjustThrottling throttles best-effort tasks that slow down latency-sensitive
// tasks on the same worker. It uses additive increase and multiplicative
// decrease, driven by the worst tail latency on the worker.
func (c *Cell) adjustThrottling() {
	for _, w := range c.workerList {
		latencyRatio := w.tailLatencyRatio()
		for _, a := range w.attempts {
			if !a.step.spec.BestEffort || a.phase != running || c.now.Sub(a.cpuPercentSetAt) < throttleInterval {
				continue
			}
			c.setCPUPercent(a, nextCPUPercent(a.cpuPercent, latencyRatio))
		}
	}
}

// tailLatencyRatio returns the highest ratio of a task's tail latency to its
// target on the worker, or 0 if no task there has a target.
func (w *worker) tailLatencyRatio() float64 {
	worst := 0.0
	for _, a := range w.attempts {
		if target := a.step.spec.TailLatencyTarget; target > 0 {
			worst = max(worst, a.gauge*float64(time.Millisecond)/float64(target))
		}
	}
	return worst
}

func nextCPUPercent(percent int, latencyRatio float64) int {
	switch {
	case latencyRatio > highLatencyRatio:
		return percent / 2
	case latencyRatio < lowLatencyRatio:
		return min(percent+cpuPercentStep, fullPercent)
	}
	return percent
}

func (c *Cell) setCPUPercent(a *attempt, percent int) {
	a.cpuPercentSetAt = c.now
	if percent == a.cpuPercent {
		return
	}
	a.cpuPercent = percent
	c.orders.Throttles = append(c.orders.Throttles, ThrottleOrder{
		Worker: a.worker.ref(),
		Throttle: tanagerport.Throttle{
			Task:       a.name(),
			Run:        a.run,
			CPUPercent: percent,
			Epoch:      c.epoch,
		},
	})
}
