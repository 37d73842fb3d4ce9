package tanagertimer

import (
	"sync"
	"time"
)

// Service tells the time and delivers ticks to subscribers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Every subscribes to ticks that are interval apart. The interval must be
	// positive.
	Every(interval time.Duration) *Subscription
	// After subscribes to a single tick once delay has passed.
	After(delay time.Duration) *Subscription
}

// Subscription delivers ticks until it is stopped.
type Subscription struct {
	// C receives the time of each tick. It is never closed.
	C <-chan time.Time

	stop func()
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() { s.stop() }

// Real is the Service backed by the clock of the operating system.
type Real struct{}

// NewReal returns the service of the operating system's clock.
func NewReal() *Real { return &Real{} }

// Now implements Service.
func (*Real) Now() time.Time { return time.Now() }

// Every implements Service.
func (*Real) Every(interval time.Duration) *Subscription {
	t := time.NewTicker(interval)
	return &Subscription{
		C:    t.C,
		stop: t.Stop,
	}
}

// After implements Service.
func (*Real) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return &Subscription{
		C:    t.C,
		stop: func() { t.Stop() },
	}
}

// Manual is a Service whose time moves only by Advance. It is safe for
// concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	pending map[*manualTimer]struct{}
}

type manualTimer struct {
	due      time.Time
	interval time.Duration
	c        chan time.Time
}

// NewManual returns a manual service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{
		now:     start,
		pending: make(map[*manualTimer]struct{}),
	}
}

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every implements Service.
func (m *Manual) Every(interval time.Duration) *Subscription { return m.add(interval, interval) }

// After implements Service.
func (m *Manual) After(delay time.Duration) *Subscription { return m.add(delay, 0) }

// Advance moves the time forward by d and delivers the ticks that fall due. A
// periodic subscription receives at most one tick for each call, as a slow
// subscriber of Real would.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.pending {
		m.fire(t)
	}
}

func (m *Manual) fire(t *manualTimer) {
	if m.now.Before(t.due) {
		return
	}
	select {
	case t.c <- m.now:
	default:
	}
	if t.interval == 0 {
		delete(m.pending, t)
		return
	}
	for !m.now.Before(t.due) {
		t.due = t.due.Add(t.interval)
	}
}

func (m *Manual) add(delay, interval time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{
		due:      m.now.Add(delay),
		interval: interval,
		c:        make(chan time.Time, 1),
	}
	m.pending[t] = struct{}{}
	m.fire(t)
	return &Subscription{
		C:    t.c,
		stop: func() { m.remove(t) },
	}
}

func (m *Manual) remove(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, t)
}
