package tanagerplace

import (
	"fmt"
	"testing"

	"tanagersail.example/tanager/tanagerresource"
)

// BenchmarkSelectWorker measures one placement decision on a fleet that is about nine
// tenths allocated.
func BenchmarkSelectWorker(b *testing.B) {
	for _, size := range []int{50, 500, 5000, 11000} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			f := newFleet(size, "a", "b", "c", "d", "e", "f")
			for i := range size * 9 {
				r := tanagerresource.Vector{
					CPU:    1000 + int64(i%7)*200,
					Memory: 2000 + int64(i%5)*700,
				}
				if name, ok := f.SelectWorker(Demand{Resources: r}, startTime); ok {
					f.Allocate(name, Allocation{
						Task:     fmt.Sprint(i),
						Declared: r,
					})
				}
			}
			demand := Demand{
				Resources: tanagerresource.Vector{
					CPU:    1000,
					Memory: 1000,
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				f.ClearUnplaceable()
				f.SelectWorker(demand, startTime)
			}
		})
	}
}
