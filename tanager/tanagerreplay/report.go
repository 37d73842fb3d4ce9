package tanagerreplay

import (
	"slices"
	"time"
)

// KindReport is what became of the jobs of one kind.
type KindReport struct {
	Name                                string
	Asked, OnTime, Late, Useless, Never int
	Refused                             int
	Earned, Owed                        float64
	waits                               []time.Duration
}

// Wait returns a quantile of the time from the first try to the first start.
func (k *KindReport) Wait(q float64) time.Duration {
	if len(k.waits) == 0 {
		return 0
	}
	slices.Sort(k.waits)
	return k.waits[min(int(q*float64(len(k.waits))), len(k.waits)-1)]
}

// Report is what the callers got.
type Report struct {
	Kinds []KindReport
	// WastedCoreSeconds are those of runs that were stopped or broken.
	WastedCoreSeconds float64
	Starts            int
	// Overcommitted counts starts beyond a worker's room.
	Overcommitted int
	// TwoRuns counts starts of a task that ran already.
	TwoRuns int
}

// Worth returns the part of the worth owed that was earned.
func (r *Report) Worth() float64 {
	earned, owed := 0.0, 0.0
	for _, k := range r.Kinds {
		earned += k.Earned
		owed += k.Owed
	}
	return earned / owed
}
