package tanagertimer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

// ticked reports whether a tick waits.
func ticked(s *Subscription) bool {
	select {
	case <-s.C:
		return true
	default:
		return false
	}
}

func TestManualDeliversWhatIsDue(t *testing.T) {
	c := qt.New(t)
	m := NewManual(start)
	once, often, now := m.After(time.Second), m.Every(time.Second), m.After(0)
	c.Assert(ticked(now), qt.IsTrue)
	m.Advance(999 * time.Millisecond)
	c.Assert(ticked(once) || ticked(often), qt.IsFalse)
	m.Advance(time.Millisecond)
	c.Assert(ticked(once) && ticked(often), qt.IsTrue)
	// A slow subscriber misses ticks.
	m.Advance(10 * time.Second)
	c.Assert(ticked(once), qt.IsFalse)
	c.Assert(ticked(often), qt.IsTrue)
	c.Assert(ticked(often), qt.IsFalse)
	often.Stop()
	often.Stop()
	m.Advance(time.Minute)
	c.Assert(ticked(often), qt.IsFalse)
	c.Assert(m.Now(), qt.Equals, start.Add(71*time.Second))
}
