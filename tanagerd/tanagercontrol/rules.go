package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershare"
)

// applyRules passes the rules in force to the request queues and the task
// backlog. It runs on each change of the configuration and once a second,
// because exceptions begin and end by wall-clock time.
func (c *Control) applyRules(_ time.Time) {
	for _, s := range c.owned.services {
		c.applyQueueRules(s)
	}
	for _, name := range c.config.BranchNames() {
		rules, _ := c.config.Effective(name, c.WallClock())
		c.workers.offers.backlog.SetBranch(name, shareRules(rules))
	}
	c.workers.fleet.ClearUnplaceable()
	c.workers.placementDue = true
}

// shareRules returns the rules of a branch for the task backlog of one owner of
// workers. Quotas are enforced by the owner of the branch's shard, which knows
// all allocations of the branch.
func shareRules(r tanagerconfig.Rules) tanagershare.BranchSettings {
	return tanagershare.BranchSettings{
		Weight:      r.Weight,
		UrgentShare: r.UrgentShare,
	}
}

func (c *Control) applyQueueRules(s *serviceRow) {
	for _, name := range c.config.BranchNames() {
		rules, _ := c.config.Effective(name, c.WallClock())
		s.queue.SetBranch(name, queueRules(rules))
	}
}

// queueRules returns the rules of a branch for the request queue of a service.
func queueRules(r tanagerconfig.Rules) tanagerqueue.BranchSettings {
	return tanagerqueue.BranchSettings{
		Weight:      r.Weight,
		UrgentShare: r.UrgentShare,
	}
}
