package tanagerdispatch

import (
	"cmp"
	"slices"
)

// candidate is a worker with the number of a gang's tasks that it takes.
type candidate struct {
	worker     *worker
	taskCount  int
	timeFactor float64
}

// placeGang starts all tasks of a gang, or none.
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
	return true
}

// chooseGang picks workers for all tasks of a gang: those of one rack if it must
// not span racks and one has room, the fastest ones first, since the slowest
// member holds up the others, and few of them. It returns nil without room.
func chooseGang(s *step, found []candidate) []candidate {
	if s.spec.SameRack {
		if one := chooseRack(s, found); one != nil {
			return one
		}
	}
	return assignTasks(found, len(s.tasks))
}

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

// assignTasks takes candidates until count tasks have a place.
func assignTasks(found []candidate, count int) []candidate {
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(speedClass(a.timeFactor), speedClass(b.timeFactor)), cmp.Compare(b.taskCount, a.taskCount), cmp.Compare(b.worker.fleetPosition, a.worker.fleetPosition), cmp.Compare(a.worker.id, b.worker.id))
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

// speedClass rounds a time factor, so that small differences do not scatter a
// gang over many workers.
func speedClass(factor float64) int { return int(factor / speedClassWidth) }

// speedClassWidth is the difference in speed that is worth more workers: a third
// is what the slower half of a fleet commonly lacks.
const speedClassWidth = 0.34
