package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanagerd/tanagermessage"
)

// planWait is how long a plan waits for the daemons' words.
const planWait = 500 * time.Millisecond

// planTables hold the plans that wait for the daemons' words on what the
// branches hold.
type planTables struct {
	number  uint64
	waiting map[uint64]*planRow
}

// planRow is the table row of one plan.
type planRow struct {
	waiter  uint64
	intent  tanagerconfig.Intent
	due     time.Time
	missing int
	total   tanagerresource.Vector
	slots   int
	uses    map[string]tanagerplan.Use
}

// planWanted asks all daemons what the branches hold and wait for.
func (c *Control) planWanted(_ string, m tanagermessage.PlanWanted, now time.Time) {
	c.plans.number++
	if c.plans.waiting == nil {
		c.plans.waiting = make(map[uint64]*planRow)
	}
	row := &planRow{
		waiter: m.Waiter,
		intent: m.Intent,
		due:    now.Add(planWait),
		uses:   make(map[string]tanagerplan.Use),
	}
	c.plans.waiting[c.plans.number] = row
	for id := range c.members {
		if c.send(id, tanagermessage.TopicUseAsk, tanagermessage.UseAsk{
			Number: c.plans.number,
		}) {
			row.missing++
		}
	}
	c.tendPlans(now)
}

// tendPlans answers the plans for which all daemons have told, or the time has
// passed. The operator's goroutine computes the plan: it takes longer than this
// goroutine may be away.
func (c *Control) tendPlans(now time.Time) {
	for number, row := range c.plans.waiting {
		if row.missing > 0 && now.Before(row.due) {
			continue
		}
		delete(c.plans.waiting, number)
		c.Effects.Answer(row.waiter, c.planInput(row))
	}
}

func (c *Control) useAsked(from string, m tanagermessage.UseAsk, _ time.Time) {
	c.send(from, tanagermessage.TopicUseGive, tanagermessage.UseGive{
		Number: m.Number,
		Total:  c.workers.fleet.Total(),
		Slots:  c.ownSlots(),
		Uses:   c.branchUse(),
	})
}

func (c *Control) ownSlots() int {
	n := 0
	for _, t := range c.fleet.targets {
		n += t.vm.Slots
	}
	return n
}

// useGiven adds a daemon's word to a plan.
func (c *Control) useGiven(_ string, m tanagermessage.UseGive, now time.Time) {
	row := c.plans.waiting[m.Number]
	if row == nil {
		return
	}
	row.missing--
	row.total = row.total.Plus(m.Total)
	row.slots += m.Slots
	for _, u := range m.Uses {
		use := row.uses[u.Branch]
		use.Branch = u.Branch
		use.Held = use.Held.Plus(tanagerresource.Vector{
			CPU:          u.CPU,
			Memory:       u.Memory,
			Accelerators: u.Accelerators,
		})
		use.Waiting += u.Waiting
		use.Slots += u.Slots
		use.Queued += u.Queued
		row.uses[u.Branch] = use
	}
	c.tendPlans(now)
}

func (c *Control) planInput(row *planRow) tanagerplan.Input {
	in := tanagerplan.Input{
		State:  c.config,
		Intent: row.intent,
		Now:    c.Wall(),
		Total:  row.total,
		Slots:  row.slots,
	}
	for _, name := range c.config.BranchNames() {
		if use, ok := row.uses[name]; ok {
			in.Uses = append(in.Uses, use)
		}
	}
	return in
}

// configWanted answers an operator's goroutine with the configuration in force.
func (c *Control) configWanted(_ string, m tanagermessage.ConfigWanted, _ time.Time) {
	c.Effects.Answer(m.Waiter, c.config)
}

// branchUse returns what each branch holds and waits for at this daemon.
func (c *Control) branchUse() []tanagermessage.BranchUse {
	if !c.mapped() {
		return nil
	}
	var uses []tanagermessage.BranchUse
	for _, name := range c.config.BranchNames() {
		held := c.workers.offers.backlog.Held(name)
		use := tanagermessage.BranchUse{
			Branch:       name,
			CPU:          held.CPU,
			Memory:       held.Memory,
			Accelerators: held.Accelerators,
			Waiting:      c.waitingTasks(name),
			Slots:        c.owned.running[name],
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
