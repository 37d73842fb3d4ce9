package tanagerreplay

import "time"

// simEvent is a function to be run at a point in virtual time.
type simEvent struct {
	time time.Time
	seq  int
	run  func()
}

// eventHeap orders events by time, and events with equal times by insertion.
type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].time.Before(h[j].time) || h[i].time.Equal(h[j].time) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
