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

var total = tanagerresource.Vector{
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

// naive is the reference: dominant-resource fairness by a full scan of all
// waiting tasks for each choice.
type naive struct {
	rules  map[string]Branch
	held   map[string]tanagerresource.Vector
	urgent map[string]tanagerresource.Vector
	tasks  []waitingTask
}

// round places as many tasks as fit into free, in the order of fairness.
func (n *naive) round(free tanagerresource.Vector) []int {
	var placed []int
	blocked := make(map[string]bool)
	for {
		best := -1
		for i, t := range n.tasks {
			if blocked[lane(t)] || !n.first(i, blocked) {
				continue
			}
			if best < 0 || n.before(t, n.tasks[best]) {
				best = i
			}
		}
		if best < 0 {
			return placed
		}
		t := n.tasks[best]
		if !n.allowed(t) || !t.demand.Fits(free) {
			blocked[lane(t)] = true
			continue
		}
		free = free.Minus(t.demand)
		n.held[t.branch] = n.held[t.branch].Plus(t.demand)
		if t.class == tanagerqueue.Urgent {
			n.urgent[t.branch] = n.urgent[t.branch].Plus(t.demand)
		}
		placed = append(placed, t.id)
		n.tasks = append(n.tasks[:best:best], n.tasks[best+1:]...)
	}
}

func lane(t waitingTask) string { return t.branch + "/" + t.class.String() }

// first reports whether task i is the one that its branch would place next.
func (n *naive) first(i int, blocked map[string]bool) bool {
	t := n.tasks[i]
	for k, other := range n.tasks {
		if other.branch != t.branch || blocked[lane(other)] {
			continue
		}
		if other.class < t.class || other.class == t.class && k < i {
			return false
		}
	}
	return true
}

func (n *naive) before(a, b waitingTask) bool {
	if n.boosted(a) != n.boosted(b) {
		return n.boosted(a)
	}
	x := n.held[a.branch].DominantShare(total) / n.rules[a.branch].Weight
	y := n.held[b.branch].DominantShare(total) / n.rules[b.branch].Weight
	if x != y {
		return x < y
	}
	return a.branch < b.branch
}

func (n *naive) boosted(t waitingTask) bool {
	return t.class == tanagerqueue.Urgent && n.urgent[t.branch].Plus(t.demand).DominantShare(total) <= n.rules[t.branch].UrgentShare
}

func (n *naive) allowed(t waitingTask) bool {
	after, quota := n.held[t.branch].Plus(t.demand), n.rules[t.branch].Quota
	return quota.CPU == 0 || after.CPU <= quota.CPU
}

func TestRoundAgainstNaive(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		b := New[int](total)
		n := &naive{
			rules:  make(map[string]Branch),
			held:   make(map[string]tanagerresource.Vector),
			urgent: make(map[string]tanagerresource.Vector),
		}
		branches := rapid.IntRange(1, 5).Draw(t, "branches")
		for i := range branches {
			name := fmt.Sprintf("b%d", i)
			rules := Branch{
				Weight:      float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				UrgentShare: rapid.Float64Range(0, 0.4).Draw(t, "urgent"),
				Quota: tanagerresource.Vector{
					CPU: int64(rapid.SampledFrom([]int{0, 0, 8000, 20000}).Draw(t, "quota")),
				},
			}
			b.SetBranch(name, rules)
			n.rules[name] = rules
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
			n.tasks = append(n.tasks, task)
			b.Push(task.branch, task.class, task.demand, id)
		}
		free := total
		var placed []int
		b.Round(func(e *Entry[int]) bool {
			if !e.Demand.Fits(free) {
				return false
			}
			free = free.Minus(e.Demand)
			placed = append(placed, e.Value)
			return true
		})
		want := n.round(total)
		if fmt.Sprint(placed) != fmt.Sprint(want) {
			t.Fatalf("placed %v, the reference places %v", placed, want)
		}
	})
}

// TestStarvationBound fills the fleet from saturated branches of unlike demand
// and checks the bound that the package documents: each holds its weight's part
// of its dominant resource, less one task, or waits for a resource that is used
// up.
func TestStarvationBound(t *testing.T) {
	c := qt.New(t)
	b := New[int](total)
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
		b.SetBranch(name, Branch{
			Weight: weights[name],
		})
		for i := range 200 {
			b.Push(name, tanagerqueue.Normal, demand, i)
		}
	}
	free := total
	b.Round(func(e *Entry[int]) bool {
		if !e.Demand.Fits(free) {
			return false
		}
		free = free.Minus(e.Demand)
		return true
	})
	for name, demand := range demands {
		bound := weights[name]/4 - demand.DominantShare(total)
		c.Check(b.Share(name) >= bound, qt.IsTrue, qt.Commentf("%s holds %.3f, bound %.3f", name, b.Share(name), bound))
	}
}

func TestRemoveAndRefund(t *testing.T) {
	c := qt.New(t)
	b := New[int](total)
	demand := tanagerresource.Vector{
		CPU: 1000,
	}
	kept := b.Push("a", tanagerqueue.Urgent, demand, 1)
	gone := b.Push("a", tanagerqueue.Urgent, demand, 2)
	b.Remove(gone)
	b.Remove(gone)
	c.Assert(b.Waiting("a"), qt.Equals, 1)
	b.Round(func(e *Entry[int]) bool {
		c.Check(e, qt.Equals, kept)
		return true
	})
	c.Assert(b.Len(), qt.Equals, 0)
	c.Assert(b.Held("a"), qt.Equals, demand)
	b.Refund("a", tanagerqueue.Urgent, demand)
	c.Assert(b.Share("a"), qt.Equals, 0.0)
}
