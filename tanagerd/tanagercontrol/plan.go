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
	lastCorrelationID uint64
	pending           map[uint64]*planRow
}

// planRow is the state of one plan.
type planRow struct {
	waiter   uint64
	intent   tanagerconfig.Intent
	deadline time.Time
	// outstanding is the number of daemons that have not reported yet.
	outstanding int
	capacity    tanagerresource.Vector
	slots       int
	usage       map[string]tanagerplan.BranchUsage
}

// handlePlanRequested requests the usage of each branch from all daemons.
func (c *Control) handlePlanRequested(_ string, m tanagermessage.PlanRequested, now time.Time) {
	c.plans.lastCorrelationID++
	if c.plans.pending == nil {
		c.plans.pending = make(map[uint64]*planRow)
	}
	row := &planRow{
		waiter:   m.Waiter,
		intent:   m.Intent,
		deadline: now.Add(planTimeout),
		usage:    make(map[string]tanagerplan.BranchUsage),
	}
	c.plans.pending[c.plans.lastCorrelationID] = row
	for id := range c.members {
		if c.send(id, tanagermessage.TopicUsageRequest, tanagermessage.UsageRequest{
			CorrelationID: c.plans.lastCorrelationID,
		}) {
			row.outstanding++
		}
	}
	c.completePlans(now)
}

// completePlans responds to the plans that have all usage reports or have timed
// out. The plan itself is computed by the operator's goroutine, because it
// would block the control loop for too long.
func (c *Control) completePlans(now time.Time) {
	for correlationID, row := range c.plans.pending {
		if row.outstanding > 0 && now.Before(row.deadline) {
			continue
		}
		delete(c.plans.pending, correlationID)
		c.Effects.Respond(row.waiter, c.planInput(row))
	}
}

func (c *Control) handleUsageRequest(from string, m tanagermessage.UsageRequest, _ time.Time) {
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

// handleUsageResponse adds the usage report of a daemon to a plan.
func (c *Control) handleUsageResponse(_ string, m tanagermessage.UsageResponse, now time.Time) {
	row := c.plans.pending[m.CorrelationID]
	if row == nil {
		return
	}
	row.outstanding--
	row.capacity = row.capacity.Add(m.Capacity)
	row.slots += m.Slots
	for _, u := range m.Usages {
		usage := row.usage[u.Branch]
		usage.Branch = u.Branch
		usage.Allocated = usage.Allocated.Add(tanagerresource.Vector{
			CPU:          u.CPU,
			Memory:       u.Memory,
			Accelerators: u.Accelerators,
		})
		usage.Waiting += u.Waiting
		usage.Slots += u.Slots
		usage.Queued += u.Queued
		row.usage[u.Branch] = usage
	}
	c.completePlans(now)
}

func (c *Control) planInput(row *planRow) tanagerplan.Input {
	in := tanagerplan.Input{
		State:    c.config,
		Intent:   row.intent,
		Now:      c.WallClock(),
		Capacity: row.capacity,
		Slots:    row.slots,
	}
	for _, name := range c.config.BranchNames() {
		if usage, ok := row.usage[name]; ok {
			in.BranchUsages = append(in.BranchUsages, usage)
		}
	}
	return in
}

// handleConfigRequested responds to an operator's goroutine with the
// configuration in force.
func (c *Control) handleConfigRequested(_ string, m tanagermessage.ConfigRequested, _ time.Time) {
	c.Effects.Respond(m.Waiter, c.config)
}

// branchUsage returns the allocations and the demand of each branch at this
// daemon.
func (c *Control) branchUsage() []tanagermessage.BranchUsage {
	if !c.mapKnown() {
		return nil
	}
	var usages []tanagermessage.BranchUsage
	for _, name := range c.config.BranchNames() {
		allocated := c.workers.offers.backlog.Allocated(name)
		usage := tanagermessage.BranchUsage{
			Branch:       name,
			CPU:          allocated.CPU,
			Memory:       allocated.Memory,
			Accelerators: allocated.Accelerators,
			Waiting:      c.waitingTasks(name),
			Slots:        c.owned.runningByBranch[name],
		}
		for _, s := range c.owned.services {
			usage.Queued += s.queue.Waiting(name)
		}
		if !allocated.IsZero() || usage.Waiting > 0 || usage.Slots > 0 || usage.Queued > 0 {
			usages = append(usages, usage)
		}
	}
	return usages
}
