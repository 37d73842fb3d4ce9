package tanagerqueue

import (
	"math"
	"math/rand/v2"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
)

// Settings configures a Queue. All fields are required.
type Settings struct {
	// MaxClassLength is the maximum number of waiting items per class of a branch.
	MaxClassLength int
	// MaxLength is the maximum number of waiting items in the queue.
	MaxLength int
	// InitialCost is the assumed slot time of an item until one has finished.
	InitialCost time.Duration
	// MinRetryAfter is the shortest retry-after time, before jitter.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest retry-after time, before jitter.
	MaxRetryAfter time.Duration
}

// BranchSettings configures the share of one branch.
type BranchSettings struct {
	// Weight is the branch's share of the slot time relative to other branches;
	// it must be positive.
	Weight float64
	// UrgentShare is the fraction of the slots, from 0 to 1, that the branch's
	// urgent items may use ahead of other branches.
	UrgentShare float64
}

// Item is one waiting request.
type Item[T any] struct {
	Branch string
	Class  Class
	// Deadline is the time by which the item must be taken from the queue.
	Deadline time.Time
	// Value is opaque to the queue.
	Value T

	chargedCost time.Duration
	cancelled   bool
}

// branchState holds the waiting items and the scheduling state of a branch.
type branchState[T any] struct {
	name        string
	settings    BranchSettings
	virtualTime float64
	queues      [classCount]fifo[T]
	// waiting counts the items of each class that are not cancelled; length is
	// their sum.
	waiting      [classCount]int
	length       int
	expectedCost [classCount]time.Duration
	readyIndex   int
	urgentIndex  int
	// urgentCredit is the slot time, in seconds, that urgent items may take ahead
	// of other branches, as of urgentCreditAt.
	urgentCredit   float64
	urgentCreditAt time.Time
}

// Queue is a bounded weighted fair queue.
type Queue[T any] struct {
	settings    Settings
	random      *rand.Rand
	branches    map[string]*branchState[T]
	ready       branchHeap[T]
	urgent      branchHeap[T]
	virtualTime float64
	length      int
	// activeWeight is the total weight of the branches with waiting items.
	activeWeight float64
	slots        int
	// meanCost is the moving average of the slot time of all finished items.
	meanCost time.Duration
	// evicted holds the items that TakeEvicted returns next.
	evicted []*Item[T]
}

// New returns an empty queue. Random adds jitter to retry-after times.
func New[T any](s Settings, random *rand.Rand) *Queue[T] {
	return &Queue[T]{
		settings: s,
		random:   random,
		meanCost: s.InitialCost,
		branches: make(map[string]*branchState[T]),
		ready: branchHeap[T]{
			class: classCount,
		},
		urgent: branchHeap[T]{
			class: Urgent,
		},
	}
}

// SetBranch adds a branch or changes its configuration. It panics if the weight
// is not positive.
func (q *Queue[T]) SetBranch(name string, settings BranchSettings) {
	if settings.Weight <= 0 {
		panic("tanagerqueue: weight of " + name + " is not positive")
	}
	b := q.branches[name]
	if b == nil {
		b = &branchState[T]{
			name:        name,
			readyIndex:  -1,
			urgentIndex: -1,
		}
		for i := range b.expectedCost {
			b.expectedCost[i] = q.settings.InitialCost
		}
		q.branches[name] = b
	}
	if b.length > 0 {
		q.activeWeight += settings.Weight - b.settings.Weight
	}
	b.settings = settings
}

// urgentCreditWindow is the time over which unused urgent credit accrues.
const urgentCreditWindow = 100 * time.Millisecond

// refillUrgentCredit adds the urgent credit accrued by b up to now.
func (q *Queue[T]) refillUrgentCredit(b *branchState[T], now time.Time) {
	accrued := now.Sub(b.urgentCreditAt).Seconds() * b.settings.UrgentShare * float64(q.slots)
	b.urgentCredit = min(b.urgentCredit+accrued, q.urgentCreditLimit(b))
	b.urgentCreditAt = now
}

// SetSlots sets the number of items that are served concurrently.
func (q *Queue[T]) SetSlots(slots int) { q.slots = slots }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of a branch.
func (q *Queue[T]) Waiting(name string) int {
	if b := q.branches[name]; b != nil {
		return b.length
	}
	return 0
}

// Offer admits an item, or returns the failure to report to the caller. The
// failure's code is unknown_branch, deadline_passed, queue_full or
// deadline_unreachable; the last two carry a retry-after time.
func (q *Queue[T]) Offer(item *Item[T], now time.Time) *tanagerfailure.Failure {
	b := q.branches[item.Branch]
	if b == nil {
		return tanagerfailure.New(tanagerfailure.UnknownBranch, "branch "+item.Branch+" is not configured")
	}
	if !now.Before(item.Deadline) {
		return tanagerfailure.New(tanagerfailure.DeadlinePassed, "the deadline has passed")
	}
	wait := q.estimateWait(b, item.Class)
	if q.length >= q.settings.MaxLength && !q.evictFor(b) {
		return q.reject(tanagerfailure.QueueFull, "the queue is full", wait)
	}
	if b.waiting[item.Class] >= q.settings.MaxClassLength {
		return q.reject(tanagerfailure.QueueFull, "the branch's queue is full", wait)
	}
	if now.Add(wait).After(item.Deadline) {
		return q.reject(tanagerfailure.DeadlineUnreachable,
			"the estimated wait of "+wait.Round(time.Millisecond).String()+" passes the deadline", wait)
	}
	q.add(b, item)
	return nil
}

// reject returns a failure with a retry-after time.
func (q *Queue[T]) reject(code tanagerfailure.Code, message string, wait time.Duration) *tanagerfailure.Failure {
	return tanagerfailure.New(code, message).WithRetryAfter(q.jitteredRetryAfter(wait))
}

// RetryAfter returns the time after which a rejected caller of a branch should
// retry, with jitter.
func (q *Queue[T]) RetryAfter(name string, class Class) time.Duration {
	b := q.branches[name]
	if b == nil {
		return q.jitteredRetryAfter(0)
	}
	return q.jitteredRetryAfter(q.estimateWait(b, class))
}

// jitteredRetryAfter returns a random duration between one and two times the
// estimated wait, which is first clamped to MinRetryAfter and MaxRetryAfter.
func (q *Queue[T]) jitteredRetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, q.settings.MinRetryAfter), q.settings.MaxRetryAfter)
	return wait + time.Duration(q.random.Int64N(int64(wait)+1))
}

// estimateWait returns the time until an item of the class would be taken if it
// were offered now. It is 0 if there are no slots yet.
func (q *Queue[T]) estimateWait(b *branchState[T], class Class) time.Duration {
	ahead := 0
	for c := Urgent; c <= class; c++ {
		ahead += b.waiting[c]
	}
	if ahead == 0 || q.slots == 0 {
		return 0
	}
	itemsPerSecond := float64(q.slots) / q.meanCost.Seconds()
	weight := q.activeWeight
	if b.length == 0 {
		weight += b.settings.Weight
	}
	seconds := float64(ahead) / (itemsPerSecond * b.settings.Weight / weight)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// evictFor evicts an item of the branch with the most waiting items relative to
// its weight, unless the incoming branch would have as many. It reports whether
// an item was evicted.
func (q *Queue[T]) evictFor(incoming *branchState[T]) bool {
	var largest *branchState[T]
	for _, b := range q.branches {
		if largest == nil || b.weightedLength() > largest.weightedLength() {
			largest = b
		}
	}
	incomingLength := float64(incoming.length+1) / incoming.settings.Weight
	if largest == incoming || largest.weightedLength() <= incomingLength {
		return false
	}
	q.evictNewest(largest)
	return true
}

// TakeEvicted returns the items evicted since the last call. Each must be
// reported to its caller with EvictionFailure.
func (q *Queue[T]) TakeEvicted() []*Item[T] {
	evicted := q.evicted
	q.evicted = nil
	return evicted
}

// EvictionFailure returns the failure to report for an evicted item.
func (q *Queue[T]) EvictionFailure() *tanagerfailure.Failure {
	return q.reject(tanagerfailure.QueueFull,
		"the branch's part of the queue was given to a branch with less", q.settings.MinRetryAfter)
}

// weightedLength returns the number of waiting items divided by the weight.
func (b *branchState[T]) weightedLength() float64 { return float64(b.length) / b.settings.Weight }

// add appends an admitted item. A branch that was empty starts at the queue's
// virtual time at the earliest, so idle time earns no credit.
func (q *Queue[T]) add(b *branchState[T], item *Item[T]) {
	item.chargedCost = b.expectedCost[item.Class]
	if b.length == 0 {
		b.virtualTime = max(b.virtualTime, q.virtualTime)
		q.activeWeight += b.settings.Weight
	}
	b.queues[item.Class].push(item)
	b.waiting[item.Class]++
	b.length++
	q.length++
	q.updateHeaps(b)
}

// updateHeaps updates the position of a branch in both heaps.
func (q *Queue[T]) updateHeaps(b *branchState[T]) {
	q.ready.update(b, b.length > 0)
	q.urgent.update(b, b.waiting[Urgent] > 0)
}

// Take removes and returns the next item to serve, and charges its expected
// cost to its branch. It returns false if no item is waiting.
func (q *Queue[T]) Take(now time.Time) (*Item[T], bool) {
	if q.length == 0 {
		return nil, false
	}
	b := q.nextBranch(now)
	item := b.head()
	b.queues[item.Class].pop()
	// An urgent branch served out of order is ahead of the queue's virtual time.
	q.virtualTime = max(q.virtualTime, q.ready.items[0].virtualTime)
	b.virtualTime += item.chargedCost.Seconds() / b.settings.Weight
	q.countRemoval(b, item.Class)
	return item, true
}

// nextBranch returns the branch to serve next: the one with the least virtual
// time, unless a branch with an urgent item has enough urgent credit, which is
// then spent.
func (q *Queue[T]) nextBranch(now time.Time) *branchState[T] {
	earliest := q.ready.items[0]
	if len(q.urgent.items) == 0 {
		return earliest
	}
	b := q.urgent.items[0]
	if b == earliest {
		return b
	}
	q.refillUrgentCredit(b, now)
	cost := b.expectedCost[Urgent].Seconds()
	ahead := (b.virtualTime - earliest.virtualTime) * b.settings.Weight
	if b.urgentCredit < cost || ahead > q.urgentCreditLimit(b) {
		return earliest
	}
	b.urgentCredit -= cost
	return b
}

// urgentCreditLimit returns the maximum urgent credit of a branch, in seconds
// of slot time. It also limits how far ahead of the others the branch may be
// served.
func (q *Queue[T]) urgentCreditLimit(b *branchState[T]) float64 {
	return b.settings.UrgentShare * float64(q.slots) * urgentCreditWindow.Seconds()
}

// head returns the front item of the first class that has one.
func (b *branchState[T]) head() *Item[T] {
	for c := range b.queues {
		if b.waiting[c] > 0 {
			b.queues[c].dropCancelledFront()
			return b.queues[c].front()
		}
	}
	panic("tanagerqueue: branch without waiting items in the heap")
}

// countRemoval updates the counters and heaps for an item that leaves the
// queue.
func (q *Queue[T]) countRemoval(b *branchState[T], class Class) {
	b.waiting[class]--
	b.length--
	q.length--
	if b.length == 0 {
		q.activeWeight -= b.settings.Weight
	}
	q.updateHeaps(b)
}

// Finish replaces the expected cost charged for a taken item by the slot time
// that it used, and updates the cost estimates.
func (q *Queue[T]) Finish(item *Item[T], used time.Duration) {
	b := q.branches[item.Branch]
	b.virtualTime += (used - item.chargedCost).Seconds() / b.settings.Weight
	b.expectedCost[item.Class] += (used - b.expectedCost[item.Class]) / costSmoothingItems
	q.meanCost += (used - q.meanCost) / costSmoothingItems
	q.updateHeaps(b)
}

// costSmoothingItems is the time constant, in finished items, of the moving
// averages of the cost.
const costSmoothingItems = 16

// Cancel removes a waiting item in amortized constant time. The item must be
// waiting.
func (q *Queue[T]) Cancel(item *Item[T]) {
	item.cancelled = true
	b := q.branches[item.Branch]
	q.countRemoval(b, item.Class)
	b.queues[item.Class].compactCancelled(b.waiting[item.Class])
}

// Expire removes items whose deadline has passed and calls f for each. It stops
// at the first unexpired item of each class of a branch, so an expired item
// behind it stays queued.
func (q *Queue[T]) Expire(now time.Time, f func(*Item[T])) {
	for _, b := range q.branches {
		for c := range b.queues {
			q.expireClass(b, Class(c), now, f)
		}
	}
}

func (q *Queue[T]) expireClass(b *branchState[T], c Class, now time.Time, f func(*Item[T])) {
	for b.waiting[c] > 0 {
		b.queues[c].dropCancelledFront()
		item := b.queues[c].front()
		if now.Before(item.Deadline) {
			return
		}
		b.queues[c].pop()
		q.countRemoval(b, c)
		f(item)
	}
}

// evictNewest evicts the newest item of the last class that has one.
func (q *Queue[T]) evictNewest(b *branchState[T]) {
	for c := classCount - 1; ; c-- {
		if b.waiting[c] == 0 {
			continue
		}
		item := b.queues[c].popBack()
		for item.cancelled {
			item = b.queues[c].popBack()
		}
		q.countRemoval(b, c)
		q.evicted = append(q.evicted, item)
		return
	}
}
