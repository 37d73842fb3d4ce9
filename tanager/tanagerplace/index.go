package tanagerplace

import (
	"math/bits"

	"tanagersail.example/tanager/tanagerresource"
)

// The parameters of the bucket index. A level counts half doublings above the
// unit; level 0 is less than one unit.
const (
	cpuUnitMilli      = 250 // thousandths of a core
	memoryUnitMiB     = 256 // MiB
	cpuLevels         = 22
	memoryLevels      = 26
	acceleratorLevels = 6
	bucketCount       = acceleratorLevels * cpuLevels * memoryLevels
)

// index groups the schedulable workers of one failure domain into buckets by
// their free capacity.
type index struct {
	buckets [bucketCount][]*workerState
	// nonEmpty is a bitmap of the buckets that hold workers.
	nonEmpty [(bucketCount + 63) / 64]uint64
}

func newIndex() *index { return &index{} }

// logLevel returns the logarithmic level of amount: 0 below one unit, then one
// level per half doubling, up to limit-1.
func logLevel(amount, unit int64, limit int) int {
	units := amount / unit
	if units <= 0 {
		return 0
	}
	doublings := bits.Len64(uint64(units)) - 1
	half := 0
	if doublings > 0 && units&(1<<(doublings-1)) != 0 {
		half = 1
	}
	return min(1+2*doublings+half, limit-1)
}

// acceleratorLevel returns the level of n accelerators: 0 for none, then one
// level per doubling.
func acceleratorLevel(n int64) int {
	if n <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(n)), acceleratorLevels-1)
}

// resourceLevels returns the level of each resource of v.
func resourceLevels(v tanagerresource.Vector) (accelerators, cpu, memory int) {
	return acceleratorLevel(v.Accelerators),
		logLevel(v.CPU, cpuUnitMilli, cpuLevels),
		logLevel(v.Memory, memoryUnitMiB, memoryLevels)
}

func bucketNumber(accelerators, cpu, memory int) int {
	return (accelerators*cpuLevels+cpu)*memoryLevels + memory
}

func (x *index) add(w *workerState) {
	b := bucketNumber(resourceLevels(w.free()))
	w.bucket = b
	w.bucketPosition = len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], w)
	x.nonEmpty[b/64] |= 1 << (b % 64)
}

func (x *index) remove(w *workerState) {
	b := w.bucket
	if b < 0 {
		return
	}
	bucket := x.buckets[b]
	last := len(bucket) - 1
	bucket[w.bucketPosition] = bucket[last]
	bucket[w.bucketPosition].bucketPosition = w.bucketPosition
	bucket[last] = nil
	x.buckets[b] = bucket[:last]
	if last == 0 {
		x.nonEmpty[b/64] &^= 1 << (b % 64)
	}
	w.bucket = -1
}

// nextNonEmpty returns the first non-empty bucket in [b, limit), or limit.
func (x *index) nextNonEmpty(b, limit int) int {
	for b < limit {
		word := x.nonEmpty[b/64] >> (b % 64)
		if word != 0 {
			return min(b+bits.TrailingZeros64(word), limit)
		}
		b = (b/64 + 1) * 64
	}
	return limit
}

// mostAllocated returns the best fit of the lowest bucket that has one, which
// is the bucket with the least free capacity, or nil. Sample bounds the
// workers examined per bucket; zero means all.
func (x *index) mostAllocated(demand tanagerresource.Vector, sample int,
	accepts func(*workerState) bool) *workerState {
	accelerators, cpu, memory := resourceLevels(demand)
	for a := accelerators; a < acceleratorLevels; a++ {
		for c := cpu; c < cpuLevels; c++ {
			limit := bucketNumber(a, c, memoryLevels-1) + 1
			for b := x.nextNonEmpty(bucketNumber(a, c, memory), limit); b < limit; b = x.nextNonEmpty(b+1, limit) {
				if w := bestFit(x.buckets[b], demand, sample, accepts); w != nil {
					return w
				}
			}
		}
	}
	return nil
}
