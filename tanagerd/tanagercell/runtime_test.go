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
	qt.Assert(t, after.gcTime > before.gcTime, qt.IsTrue)
}
