package tanagerqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerfailure"
)

var (
	startTime = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)
	settings  = Settings{
		MaxClassLength: 50,
		MaxLength:      120,
		InitialCost:    10 * time.Millisecond,
		MinRetryAfter:  100 * time.Millisecond,
		MaxRetryAfter:  10 * time.Second,
	}
)

func newQueue() *Queue[int] { return New[int](settings, rand.New(rand.NewPCG(1, 2))) }

// referenceQueue is the reference model: it keeps all items in one list and
// scans them for each choice.
type referenceQueue struct {
	rules            map[string]BranchSettings
	virtualTime      map[string]float64
	expectedCost     map[string][classCount]time.Duration
	urgentCredit     map[string]float64
	urgentCreditAt   map[string]time.Time
	queueVirtualTime float64
	items            []*Item[int]
}

func (r *referenceQueue) waiting(branch string, class Class) int {
	count := 0
	for _, item := range r.items {
		if item.Branch == branch && item.Class == class {
			count++
		}
	}
	return count
}

func (r *referenceQueue) waitingTotal(branch string) int {
	return r.waiting(branch, Urgent) + r.waiting(branch, Normal) + r.waiting(branch, Batch)
}

// slotCount is the number of slots in TestOrderMatchesReference.
const slotCount = 4

// next returns the index of the item to be served next, or -1, and the branch
// with the least virtual time.
func (r *referenceQueue) next(now time.Time) (int, string) {
	earliest, urgent := "", ""
	for name := range r.rules {
		if r.waitingTotal(name) == 0 {
			continue
		}
		if earliest == "" || r.before(name, earliest) {
			earliest = name
		}
		if r.waiting(name, Urgent) > 0 && (urgent == "" || r.before(name, urgent)) {
			urgent = name
		}
	}
	chosen := earliest
	if urgent != "" && urgent != earliest && r.spendUrgentCredit(urgent, earliest, now) {
		chosen = urgent
	}
	for class := Urgent; class < classCount; class++ {
		for i, item := range r.items {
			if item.Branch == chosen && item.Class == class {
				return i, earliest
			}
		}
	}
	return -1, ""
}

// spendUrgentCredit spends the cost of one urgent item from a branch's credit
// and reports whether the credit sufficed.
func (r *referenceQueue) spendUrgentCredit(name, earliest string, now time.Time) bool {
	slotShare := r.rules[name].UrgentShare * slotCount
	creditLimit := slotShare * urgentCreditWindow.Seconds()
	credit := r.urgentCredit[name] + now.Sub(r.urgentCreditAt[name]).Seconds()*slotShare
	r.urgentCredit[name] = min(credit, creditLimit)
	r.urgentCreditAt[name] = now
	cost := r.expectedCost[name][Urgent].Seconds()
	ahead := (r.virtualTime[name] - r.virtualTime[earliest]) * r.rules[name].Weight
	if r.urgentCredit[name] < cost || ahead > creditLimit {
		return false
	}
	r.urgentCredit[name] -= cost
	return true
}

func (r *referenceQueue) before(a, b string) bool {
	if r.virtualTime[a] != r.virtualTime[b] {
		return r.virtualTime[a] < r.virtualTime[b]
	}
	return a < b
}

// TestOrderMatchesReference compares the order of service with the reference
// model under random offers, cancellations and run times.
func TestOrderMatchesReference(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		q.SetSlots(slotCount)
		now := startTime
		ref := &referenceQueue{
			urgentCredit:   make(map[string]float64),
			urgentCreditAt: make(map[string]time.Time),
			rules:          make(map[string]BranchSettings),
			virtualTime:    make(map[string]float64),
			expectedCost:   make(map[string][classCount]time.Duration),
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "branches") {
			name := fmt.Sprintf("b%d", i)
			rules := BranchSettings{
				Weight:      float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				UrgentShare: rapid.Float64Range(0, 1).Draw(t, "urgent"),
			}
			q.SetBranch(name, rules)
			ref.rules[name] = rules
			ref.expectedCost[name] = [classCount]time.Duration{settings.InitialCost, settings.InitialCost, settings.InitialCost}
		}
		var running []*Item[int]
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				item := &Item[int]{
					Branch:   fmt.Sprintf("b%d", rapid.IntRange(0, len(ref.rules)-1).Draw(t, "branch")),
					Class:    Class(rapid.IntRange(0, int(Batch)).Draw(t, "class")),
					Deadline: startTime.Add(time.Hour),
					Value:    next,
				}
				next++
				if q.Len() >= settings.MaxLength || q.Offer(item, startTime) != nil {
					return
				}
				if ref.waitingTotal(item.Branch) == 0 {
					ref.virtualTime[item.Branch] = max(ref.virtualTime[item.Branch], ref.queueVirtualTime)
				}
				ref.items = append(ref.items, item)
			},
			"cancel": func(t *rapid.T) {
				if len(ref.items) == 0 {
					return
				}
				i := rapid.IntRange(0, len(ref.items)-1).Draw(t, "item")
				q.Cancel(ref.items[i])
				ref.items = append(ref.items[:i:i], ref.items[i+1:]...)
			},
			"take": func(t *rapid.T) {
				got, ok := q.Take(now)
				i, earliest := ref.next(now)
				if ok != (i >= 0) {
					t.Fatalf("Take returned ok=%v, reference index %d", ok, i)
				}
				if !ok {
					return
				}
				want := ref.items[i]
				if got.Value != want.Value {
					t.Fatalf("took item %d of %s, reference took %d of %s", got.Value, got.Branch, want.Value, want.Branch)
				}
				ref.items = append(ref.items[:i:i], ref.items[i+1:]...)
				ref.queueVirtualTime = max(ref.queueVirtualTime, ref.virtualTime[earliest])
				ref.virtualTime[want.Branch] += want.chargedCost.Seconds() / ref.rules[want.Branch].Weight
				running = append(running, got)
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				item := running[0]
				running = running[1:]
				used := time.Duration(rapid.IntRange(1, 100).Draw(t, "used")) * time.Millisecond
				q.Finish(item, used)
				ref.virtualTime[item.Branch] += (used - item.chargedCost).Seconds() / ref.rules[item.Branch].Weight
				cost := ref.expectedCost[item.Branch]
				cost[item.Class] += (used - cost[item.Class]) / costSmoothingItems
				ref.expectedCost[item.Branch] = cost
			},
			"": func(t *rapid.T) {
				if q.Len() != len(ref.items) {
					t.Fatalf("%d items waiting, reference has %d", q.Len(), len(ref.items))
				}
			},
		})
	})
}

func offerItem(q *Queue[int], branch string, class Class, wait time.Duration) *tanagerfailure.Failure {
	return q.Offer(&Item[int]{
		Branch:   branch,
		Class:    class,
		Deadline: startTime.Add(wait),
	}, startTime)
}

func TestOfferRejectsWithRetryAfter(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetSlots(1)
	q.SetBranch("a", BranchSettings{
		Weight: 1,
	})
	c.Assert(offerItem(q, "nobody", Normal, time.Second).Code, qt.Equals, tanagerfailure.UnknownBranch)
	c.Assert(offerItem(q, "a", Normal, 0).Code, qt.Equals, tanagerfailure.DeadlinePassed)
	for range 20 {
		c.Assert(offerItem(q, "a", Normal, time.Second) == nil, qt.IsTrue)
	}
	// 20 items of 10 ms on one slot take 200 ms.
	late := offerItem(q, "a", Normal, 150*time.Millisecond)
	c.Assert(late.Code, qt.Equals, tanagerfailure.DeadlineUnreachable)
	c.Assert(late.RetryAfter >= 200*time.Millisecond && late.RetryAfter <= 400*time.Millisecond, qt.IsTrue,
		qt.Commentf("%v", late.RetryAfter))
	c.Assert(offerItem(q, "a", Urgent, 150*time.Millisecond) == nil, qt.IsTrue)
	for range 30 {
		c.Assert(offerItem(q, "a", Normal, time.Hour) == nil, qt.IsTrue)
	}
	c.Assert(offerItem(q, "a", Normal, time.Hour).Code, qt.Equals, tanagerfailure.QueueFull)
}

func TestFullQueueEvictsFromLargestBranch(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	for _, name := range []string{"flood", "quiet"} {
		q.SetBranch(name, BranchSettings{
			Weight: 1,
		})
	}
	for class := Urgent; class < classCount; class++ {
		for q.Waiting("flood") < (int(class)+1)*40 {
			c.Assert(offerItem(q, "flood", class, time.Hour) == nil, qt.IsTrue)
		}
	}
	c.Assert(q.Len(), qt.Equals, settings.MaxLength)
	c.Assert(q.TakeEvicted(), qt.HasLen, 0)
	for range 10 {
		c.Assert(offerItem(q, "quiet", Batch, time.Hour) == nil, qt.IsTrue)
	}
	evicted := q.TakeEvicted()
	c.Assert(evicted, qt.HasLen, 10)
	for _, item := range evicted {
		c.Check(item.Branch, qt.Equals, "flood")
		c.Check(item.Class, qt.Equals, Batch)
	}
	c.Assert(q.Len(), qt.Equals, settings.MaxLength)
	c.Assert(q.EvictionFailure().RetryAfter > 0, qt.IsTrue)
}

// TestUrgentFloodIsLimitedToItsShare floods one of four branches of equal
// weight with urgent items while the others always have normal items waiting,
// and checks that each of the others gets at least 95% of its fair share.
func TestUrgentFloodIsLimitedToItsShare(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	served := make(map[string]int)
	branches := []string{"a", "b", "c", "flood"}
	for _, name := range branches {
		q.SetBranch(name, BranchSettings{
			Weight:      1,
			UrgentShare: 0.2,
		})
	}
	q.SetSlots(1)
	now := startTime
	const rounds = 4000
	for range rounds {
		now = now.Add(10 * time.Millisecond)
		for _, name := range branches {
			class := Normal
			if name == "flood" {
				class = Urgent
			}
			for q.Waiting(name) < 20 {
				c.Assert(offerItem(q, name, class, time.Hour) == nil, qt.IsTrue)
			}
		}
		item, ok := q.Take(now)
		c.Assert(ok, qt.IsTrue)
		served[item.Branch]++
		q.Finish(item, 10*time.Millisecond)
	}
	for _, name := range branches[:3] {
		c.Check(served[name] >= rounds/4*95/100, qt.IsTrue, qt.Commentf("%s was served %d of %d", name, served[name], rounds))
	}
}

// TestUrgentCreditDoesNotDelayOtherBranches serves urgent items of one branch
// out of order. A branch that gets items in the meantime must not start at the
// virtual time of that branch, and is served as soon as the urgent credit is
// spent.
func TestUrgentCreditDoesNotDelayOtherBranches(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetSlots(1)
	for _, name := range []string{"flood", "steady", "back"} {
		q.SetBranch(name, BranchSettings{
			Weight:      1,
			UrgentShare: 0.5,
		})
	}
	c.Assert(offerItem(q, "steady", Normal, time.Hour) == nil, qt.IsTrue)
	for range 30 {
		c.Assert(offerItem(q, "flood", Urgent, time.Hour) == nil, qt.IsTrue)
	}
	// The credit of 50 ms lets five urgent items of 10 ms precede the steady
	// branch, and one more is served in regular order.
	for range 5 {
		item, _ := q.Take(startTime)
		c.Assert(item.Branch, qt.Equals, "flood")
	}
	for range 3 {
		c.Assert(offerItem(q, "back", Normal, time.Hour) == nil, qt.IsTrue)
	}
	order := ""
	for range 4 {
		item, _ := q.Take(startTime)
		order += item.Branch + " "
	}
	c.Assert(order, qt.Equals, "back steady back back ")
}

func TestExpireRemovesOnlyPassedDeadlines(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetBranch("a", BranchSettings{
		Weight: 1,
	})
	c.Assert(offerItem(q, "a", Normal, time.Second) == nil, qt.IsTrue)
	c.Assert(offerItem(q, "a", Normal, time.Minute) == nil, qt.IsTrue)
	expired := 0
	q.Expire(startTime.Add(2*time.Second), func(*Item[int]) { expired++ })
	c.Assert(expired, qt.Equals, 1)
	c.Assert(q.Len(), qt.Equals, 1)
}
