package tanagerreplay

import (
	"math"
	"sync"
	"time"
)

// Policy is a way to schedule that an experiment compares with others.
type Policy struct {
	Name string
	// New returns a scheduler for a load.
	New func(l Load) Scheduler
}

// Policies returns the policies that can be compared: the cell as it is, the cell
// without admission control, and Baseline.
func Policies() []Policy {
	return []Policy{
		{
			Name: "cell",
			New:  func(l Load) Scheduler { return NewCellScheduler(l) },
		},
		{
			Name: "accept_all",
			New: func(l Load) Scheduler {
				s := NewCellScheduler(l)
				s.acceptAll = true
				return s
			},
		},
		{
			Name: "first_fit",
			New:  func(l Load) Scheduler { return NewBaseline(l) },
		},
	}
}

// Result is what one policy achieves under one pattern, over all seeds of an
// experiment. Shares are of the submitted jobs.
type Result struct {
	Pattern, Policy string
	// Value is the mean ratio of earned to offered value, ValueSpread its standard
	// deviation over the seeds.
	Value, ValueSpread float64
	// AcceptedUnserved and Rejected are shares over all kinds.
	AcceptedUnserved, Rejected float64
	// UrgentWait is the mean over the seeds of the 95th percentile of the wait of
	// urgent jobs.
	UrgentWait time.Duration
	// RetryError and RetryErrorP95 are quantiles of the error of Retry-After over
	// the rejections of all seeds; Rejections is their number.
	RetryError, RetryErrorP95 time.Duration
	Rejections                int
}

// RunExperiment plays each pattern with each policy on the deployments drawn from
// the seeds first to first+seeds-1. The policies of a pattern and seed see the
// same jobs. Equal arguments give equal results.
func RunExperiment(patterns []Pattern, policies []Policy, first uint64, seeds int) []Result {
	results := make([]Result, len(patterns)*len(policies))
	var pending sync.WaitGroup
	for i, pattern := range patterns {
		for j, policy := range policies {
			pending.Add(1)
			go func() {
				defer pending.Done()
				results[i*len(policies)+j] = runPolicy(pattern, policy, first, seeds)
			}()
		}
	}
	pending.Wait()
	return results
}

func runPolicy(pattern Pattern, policy Policy, first uint64, seeds int) Result {
	result := Result{
		Pattern: pattern.Name,
		Policy:  policy.Name,
	}
	var values []float64
	var retryErrors []time.Duration
	submitted, unserved, rejected := 0, 0, 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		l := pattern.Apply(DrawShape(seed))
		report := Simulate(l, policy.New(l))
		values = append(values, report.ValueRatio())
		for i := range report.Kinds {
			k := &report.Kinds[i]
			submitted += k.Submitted
			unserved += k.AcceptedUnserved
			rejected += k.Rejected
			retryErrors = append(retryErrors, k.retryErrors...)
		}
		result.UrgentWait += report.Kinds[len(report.Kinds)-1].WaitQuantile(0.95) / time.Duration(seeds)
	}
	result.Value, result.ValueSpread = meanAndSpread(values)
	result.AcceptedUnserved = float64(unserved) / float64(submitted)
	result.Rejected = float64(rejected) / float64(submitted)
	result.RetryError = quantile(retryErrors, 0.5)
	result.RetryErrorP95 = quantile(retryErrors, 0.95)
	result.Rejections = len(retryErrors)
	return result
}

// meanAndSpread returns the mean and the standard deviation of values.
func meanAndSpread(values []float64) (mean, spread float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		spread += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(spread)
}
