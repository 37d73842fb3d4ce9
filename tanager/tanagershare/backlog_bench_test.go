package tanagershare

import (
	"fmt"
	"testing"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// BenchmarkRound measures a round in which every branch has a waiting task and
// only the first one offered is placed.
func BenchmarkRound(b *testing.B) {
	for _, branches := range []int{10, 110, 1000} {
		b.Run(fmt.Sprintf("branches=%d", branches), func(b *testing.B) {
			demand := tanagerresource.Vector{
				CPU: 1,
			}
			backlog := New[int](demand.Scale(1 << 40))
			for i := range branches {
				backlog.Push(fmt.Sprint(i), tanagerqueue.Normal, demand, i)
			}
			b.ReportAllocs()
			for b.Loop() {
				placed := false
				backlog.Round(func(e *Entry[int]) bool {
					if placed {
						return false
					}
					placed = true
					backlog.Push(e.Branch, e.Class, demand, e.Value)
					return true
				})
			}
		})
	}
}
