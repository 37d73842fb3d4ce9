package tanagertraffic

import "sync"

// Waiters passes responses of the control goroutine to the goroutines that wait
// for them. It is safe for concurrent use.
type Waiters struct {
	mu       sync.Mutex
	lastID   uint64
	channels map[uint64]chan any
}

// NewWaiters returns a Waiters without any waiting goroutine.
func NewWaiters() *Waiters {
	return &Waiters{
		channels: make(map[uint64]chan any),
	}
}

// Add registers a waiter. It returns the waiter's ID and the channel that
// receives the response.
func (w *Waiters) Add() (uint64, <-chan any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	channel := make(chan any, 1)
	w.channels[w.lastID] = channel
	return w.lastID, channel
}

// Remove removes a waiter. A later response to it is dropped.
func (w *Waiters) Remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, id)
}

// Respond delivers the response to a waiter and removes the waiter, so that any
// further response is dropped.
func (w *Waiters) Respond(id uint64, response any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	channel, ok := w.channels[id]
	if !ok {
		return
	}
	delete(w.channels, id)
	channel <- response
}
