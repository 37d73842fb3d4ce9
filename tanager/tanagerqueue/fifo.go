package tanagerqueue

// fifo is a first-in first-out queue that reuses its memory. Cancelled items
// stay in it until they reach the front or compactCancelled drops them.
type fifo[T any] struct {
	items []*Item[T]
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item *Item[T]) { f.items = append(f.items, item) }

func (f *fifo[T]) front() *Item[T] { return f.items[f.head] }

// pop drops the front item. It moves the items to the start of the slice once
// half of the slice is unused.
func (f *fifo[T]) pop() {
	f.items[f.head] = nil
	f.head++
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
}

// popBack removes and returns the newest item.
func (f *fifo[T]) popBack() *Item[T] {
	last := len(f.items) - 1
	item := f.items[last]
	f.items[last] = nil
	f.items = f.items[:last]
	return item
}

// dropCancelledFront drops cancelled items from the front.
func (f *fifo[T]) dropCancelledFront() {
	for f.len() > 0 && f.front().cancelled {
		f.pop()
	}
}

// maxCancelledSlack is the number by which cancelled items may exceed the live
// ones before a queue is compacted.
const maxCancelledSlack = 64

// compactCancelled drops all cancelled items once they outnumber the live ones
// by more than maxCancelledSlack. Live is the number of items that are not
// cancelled.
func (f *fifo[T]) compactCancelled(live int) {
	if f.len() <= 2*live+maxCancelledSlack {
		return
	}
	kept := make([]*Item[T], 0, live)
	for _, item := range f.items[f.head:] {
		if !item.cancelled {
			kept = append(kept, item)
		}
	}
	f.items = kept
	f.head = 0
}
