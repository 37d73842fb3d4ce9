package tanagerqueue

// fifo is a first-in first-out list that reuses its memory.
type fifo[T any] struct {
	items []*Item[T]
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item *Item[T]) { f.items = append(f.items, item) }

func (f *fifo[T]) front() *Item[T] { return f.items[f.head] }

// pop drops the front item.
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

// popBack removes and returns the youngest item.
func (f *fifo[T]) popBack() *Item[T] {
	last := len(f.items) - 1
	item := f.items[last]
	f.items[last] = nil
	f.items = f.items[:last]
	return item
}

// trim drops cancelled items from the front.
func (f *fifo[T]) trim() {
	for f.len() > 0 && f.front().gone {
		f.pop()
	}
}

// compactSlack is the number of cancelled items that a list may keep beyond the
// number of live ones.
const compactSlack = 64

// compact drops all cancelled items once they outnumber the live ones.
func (f *fifo[T]) compact(live int) {
	if f.len() <= 2*live+compactSlack {
		return
	}
	kept := make([]*Item[T], 0, live)
	for _, item := range f.items[f.head:] {
		if !item.gone {
			kept = append(kept, item)
		}
	}
	f.items = kept
	f.head = 0
}
