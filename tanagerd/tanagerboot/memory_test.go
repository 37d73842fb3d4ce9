package tanagerboot

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a scheduler of 3,000 workers that collects garbage instead of
// scheduling: with all its connections open it must stay below the soft limit.
func TestSoftMemoryLimitCoversConnections(t *testing.T) {
	const (
		memoryMB    = 284
		connections = 4100
		// Two buffers of 4 KiB, two stacks of 8 KiB and the state of the transport.
		connectionBytes = 28 << 10
		// The control state of 350 workers under load.
		stateBytes = 48 << 20
	)
	qt.Assert(t, SoftMemoryLimit(memoryMB) >= connections*connectionBytes+stateBytes, qt.IsTrue)
	qt.Assert(t, SoftMemoryLimit(memoryMB) < memoryMB<<20, qt.IsTrue)
}
