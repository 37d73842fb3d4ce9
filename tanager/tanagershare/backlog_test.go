package tanagershare

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

var fleetCapacity = tanagerresource.Vector{
	CPU:          64000,
	Memory:       256000,
	Accelerators: 8,
}

type waitingTask struct {
	branch string
	class  tanagerqueue.Class
	demand tanagerresource.Vector
	id     int
}

// referenceBacklog is the reference model: dominant resource fairness by a scan
// of all waiting tasks for each choice.
type referenceBacklog struct {
	rules           map[string]BranchSettings
	allocated       map[string]tanagerresource.Vector
	urgentAllocated map[string]tanagerresource.Vector
	tasks           []waitingTask
}

// round places the tasks that fit into free, in fair order, and returns their
// ids.
func (r *referenceBacklog) round(free tanagerresource.Vector) []int {
	var placed []int
	blocked := make(map[string]bool)
	for {
		chosen := -1
		for i, task := range r.tasks {
			if blocked[classKey(task)] || !r.isHead(i, blocked) {
				continue
			}
			if chosen < 0 || r.before(task, r.tasks[chosen]) {
				chosen = i
			}
		}
		if chosen < 0 {
			return placed
		}
		task := r.tasks[chosen]
		if !r.withinQuota(task) || !task.demand.FitsIn(free) {
			blocked[classKey(task)] = true
			continue
		}
		free = free.Sub(task.demand)
		r.allocated[task.branch] = r.allocated[task.branch].Add(task.demand)
		if task.class == tanagerqueue.Urgent {
			r.urgentAllocated[task.branch] = r.urgentAllocated[task.branch].Add(task.demand)
		}
		placed = append(placed, task.id)
		r.tasks = append(r.tasks[:chosen:chosen], r.tasks[chosen+1:]...)
	}
}

// classKey identifies a class of a branch.
func classKey(task waitingTask) string { return task.branch + "/" + task.class.String() }

// isHead reports whether task i is the next one of its branch.
func (r *referenceBacklog) isHead(i int, blocked map[string]bool) bool {
	task := r.tasks[i]
	for k, other := range r.tasks {
		if other.branch != task.branch || blocked[classKey(other)] {
			continue
		}
		if other.class < task.class || other.class == task.class && k < i {
			return false
		}
	}
	return true
}

func (r *referenceBacklog) before(a, b waitingTask) bool {
	if r.boosted(a) != r.boosted(b) {
		return r.boosted(a)
	}
	shareA := r.allocated[a.branch].DominantShare(fleetCapacity) / r.rules[a.branch].Weight
	shareB := r.allocated[b.branch].DominantShare(fleetCapacity) / r.rules[b.branch].Weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.branch < b.branch
}

func (r *referenceBacklog) boosted(task waitingTask) bool {
	return task.class == tanagerqueue.Urgent &&
		r.urgentAllocated[task.branch].Add(task.demand).DominantShare(fleetCapacity) <= r.rules[task.branch].UrgentShare
}

func (r *referenceBacklog) withinQuota(task waitingTask) bool {
	after, quota := r.allocated[task.branch].Add(task.demand), r.rules[task.branch].Quota
	return quota.CPU == 0 || after.CPU <= quota.CPU
}

func TestRoundMatchesReference(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		b := New[int](fleetCapacity)
		ref := &referenceBacklog{
			rules:           make(map[string]BranchSettings),
			allocated:       make(map[string]tanagerresource.Vector),
			urgentAllocated: make(map[string]tanagerresource.Vector),
		}
		branches := rapid.IntRange(1, 5).Draw(t, "branches")
		for i := range branches {
			name := fmt.Sprintf("b%d", i)
			rules := BranchSettings{
				Weight:      float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				UrgentShare: rapid.Float64Range(0, 0.4).Draw(t, "urgent"),
				Quota: tanagerresource.Vector{
					CPU: int64(rapid.SampledFrom([]int{0, 0, 8000, 20000}).Draw(t, "quota")),
				},
			}
			b.SetBranch(name, rules)
			ref.rules[name] = rules
		}
		for id := range rapid.IntRange(0, 60).Draw(t, "tasks") {
			task := waitingTask{
				branch: fmt.Sprintf("b%d", rapid.IntRange(0, branches-1).Draw(t, "branch")),
				class:  tanagerqueue.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				demand: tanagerresource.Vector{
					CPU:          int64(rapid.IntRange(1, 8).Draw(t, "cpu")) * 1000,
					Memory:       int64(rapid.IntRange(1, 32).Draw(t, "memory")) * 1000,
					Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "accelerators")),
				},
				id: id,
			}
			ref.tasks = append(ref.tasks, task)
			b.Push(task.branch, task.class, task.demand, id)
		}
		free := fleetCapacity
		var placed []int
		b.Round(func(e *Entry[int]) bool {
			if !e.Demand.FitsIn(free) {
				return false
			}
			free = free.Sub(e.Demand)
			placed = append(placed, e.Value)
			return true
		})
		want := ref.round(fleetCapacity)
		if fmt.Sprint(placed) != fmt.Sprint(want) {
			t.Fatalf("placed %v, reference placed %v", placed, want)
		}
	})
}

// TestStarvationBound fills the fleet from two saturated branches with
// different dominant resources and checks the bound in the package
// documentation: each is allocated at least its weight's fraction of its dominant
// resource, less one task.
func TestStarvationBound(t *testing.T) {
	c := qt.New(t)
	b := New[int](fleetCapacity)
	demands := map[string]tanagerresource.Vector{
		"processors": {
			CPU:    2000,
			Memory: 1000,
		},
		"memory": {
			CPU:    500,
			Memory: 8000,
		},
	}
	weights := map[string]float64{
		"processors": 1,
		"memory":     3,
	}
	for name, demand := range demands {
		b.SetBranch(name, BranchSettings{
			Weight: weights[name],
		})
		for i := range 200 {
			b.Push(name, tanagerqueue.Normal, demand, i)
		}
	}
	free := fleetCapacity
	b.Round(func(e *Entry[int]) bool {
		if !e.Demand.FitsIn(free) {
			return false
		}
		free = free.Sub(e.Demand)
		return true
	})
	for name, demand := range demands {
		bound := weights[name]/4 - demand.DominantShare(fleetCapacity)
		c.Check(b.DominantShare(name) >= bound, qt.IsTrue,
			qt.Commentf("%s has a share of %.3f, bound %.3f", name, b.DominantShare(name), bound))
	}
}

func TestRemoveAndRefund(t *testing.T) {
	c := qt.New(t)
	b := New[int](fleetCapacity)
	demand := tanagerresource.Vector{
		CPU: 1000,
	}
	kept := b.Push("a", tanagerqueue.Urgent, demand, 1)
	removed := b.Push("a", tanagerqueue.Urgent, demand, 2)
	b.Remove(removed)
	b.Remove(removed)
	c.Assert(b.Waiting("a"), qt.Equals, 1)
	b.Round(func(e *Entry[int]) bool {
		c.Check(e, qt.Equals, kept)
		return true
	})
	c.Assert(b.Len(), qt.Equals, 0)
	c.Assert(b.Allocated("a"), qt.Equals, demand)
	b.Refund("a", tanagerqueue.Urgent, demand)
	c.Assert(b.DominantShare("a"), qt.Equals, 0.0)
}
