package tanagerqueue_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagersail.example/tanager/tanagerqueue"
)

// Branches with equal weights alternate, regardless of the order in which their
// requests arrived.
func ExampleQueue() {
	queue := tanagerqueue.New[string](tanagerqueue.Settings{
		MaxClassLength: 100,
		MaxLength:      1000,
		InitialCost:    10 * time.Millisecond,
		MinRetryAfter:  time.Second,
		MaxRetryAfter:  time.Minute,
	}, rand.New(rand.NewPCG(1, 2)))
	queue.SetSlots(1)
	now := time.Now()
	for _, branch := range []string{"a", "b"} {
		queue.SetBranch(branch, tanagerqueue.BranchSettings{
			Weight: 1,
		})
		for i := range 2 {
			queue.Offer(&tanagerqueue.Item[string]{
				Branch:   branch,
				Class:    tanagerqueue.Normal,
				Deadline: now.Add(time.Second),
				Value:    fmt.Sprint(branch, i),
			}, now)
		}
	}
	for item, ok := queue.Take(now); ok; item, ok = queue.Take(now) {
		fmt.Print(item.Value, " ")
	}
	// Output: a0 b0 a1 b1
}
