package tanagercell

import "runtime/metrics"

// The metrics of the Go runtime that a summary shows.
const (
	gcSecondsMetric   = "/cpu/classes/gc/total:cpu-seconds"
	userSecondsMetric = "/cpu/classes/user:cpu-seconds"
	heapBytesMetric   = "/memory/classes/heap/objects:bytes"
	totalBytesMetric  = "/memory/classes/total:bytes"
	goroutinesMetric  = "/sched/goroutines:goroutines"
)

// runtimeUsage is what the Go runtime uses.
type runtimeUsage struct {
	// gcSeconds and userSeconds are the processor time of the garbage collector and
	// of all other code since the start of the process, as the runtime accounts for
	// them at the end of each collection.
	gcSeconds, userSeconds float64
	// heapMB are the heap's objects, totalMB all memory of the runtime.
	heapMB, totalMB uint64
	goroutines      uint64
}

func readRuntimeUsage() runtimeUsage {
	samples := []metrics.Sample{
		{Name: gcSecondsMetric},
		{Name: userSecondsMetric},
		{Name: heapBytesMetric},
		{Name: totalBytesMetric},
		{Name: goroutinesMetric},
	}
	metrics.Read(samples)
	return runtimeUsage{
		gcSeconds:   samples[0].Value.Float64(),
		userSeconds: samples[1].Value.Float64(),
		heapMB:      samples[2].Value.Uint64() >> 20,
		totalMB:     samples[3].Value.Uint64() >> 20,
		goroutines:  samples[4].Value.Uint64(),
	}
}

// gcShareSince returns the garbage collector's share of the processor time since an
// earlier reading, or 0 if no collection has ended since.
func (u runtimeUsage) gcShareSince(earlier runtimeUsage) float64 {
	gc := u.gcSeconds - earlier.gcSeconds
	total := gc + u.userSeconds - earlier.userSeconds
	if total <= 0 {
		return 0
	}
	return gc / total
}
