package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanagerd/tanagermessage"
)

// planTimeout is how long a plan waits for the daemons to report their usage.
const planTimeout = 500 * time.Millisecond

// planTables hold the plans that wait for the usage reports of all daemons.
type planTables struct {
	lastNumber uint64
	pending    map[uint64]*planRow
}

// planRow is the state of one plan.
type planRow struct {
	waiter   uint64
	intent   tanagerconfig.Intent
	deadline time.Time
	// outstanding is the number of daemons that have not reported yet.
	outstanding int
	total       tanagerresource.Vector
	slots       int
	usage       map[string]tanagerplan.BranchUsage
}

// planRequested asks all daemons for the usage of each branch.
func (c *Control) planRequested(_ string, m tanagermessage.PlanRequested, now time.Time) {
	c.plans.lastNumber++
	if c.plans.pending == nil {
		c.plans.pending = make(map[uint64]*planRow)
	}
	row := &planRow{
		waiter:   m.Waiter,
		intent:   m.Intent,
		deadline: now.Add(planTimeout),
		usage:    make(map[string]tanagerplan.BranchUsage),
	}
	c.plans.pending[c.plans.lastNumber] = row
	for id := range c.members {
		if c.send(id, tanagermessage.TopicUsageRequest, tanagermessage.UsageRequest{
			CorrelationID: c.plans.lastNumber,
		}) {
			row.outstanding++
		}
	}
	c.answerPlans(now)
}

// answerPlans answers the plans that have all usage reports or have timed out.
// The plan itself is computed by the operator's goroutine, because it would
// block the control loop for too long.
func (c *Control) answerPlans(now time.Time) {
	for number, row := range c.plans.pending {
		if row.outstanding > 0 && now.Before(row.deadline) {
			continue
		}
		delete(c.plans.pending, number)
		c.Effects.Respond(row.waiter, c.planInput(row))
	}
}

func (c *Control) usageRequested(from string, m tanagermessage.UsageRequest, _ time.Time) {
	c.send(from, tanagermessage.TopicUsageResponse, tanagermessage.UsageResponse{
		CorrelationID: m.CorrelationID,
		Capacity:      c.workers.fleet.Capacity(),
		Slots:         c.totalSlots(),
		Usages:        c.branchUsage(),
	})
}

func (c *Control) totalSlots() int {
	n := 0
	for _, t := range c.fleet.targets {
		n += t.vm.Slots
	}
	return n
}

// usageReceived adds the usage report of a daemon to a plan.
func (c *Control) usageReceived(_ string, m tanagermessage.UsageResponse, now time.Time) {
	row := c.plans.pending[m.CorrelationID]
	if row == nil {
		return
	}
	row.outstanding--
	row.total = row.total.Add(m.Capacity)
	row.slots += m.Slots
	for _, u := range m.Usages {
		use := row.usage[u.Branch]
		use.Branch = u.Branch
		use.Allocated = use.Allocated.Add(tanagerresource.Vector{
			CPU:          u.CPU,
			Memory:       u.Memory,
			Accelerators: u.Accelerators,
		})
		use.Waiting += u.Waiting
		use.Slots += u.Slots
		use.Queued += u.Queued
		row.usage[u.Branch] = use
	}
	c.answerPlans(now)
}

func (c *Control) planInput(row *planRow) tanagerplan.Input {
	in := tanagerplan.Input{
		State:  c.config,
		Intent: row.intent,
		Now:    c.WallClock(),
		Total:  row.total,
		Slots:  row.slots,
	}
	for _, name := range c.config.BranchNames() {
		if use, ok := row.usage[name]; ok {
			in.BranchUsages = append(in.BranchUsages, use)
		}
	}
	return in
}

// configRequested answers an operator's goroutine with the configuration in
// force.
func (c *Control) configRequested(_ string, m tanagermessage.ConfigRequested, _ time.Time) {
	c.Effects.Respond(m.Waiter, c.config)
}

// branchUsage returns what each branch holds and waits for at this daemon.
func (c *Control) branchUsage() []tanagermessage.BranchUsage {
	if !c.mapKnown() {
		return nil
	}
	var uses []tanagermessage.BranchUsage
	for _, name := range c.config.BranchNames() {
		held := c.workers.offers.backlog.Allocated(name)
		use := tanagermessage.BranchUsage{
			Branch:       name,
			CPU:          held.CPU,
			Memory:       held.Memory,
			Accelerators: held.Accelerators,
			Waiting:      c.waitingTasks(name),
			Slots:        c.owned.runningByBranch[name],
		}
		for _, s := range c.owned.services {
			use.Queued += s.queue.Waiting(name)
		}
		if !held.IsZero() || use.Waiting > 0 || use.Slots > 0 || use.Queued > 0 {
			uses = append(uses, use)
		}
	}
	return uses
}
