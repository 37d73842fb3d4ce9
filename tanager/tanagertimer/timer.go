package tanagertimer

import (
	"sync"
	"time"
)

// Service is a clock with periodic and one-shot timers.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Every returns a periodic subscription. The interval must be positive.
	Every(interval time.Duration) *Subscription
	// After returns a subscription to a single tick after delay.
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

// Real is the Service that uses the system clock. Its times carry a monotonic
// clock reading.
type Real struct{}

// NewReal returns a service that uses the system clock.
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

// Manual is a Service for tests whose time changes only by Advance. It is safe for
// concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

// manualTimer is a subscription of a Manual. The interval is zero for a single
// tick.
type manualTimer struct {
	dueAt    time.Time
	interval time.Duration
	ticks    chan time.Time
}

// NewManual returns a manual service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{
		now:    start,
		timers: make(map[*manualTimer]struct{}),
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

// Advance advances the time by d and delivers the ticks that become due. A periodic
// subscription receives at most one tick per call, like a slow subscriber of Real.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		m.fireIfDue(t)
	}
}

// fireIfDue delivers a tick if the timer is due, and then removes or reschedules
// it.
func (m *Manual) fireIfDue(t *manualTimer) {
	if m.now.Before(t.dueAt) {
		return
	}
	select {
	case t.ticks <- m.now:
	default:
	}
	if t.interval == 0 {
		delete(m.timers, t)
		return
	}
	for !m.now.Before(t.dueAt) {
		t.dueAt = t.dueAt.Add(t.interval)
	}
}

func (m *Manual) add(delay, interval time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{
		dueAt:    m.now.Add(delay),
		interval: interval,
		ticks:    make(chan time.Time, 1),
	}
	m.timers[t] = struct{}{}
	m.fireIfDue(t)
	return &Subscription{
		C:    t.ticks,
		stop: func() { m.remove(t) },
	}
}

func (m *Manual) remove(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.timers, t)
}
