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
	// AcceptedUnserved counts the accepted jobs that expired or never ended.
	AcceptedUnserved          int
	EarnedValue, OfferedValue float64
	waitTimes                 []time.Duration
	// retryErrors are the differences between the Retry-After that callers were
	// given and the time until their class was open again.
	retryErrors []time.Duration
}

// RetryErrorQuantile returns a quantile, from 0 to 1, of the difference between
// the Retry-After of rejected callers and the time after which they would have
// been accepted. The second result is the number of rejections.
func (k *KindReport) RetryErrorQuantile(q float64) (time.Duration, int) {
	return quantile(k.retryErrors, q), len(k.retryErrors)
}

// WaitQuantile returns a quantile, from 0 to 1, of the time from a job's first
// submission to its first task start.
func (k *KindReport) WaitQuantile(q float64) time.Duration {
	return quantile(k.waitTimes, q)
}

// quantile returns a quantile of the values, which it sorts, or 0 if there are
// none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
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
	// DuplicateRuns counts starts of a task that was running, or whose end had
	// reached the scheduler.
	DuplicateRuns int
	// GangTimeouts counts members of gangs that waited gangWait for the others.
	GangTimeouts int
	// WorkerCrashes counts the workers that crashing tasks have crashed,
	// MaxCrashesByTask those that one task has crashed.
	WorkerCrashes, MaxCrashesByTask int
	// FailedWithoutCause counts the jobs without a crashing task that are shown as
	// failed at the end. The failing runs of a load are fewer than the attempts.
	FailedWithoutCause int
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
