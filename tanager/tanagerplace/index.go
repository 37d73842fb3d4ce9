package tanagerplace

import (
	"math/bits"

	"tanagersail.example/tanager/tanagerresource"
)

// The scales of the index. A level is the number of half doublings above the
// unit.
const (
	cpuUnit           = 250 // thousandths of a core
	memoryUnit        = 256 // MiB
	cpuLevels         = 22
	memoryLevels      = 26
	acceleratorLevels = 6
	buckets           = acceleratorLevels * cpuLevels * memoryLevels
)

// index keeps the open workers of one failure domain in buckets by their free
// resources.
type index struct {
	rows [buckets][]*workerRow
	used [(buckets + 63) / 64]uint64
}

func newIndex() *index { return &index{} }

// level returns the number of half doublings of units that fit into amount,
// below limit.
func level(amount, unit int64, limit int) int {
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

func acceleratorLevel(n int64) int {
	if n <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(n)), acceleratorLevels-1)
}

func levels(v tanagerresource.Vector) (accelerators, cpu, memory int) {
	return acceleratorLevel(v.Accelerators), level(v.CPU, cpuUnit, cpuLevels), level(v.Memory, memoryUnit, memoryLevels)
}

func bucketOf(accelerators, cpu, memory int) int {
	return (accelerators*cpuLevels+cpu)*memoryLevels + memory
}

func (x *index) add(row *workerRow) {
	b := bucketOf(levels(row.free()))
	row.bucket = b
	row.position = len(x.rows[b])
	x.rows[b] = append(x.rows[b], row)
	x.used[b/64] |= 1 << (b % 64)
}

func (x *index) remove(row *workerRow) {
	b := row.bucket
	if b < 0 {
		return
	}
	list := x.rows[b]
	last := len(list) - 1
	list[row.position] = list[last]
	list[row.position].position = row.position
	list[last] = nil
	x.rows[b] = list[:last]
	if last == 0 {
		x.used[b/64] &^= 1 << (b % 64)
	}
	row.bucket = -1
}

// nextUsed returns the first non-empty bucket from b up to limit, or limit.
func (x *index) nextUsed(b, limit int) int {
	for b < limit {
		word := x.used[b/64] >> (b % 64)
		if word != 0 {
			return min(b+bits.TrailingZeros64(word), limit)
		}
		b = (b/64 + 1) * 64
	}
	return limit
}

// fullest returns the worker with the least free resources that fits and is
// accepted, or nil. Sample bounds the workers that are looked at in a bucket;
// zero is no bound.
func (x *index) fullest(r tanagerresource.Vector, sample int, accept func(*workerRow) bool) *workerRow {
	accelerators, cpu, memory := levels(r)
	for a := accelerators; a < acceleratorLevels; a++ {
		for c := cpu; c < cpuLevels; c++ {
			limit := bucketOf(a, c, memoryLevels-1) + 1
			for b := x.nextUsed(bucketOf(a, c, memory), limit); b < limit; b = x.nextUsed(b+1, limit) {
				if row := best(x.rows[b], r, sample, accept); row != nil {
					return row
				}
			}
		}
	}
	return nil
}
