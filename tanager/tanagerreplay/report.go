package tanagerreplay

import (
	"slices"
	"time"
)

// KindReport counts the outcomes of the jobs of one kind. Expired jobs completed
// after three times their objective and earn no value.
type KindReport struct {
	Name                                         string
	Submitted, OnTime, Late, Expired, Unfinished int
	Rejected                                     int
	EarnedValue, OfferedValue                    float64
	waitTimes                                    []time.Duration
}

// WaitQuantile returns a quantile, from 0 to 1, of the time from a job's first
// submission to its first task start.
func (k *KindReport) WaitQuantile(q float64) time.Duration {
	if len(k.waitTimes) == 0 {
		return 0
	}
	slices.Sort(k.waitTimes)
	return k.waitTimes[min(int(q*float64(len(k.waitTimes))), len(k.waitTimes)-1)]
}

// Report is the result of a simulation.
type Report struct {
	Kinds []KindReport
	// WastedCoreSeconds counts the core-seconds of runs that failed or were
	// stopped.
	WastedCoreSeconds float64
	TaskStarts        int
	// OvercommittedStarts counts starts that exceeded a worker's free capacity.
	OvercommittedStarts int
	// DuplicateRuns counts starts of a task that was running or done.
	DuplicateRuns int
}

// ValueRatio returns the earned value as a fraction of the offered value.
func (r *Report) ValueRatio() float64 {
	earned, offered := 0.0, 0.0
	for _, k := range r.Kinds {
		earned += k.EarnedValue
		offered += k.OfferedValue
	}
	return earned / offered
}
