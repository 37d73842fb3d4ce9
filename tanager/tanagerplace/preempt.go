package tanagerplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Action is what is done to a victim to free resources.
type Action uint8

// The actions, from the cheapest to the most expensive.
const (
	ActionCheckpoint Action = iota
	ActionThrottle
	ActionStop
)

// Victim is a task to be preempted or throttled.
type Victim struct {
	Task   string
	Action Action
}

// maxCandidateWorkers bounds the workers that SelectVictims examines.
const maxCandidateWorkers = 64

// SelectVictims returns a worker and the tasks to preempt on it so that the
// demand fits, or false if it can be made to fit on no examined worker. Of the
// examined workers it selects the one that loses the least run time. The victims
// are tasks of class batch that mayStop accepts, and none of them could be
// spared.
func (f *Fleet) SelectVictims(demand tanagerresource.Vector, now time.Time, random *rand.Rand,
	mayStop func(*Allocation) bool) (string, []Victim, bool) {
	var chosen *workerState
	var chosenVictims []Victim
	var lowestCost time.Duration
	for i := range min(maxCandidateWorkers, len(f.workerList)) {
		w := f.candidateWorker(i, random)
		if !w.schedulable || !w.health.acceptsTasks(now) || !demand.FitsIn(w.Capacity) {
			continue
		}
		victims, cost, ok := w.selectVictims(demand, now, mayStop)
		if ok && (chosen == nil || cost < lowestCost) {
			chosen, chosenVictims, lowestCost = w, victims, cost
		}
	}
	if chosen == nil {
		return "", nil, false
	}
	return chosen.Name, chosenVictims, true
}

// candidateWorker returns the i-th worker to examine: every worker once in a
// small fleet, a random one in a large fleet.
func (f *Fleet) candidateWorker(i int, random *rand.Rand) *workerState {
	if len(f.workerList) <= maxCandidateWorkers {
		return f.workerList[i]
	}
	return f.workerList[random.IntN(len(f.workerList))]
}

// selectVictims returns the tasks of one worker to preempt so that the demand
// fits, and the total run time that is lost.
func (w *workerState) selectVictims(demand tanagerresource.Vector, now time.Time,
	mayStop func(*Allocation) bool) ([]Victim, time.Duration, bool) {
	free := w.free()
	var chosen []*Allocation
	for _, a := range w.preemptionOrder(now) {
		if demand.FitsIn(free) {
			break
		}
		if a.Class == tanagerqueue.Batch && mayStop(a) && reducesShortage(a.Amount(), demand, free) {
			chosen = append(chosen, a)
			free = free.Add(a.Amount())
		}
	}
	if !demand.FitsIn(free) {
		return nil, 0, false
	}
	chosen = minimizeVictims(chosen, demand, free)
	victims := make([]Victim, len(chosen))
	var cost time.Duration
	for i, a := range chosen {
		victims[i] = Victim{
			Task:   a.Task,
			Action: a.action(),
		}
		cost += a.lostRunTime(now)
	}
	return victims, cost, true
}

// minimizeVictims drops the victims, most expensive first, that the demand fits
// without.
func minimizeVictims(allocations []*Allocation, demand, free tanagerresource.Vector) []*Allocation {
	kept := make([]*Allocation, 0, len(allocations))
	for i := len(allocations) - 1; i >= 0; i-- {
		without := free.Sub(allocations[i].Amount())
		if demand.FitsIn(without) {
			free = without
			continue
		}
		kept = append(kept, allocations[i])
	}
	return kept
}

// reducesShortage reports whether releasing amount frees a resource of which
// the demand exceeds free.
func reducesShortage(amount, demand, free tanagerresource.Vector) bool {
	shortage := demand.Sub(free)
	return shortage.CPU > 0 && amount.CPU > 0 ||
		shortage.Memory > 0 && amount.Memory > 0 ||
		shortage.Accelerators > 0 && amount.Accelerators > 0
}

// preemptionOrder returns the allocations of a worker in ascending order of
// lost run time.
func (w *workerState) preemptionOrder(now time.Time) []*Allocation {
	ordered := make([]*Allocation, 0, len(w.allocations))
	for _, a := range w.allocations {
		ordered = append(ordered, a)
	}
	slices.SortFunc(ordered, func(a, b *Allocation) int {
		return cmp.Or(cmp.Compare(a.lostRunTime(now), b.lostRunTime(now)), cmp.Compare(a.Task, b.Task))
	})
	return ordered
}

// lostRunTime returns the run time that is lost if the task is stopped now.
func (a *Allocation) lostRunTime(now time.Time) time.Duration {
	if a.Checkpointable {
		return 0
	}
	return now.Sub(a.Started)
}

// action returns the cheapest action that frees all resources of the task.
func (a *Allocation) action() Action {
	if a.Checkpointable {
		return ActionCheckpoint
	}
	return ActionStop
}

// ResolveOvercommit returns the victims that bring the allocations of a worker
// back to its capacity: non-urgent tasks in ascending order of lost run time, so
// checkpointable tasks come first. Tasks that cannot be checkpointed are
// throttled if CPU is the only resource short, and stopped otherwise.
func (f *Fleet) ResolveOvercommit(worker string, now time.Time) []Victim {
	w := f.workers[worker]
	if w == nil {
		return nil
	}
	excess := w.allocated.Sub(w.Capacity)
	cpuOnly := excess.CPU > 0 && excess.Memory <= 0 && excess.Accelerators <= 0
	var victims []Victim
	for _, a := range w.preemptionOrder(now) {
		if excess.FitsIn(tanagerresource.Vector{}) {
			return victims
		}
		if a.Class == tanagerqueue.Urgent || !reducesShortage(a.Amount(), excess, tanagerresource.Vector{}) {
			continue
		}
		action := a.action()
		if action == ActionStop && cpuOnly {
			action = ActionThrottle
		}
		victims = append(victims, Victim{
			Task:   a.Task,
			Action: action,
		})
		excess = excess.Sub(a.Amount())
	}
	return victims
}
