// Package tanagerqueue implements a bounded request queue with weighted fair
// scheduling between branches.
//
// # Order
//
// Slot time, the time that requests occupy slots, is shared between branches by
// start-time fair queueing (Goyal, Vin and Cheng, 1996). Each branch has a
// virtual time that advances by the slot time it used divided by its weight, and
// the branch with the least virtual time is served next. Within a branch the
// classes are served in the order urgent, normal, batch. The cost of a request
// is estimated when it is admitted, charged when it is taken from the queue and
// corrected when it finishes.
//
// A branch with an urgent request is served before the others as long as it has
// enough urgent credit and its virtual time is not too far ahead. Credit accrues
// at the rate of the branch's urgent share of the slots, up to the credit of
// 100 ms, which is also the limit on how far ahead its virtual time may be. The
// slot time is charged all the same, so urgency gives an earlier start but, while
// other branches wait, no larger share.
//
// # Admission
//
// Offer rejects a request at once if the queue is full or if the estimated wait
// exceeds the time until the request's deadline. The estimate uses the number of
// slots, the mean slot time of recently finished items and the branch's fraction
// of the total weight of branches with waiting items. A rejection carries a
// retry-after time with random jitter, so that rejected callers do not all retry
// at the same time.
//
// # Usage
//
//	queue := tanagerqueue.New[string](settings, rand.New(rand.NewPCG(seed, 0)))
//	queue.SetBranch("rosenheim", tanagerqueue.BranchSettings{Weight: 2})
//	failure := queue.Offer(item, now)
//	item, ok := queue.Take(now)
//	queue.Finish(item, used)
//
// A Queue is not safe for concurrent use; the control goroutine owns it.
package tanagerqueue
