package tanagerwire

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTimesKeepNanoseconds guards against the truncation of encoded times to
// seconds. A job's wait time is measured from its arrival time to the millisecond.
func TestTimesKeepNanoseconds(t *testing.T) {
	sent := time.Date(2026, 12, 4, 5, 0, 1, 987654321, time.UTC)
	var received time.Time
	c := qt.New(t)
	c.Assert(Decode(Encode(sent), &received), qt.IsNil)
	c.Assert(received.Equal(sent), qt.IsTrue)
}
