package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershare"
)

// applyRules brings the rules in force to the queues and the backlog. It runs on
// each change of the configuration and once a second, because exceptions begin
// and end by the clock.
func (c *Control) applyRules(_ time.Time) {
	for _, s := range c.owned.services {
		c.applyQueueRules(s)
	}
	for _, name := range c.config.BranchNames() {
		rules, _ := c.config.Effective(name, c.Wall())
		c.workers.offers.backlog.SetBranch(name, shareRules(rules))
	}
	c.workers.fleet.ForgetMisses()
	c.workers.dirty = true
}

// shareRules are the rules of a branch at one owner of workers. Quotas are kept
// by the owner of the branch, which knows all that the branch holds.
func shareRules(r tanagerconfig.Rules) tanagershare.Branch {
	return tanagershare.Branch{
		Weight:      r.Weight,
		UrgentShare: r.UrgentShare,
	}
}

func (c *Control) applyQueueRules(s *serviceRow) {
	for _, name := range c.config.BranchNames() {
		rules, _ := c.config.Effective(name, c.Wall())
		s.queue.SetBranch(name, queueRules(rules))
	}
}

// queueRules are the rules of a branch in the queue of a service.
func queueRules(r tanagerconfig.Rules) tanagerqueue.Branch {
	return tanagerqueue.Branch{
		Weight:      r.Weight,
		UrgentShare: r.UrgentShare,
	}
}
