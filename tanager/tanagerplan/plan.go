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

// Use is what one branch holds and waits for in the whole cell.
type Use struct {
	Branch string
	// Held is what its tasks hold, Waiting the number of tasks that wait.
	Held    tanagerresource.Vector
	Waiting int
	// Slots are the target slots that it uses, Queued its waiting requests.
	Slots  int
	Queued int
}

// Input is what a plan is computed from.
type Input struct {
	State  tanagerconfig.State
	Intent tanagerconfig.Intent
	Now    time.Time
	// Total is the capacity of all workers, Slots that of all targets.
	Total tanagerresource.Vector
	Slots int
	Uses  []Use
}

// Effect is what a plan changes for one branch.
type Effect struct {
	Branch       string  `json:"branch"`
	WeightBefore float64 `json:"weight_before"`
	WeightAfter  float64 `json:"weight_after"`
	// The worker shares are the parts of the fleet, from 0 to 1, that the branch
	// gets at the present demand.
	WorkerShareBefore float64 `json:"worker_share_before"`
	WorkerShareAfter  float64 `json:"worker_share_after"`
	SlotShareBefore   float64 `json:"slot_share_before"`
	SlotShareAfter    float64 `json:"slot_share_after"`
}

// Loses reports whether the branch would get less than before.
func (e Effect) Loses() bool {
	return e.WorkerShareAfter < e.WorkerShareBefore-shareStep || e.SlotShareAfter < e.SlotShareBefore-shareStep
}

// Plan is what an intent would change.
type Plan struct {
	// Revision is the one that the plan was computed from.
	Revision uint64               `json:"revision"`
	Intent   tanagerconfig.Intent `json:"intent"`
	// Changes tells in words what the configuration would be.
	Changes []string `json:"changes"`
	// Effects lists the branches whose share changes.
	Effects []Effect `json:"effects"`
	// Refused tells which work would be refused or held back.
	Refused []string `json:"refused"`
	// Until is when the change ends by itself, zero if it does not.
	Until time.Time `json:"until,omitzero"`
}

// units is the number of equal parts that a fleet is filled with.
const units = 1000

// shareStep is the smallest difference between two shares that counts.
const shareStep = 1.5 / units

// Compute returns the plan of an intent, or the failure of an intent that is
// malformed or outside the centre's limits.
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
	p.Changes = describe(in.Intent)
	p.Effects = effects(in, next, at)
	p.Refused = refused(in, next, at)
	return p, nil
}

func effects(in Input, next tanagerconfig.State, at time.Time) []Effect {
	workersBefore := shares(in.State, at, in.Uses, workerDemand(in.Total))
	workersAfter := shares(next, at, in.Uses, workerDemand(in.Total))
	slotsBefore := shares(in.State, at, in.Uses, slotDemand(in.Slots))
	slotsAfter := shares(next, at, in.Uses, slotDemand(in.Slots))
	var list []Effect
	for _, name := range union(in.State, next) {
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
		if e.changes() {
			list = append(list, e)
		}
	}
	return list
}

func (e Effect) changes() bool {
	return e.WeightBefore != e.WeightAfter ||
		math.Abs(e.WorkerShareAfter-e.WorkerShareBefore) > shareStep ||
		math.Abs(e.SlotShareAfter-e.SlotShareBefore) > shareStep
}

func union(a, b tanagerconfig.State) []string {
	names := a.BranchNames()
	for _, name := range b.BranchNames() {
		if _, ok := a.Branches[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// workerDemand returns the part of the workers, in units, that a branch would
// use if it were alone.
func workerDemand(total tanagerresource.Vector) func(Use) int {
	return func(u Use) int {
		if u.Waiting > 0 {
			return units
		}
		return int(math.Ceil(u.Held.DominantShare(total) * units))
	}
}

// slotDemand returns the part of the slots, in units, that a branch would use
// if it were alone.
func slotDemand(slots int) func(Use) int {
	return func(u Use) int {
		if u.Queued > 0 {
			return units
		}
		return int(math.Ceil(float64(u.Slots) / float64(max(slots, 1)) * units))
	}
}

// shares fills a fleet of equal units with the branches' demand in the order of
// fairness and returns the part that each gets.
func shares(s tanagerconfig.State, at time.Time, uses []Use, demand func(Use) int) map[string]float64 {
	whole := tanagerresource.Vector{
		CPU: units,
	}
	unit := tanagerresource.Vector{
		CPU: 1,
	}
	backlog := tanagershare.New[struct{}](whole)
	// A branch's next unit waits only once the one before it has its place.
	waiting := make(map[string]int, len(uses))
	next := func(branch string) {
		if waiting[branch] > 0 {
			waiting[branch]--
			backlog.Push(branch, tanagerqueue.Normal, unit, struct{}{})
		}
	}
	for _, u := range uses {
		rules, ok := s.Effective(u.Branch, at)
		if !ok {
			continue
		}
		backlog.SetBranch(u.Branch, tanagershare.Branch{
			Weight: rules.Weight,
		})
		waiting[u.Branch] = demand(u)
		next(u.Branch)
	}
	left := units
	backlog.Round(func(e *tanagershare.Entry[struct{}]) bool {
		if left == 0 {
			return false
		}
		left--
		next(e.Branch)
		return true
	})
	result := make(map[string]float64, len(uses))
	for _, u := range uses {
		result[u.Branch] = backlog.Share(u.Branch)
	}
	return result
}

func describe(i tanagerconfig.Intent) []string {
	switch i.Kind {
	case tanagerconfig.SetBranch:
		return []string{fmt.Sprintf("branch %s gets weight %g and urgent share %g", i.Branch, i.Rules.Weight, i.Rules.UrgentShare)}
	case tanagerconfig.RemoveBranch:
		return []string{fmt.Sprintf("branch %s is removed with its exceptions", i.Branch)}
	case tanagerconfig.GrantException:
		return []string{fmt.Sprintf("branch %s gets %g times its weight until %s (exception %s)", i.Branch, i.Exception.WeightFactor, i.Exception.Until.Format(time.RFC3339), i.Exception.Name)}
	case tanagerconfig.RevokeException:
		return []string{fmt.Sprintf("branch %s loses the exception %s", i.Branch, i.Name)}
	case tanagerconfig.DeclareGone:
		return []string{"daemon " + i.Name + " counts as gone for good: targets and workers that it owned are used without waiting for its end to be confirmed"}
	case tanagerconfig.SetLimits:
		return []string{"the centre's limits change; exceptions already granted stay as they are, but weights are cut to the new largest weight"}
	}
	return nil
}

func refused(in Input, next tanagerconfig.State, at time.Time) []string {
	var list []string
	for _, u := range in.Uses {
		rules, ok := next.Effective(u.Branch, at)
		if !ok {
			if _, before := in.State.Branches[u.Branch]; before {
				list = append(list, fmt.Sprintf("new work of branch %s; its %d waiting tasks and %d waiting requests still run", u.Branch, u.Waiting, u.Queued))
			}
			continue
		}
		before, _ := in.State.Effective(u.Branch, at)
		if rules.Quota != before.Quota && exceeds(u.Held, rules.Quota) {
			list = append(list, fmt.Sprintf("new tasks of branch %s until it holds less than its quota; it holds %d thousandths of a core and %d MiB", u.Branch, u.Held.CPU, u.Held.Memory))
		}
	}
	return list
}

func exceeds(held, quota tanagerresource.Vector) bool {
	over := func(amount, bound int64) bool { return bound > 0 && amount >= bound }
	return over(held.CPU, quota.CPU) || over(held.Memory, quota.Memory) || over(held.Accelerators, quota.Accelerators)
}
