package tanagerplace

import "tanagersail.example/tanager/tanagerresource"

// Learner remembers what the tasks of a family were seen to use. It is not safe
// for concurrent use.
type Learner struct {
	families map[FamilyKey]*family
	limit    int
}

// FamilyKey names a family of one branch.
type FamilyKey struct {
	Branch string
	Family string
}

type family struct {
	peak  tanagerresource.Vector
	tasks int
}

// forgetShift sets how fast an old peak is forgotten: with each task it falls
// by one part in 2 to this power.
const forgetShift = 6

// NewLearner returns a learner that knows at most limit families.
func NewLearner(limit int) *Learner {
	return &Learner{
		families: make(map[FamilyKey]*family),
		limit:    limit,
	}
}

// Observe notes the most that a task of a family was seen to use.
func (l *Learner) Observe(key FamilyKey, usage tanagerresource.Vector) {
	if key.Family == "" {
		return
	}
	f := l.families[key]
	if f == nil {
		if len(l.families) >= l.limit {
			return
		}
		f = &family{}
		l.families[key] = f
	}
	f.tasks++
	f.peak = usage.Max(tanagerresource.Vector{
		CPU:          f.peak.CPU - f.peak.CPU>>forgetShift,
		Memory:       f.peak.Memory - f.peak.Memory>>forgetShift,
		Accelerators: f.peak.Accelerators,
	})
}

// Expect returns the larger of what a task declares and what its family was
// seen to use lately.
func (l *Learner) Expect(key FamilyKey, declared tanagerresource.Vector) tanagerresource.Vector {
	f := l.families[key]
	if f == nil {
		return declared
	}
	return declared.Max(f.peak)
}
