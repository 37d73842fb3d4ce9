package tanagerqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newFilledQueue(branches, items int) (*Queue[int], []*Item[int]) {
	s := settings
	s.MaxClassLength = items
	s.MaxLength = items
	q := New[int](s, rand.New(rand.NewPCG(1, 2)))
	q.SetSlots(400)
	for i := range branches {
		q.SetBranch(fmt.Sprint(i), BranchSettings{
			Weight:      1,
			UrgentShare: 0.1,
		})
	}
	waiting := make([]*Item[int], items)
	for i := range waiting {
		waiting[i] = &Item[int]{
			Branch:   fmt.Sprint(i % branches),
			Class:    Class(i % int(classCount)),
			Deadline: startTime.Add(24 * time.Hour),
		}
		if q.Offer(waiting[i], startTime) != nil {
			panic("tanagerqueue: the queue rejected an item of the benchmark")
		}
	}
	return q, waiting
}

// BenchmarkTakeAndOffer measures taking and finishing one item and offering it
// again, at a constant queue length.
func BenchmarkTakeAndOffer(b *testing.B) {
	for _, branches := range []int{10, 110, 1000} {
		b.Run(fmt.Sprintf("branches=%d", branches), func(b *testing.B) {
			q, _ := newFilledQueue(branches, 10000)
			b.ReportAllocs()
			for b.Loop() {
				item, _ := q.Take(startTime)
				q.Finish(item, 10*time.Millisecond)
				q.Offer(item, startTime)
			}
		})
	}
}

// BenchmarkCancelAll cancels all items of a queue and reports the time per
// item.
func BenchmarkCancelAll(b *testing.B) {
	for _, items := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			var q *Queue[int]
			var waiting []*Item[int]
			for i := range b.N {
				if i%items == 0 {
					b.StopTimer()
					q, waiting = newFilledQueue(110, items)
					b.StartTimer()
				}
				q.Cancel(waiting[i%items])
			}
		})
	}
}
