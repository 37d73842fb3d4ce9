package tanageringress

import "time"

// Limits bounds what the clients of a process hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
}

const (
	// fileFraction is the fraction of the descriptors that clients may use. The rest
	// is for the store, workers and other daemons.
	fileFraction = 0.4
	// memoryFraction is the fraction of the memory that connections may use.
	memoryFraction = 0.4
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

// NewLimits returns the limits of a process with memory in bytes and a number of
// descriptors.
func NewLimits(memoryBytes int64, maxFiles int) Limits {
	byMemory := int(memoryFraction * float64(memoryBytes) / connectionBytes)
	return Limits{
		Connections: max(min(int(fileFraction*float64(maxFiles)), byMemory), minConnections),
	}
}
