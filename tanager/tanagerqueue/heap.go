package tanagerqueue

import "container/heap"

// branchHeap orders branches by virtual time.
type branchHeap[T any] struct {
	items []*branch[T]
	class Class
}

func (h *branchHeap[T]) Len() int { return len(h.items) }

func (h *branchHeap[T]) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

func (h *branchHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *branchHeap[T]) Push(x any) {
	b := x.(*branch[T])
	*h.position(b) = len(h.items)
	h.items = append(h.items, b)
}

// Pop implements heap.Interface.
func (h *branchHeap[T]) Pop() any {
	last := len(h.items) - 1
	b := h.items[last]
	h.items = h.items[:last]
	*h.position(b) = -1
	return b
}

func (h *branchHeap[T]) position(b *branch[T]) *int {
	if h.class == Urgent {
		return &b.urgent
	}
	return &b.index
}

// set makes the heap hold b, or not, at its present virtual time.
func (h *branchHeap[T]) set(b *branch[T], present bool) {
	position := *h.position(b)
	switch {
	case present && position < 0:
		heap.Push(h, b)
	case present:
		heap.Fix(h, position)
	case position >= 0:
		heap.Remove(h, position)
	}
}
