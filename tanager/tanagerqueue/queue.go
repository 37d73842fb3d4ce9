package tanagerqueue

import (
	"math"
	"math/rand/v2"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
)

// Settings of a Queue. All fields are required.
type Settings struct {
	// BranchLength bounds the waiting items of one class of one branch.
	BranchLength int
	// TotalLength bounds all waiting items.
	TotalLength int
	// FirstCost is the slot time that an item is expected to take before any
	// has ended.
	FirstCost time.Duration
	// RetryFloor is the least time after which a refused caller is asked to
	// come back.
	RetryFloor time.Duration
	// RetryCeiling is the greatest.
	RetryCeiling time.Duration
}

// Branch holds the rules for one branch.
type Branch struct {
	// Weight is the branch's part of the slot time relative to others.
	Weight float64
	// UrgentShare is the part of the slots, from 0 to 1, that the branch's
	// urgent work may use ahead of other branches.
	UrgentShare float64
}

// Item is one waiting piece of work.
type Item[T any] struct {
	Branch string
	Class  Class
	// Deadline is when the caller stops waiting for the start.
	Deadline time.Time
	// Value is the caller's own.
	Value T

	cost time.Duration
	gone bool
}

// branch is the table row of one branch.
type branch[T any] struct {
	name    string
	rules   Branch
	virtual float64
	waiting [classes]fifo[T]
	// live counts the items of each class that were not cancelled, length all
	// of them.
	live   [classes]int
	length int
	cost   [classes]time.Duration
	index  int
	urgent int
	// credit is the slot time, in seconds, that urgent work may be served ahead
	// of others, as of creditAt.
	credit   float64
	creditAt time.Time
}

// Queue is a bounded weighted-fair queue.
type Queue[T any] struct {
	settings Settings
	random   *rand.Rand
	branches map[string]*branch[T]
	ready    branchHeap[T]
	urgent   branchHeap[T]
	virtual  float64
	length   int
	weight   float64
	slots    int
	meanCost time.Duration
	evicted  []*Item[T]
}

// New returns an empty queue. Random spreads the times at which refused callers
// come back.
func New[T any](s Settings, random *rand.Rand) *Queue[T] {
	return &Queue[T]{
		settings: s,
		random:   random,
		meanCost: s.FirstCost,
		branches: make(map[string]*branch[T]),
		ready: branchHeap[T]{
			class: classes,
		},
		urgent: branchHeap[T]{
			class: Urgent,
		},
	}
}

// SetBranch adds a branch or changes its rules. The weight must be positive.
func (q *Queue[T]) SetBranch(name string, rules Branch) {
	if rules.Weight <= 0 {
		panic("tanagerqueue: weight of " + name + " is not positive")
	}
	b := q.branches[name]
	if b == nil {
		b = &branch[T]{
			name:   name,
			index:  -1,
			urgent: -1,
		}
		for i := range b.cost {
			b.cost[i] = q.settings.FirstCost
		}
		q.branches[name] = b
	}
	if b.length > 0 {
		q.weight += rules.Weight - b.rules.Weight
	}
	b.rules = rules
}

// urgentBurst is the time over which unused urgent shares add up.
const urgentBurst = 100 * time.Millisecond

// refill brings the urgent credit of a branch up to date.
func (q *Queue[T]) refill(b *branch[T], now time.Time) {
	earned := now.Sub(b.creditAt).Seconds() * b.rules.UrgentShare * float64(q.slots)
	b.credit = min(b.credit+earned, q.urgentLimit(b))
	b.creditAt = now
}

// SetSlots tells the queue how many items are served at once.
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

// Offer admits an item, or returns the failure that the caller is to be told at
// once.
func (q *Queue[T]) Offer(item *Item[T], now time.Time) *tanagerfailure.Failure {
	b := q.branches[item.Branch]
	if b == nil {
		return tanagerfailure.New(tanagerfailure.UnknownBranch, "branch "+item.Branch+" is not configured")
	}
	if !now.Before(item.Deadline) {
		return tanagerfailure.New(tanagerfailure.DeadlinePassed, "the deadline has passed")
	}
	wait := q.estimate(b, item.Class)
	if q.length >= q.settings.TotalLength && !q.evict(b) {
		return q.refuse(tanagerfailure.QueueFull, "the queue is full", wait)
	}
	if b.live[item.Class] >= q.settings.BranchLength {
		return q.refuse(tanagerfailure.QueueFull, "the branch's queue is full", wait)
	}
	if now.Add(wait).After(item.Deadline) {
		return q.refuse(tanagerfailure.DeadlineUnreachable, "the estimated wait of "+wait.Round(time.Millisecond).String()+" passes the deadline", wait)
	}
	q.add(b, item)
	return nil
}

func (q *Queue[T]) refuse(code tanagerfailure.Code, message string, wait time.Duration) *tanagerfailure.Failure {
	return tanagerfailure.New(code, message).After(q.retryAfter(wait))
}

// RetryAfter returns the time after which a caller of a branch is to come back,
// spread at random.
func (q *Queue[T]) RetryAfter(name string, class Class) time.Duration {
	b := q.branches[name]
	if b == nil {
		return q.retryAfter(0)
	}
	return q.retryAfter(q.estimate(b, class))
}

// retryAfter spreads the return of refused callers over one to two times the
// estimated wait.
func (q *Queue[T]) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, q.settings.RetryFloor), q.settings.RetryCeiling)
	return wait + time.Duration(q.random.Int64N(int64(wait)+1))
}

// estimate returns the time until an item of the class would be taken if it
// were offered now.
func (q *Queue[T]) estimate(b *branch[T], class Class) time.Duration {
	ahead := 0
	for c := Urgent; c <= class; c++ {
		ahead += b.live[c]
	}
	if ahead == 0 || q.slots == 0 {
		return 0
	}
	rate := float64(q.slots) / q.meanCost.Seconds()
	weight := q.weight
	if b.length == 0 {
		weight += b.rules.Weight
	}
	seconds := float64(ahead) / (rate * b.rules.Weight / weight)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// evict drops the youngest least urgent item of the branch that holds the most
// of the queue for its weight, to make room for a branch that holds less. It
// reports whether there is room now.
func (q *Queue[T]) evict(newcomer *branch[T]) bool {
	var largest *branch[T]
	for _, b := range q.branches {
		if largest == nil || b.occupancy() > largest.occupancy() {
			largest = b
		}
	}
	own := float64(newcomer.length+1) / newcomer.rules.Weight
	if largest == newcomer || largest.occupancy() <= own {
		return false
	}
	q.dropYoungest(largest)
	return true
}

// Evicted returns the items that were dropped since the last call. Their
// callers are to be told at once, with the time after which to come back.
func (q *Queue[T]) Evicted() []*Item[T] {
	evicted := q.evicted
	q.evicted = nil
	return evicted
}

// EvictedFailure returns the answer for an evicted item.
func (q *Queue[T]) EvictedFailure() *tanagerfailure.Failure {
	return q.refuse(tanagerfailure.QueueFull, "the branch's part of the queue was given to a branch with less", q.settings.RetryFloor)
}

func (b *branch[T]) occupancy() float64 { return float64(b.length) / b.rules.Weight }

func (q *Queue[T]) add(b *branch[T], item *Item[T]) {
	item.cost = b.cost[item.Class]
	if b.length == 0 {
		b.virtual = max(b.virtual, q.virtual)
		q.weight += b.rules.Weight
	}
	b.waiting[item.Class].push(item)
	b.live[item.Class]++
	b.length++
	q.length++
	q.place(b)
}

// place puts a branch into the heaps that its waiting items call for.
func (q *Queue[T]) place(b *branch[T]) {
	q.ready.set(b, b.length > 0)
	q.urgent.set(b, b.live[Urgent] > 0)
}

// Take returns the next item that was not cancelled.
func (q *Queue[T]) Take(now time.Time) (*Item[T], bool) {
	if q.length == 0 {
		return nil, false
	}
	b := q.next(now)
	item := b.first()
	b.waiting[item.Class].pop()
	// An urgent branch that goes first is ahead of the queue's own time.
	q.virtual = max(q.virtual, q.ready.items[0].virtual)
	b.virtual += item.cost.Seconds() / b.rules.Weight
	q.shrink(b, item.Class)
	return item, true
}

// next chooses the branch to serve.
func (q *Queue[T]) next(now time.Time) *branch[T] {
	least := q.ready.items[0]
	if len(q.urgent.items) == 0 {
		return least
	}
	b := q.urgent.items[0]
	if b == least {
		return b
	}
	q.refill(b, now)
	cost := b.cost[Urgent].Seconds()
	ahead := (b.virtual - least.virtual) * b.rules.Weight
	if b.credit < cost || ahead > q.urgentLimit(b) {
		return least
	}
	b.credit -= cost
	return b
}

// urgentLimit returns the slot time, in seconds, that a branch's urgent work may
// be served ahead of others.
func (q *Queue[T]) urgentLimit(b *branch[T]) float64 {
	return b.rules.UrgentShare * float64(q.slots) * urgentBurst.Seconds()
}

// first returns the front item of the most urgent class that has one.
func (b *branch[T]) first() *Item[T] {
	for c := range b.waiting {
		if b.live[c] > 0 {
			b.waiting[c].trim()
			return b.waiting[c].front()
		}
	}
	panic("tanagerqueue: empty branch in the heap")
}

// shrink counts one item less.
func (q *Queue[T]) shrink(b *branch[T], class Class) {
	b.live[class]--
	b.length--
	q.length--
	if b.length == 0 {
		q.weight -= b.rules.Weight
	}
	q.place(b)
}

// Finish corrects the charge for a taken item by the slot time that it used.
func (q *Queue[T]) Finish(item *Item[T], used time.Duration) {
	b := q.branches[item.Branch]
	b.virtual += (used - item.cost).Seconds() / b.rules.Weight
	b.cost[item.Class] += (used - b.cost[item.Class]) / costSmoothing
	q.meanCost += (used - q.meanCost) / costSmoothing
	q.place(b)
}

// costSmoothing is the number of items over which the expected cost adapts.
const costSmoothing = 16

// Cancel removes a waiting item in constant time on average. The item must be
// waiting.
func (q *Queue[T]) Cancel(item *Item[T]) {
	item.gone = true
	b := q.branches[item.Branch]
	q.shrink(b, item.Class)
	b.waiting[item.Class].compact(b.live[item.Class])
}

// Expire removes items whose deadline has passed from the front of each queue
// and hands them to f.
func (q *Queue[T]) Expire(now time.Time, f func(*Item[T])) {
	for _, b := range q.branches {
		for c := range b.waiting {
			q.expireClass(b, Class(c), now, f)
		}
	}
}

func (q *Queue[T]) expireClass(b *branch[T], c Class, now time.Time, f func(*Item[T])) {
	for b.live[c] > 0 {
		b.waiting[c].trim()
		item := b.waiting[c].front()
		if now.Before(item.Deadline) {
			return
		}
		b.waiting[c].pop()
		q.shrink(b, c)
		f(item)
	}
}

// dropYoungest evicts the youngest item of the least urgent class.
func (q *Queue[T]) dropYoungest(b *branch[T]) {
	for c := classes - 1; ; c-- {
		if b.live[c] == 0 {
			continue
		}
		item := b.waiting[c].popBack()
		for item.gone {
			item = b.waiting[c].popBack()
		}
		q.shrink(b, c)
		q.evicted = append(q.evicted, item)
		return
	}
}
