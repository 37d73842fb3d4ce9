package tanagerlease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
)

var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

var promises = PromiseSettings{
	Length: time.Second,
	Margin: 50 * time.Millisecond,
}

func TestRightLapsesBeforeTheStoreDropsTheLease(t *testing.T) {
	c := qt.New(t)
	r := NewRight(RightSettings{
		TTL:    3 * time.Second,
		Margin: 300 * time.Millisecond,
	})
	c.Assert(r.Holds(start), qt.IsFalse)
	r.Renewed(start)
	c.Assert(r.Holds(start.Add(2699*time.Millisecond)), qt.IsTrue)
	c.Assert(r.Holds(start.Add(2700*time.Millisecond)), qt.IsFalse)
	// An older renewal that is told late takes nothing away.
	r.Renewed(start.Add(time.Second))
	r.Renewed(start)
	c.Assert(r.Until(), qt.Equals, start.Add(3700*time.Millisecond))
	r.Lost()
	c.Assert(r.Holds(start), qt.IsFalse)
}

func TestWitnessRefusesOnceItHasConfirmed(t *testing.T) {
	c := qt.New(t)
	roster := Roster{
		Revision: 4,
		Members:  []string{"a", "b", "c"},
	}
	w := NewWitness(promises)
	c.Assert(w.Promise("a", roster, roster, start), qt.IsTrue)
	c.Assert(w.Confirm("a", start.Add(400*time.Millisecond)), qt.Equals, 650*time.Millisecond)
	c.Assert(w.Promise("a", roster, roster, start.Add(time.Hour)), qt.IsFalse)
	c.Assert(w.Promise("b", roster, roster, start), qt.IsTrue)
	older := Roster{
		Revision: 3,
		Members:  roster.Members,
	}
	c.Assert(w.Promise("b", older, roster, start), qt.IsFalse)
	w.Readmit("a")
	c.Assert(w.Promise("a", roster, roster, start), qt.IsTrue)
}

// drifting is the clock of one daemon, which runs a little fast or slow.
type drifting struct {
	rate float64
}

func (d drifting) at(elapsed time.Duration) time.Time {
	return start.Add(time.Duration(float64(elapsed) * d.rate))
}

// TestOldAndNewOwnerNeverHoldTheRightTogether runs random orders of questions,
// lost messages and time on daemons whose clocks drift by up to 2%, and checks
// that the old owner never acts on promises while the new owner's gate is open.
func TestOldAndNewOwnerNeverHoldTheRightTogether(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		roster := Roster{
			Revision: 1,
		}
		clocks := make(map[string]drifting)
		witnesses := make(map[string]*Witness)
		for i := range size {
			name := fmt.Sprintf("d%d", i)
			roster.Members = append(roster.Members, name)
			clocks[name] = drifting{
				rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
			}
			witnesses[name] = NewWitness(promises)
		}
		old, heir := roster.Members[0], "heir"
		clocks[heir] = drifting{
			rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
		}
		grace := NewGrace(old, promises)
		grace.Adopt(roster)
		gate := NewGate(roster)
		ended := false
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			},
			"the old owner asks": func(t *rapid.T) {
				if ended {
					return
				}
				sent := clocks[old].at(now)
				for _, m := range roster.Members[1:] {
					if rapid.Bool().Draw(t, "arrives") && witnesses[m].Promise(old, roster, roster, clocks[m].at(now)) && rapid.Bool().Draw(t, "answered") {
						grace.Promised(m, roster.Revision, sent)
					}
				}
			},
			"the heir asks": func(t *rapid.T) {
				for _, m := range roster.Members {
					if !rapid.Bool().Draw(t, "arrives") {
						continue
					}
					left := witnesses[m].Confirm(old, clocks[m].at(now))
					if m == old {
						ended = true
						grace.Adopt(Roster{})
						left = 0
					}
					stretched := left + left/10
					gate.Confirmed(m, clocks[heir].at(now).Add(stretched))
				}
			},
			"": func(t *rapid.T) {
				if grace.Holds(clocks[old].at(now)) && gate.Open(clocks[heir].at(now)) {
					t.Fatalf("both may act at %v", now)
				}
			},
		})
	})
}

func TestMajority(t *testing.T) {
	c := qt.New(t)
	for size, want := range map[int]int{
		1: 1,
		2: 2,
		3: 2,
		8: 5,
		9: 5,
	} {
		r := Roster{
			Members: slices.Repeat([]string{"x"}, size),
		}
		c.Check(r.Majority(), qt.Equals, want, qt.Commentf("size %d", size))
	}
}
