package tanagerdispatch

import (
	"cmp"
	"slices"
)

// candidate is a worker with the number of a gang's tasks that it has capacity
// for or will run, and the factor by which they take longer than estimated.
type candidate struct {
	worker     *worker
	taskCount  int
	timeFactor float64
}

// placeGang starts all tasks of a gang, or none. It reports whether they were
// started.
func (c *Cell) placeGang(s *step) bool {
	var found []candidate
	for _, w := range c.candidateWorkers(s) {
		if !c.feasible(w, s) || c.blockedByReservation(w, s) {
			continue
		}
		if n := c.taskCapacity(s, w); n > 0 {
			found = append(found, candidate{
				worker:     w,
				taskCount:  n,
				timeFactor: c.timeFactor(w, s),
			})
		}
	}
	chosen := chooseGang(s, found)
	if chosen == nil {
		return false
	}
	s.gang.aborting = false
	c.dropReservation(s)
	run := c.nextRun(s, 0)
	index := 0
	for _, k := range chosen {
		for range k.taskCount {
			c.start(s, index, run, k.worker)
			index++
		}
	}
	c.recordStart(s, len(s.tasks))
	return true
}

// chooseGang assigns all tasks of a gang to workers. It prefers few workers and
// fast ones, since the slowest member delays the others. A gang that should not
// span racks is assigned to one rack if one has the capacity. chooseGang returns
// nil if the capacity does not suffice.
func chooseGang(s *step, found []candidate) []candidate {
	if s.spec.SameRack {
		if one := chooseRack(s, found); one != nil {
			return one
		}
	}
	return assignTasks(found, len(s.tasks))
}

// chooseRack assigns the tasks of a gang to the rack that fits them most tightly,
// or returns nil.
func chooseRack(s *step, found []candidate) []candidate {
	racks := make(map[string][]candidate)
	for _, k := range found {
		racks[k.worker.entry.Rack] = append(racks[k.worker.entry.Rack], k)
	}
	var best []candidate
	bestSpare := 0
	for _, name := range sortedKeys(racks) {
		if name == "" {
			continue
		}
		total := 0
		for _, k := range racks[name] {
			total += k.taskCount
		}
		spare := total - len(s.tasks)
		if spare >= 0 && (best == nil || spare < bestSpare) {
			best = assignTasks(racks[name], len(s.tasks))
			bestSpare = spare
		}
	}
	return best
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// assignTasks takes candidates in order of preference until count tasks are
// assigned. It sorts found and returns nil if the candidates do not suffice.
func assignTasks(found []candidate, count int) []candidate {
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(speedClass(a.timeFactor), speedClass(b.timeFactor)),
			cmp.Compare(b.taskCount, a.taskCount),
			cmp.Compare(b.worker.fleetPosition, a.worker.fleetPosition),
			cmp.Compare(a.worker.id, b.worker.id),
		)
	})
	var chosen []candidate
	for _, k := range found {
		k.taskCount = min(k.taskCount, count)
		chosen = append(chosen, k)
		count -= k.taskCount
		if count == 0 {
			return chosen
		}
	}
	return nil
}

// speedClass quantizes a time factor, so that small differences in speed do not
// spread a gang over many workers.
func speedClass(factor float64) int { return int(factor / speedClassWidth) }

// speedClassWidth is the difference in speed that justifies using more workers.
// The slower half of a fleet is commonly about a third slower.
const speedClassWidth = 0.34
