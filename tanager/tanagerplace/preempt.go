package tanagerplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Relief tells how a victim makes room.
type Relief uint8

// The ways to make room, cheapest first.
const (
	ByCheckpoint Relief = iota
	ByThrottle
	ByStop
)

// Victim is a task that has to make room.
type Victim struct {
	Task   string
	Relief Relief
}

// candidateWorkers bounds the workers that Victims looks at.
const candidateWorkers = 64

// Victims returns a worker and the cheapest set of its tasks whose end makes
// room for the demand, or false if there is none among the workers looked at.
// Only batch work that loses nothing or can be repeated is chosen, and never a
// task whose end is not needed. May reports whether a task may be stopped.
func (f *Fleet) Victims(demand tanagerresource.Vector, now time.Time, random *rand.Rand, may func(*Holding) bool) (string, []Victim, bool) {
	var chosen *workerRow
	var victims []Victim
	var least time.Duration
	for i := range min(candidateWorkers, len(f.order)) {
		row := f.candidate(i, random)
		if !row.open || !row.health.accepts(now) || !demand.Fits(row.Capacity) {
			continue
		}
		list, cost, ok := row.victims(demand, now, may)
		if ok && (chosen == nil || cost < least) {
			chosen, victims, least = row, list, cost
		}
	}
	if chosen == nil {
		return "", nil, false
	}
	return chosen.Name, victims, true
}

// candidate returns the i-th worker to look at: each once in a small fleet, a
// random one in a large fleet.
func (f *Fleet) candidate(i int, random *rand.Rand) *workerRow {
	if len(f.order) <= candidateWorkers {
		return f.order[i]
	}
	return f.order[random.IntN(len(f.order))]
}

// victims returns the tasks of one worker that have to end for the demand to
// fit, with the run time that is lost.
func (row *workerRow) victims(demand tanagerresource.Vector, now time.Time, may func(*Holding) bool) ([]Victim, time.Duration, bool) {
	free := row.free()
	var list []*Holding
	for _, h := range row.ordered(now) {
		if demand.Fits(free) {
			break
		}
		if h.Class == tanagerqueue.Batch && may(h) && helps(h.Holds(), demand, free) {
			list = append(list, h)
			free = free.Plus(h.Holds())
		}
	}
	if !demand.Fits(free) {
		return nil, 0, false
	}
	list = spare(list, demand, free)
	victims := make([]Victim, len(list))
	var cost time.Duration
	for i, h := range list {
		victims[i] = Victim{
			Task:   h.Task,
			Relief: h.relief(),
		}
		cost += h.lost(now)
	}
	return victims, cost, true
}

// spare takes the tasks out of a list that fit beside the demand after all,
// dearest first.
func spare(list []*Holding, demand, free tanagerresource.Vector) []*Holding {
	kept := make([]*Holding, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		without := free.Minus(list[i].Holds())
		if demand.Fits(without) {
			free = without
			continue
		}
		kept = append(kept, list[i])
	}
	return kept
}

// helps reports whether what a task holds is short for the demand.
func helps(held, demand, free tanagerresource.Vector) bool {
	short := demand.Minus(free)
	return short.CPU > 0 && held.CPU > 0 || short.Memory > 0 && held.Memory > 0 || short.Accelerators > 0 && held.Accelerators > 0
}

// ordered returns the tasks of a worker, those that lose the least first.
func (row *workerRow) ordered(now time.Time) []*Holding {
	list := make([]*Holding, 0, len(row.holdings))
	for _, h := range row.holdings {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *Holding) int {
		return cmp.Or(cmp.Compare(a.lost(now), b.lost(now)), cmp.Compare(a.Task, b.Task))
	})
	return list
}

// lost returns the run time that is lost when the task ends now.
func (h *Holding) lost(now time.Time) time.Duration {
	if h.Checkpointable {
		return 0
	}
	return now.Sub(h.Started)
}

func (h *Holding) relief() Relief {
	if h.Checkpointable {
		return ByCheckpoint
	}
	return ByStop
}

// Relieve returns what to do to a worker whose tasks hold more than it has:
// checkpoint batch tasks first, throttle where only processor time is short,
// and stop the least urgent and youngest tasks last.
func (f *Fleet) Relieve(worker string, now time.Time) []Victim {
	row := f.workers[worker]
	if row == nil {
		return nil
	}
	over := row.held.Minus(row.Capacity)
	cpuOnly := over.CPU > 0 && over.Memory <= 0 && over.Accelerators <= 0
	var victims []Victim
	for _, h := range row.ordered(now) {
		if over.Fits(tanagerresource.Vector{}) {
			return victims
		}
		if h.Class == tanagerqueue.Urgent || !helps(h.Holds(), over, tanagerresource.Vector{}) {
			continue
		}
		relief := h.relief()
		if relief == ByStop && cpuOnly {
			relief = ByThrottle
		}
		victims = append(victims, Victim{
			Task:   h.Task,
			Relief: relief,
		})
		over = over.Minus(h.Holds())
	}
	return victims
}
