package tanagercell

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRuntimeUsage(t *testing.T) {
	before := readRuntimeUsage()
	runtime.GC()
	after := readRuntimeUsage()
	qt.Assert(t, after.goroutines > 0, qt.IsTrue)
	qt.Assert(t, after.totalMB > 0, qt.IsTrue)
	qt.Assert(t, after.gcSeconds > before.gcSeconds, qt.IsTrue)
	share := after.gcShareSince(before)
	qt.Assert(t, share > 0 && share <= 1, qt.IsTrue)
	qt.Assert(t, after.gcShareSince(after), qt.Equals, 0.0)
}
