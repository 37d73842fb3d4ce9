package tanagerplan

import (
	"fmt"
	"math"
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershare"
)

// BranchUsage is the resource usage and the waiting work of one branch in the
// whole cell.
type BranchUsage struct {
	Branch string
	// Allocated is the sum of the allocations of its tasks, Waiting the number of
	// its waiting tasks.
	Allocated tanagerresource.Vector
	Waiting   int
	// Slots is the number of target slots in use, Queued the number of waiting
	// requests.
	Slots  int
	Queued int
}

// Input is the data that a plan is computed from.
type Input struct {
	State  tanagerconfig.State
	Intent tanagerconfig.Intent
	Now    time.Time
	// Capacity is the capacity of all workers, Slots the number of slots of all
	// targets.
	Capacity     tanagerresource.Vector
	Slots        int
	BranchUsages []BranchUsage
}

// Effect is the change that a plan makes for one branch.
type Effect struct {
	Branch       string  `json:"branch"`
	WeightBefore float64 `json:"weight_before"`
	WeightAfter  float64 `json:"weight_after"`
	// The worker and slot shares are the fractions of the workers and of the
	// slots, from 0 to 1, that the branch gets at the present demand.
	WorkerShareBefore float64 `json:"worker_share_before"`
	WorkerShareAfter  float64 `json:"worker_share_after"`
	SlotShareBefore   float64 `json:"slot_share_before"`
	SlotShareAfter    float64 `json:"slot_share_after"`
}

// LosesShare reports whether a share of the branch decreases by more than
// minShareDifference.
func (e Effect) LosesShare() bool {
	return e.WorkerShareAfter < e.WorkerShareBefore-minShareDifference ||
		e.SlotShareAfter < e.SlotShareBefore-minShareDifference
}

// Plan lists what an intent would change.
type Plan struct {
	// Revision is the configuration revision that the plan was computed from.
	Revision uint64               `json:"revision"`
	Intent   tanagerconfig.Intent `json:"intent"`
	// Changes describes the changes to the configuration in prose.
	Changes []string `json:"changes"`
	// Effects lists the branches whose weight or share changes.
	Effects []Effect `json:"effects"`
	// Rejected describes the work that would be refused or delayed.
	Rejected []string `json:"refused"`
	// Until is the time at which the change expires, or zero if it does not.
	Until time.Time `json:"until,omitzero"`
}

// shareUnits is the number of equal parts into which the simulation divides the
// fleet.
const shareUnits = 1000

// minShareDifference is the smallest difference between two shares that is
// reported. It exceeds one unit of the simulation.
const minShareDifference = 1.5 / shareUnits

// Compute returns the plan for an intent, or the failure if the intent is
// malformed or outside the central limits.
func Compute(in Input) (Plan, *tanagerfailure.Failure) {
	next, failure := in.State.Apply(in.Intent, in.Now)
	if failure != nil {
		return Plan{}, failure
	}
	p := Plan{
		Revision: in.State.Revision,
		Intent:   in.Intent,
	}
	at := in.Now
	if e := in.Intent.Exception; e != nil {
		p.Until = e.Until
		if e.From.After(at) {
			at = e.From
		}
	}
	p.Changes = describeIntent(in.Intent)
	p.Effects = branchEffects(in, next, at)
	p.Rejected = refusedWork(in, next, at)
	return p, nil
}

// branchEffects returns the significant changes for the branches of both
// states, given the present demand.
func branchEffects(in Input, next tanagerconfig.State, at time.Time) []Effect {
	workersBefore := simulateShares(in.State, at, in.BranchUsages, workerDemand(in.Capacity))
	workersAfter := simulateShares(next, at, in.BranchUsages, workerDemand(in.Capacity))
	slotsBefore := simulateShares(in.State, at, in.BranchUsages, slotDemand(in.Slots))
	slotsAfter := simulateShares(next, at, in.BranchUsages, slotDemand(in.Slots))
	var changed []Effect
	for _, name := range branchNames(in.State, next) {
		before, _ := in.State.Effective(name, at)
		after, _ := next.Effective(name, at)
		e := Effect{
			Branch:            name,
			WeightBefore:      before.Weight,
			WeightAfter:       after.Weight,
			WorkerShareBefore: workersBefore[name],
			WorkerShareAfter:  workersAfter[name],
			SlotShareBefore:   slotsBefore[name],
			SlotShareAfter:    slotsAfter[name],
		}
		if e.isSignificant() {
			changed = append(changed, e)
		}
	}
	return changed
}

// isSignificant reports whether the weight changes, or a share by more than
// minShareDifference.
func (e Effect) isSignificant() bool {
	return e.WeightBefore != e.WeightAfter ||
		math.Abs(e.WorkerShareAfter-e.WorkerShareBefore) > minShareDifference ||
		math.Abs(e.SlotShareAfter-e.SlotShareBefore) > minShareDifference
}

// branchNames returns the names of the branches in a or b.
func branchNames(a, b tanagerconfig.State) []string {
	names := a.BranchNames()
	for _, name := range b.BranchNames() {
		if _, ok := a.Branches[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// workerDemand returns a function that computes the fraction of the workers, in
// units, that a branch would use if it were alone.
func workerDemand(total tanagerresource.Vector) func(BranchUsage) int {
	return func(u BranchUsage) int {
		if u.Waiting > 0 {
			return shareUnits
		}
		return int(math.Ceil(u.Allocated.DominantShare(total) * shareUnits))
	}
}

// slotDemand returns a function that computes the fraction of the slots, in
// units, that a branch would use if it were alone.
func slotDemand(slots int) func(BranchUsage) int {
	return func(u BranchUsage) int {
		if u.Queued > 0 {
			return shareUnits
		}
		return int(math.Ceil(float64(u.Slots) / float64(max(slots, 1)) * shareUnits))
	}
}

// simulateShares allocates a fleet of equal units to the branches' demand in
// fair order and returns the fraction that each branch gets.
func simulateShares(state tanagerconfig.State, at time.Time, usages []BranchUsage,
	demand func(BranchUsage) int) map[string]float64 {
	capacity := tanagerresource.Vector{
		CPU: shareUnits,
	}
	unit := tanagerresource.Vector{
		CPU: 1,
	}
	backlog := tanagershare.New[struct{}](capacity)
	// Each branch has at most one unit in the backlog; the next is pushed once it
	// is placed.
	pendingUnits := make(map[string]int, len(usages))
	pushNextUnit := func(branch string) {
		if pendingUnits[branch] > 0 {
			pendingUnits[branch]--
			backlog.Push(branch, tanagerqueue.Normal, unit, struct{}{})
		}
	}
	for _, u := range usages {
		rules, ok := state.Effective(u.Branch, at)
		if !ok {
			continue
		}
		backlog.SetBranch(u.Branch, tanagershare.BranchSettings{
			Weight: rules.Weight,
		})
		pendingUnits[u.Branch] = demand(u)
		pushNextUnit(u.Branch)
	}
	unitsLeft := shareUnits
	backlog.Round(func(e *tanagershare.Entry[struct{}]) bool {
		if unitsLeft == 0 {
			return false
		}
		unitsLeft--
		pushNextUnit(e.Branch)
		return true
	})
	shares := make(map[string]float64, len(usages))
	for _, u := range usages {
		shares[u.Branch] = backlog.DominantShare(u.Branch)
	}
	return shares
}

// describeIntent describes the configuration change in prose. The texts are
// part of the response to the caller.
func describeIntent(intent tanagerconfig.Intent) []string {
	switch intent.Kind {
	case tanagerconfig.SetBranch:
		return []string{fmt.Sprintf("branch %s gets weight %g and urgent share %g",
			intent.Branch, intent.Rules.Weight, intent.Rules.UrgentShare)}
	case tanagerconfig.RemoveBranch:
		return []string{fmt.Sprintf("branch %s is removed with its exceptions", intent.Branch)}
	case tanagerconfig.GrantException:
		return []string{fmt.Sprintf("branch %s gets %g times its weight until %s (exception %s)",
			intent.Branch, intent.Exception.WeightFactor, intent.Exception.Until.Format(time.RFC3339), intent.Exception.Name)}
	case tanagerconfig.RevokeException:
		return []string{fmt.Sprintf("branch %s loses the exception %s", intent.Branch, intent.Name)}
	case tanagerconfig.DeclareGone:
		return []string{"daemon " + intent.Name + " counts as gone for good: " +
			"targets and workers that it owned are used without waiting for its end to be confirmed"}
	case tanagerconfig.SetLimits:
		return []string{"the centre's limits change; exceptions already granted stay as they are, " +
			"but weights are cut to the new largest weight"}
	}
	return nil
}

// refusedWork describes the work that the new configuration refuses or delays.
// The texts are part of the response to the caller.
func refusedWork(in Input, next tanagerconfig.State, at time.Time) []string {
	var refusals []string
	for _, u := range in.BranchUsages {
		rules, ok := next.Effective(u.Branch, at)
		if !ok {
			if _, before := in.State.Branches[u.Branch]; before {
				refusals = append(refusals, fmt.Sprintf(
					"new work of branch %s; its %d waiting tasks and %d waiting requests still run",
					u.Branch, u.Waiting, u.Queued))
			}
			continue
		}
		before, _ := in.State.Effective(u.Branch, at)
		if rules.Quota != before.Quota && quotaReached(u.Allocated, rules.Quota) {
			refusals = append(refusals, fmt.Sprintf("new tasks of branch %s "+
				"until it holds less than its quota; it holds %d thousandths of a core and %d MiB",
				u.Branch, u.Allocated.CPU, u.Allocated.Memory))
		}
	}
	return refusals
}

// quotaReached reports whether a resource that has a quota is used up to it.
func quotaReached(allocated, quota tanagerresource.Vector) bool {
	reached := func(amount, bound int64) bool { return bound > 0 && amount >= bound }
	return reached(allocated.CPU, quota.CPU) ||
		reached(allocated.Memory, quota.Memory) ||
		reached(allocated.Accelerators, quota.Accelerators)
}
