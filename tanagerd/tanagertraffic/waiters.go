package tanagertraffic

import "sync"

// Waiters connects goroutines that wait for an answer with the control
// goroutine that gives it. It is safe for concurrent use.
type Waiters struct {
	mu       sync.Mutex
	next     uint64
	channels map[uint64]chan any
}

// NewWaiters returns an empty set.
func NewWaiters() *Waiters {
	return &Waiters{
		channels: make(map[uint64]chan any),
	}
}

// Add returns a new number and the channel on which its answer will arrive.
func (w *Waiters) Add() (uint64, <-chan any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := make(chan any, 1)
	w.channels[w.next] = c
	return w.next, c
}

// Remove gives a number up. A later answer to it is dropped.
func (w *Waiters) Remove(number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, number)
}

// Answer delivers the answer to a number. Only the first answer counts.
func (w *Waiters) Answer(number uint64, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.channels[number]
	if !ok {
		return
	}
	delete(w.channels, number)
	c <- value
}
