package tanagercell

import (
	"runtime/metrics"
	"time"
)

// The metrics of the Go runtime that a summary shows.
const (
	gcSecondsMetric  = "/cpu/classes/gc/total:cpu-seconds"
	heapBytesMetric  = "/memory/classes/heap/objects:bytes"
	totalBytesMetric = "/memory/classes/total:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
)

// runtimeUsage is what the Go runtime uses.
type runtimeUsage struct {
	// gcTime is the processor time of the garbage collector since the start of the
	// process. The runtime updates it at the end of each collection.
	gcTime time.Duration
	// heapMB are the heap's objects, totalMB all memory of the runtime.
	heapMB, totalMB uint64
	goroutines      uint64
}

func readRuntimeUsage() runtimeUsage {
	samples := []metrics.Sample{
		{Name: gcSecondsMetric},
		{Name: heapBytesMetric},
		{Name: totalBytesMetric},
		{Name: goroutinesMetric},
	}
	metrics.Read(samples)
	return runtimeUsage{
		gcTime:     time.Duration(samples[0].Value.Float64() * float64(time.Second)),
		heapMB:     samples[1].Value.Uint64() >> 20,
		totalMB:    samples[2].Value.Uint64() >> 20,
		goroutines: samples[3].Value.Uint64(),
	}
}
