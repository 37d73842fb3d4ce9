package tanagertimer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

// hasTick receives a tick without blocking and reports whether there was one.
func hasTick(s *Subscription) bool {
	select {
	case <-s.C:
		return true
	default:
		return false
	}
}

func TestManualDeliversDueTicks(t *testing.T) {
	c := qt.New(t)
	m := NewManual(start)
	oneShot, periodic, immediate := m.After(time.Second), m.Every(time.Second), m.After(0)
	c.Assert(hasTick(immediate), qt.IsTrue)
	m.Advance(999 * time.Millisecond)
	c.Assert(hasTick(oneShot) || hasTick(periodic), qt.IsFalse)
	m.Advance(time.Millisecond)
	c.Assert(hasTick(oneShot) && hasTick(periodic), qt.IsTrue)
	// A subscriber that did not receive for 10 intervals gets a single tick.
	m.Advance(10 * time.Second)
	c.Assert(hasTick(oneShot), qt.IsFalse)
	c.Assert(hasTick(periodic), qt.IsTrue)
	c.Assert(hasTick(periodic), qt.IsFalse)
	periodic.Stop()
	periodic.Stop()
	m.Advance(time.Minute)
	c.Assert(hasTick(periodic), qt.IsFalse)
	c.Assert(m.Now(), qt.Equals, start.Add(71*time.Second))
}
