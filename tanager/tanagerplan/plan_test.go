package tanagerplan

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerresource"
)

var now = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

// newInput returns a cell with three branches of equal weight, two of which
// have waiting work.
func newInput(c *qt.C) Input {
	state := tanagerconfig.New()
	for _, name := range []string{"augsburg", "munich", "rosenheim"} {
		next, failure := state.Apply(tanagerconfig.Intent{
			Kind:   tanagerconfig.SetBranch,
			Branch: name,
			Rules: &tanagerconfig.Rules{
				Weight: 1,
			},
		}, now)
		c.Assert(failure == nil, qt.IsTrue)
		state = next
	}
	newUsage := func(branch string, cores int64, waiting int) BranchUsage {
		return BranchUsage{
			Branch: branch,
			Allocated: tanagerresource.Vector{
				CPU: cores * 1000,
			},
			Waiting: waiting,
			Slots:   int(cores),
			Queued:  waiting,
		}
	}
	return Input{
		State: state,
		Now:   now,
		Capacity: tanagerresource.Vector{
			CPU: 100000,
		},
		Slots:        100,
		BranchUsages: []BranchUsage{newUsage("augsburg", 40, 10), newUsage("munich", 10, 0), newUsage("rosenheim", 40, 10)},
	}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 0.005 }

func TestPlanListsBranchesWhoseShareChanges(t *testing.T) {
	c := qt.New(t)
	in := newInput(c)
	in.Intent = tanagerconfig.Intent{
		Kind:   tanagerconfig.GrantException,
		Branch: "rosenheim",
		Exception: &tanagerconfig.Exception{
			Name:         "spring-pruning",
			WeightFactor: 2,
			Until:        now.Add(96 * time.Hour),
		},
	}
	p, failure := Compute(in)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(p.Revision, qt.Equals, uint64(3))
	c.Assert(p.Until, qt.Equals, now.Add(96*time.Hour))
	c.Assert(p.Effects, qt.HasLen, 2)
	// Munich wants 10% and keeps it; the other two share 90% in the ratio 1:2.
	augsburg, rosenheim := p.Effects[0], p.Effects[1]
	c.Check(approxEqual(augsburg.WorkerShareBefore, 0.45) && approxEqual(augsburg.WorkerShareAfter, 0.3), qt.IsTrue,
		qt.Commentf("%+v", augsburg))
	c.Check(approxEqual(rosenheim.WorkerShareAfter, 0.6) && approxEqual(rosenheim.SlotShareAfter, 0.6), qt.IsTrue,
		qt.Commentf("%+v", rosenheim))
	c.Check(augsburg.LosesShare(), qt.IsTrue)
	c.Check(rosenheim.LosesShare(), qt.IsFalse)
	// Computing a plan does not change the configuration.
	rules, _ := in.State.Effective("rosenheim", now)
	c.Check(rules.Weight, qt.Equals, 1.0)
}

func TestPlanListsRefusedWork(t *testing.T) {
	c := qt.New(t)
	in := newInput(c)
	in.Intent = tanagerconfig.Intent{
		Kind:   tanagerconfig.SetBranch,
		Branch: "augsburg",
		Rules: &tanagerconfig.Rules{
			Weight: 1,
			Quota: tanagerresource.Vector{
				CPU: 30000,
			},
		},
	}
	p, _ := Compute(in)
	c.Assert(p.Rejected, qt.HasLen, 1)
	c.Assert(p.Rejected[0], qt.Contains, "augsburg")
	in.Intent = tanagerconfig.Intent{
		Kind:   tanagerconfig.RemoveBranch,
		Branch: "munich",
	}
	p, _ = Compute(in)
	c.Assert(p.Rejected, qt.HasLen, 1)
	in.Intent.Branch = "nowhere"
	_, failure := Compute(in)
	c.Assert(failure.Code, qt.Equals, tanagerfailure.UnknownBranch)
}
