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

// cell returns three equal branches of which two want more than they hold.
func cell(c *qt.C) Input {
	s := tanagerconfig.New()
	for _, name := range []string{"augsburg", "munich", "rosenheim"} {
		next, failure := s.Apply(tanagerconfig.Intent{
			Kind:   tanagerconfig.SetBranch,
			Branch: name,
			Rules: &tanagerconfig.Rules{
				Weight: 1,
			},
		}, now)
		c.Assert(failure == nil, qt.IsTrue)
		s = next
	}
	use := func(branch string, cores int64, waiting int) Use {
		return Use{
			Branch: branch,
			Held: tanagerresource.Vector{
				CPU: cores * 1000,
			},
			Waiting: waiting,
			Slots:   int(cores),
			Queued:  waiting,
		}
	}
	return Input{
		State: s,
		Now:   now,
		Total: tanagerresource.Vector{
			CPU: 100000,
		},
		Slots: 100,
		Uses:  []Use{use("augsburg", 40, 10), use("munich", 10, 0), use("rosenheim", 40, 10)},
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.005 }

func TestPlanTellsWhoGainsAndWhoLoses(t *testing.T) {
	c := qt.New(t)
	in := cell(c)
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
	// Munich wants 10% and keeps it; the other two share 90% as 1 to 2.
	augsburg, rosenheim := p.Effects[0], p.Effects[1]
	c.Check(near(augsburg.WorkerShareBefore, 0.45) && near(augsburg.WorkerShareAfter, 0.3), qt.IsTrue, qt.Commentf("%+v", augsburg))
	c.Check(near(rosenheim.WorkerShareAfter, 0.6) && near(rosenheim.SlotShareAfter, 0.6), qt.IsTrue, qt.Commentf("%+v", rosenheim))
	c.Check(augsburg.Loses(), qt.IsTrue)
	c.Check(rosenheim.Loses(), qt.IsFalse)
	// Nothing has changed.
	rules, _ := in.State.Effective("rosenheim", now)
	c.Check(rules.Weight, qt.Equals, 1.0)
}

func TestPlanTellsWhatWouldBeRefused(t *testing.T) {
	c := qt.New(t)
	in := cell(c)
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
	c.Assert(p.Refused, qt.HasLen, 1)
	c.Assert(p.Refused[0], qt.Contains, "augsburg")
	in.Intent = tanagerconfig.Intent{
		Kind:   tanagerconfig.RemoveBranch,
		Branch: "munich",
	}
	p, _ = Compute(in)
	c.Assert(p.Refused, qt.HasLen, 1)
	in.Intent.Branch = "nowhere"
	_, failure := Compute(in)
	c.Assert(failure.Code, qt.Equals, tanagerfailure.UnknownBranch)
}
