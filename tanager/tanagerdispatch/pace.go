package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

const (
	// fullPace lets a task work undisturbed.
	fullPace = 100
	// paceInterval spaces the changes of one worker's pace: a change works at
	// once, and the tail is measured over half a second.
	paceInterval = 600 * time.Millisecond
	// paceStep is added to the pace, in percent, while there is headroom.
	paceStep = 10
	// Above pressureShare of its target a serving task's tail halves the pace of
	// what fills beside it; below headroomShare the pace rises.
	pressureShare = 0.85
	headroomShare = 0.6
)

// adjustPace answers filling tasks that slow down the serving ones beside them:
// additive increase and multiplicative decrease by the worst tail of the worker.
func (c *Cell) adjustPace() {
	for _, w := range c.workers {
		pressure := w.pressure()
		for a := range w.attempts {
			if !a.step.spec.Fills || a.phase != running || c.now.Sub(a.pacedAt) < paceInterval {
				continue
			}
			c.setPace(a, nextPace(a.paced, pressure))
		}
	}
}

// pressure is the worst tail of the serving tasks, as a share of its target.
func (w *worker) pressure() float64 {
	worst := 0.0
	for a := range w.attempts {
		if target := a.step.spec.TailTarget; target > 0 {
			worst = max(worst, a.gauge*float64(time.Millisecond)/float64(target))
		}
	}
	return worst
}

func nextPace(pace int, pressure float64) int {
	switch {
	case pressure > pressureShare:
		return pace / 2
	case pressure < headroomShare:
		return min(pace+paceStep, fullPace)
	}
	return pace
}

func (c *Cell) setPace(a *attempt, percent int) {
	a.pacedAt = c.now
	if percent == a.paced {
		return
	}
	a.paced = percent
	c.out.Paces = append(c.out.Paces, PaceOrder{
		Worker: a.worker.ref(),
		Pace: tanagerport.Pace{
			Task:    a.name(),
			Run:     a.run,
			Percent: percent,
			Epoch:   c.epoch,
		},
	})
}
