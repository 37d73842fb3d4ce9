// Package tanagerqueue admits requests to a bounded queue and decides which one
// is served next.
//
// # Order
//
// The queue shares slot time between branches by start-time fair queueing
// (Goyal, Vin and Cheng, 1996): each branch has a virtual time that advances by
// the slot time it used divided by its weight, and the branch that is furthest
// behind goes next. Within a branch the classes go in the order urgent, normal,
// batch. The cost of a request is estimated when it is taken and corrected when
// it ends.
//
// A branch with an urgent request is put before the others as long as it has
// urgent credit, which it earns at the rate of its urgent share of the slots and
// which adds up over 100 ms, and as long as its virtual time is not further
// ahead than that. The slot time is charged all the same, so urgency buys an
// earlier start and, while others wait, no larger share.
//
// # Admission
//
// Offer refuses a request at once if its queue is full or if the estimated wait
// passes the time that the caller is willing to wait. The estimate follows from
// the number of slots, the mean slot time of the items that ended lately and the
// branch's part of the weight in demand. A refusal carries the time after which to come
// back, spread at random so that refused callers don't return together.
//
// # Usage
//
//	queue := tanagerqueue.New[string](settings, rand.New(rand.NewPCG(seed, 0)))
//	queue.SetBranch("rosenheim", tanagerqueue.Branch{Weight: 2})
//	failure := queue.Offer(item, now)
//	item, ok := queue.Take(now)
//	queue.Finish(item, used)
//
// A Queue is not safe for concurrent use; the control goroutine owns it.
package tanagerqueue
