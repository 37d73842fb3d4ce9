package tanageringress

import "time"

// Limits bounds what the clients of a process hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the budget for heads and bodies beyond the free bytes of each
	// connection. It counts what they take in memory, not only their bytes.
	Bytes int64
	// HeadBytes is the size of a request's line and header fields. The HTTP server
	// allows 4 KiB more.
	HeadBytes int
}

// DefaultHeadBytes is the usual value of Limits.HeadBytes.
const DefaultHeadBytes = 16 << 10

const (
	// fileFraction is the fraction of the descriptors that clients may use. The rest
	// is for the store, workers and other daemons.
	fileFraction = 0.4
	// memoryFraction is the fraction of the memory that connections may use.
	memoryFraction = 0.4
	// budgetFraction is the fraction of the memory that the budget is.
	budgetFraction = 0.125
	// freeHeadBytes is the part of a head that is not counted: connectionBytes covers
	// it. A server reads at most this much at once, so that ordinary requests do not
	// depend on the budget.
	freeHeadBytes = 4 << 10
	// freeBodyBytes is the part of a body that is not counted: connectionBytes covers
	// it.
	freeBodyBytes = 8 << 10
	// bodyFactor counts a body as it is and decoded.
	bodyFactor = 2
	// headFactor is what a head of short fields takes in memory as a multiple of its
	// bytes.
	headFactor = 20
	// stallTimeout is the time without a byte after which a request may be ended to
	// make room in the budget.
	stallTimeout = time.Second
	// connectionBytes is what one connection takes at most: two buffers of 4 KiB and
	// two stacks of 8 KiB, the free bytes of its request, decoded, and the bytes that
	// wait in the kernel.
	connectionBytes = 128 << 10
	// receiveBufferBytes is the receive buffer of a connection. Linux allows twice as
	// much for its own bookkeeping.
	receiveBufferBytes = 16 << 10
	// responseTimeout is how long a client may take to read a response after the time
	// for its request is over.
	responseTimeout = 5 * time.Second
	// minConnections is the number of connections of a process with very little
	// memory.
	minConnections = 16
)

// NewLimits returns the limits of a process with memory in bytes, a number of
// descriptors and a limit of heads in bytes.
func NewLimits(memoryBytes int64, maxFiles, headBytes int) Limits {
	byMemory := int(memoryFraction * float64(memoryBytes) / connectionBytes)
	return Limits{
		Connections: max(min(int(fileFraction*float64(maxFiles)), byMemory), minConnections),
		Bytes:       int64(budgetFraction * float64(memoryBytes)),
		HeadBytes:   headBytes,
	}
}
