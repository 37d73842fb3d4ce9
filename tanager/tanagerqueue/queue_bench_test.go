package tanagerqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func filled(branches, items int) (*Queue[int], []*Item[int]) {
	s := settings
	s.BranchLength = items
	s.TotalLength = items
	q := New[int](s, rand.New(rand.NewPCG(1, 2)))
	q.SetSlots(400)
	for i := range branches {
		q.SetBranch(fmt.Sprint(i), Branch{
			Weight:      1,
			UrgentShare: 0.1,
		})
	}
	list := make([]*Item[int], items)
	for i := range list {
		list[i] = &Item[int]{
			Branch:   fmt.Sprint(i % branches),
			Class:    Class(i % int(classes)),
			Deadline: start.Add(24 * time.Hour),
		}
		if q.Offer(list[i], start) != nil {
			panic("tanagerqueue: the benchmark's queue is too short")
		}
	}
	return q, list
}

// BenchmarkTakeAndOffer replaces one waiting item.
func BenchmarkTakeAndOffer(b *testing.B) {
	for _, branches := range []int{10, 110, 1000} {
		b.Run(fmt.Sprintf("branches=%d", branches), func(b *testing.B) {
			q, _ := filled(branches, 10000)
			b.ReportAllocs()
			for b.Loop() {
				item, _ := q.Take(start)
				q.Finish(item, 10*time.Millisecond)
				q.Offer(item, start)
			}
		})
	}
}

// BenchmarkCancelWave cancels all items of a queue; the time is for one.
func BenchmarkCancelWave(b *testing.B) {
	for _, items := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			var q *Queue[int]
			var list []*Item[int]
			for i := range b.N {
				if i%items == 0 {
					b.StopTimer()
					q, list = filled(110, items)
					b.StartTimer()
				}
				q.Cancel(list[i%items])
			}
		})
	}
}
