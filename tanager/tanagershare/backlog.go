package tanagershare

import (
	"container/heap"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Branch holds the rules for one branch.
type Branch struct {
	// Weight is the branch's part relative to others; it must be positive.
	Weight float64
	// UrgentShare is the part of the whole, from 0 to 1, that urgent tasks may
	// take ahead of the others.
	UrgentShare float64
	// Quota bounds what the branch holds in total; a zero component is no
	// bound.
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

const classes = int(tanagerqueue.Batch) + 1

// row is the table row of one branch.
type row[T any] struct {
	name    string
	rules   Branch
	held    tanagerresource.Vector
	urgent  tanagerresource.Vector
	waiting [classes][]*Entry[T]
	length  int
	rank    float64
	boosted bool
	// blocked are the classes that are passed over in the present round.
	blocked [classes]bool
	index   int
}

// Backlog holds waiting tasks and what each branch holds.
type Backlog[T any] struct {
	total tanagerresource.Vector
	rows  map[string]*row[T]
	ready rowHeap[T]
}

// New returns an empty backlog for a fleet of the given size.
func New[T any](total tanagerresource.Vector) *Backlog[T] {
	return &Backlog[T]{
		total: total,
		rows:  make(map[string]*row[T]),
	}
}

// SetTotal changes the size of the fleet that shares are computed against.
func (b *Backlog[T]) SetTotal(total tanagerresource.Vector) { b.total = total }

// SetBranch adds a branch or changes its rules.
func (b *Backlog[T]) SetBranch(name string, rules Branch) {
	if rules.Weight <= 0 {
		panic("tanagershare: weight of " + name + " is not positive")
	}
	b.row(name).rules = rules
}

func (b *Backlog[T]) row(name string) *row[T] {
	r := b.rows[name]
	if r == nil {
		r = &row[T]{
			name: name,
			rules: Branch{
				Weight: 1,
			},
			index: -1,
		}
		b.rows[name] = r
	}
	return r
}

// Charge notes that a branch holds more.
func (b *Backlog[T]) Charge(branch string, class tanagerqueue.Class, v tanagerresource.Vector) {
	r := b.row(branch)
	r.held = r.held.Plus(v)
	if class == tanagerqueue.Urgent {
		r.urgent = r.urgent.Plus(v)
	}
}

// Refund notes that a branch holds less.
func (b *Backlog[T]) Refund(branch string, class tanagerqueue.Class, v tanagerresource.Vector) {
	r := b.row(branch)
	r.held = r.held.Minus(v)
	if class == tanagerqueue.Urgent {
		r.urgent = r.urgent.Minus(v)
	}
}

// Held returns what a branch holds.
func (b *Backlog[T]) Held(branch string) tanagerresource.Vector { return b.row(branch).held }

// Share returns a branch's dominant share, from 0 to 1.
func (b *Backlog[T]) Share(branch string) float64 {
	return b.row(branch).held.DominantShare(b.total)
}

// Len returns the number of waiting tasks of all branches.
func (b *Backlog[T]) Len() int {
	n := 0
	for _, r := range b.rows {
		n += r.length
	}
	return n
}

// Waiting returns the number of waiting tasks of one branch.
func (b *Backlog[T]) Waiting(branch string) int { return b.row(branch).length }

// Push adds a waiting task.
func (b *Backlog[T]) Push(branch string, class tanagerqueue.Class, demand tanagerresource.Vector, value T) *Entry[T] {
	e := &Entry[T]{
		Branch: branch,
		Class:  class,
		Demand: demand,
		Value:  value,
	}
	r := b.row(branch)
	r.waiting[class] = append(r.waiting[class], e)
	r.length++
	return e
}

// Remove takes a waiting task out in constant time. Removing a task twice does
// nothing.
func (b *Backlog[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	b.row(e.Branch).length--
}

// Round offers waiting tasks to place in the order of fairness. Place returns
// whether it placed the task; the task is then charged to its branch and leaves
// the backlog. A class whose first task was refused or exceeds the branch's
// quota is passed over for the rest of the round.
func (b *Backlog[T]) Round(place func(*Entry[T]) bool) {
	b.start()
	for len(b.ready.rows) > 0 {
		r := b.ready.rows[0]
		class, ok := r.first()
		if !ok {
			heap.Pop(&b.ready)
			continue
		}
		e := r.waiting[class][0]
		if !r.withinQuota(e.Demand) || !place(e) {
			b.block(r, class)
			continue
		}
		b.Charge(r.name, class, e.Demand)
		b.Remove(e)
		b.update(r)
	}
}

// Boosted reports whether an entry that is being placed goes before others
// because it is urgent and inside its branch's urgent share.
func (b *Backlog[T]) Boosted(e *Entry[T]) bool {
	return e.Class == tanagerqueue.Urgent && b.row(e.Branch).boosted
}

// start fills the heap with the branches that have tasks waiting.
func (b *Backlog[T]) start() {
	b.ready.rows = b.ready.rows[:0]
	for _, r := range b.rows {
		if r.length == 0 {
			continue
		}
		r.blocked = [classes]bool{}
		b.rank(r)
		r.index = len(b.ready.rows)
		b.ready.rows = append(b.ready.rows, r)
	}
	heap.Init(&b.ready)
}

func (b *Backlog[T]) block(r *row[T], class tanagerqueue.Class) {
	r.blocked[class] = true
	b.update(r)
}

func (b *Backlog[T]) update(r *row[T]) {
	b.rank(r)
	heap.Fix(&b.ready, r.index)
}

// rank computes where a branch stands in the round.
func (b *Backlog[T]) rank(r *row[T]) {
	r.rank = r.held.DominantShare(b.total) / r.rules.Weight
	class, ok := r.first()
	r.boosted = false
	if ok && class == tanagerqueue.Urgent {
		after := r.urgent.Plus(r.waiting[class][0].Demand)
		r.boosted = after.DominantShare(b.total) <= r.rules.UrgentShare
	}
}

// first returns the most urgent class that has a task and is not blocked.
func (r *row[T]) first() (tanagerqueue.Class, bool) {
	for c := range r.waiting {
		if r.blocked[c] {
			continue
		}
		r.trim(c)
		if len(r.waiting[c]) > 0 {
			return tanagerqueue.Class(c), true
		}
	}
	return 0, false
}

// trim drops removed tasks from the front of a class.
func (r *row[T]) trim(class int) {
	list := r.waiting[class]
	for len(list) > 0 && list[0].removed {
		list[0] = nil
		list = list[1:]
	}
	r.waiting[class] = list
}

func (r *row[T]) withinQuota(demand tanagerresource.Vector) bool {
	after, quota := r.held.Plus(demand), r.rules.Quota
	return within(after.CPU, quota.CPU) && within(after.Memory, quota.Memory) && within(after.Accelerators, quota.Accelerators)
}

func within(amount, bound int64) bool { return bound == 0 || amount <= bound }

// rowHeap orders branches for one round: urgent work inside its share first,
// then the smallest weighted dominant share.
type rowHeap[T any] struct {
	rows []*row[T]
}

func (h *rowHeap[T]) Len() int { return len(h.rows) }

func (h *rowHeap[T]) Less(i, j int) bool {
	a, b := h.rows[i], h.rows[j]
	if a.boosted != b.boosted {
		return a.boosted
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.name < b.name
}

func (h *rowHeap[T]) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].index = i
	h.rows[j].index = j
}

// Push implements heap.Interface.
func (h *rowHeap[T]) Push(x any) {
	r := x.(*row[T])
	r.index = len(h.rows)
	h.rows = append(h.rows, r)
}

// Pop implements heap.Interface.
func (h *rowHeap[T]) Pop() any {
	last := len(h.rows) - 1
	r := h.rows[last]
	h.rows = h.rows[:last]
	r.index = -1
	return r
}
