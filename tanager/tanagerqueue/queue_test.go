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
	start    = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)
	settings = Settings{
		BranchLength: 50,
		TotalLength:  120,
		FirstCost:    10 * time.Millisecond,
		RetryFloor:   100 * time.Millisecond,
		RetryCeiling: 10 * time.Second,
	}
)

func newQueue() *Queue[int] { return New[int](settings, rand.New(rand.NewPCG(1, 2))) }

// naive is the reference: it keeps every item in one list and computes the
// choice anew each time.
type naive struct {
	rules   map[string]Branch
	virtual map[string]float64
	cost    map[string][classes]time.Duration
	credit  map[string]float64
	at      map[string]time.Time
	floor   float64
	items   []*Item[int]
}

func (n *naive) waiting(branch string, class Class) int {
	count := 0
	for _, item := range n.items {
		if item.Branch == branch && item.Class == class {
			count++
		}
	}
	return count
}

func (n *naive) total(branch string) int {
	return n.waiting(branch, Urgent) + n.waiting(branch, Normal) + n.waiting(branch, Batch)
}

// slots is the number of slots of the randomised test.
const slots = 4

// take returns the index of the item that is to be served next, and the branch
// that is furthest behind.
func (n *naive) take(now time.Time) (int, string) {
	least, boosted := "", ""
	for name := range n.rules {
		if n.total(name) == 0 {
			continue
		}
		if least == "" || n.before(name, least) {
			least = name
		}
		if n.waiting(name, Urgent) > 0 && (boosted == "" || n.before(name, boosted)) {
			boosted = name
		}
	}
	chosen := least
	if boosted != "" && boosted != least && n.spend(boosted, least, now) {
		chosen = boosted
	}
	for class := Urgent; class < classes; class++ {
		for i, item := range n.items {
			if item.Branch == chosen && item.Class == class {
				return i, least
			}
		}
	}
	return -1, ""
}

// spend takes the cost of an urgent item out of a branch's credit.
func (n *naive) spend(name, least string, now time.Time) bool {
	part := n.rules[name].UrgentShare * slots
	limit := part * urgentBurst.Seconds()
	credit := n.credit[name] + now.Sub(n.at[name]).Seconds()*part
	n.credit[name] = min(credit, limit)
	n.at[name] = now
	cost := n.cost[name][Urgent].Seconds()
	ahead := (n.virtual[name] - n.virtual[least]) * n.rules[name].Weight
	if n.credit[name] < cost || ahead > limit {
		return false
	}
	n.credit[name] -= cost
	return true
}

func (n *naive) before(a, b string) bool {
	if n.virtual[a] != n.virtual[b] {
		return n.virtual[a] < n.virtual[b]
	}
	return a < b
}

// TestOrderAgainstNaive compares the order of service with the reference under
// random offers, cancellations and run times.
func TestOrderAgainstNaive(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		q.SetSlots(slots)
		now := start
		n := &naive{
			credit:  make(map[string]float64),
			at:      make(map[string]time.Time),
			rules:   make(map[string]Branch),
			virtual: make(map[string]float64),
			cost:    make(map[string][classes]time.Duration),
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "branches") {
			name := fmt.Sprintf("b%d", i)
			rules := Branch{
				Weight:      float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				UrgentShare: rapid.Float64Range(0, 1).Draw(t, "urgent"),
			}
			q.SetBranch(name, rules)
			n.rules[name] = rules
			n.cost[name] = [classes]time.Duration{settings.FirstCost, settings.FirstCost, settings.FirstCost}
		}
		var running []*Item[int]
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				item := &Item[int]{
					Branch:   fmt.Sprintf("b%d", rapid.IntRange(0, len(n.rules)-1).Draw(t, "branch")),
					Class:    Class(rapid.IntRange(0, int(Batch)).Draw(t, "class")),
					Deadline: start.Add(time.Hour),
					Value:    next,
				}
				next++
				if q.Len() >= settings.TotalLength || q.Offer(item, start) != nil {
					return
				}
				if n.total(item.Branch) == 0 {
					n.virtual[item.Branch] = max(n.virtual[item.Branch], n.floor)
				}
				n.items = append(n.items, item)
			},
			"cancel": func(t *rapid.T) {
				if len(n.items) == 0 {
					return
				}
				i := rapid.IntRange(0, len(n.items)-1).Draw(t, "item")
				q.Cancel(n.items[i])
				n.items = append(n.items[:i:i], n.items[i+1:]...)
			},
			"take": func(t *rapid.T) {
				got, ok := q.Take(now)
				i, least := n.take(now)
				if ok != (i >= 0) {
					t.Fatalf("took %v, the reference says %d", ok, i)
				}
				if !ok {
					return
				}
				want := n.items[i]
				if got.Value != want.Value {
					t.Fatalf("took item %d of %s, the reference takes %d of %s", got.Value, got.Branch, want.Value, want.Branch)
				}
				n.items = append(n.items[:i:i], n.items[i+1:]...)
				n.floor = max(n.floor, n.virtual[least])
				n.virtual[want.Branch] += want.cost.Seconds() / n.rules[want.Branch].Weight
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
				n.virtual[item.Branch] += (used - item.cost).Seconds() / n.rules[item.Branch].Weight
				cost := n.cost[item.Branch]
				cost[item.Class] += (used - cost[item.Class]) / costSmoothing
				n.cost[item.Branch] = cost
			},
			"": func(t *rapid.T) {
				if q.Len() != len(n.items) {
					t.Fatalf("%d items wait, the reference has %d", q.Len(), len(n.items))
				}
			},
		})
	})
}

func offer(q *Queue[int], branch string, class Class, wait time.Duration) *tanagerfailure.Failure {
	return q.Offer(&Item[int]{
		Branch:   branch,
		Class:    class,
		Deadline: start.Add(wait),
	}, start)
}

func TestAdmissionRefusesAtOnceAndSaysWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetSlots(1)
	q.SetBranch("a", Branch{
		Weight: 1,
	})
	c.Assert(offer(q, "nobody", Normal, time.Second).Code, qt.Equals, tanagerfailure.UnknownBranch)
	c.Assert(offer(q, "a", Normal, 0).Code, qt.Equals, tanagerfailure.DeadlinePassed)
	for range 20 {
		c.Assert(offer(q, "a", Normal, time.Second) == nil, qt.IsTrue)
	}
	// 20 items of 10 ms on one slot are 200 ms.
	late := offer(q, "a", Normal, 150*time.Millisecond)
	c.Assert(late.Code, qt.Equals, tanagerfailure.DeadlineUnreachable)
	c.Assert(late.RetryAfter >= 200*time.Millisecond && late.RetryAfter <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", late.RetryAfter))
	c.Assert(offer(q, "a", Urgent, 150*time.Millisecond) == nil, qt.IsTrue)
	for range 30 {
		c.Assert(offer(q, "a", Normal, time.Hour) == nil, qt.IsTrue)
	}
	c.Assert(offer(q, "a", Normal, time.Hour).Code, qt.Equals, tanagerfailure.QueueFull)
}

func TestFullQueueMakesRoomForTheBranchWithLess(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	for _, name := range []string{"flood", "quiet"} {
		q.SetBranch(name, Branch{
			Weight: 1,
		})
	}
	for class := Urgent; class < classes; class++ {
		for q.Waiting("flood") < (int(class)+1)*40 {
			c.Assert(offer(q, "flood", class, time.Hour) == nil, qt.IsTrue)
		}
	}
	c.Assert(q.Len(), qt.Equals, settings.TotalLength)
	c.Assert(q.Evicted(), qt.HasLen, 0)
	for range 10 {
		c.Assert(offer(q, "quiet", Batch, time.Hour) == nil, qt.IsTrue)
	}
	evicted := q.Evicted()
	c.Assert(evicted, qt.HasLen, 10)
	for _, item := range evicted {
		c.Check(item.Branch, qt.Equals, "flood")
		c.Check(item.Class, qt.Equals, Batch)
	}
	c.Assert(q.Len(), qt.Equals, settings.TotalLength)
	c.Assert(q.EvictedFailure().RetryAfter > 0, qt.IsTrue)
}

// TestUrgentFloodTakesNoMoreThanItsShare floods one of four equal branches with
// urgent work while the others have normal work waiting all the time.
func TestUrgentFloodTakesNoMoreThanItsShare(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	served := make(map[string]int)
	branches := []string{"a", "b", "c", "flood"}
	for _, name := range branches {
		q.SetBranch(name, Branch{
			Weight:      1,
			UrgentShare: 0.2,
		})
	}
	q.SetSlots(1)
	now := start
	const rounds = 4000
	for range rounds {
		now = now.Add(10 * time.Millisecond)
		for _, name := range branches {
			class := Normal
			if name == "flood" {
				class = Urgent
			}
			for q.Waiting(name) < 20 {
				c.Assert(offer(q, name, class, time.Hour) == nil, qt.IsTrue)
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

// TestUrgentBranchDoesNotSetTheOthersBack lets urgent work of one branch go
// first and checks that a branch that comes back meanwhile is not charged for
// it: it is served as soon as the urgent credit is used up.
func TestUrgentBranchDoesNotSetTheOthersBack(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetSlots(1)
	for _, name := range []string{"flood", "steady", "back"} {
		q.SetBranch(name, Branch{
			Weight:      1,
			UrgentShare: 0.5,
		})
	}
	c.Assert(offer(q, "steady", Normal, time.Hour) == nil, qt.IsTrue)
	for range 30 {
		c.Assert(offer(q, "flood", Urgent, time.Hour) == nil, qt.IsTrue)
	}
	// The credit of 50 ms lets five urgent items of 10 ms go before the steady
	// branch, and one is its own turn.
	for range 5 {
		item, _ := q.Take(start)
		c.Assert(item.Branch, qt.Equals, "flood")
	}
	for range 3 {
		c.Assert(offer(q, "back", Normal, time.Hour) == nil, qt.IsTrue)
	}
	order := ""
	for range 4 {
		item, _ := q.Take(start)
		order += item.Branch + " "
	}
	c.Assert(order, qt.Equals, "back steady back back ")
}

func TestExpireHandsOutOnlyPassedDeadlines(t *testing.T) {
	c := qt.New(t)
	q := newQueue()
	q.SetBranch("a", Branch{
		Weight: 1,
	})
	c.Assert(offer(q, "a", Normal, time.Second) == nil, qt.IsTrue)
	c.Assert(offer(q, "a", Normal, time.Minute) == nil, qt.IsTrue)
	expired := 0
	q.Expire(start.Add(2*time.Second), func(*Item[int]) { expired++ })
	c.Assert(expired, qt.Equals, 1)
	c.Assert(q.Len(), qt.Equals, 1)
}
