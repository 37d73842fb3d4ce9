package tanagerqueue

import "container/heap"

// branchHeap orders branches by virtual time, then by name. The heap of class
// Urgent holds the branches with waiting urgent items; any other holds the
// branches with any waiting items.
type branchHeap[T any] struct {
	items []*branchState[T]
	class Class
}

func (h *branchHeap[T]) Len() int { return len(h.items) }

func (h *branchHeap[T]) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
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
	b := x.(*branchState[T])
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

// position returns the field of b that stores its index in this heap.
func (h *branchHeap[T]) position(b *branchState[T]) *int {
	if h.class == Urgent {
		return &b.urgentIndex
	}
	return &b.readyIndex
}

// update adds b to the heap, restores the order after its virtual time changed,
// or removes it if present is false.
func (h *branchHeap[T]) update(b *branchState[T], present bool) {
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
