package tanagershare

import (
	"container/heap"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// BranchSettings configures the share of one branch.
type BranchSettings struct {
	// Weight is the branch's share of the fleet relative to other branches; it
	// must be positive.
	Weight float64
	// UrgentShare is the fraction of the fleet, from 0 to 1, that urgent tasks
	// may take ahead of other branches.
	UrgentShare float64
	// Quota bounds the resources allocated to the branch; a zero component is
	// unlimited.
	Quota tanagerresource.Vector
}

// Entry is one waiting task.
type Entry[T any] struct {
	Branch string
	Class  tanagerqueue.Class
	Demand tanagerresource.Vector
	Value  T

	removed bool
}

const classCount = int(tanagerqueue.Batch) + 1

// branchState holds the waiting tasks, the allocated resources and the rank of
// a branch.
type branchState[T any] struct {
	name            string
	settings        BranchSettings
	allocated       tanagerresource.Vector
	urgentAllocated tanagerresource.Vector
	queues          [classCount][]*Entry[T]
	waiting         int
	weightedShare   float64
	boosted         bool
	// blocked marks the classes that are skipped for the rest of the round.
	blocked   [classCount]bool
	heapIndex int
}

// Backlog holds the waiting tasks and the allocated resources of each branch.
type Backlog[T any] struct {
	capacity tanagerresource.Vector
	branches map[string]*branchState[T]
	eligible branchHeap[T]
}

// New returns an empty backlog for a fleet of the given capacity.
func New[T any](capacity tanagerresource.Vector) *Backlog[T] {
	return &Backlog[T]{
		capacity: capacity,
		branches: make(map[string]*branchState[T]),
	}
}

// SetCapacity sets the fleet capacity that shares are relative to.
func (b *Backlog[T]) SetCapacity(capacity tanagerresource.Vector) { b.capacity = capacity }

// SetBranch adds a branch or changes its configuration. It panics if the weight
// is not positive.
func (b *Backlog[T]) SetBranch(name string, settings BranchSettings) {
	if settings.Weight <= 0 {
		panic("tanagershare: weight of " + name + " is not positive")
	}
	b.findOrAddBranch(name).settings = settings
}

// findOrAddBranch returns the state of a branch, which it adds with weight 1 if
// it is new.
func (b *Backlog[T]) findOrAddBranch(name string) *branchState[T] {
	s := b.branches[name]
	if s == nil {
		s = &branchState[T]{
			name: name,
			settings: BranchSettings{
				Weight: 1,
			},
			heapIndex: -1,
		}
		b.branches[name] = s
	}
	return s
}

// Charge adds v to the resources allocated to a branch.
func (b *Backlog[T]) Charge(branch string, class tanagerqueue.Class, v tanagerresource.Vector) {
	s := b.findOrAddBranch(branch)
	s.allocated = s.allocated.Add(v)
	if class == tanagerqueue.Urgent {
		s.urgentAllocated = s.urgentAllocated.Add(v)
	}
}

// Refund subtracts v from the resources allocated to a branch.
func (b *Backlog[T]) Refund(branch string, class tanagerqueue.Class, v tanagerresource.Vector) {
	s := b.findOrAddBranch(branch)
	s.allocated = s.allocated.Sub(v)
	if class == tanagerqueue.Urgent {
		s.urgentAllocated = s.urgentAllocated.Sub(v)
	}
}

// Allocated returns the resources allocated to a branch.
func (b *Backlog[T]) Allocated(branch string) tanagerresource.Vector {
	return b.findOrAddBranch(branch).allocated
}

// DominantShare returns the largest fraction, from 0 to 1, of any one resource
// that is allocated to a branch.
func (b *Backlog[T]) DominantShare(branch string) float64 {
	return b.findOrAddBranch(branch).allocated.DominantShare(b.capacity)
}

// Len returns the number of waiting tasks of all branches.
func (b *Backlog[T]) Len() int {
	n := 0
	for _, s := range b.branches {
		n += s.waiting
	}
	return n
}

// Waiting returns the number of waiting tasks of one branch.
func (b *Backlog[T]) Waiting(branch string) int { return b.findOrAddBranch(branch).waiting }

// Push appends a waiting task to its branch and class.
func (b *Backlog[T]) Push(branch string, class tanagerqueue.Class, demand tanagerresource.Vector, value T) *Entry[T] {
	e := &Entry[T]{
		Branch: branch,
		Class:  class,
		Demand: demand,
		Value:  value,
	}
	s := b.findOrAddBranch(branch)
	s.queues[class] = append(s.queues[class], e)
	s.waiting++
	return e
}

// Remove removes a waiting task in constant time. It does nothing if the task
// has already been removed.
func (b *Backlog[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	b.findOrAddBranch(e.Branch).waiting--
}

// Round calls place for waiting tasks in fair order. Place reports whether it
// placed the task; if so, the task is charged to its branch and removed from
// the backlog. If the first task of a class is not placed, or would exceed the
// branch's quota, the class is skipped for the rest of the round.
func (b *Backlog[T]) Round(place func(*Entry[T]) bool) {
	b.beginRound()
	for len(b.eligible.branches) > 0 {
		s := b.eligible.branches[0]
		class, ok := s.nextClass()
		if !ok {
			heap.Pop(&b.eligible)
			continue
		}
		e := s.queues[class][0]
		if !s.withinQuota(e.Demand) || !place(e) {
			b.blockClass(s, class)
			continue
		}
		b.Charge(s.name, class, e.Demand)
		b.Remove(e)
		b.fixHeap(s)
	}
}

// WithinUrgentShare reports whether an entry that is being placed goes before
// other branches because it is urgent and within its branch's urgent share.
func (b *Backlog[T]) WithinUrgentShare(e *Entry[T]) bool {
	return e.Class == tanagerqueue.Urgent && b.findOrAddBranch(e.Branch).boosted
}

// beginRound fills the heap with the branches that have waiting tasks.
func (b *Backlog[T]) beginRound() {
	b.eligible.branches = b.eligible.branches[:0]
	for _, s := range b.branches {
		if s.waiting == 0 {
			continue
		}
		s.blocked = [classCount]bool{}
		b.updateRank(s)
		s.heapIndex = len(b.eligible.branches)
		b.eligible.branches = append(b.eligible.branches, s)
	}
	heap.Init(&b.eligible)
}

func (b *Backlog[T]) blockClass(s *branchState[T], class tanagerqueue.Class) {
	s.blocked[class] = true
	b.fixHeap(s)
}

// fixHeap recomputes the rank of a branch and restores the heap order.
func (b *Backlog[T]) fixHeap(s *branchState[T]) {
	b.updateRank(s)
	heap.Fix(&b.eligible, s.heapIndex)
}

// updateRank recomputes the weighted dominant share of a branch and whether its
// next task is boosted.
func (b *Backlog[T]) updateRank(s *branchState[T]) {
	s.weightedShare = s.allocated.DominantShare(b.capacity) / s.settings.Weight
	class, ok := s.nextClass()
	s.boosted = false
	if ok && class == tanagerqueue.Urgent {
		after := s.urgentAllocated.Add(s.queues[class][0].Demand)
		s.boosted = after.DominantShare(b.capacity) <= s.settings.UrgentShare
	}
}

// nextClass returns the first class, in service order, that has a waiting task
// and is not blocked.
func (s *branchState[T]) nextClass() (tanagerqueue.Class, bool) {
	for c := range s.queues {
		if s.blocked[c] {
			continue
		}
		s.dropRemovedFront(c)
		if len(s.queues[c]) > 0 {
			return tanagerqueue.Class(c), true
		}
	}
	return 0, false
}

// dropRemovedFront drops removed tasks from the front of a class's queue.
func (s *branchState[T]) dropRemovedFront(class int) {
	queue := s.queues[class]
	for len(queue) > 0 && queue[0].removed {
		queue[0] = nil
		queue = queue[1:]
	}
	s.queues[class] = queue
}

// withinQuota reports whether the branch stays within its quota if the demand is
// allocated to it as well.
func (s *branchState[T]) withinQuota(demand tanagerresource.Vector) bool {
	after, quota := s.allocated.Add(demand), s.settings.Quota
	return withinBound(after.CPU, quota.CPU) &&
		withinBound(after.Memory, quota.Memory) &&
		withinBound(after.Accelerators, quota.Accelerators)
}

// withinBound reports whether amount is at most bound; a bound of 0 is
// unlimited.
func withinBound(amount, bound int64) bool { return bound == 0 || amount <= bound }

// branchHeap orders the branches of a round: boosted branches first, then by
// ascending weighted dominant share, then by name.
type branchHeap[T any] struct {
	branches []*branchState[T]
}

func (h *branchHeap[T]) Len() int { return len(h.branches) }

func (h *branchHeap[T]) Less(i, j int) bool {
	a, b := h.branches[i], h.branches[j]
	if a.boosted != b.boosted {
		return a.boosted
	}
	if a.weightedShare != b.weightedShare {
		return a.weightedShare < b.weightedShare
	}
	return a.name < b.name
}

func (h *branchHeap[T]) Swap(i, j int) {
	h.branches[i], h.branches[j] = h.branches[j], h.branches[i]
	h.branches[i].heapIndex = i
	h.branches[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *branchHeap[T]) Push(x any) {
	s := x.(*branchState[T])
	s.heapIndex = len(h.branches)
	h.branches = append(h.branches, s)
}

// Pop implements heap.Interface.
func (h *branchHeap[T]) Pop() any {
	last := len(h.branches) - 1
	s := h.branches[last]
	h.branches = h.branches[:last]
	s.heapIndex = -1
	return s
}
