package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanagerd/tanagermessage"
)

// planWanted answers an operator's goroutine with what an intent would change.
func (c *Control) planWanted(_ string, m tanagermessage.PlanWanted, _ time.Time) {
	plan, failure := tanagerplan.Compute(c.planInput(m.Intent))
	c.Effects.Answer(m.Waiter, PlanAnswer{
		Plan:    plan,
		Failure: failure,
	})
}

// configWanted answers an operator's goroutine with the configuration in force.
func (c *Control) configWanted(_ string, m tanagermessage.ConfigWanted, _ time.Time) {
	c.Effects.Answer(m.Waiter, c.config)
}

// planInput adds up what the daemons last told of their branches.
func (c *Control) planInput(intent tanagerconfig.Intent) tanagerplan.Input {
	in := tanagerplan.Input{
		State:  c.config,
		Intent: intent,
		Now:    c.Wall(),
	}
	uses := make(map[string]tanagerplan.Use)
	for _, h := range c.hints {
		in.Total = in.Total.Plus(h.total)
		for _, s := range h.services {
			in.Slots += s.slots
		}
		for _, b := range h.branches {
			use := uses[b.Branch]
			use.Branch = b.Branch
			use.Held = use.Held.Plus(b.Held)
			use.Waiting += b.Waiting
			use.Slots += b.Slots
			use.Queued += b.Queued
			uses[b.Branch] = use
		}
	}
	for _, name := range c.config.BranchNames() {
		if use, ok := uses[name]; ok {
			in.Uses = append(in.Uses, use)
		}
	}
	return in
}
