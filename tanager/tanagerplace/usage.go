package tanagerplace

import "tanagersail.example/tanager/tanagerresource"

// UsageEstimator estimates the resources that the tasks of a job family use, from
// the usage of earlier tasks. It is not safe for concurrent use.
type UsageEstimator struct {
	families    map[FamilyKey]*familyUsage
	maxFamilies int
}

// FamilyKey identifies a job family within a branch.
type FamilyKey struct {
	Branch string
	Family string
}

// familyUsage is the recent peak usage of a family.
type familyUsage struct {
	peak  tanagerresource.Vector
	tasks int
}

// peakDecayShift sets the decay of the CPU and memory peaks: with each observed
// task they fall by one part in 2 to this power.
const peakDecayShift = 6

// NewUsageEstimator returns an estimator that tracks at most limit families.
func NewUsageEstimator(limit int) *UsageEstimator {
	return &UsageEstimator{
		families:    make(map[FamilyKey]*familyUsage),
		maxFamilies: limit,
	}
}

// RecordUsage records the peak usage of a task. It ignores tasks without a
// family, and new families once the limit is reached.
func (e *UsageEstimator) RecordUsage(key FamilyKey, usage tanagerresource.Vector) {
	if key.Family == "" {
		return
	}
	f := e.families[key]
	if f == nil {
		if len(e.families) >= e.maxFamilies {
			return
		}
		f = &familyUsage{}
		e.families[key] = f
	}
	f.tasks++
	f.peak = usage.Max(tanagerresource.Vector{
		CPU:          f.peak.CPU - f.peak.CPU>>peakDecayShift,
		Memory:       f.peak.Memory - f.peak.Memory>>peakDecayShift,
		Accelerators: f.peak.Accelerators,
	})
}

// Estimate returns the larger, per resource, of the declared resources and the
// recent peak usage of the family.
func (e *UsageEstimator) Estimate(key FamilyKey, declared tanagerresource.Vector) tanagerresource.Vector {
	f := e.families[key]
	if f == nil {
		return declared
	}
	return declared.Max(f.peak)
}
