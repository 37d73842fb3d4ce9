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

var startTime = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

var promiseSettings = PromiseSettings{
	Duration:    time.Second,
	DriftMargin: 50 * time.Millisecond,
}

func TestLeaseExpiresBeforeStoreDeletesIt(t *testing.T) {
	c := qt.New(t)
	r := NewStoreLease(StoreLeaseSettings{
		TTL:         3 * time.Second,
		DriftMargin: 300 * time.Millisecond,
	})
	c.Assert(r.Valid(startTime), qt.IsFalse)
	r.RecordRenewal(startTime)
	c.Assert(r.Valid(startTime.Add(2699*time.Millisecond)), qt.IsTrue)
	c.Assert(r.Valid(startTime.Add(2700*time.Millisecond)), qt.IsFalse)
	// A late report of an older renewal does not shorten the lease.
	r.RecordRenewal(startTime.Add(time.Second))
	r.RecordRenewal(startTime)
	c.Assert(r.Expiry(), qt.Equals, startTime.Add(3700*time.Millisecond))
	r.Invalidate()
	c.Assert(r.Valid(startTime), qt.IsFalse)
}

func TestWitnessRefusesPromisesAfterConfirmingTakeover(t *testing.T) {
	c := qt.New(t)
	roster := Roster{
		Revision: 4,
		Members:  []string{"a", "b", "c"},
	}
	w := NewPromiseGrantor(promiseSettings)
	c.Assert(w.Grant("a", roster, roster, startTime), qt.IsTrue)
	c.Assert(w.ConfirmTakeover("a", startTime.Add(400*time.Millisecond)), qt.Equals, 650*time.Millisecond)
	c.Assert(w.Grant("a", roster, roster, startTime.Add(time.Hour)), qt.IsFalse)
	c.Assert(w.Grant("b", roster, roster, startTime), qt.IsTrue)
	older := Roster{
		Revision: 3,
		Members:  roster.Members,
	}
	c.Assert(w.Grant("b", older, roster, startTime), qt.IsFalse)
	w.Readmit("a")
	c.Assert(w.Grant("a", roster, roster, startTime), qt.IsTrue)
}

// driftingClock is the clock of a daemon, which runs slightly fast or slow.
type driftingClock struct {
	rate float64
}

func (c driftingClock) at(elapsed time.Duration) time.Time {
	return startTime.Add(time.Duration(float64(elapsed) * c.rate))
}

// TestOldAndNewOwnerAreNeverActiveTogether runs random sequences of requests,
// lost messages and delays on daemons whose clocks drift by up to 2%, and
// checks that the old owner never acts on promises while the new owner's gate
// is open.
func TestOldAndNewOwnerAreNeverActiveTogether(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		roster := Roster{
			Revision: 1,
		}
		clocks := make(map[string]driftingClock)
		witnesses := make(map[string]*PromiseGrantor)
		for i := range size {
			name := fmt.Sprintf("d%d", i)
			roster.Members = append(roster.Members, name)
			clocks[name] = driftingClock{
				rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
			}
			witnesses[name] = NewPromiseGrantor(promiseSettings)
		}
		oldOwner, successor := roster.Members[0], "successor"
		clocks[successor] = driftingClock{
			rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
		}
		grace := NewQuorumLease(oldOwner, promiseSettings)
		grace.SetRoster(roster)
		gate := NewTakeoverQuorum(roster)
		oldOwnerEnded := false
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			},
			"old owner requests promises": func(t *rapid.T) {
				if oldOwnerEnded {
					return
				}
				sent := clocks[oldOwner].at(now)
				for _, member := range roster.Members[1:] {
					if rapid.Bool().Draw(t, "arrives") &&
						witnesses[member].Grant(oldOwner, roster, roster, clocks[member].at(now)) &&
						rapid.Bool().Draw(t, "answered") {
						grace.AddPromise(member, roster.Revision, sent)
					}
				}
			},
			"new owner requests confirmations": func(t *rapid.T) {
				for _, member := range roster.Members {
					if !rapid.Bool().Draw(t, "arrives") {
						continue
					}
					remaining := witnesses[member].ConfirmTakeover(oldOwner, clocks[member].at(now))
					if member == oldOwner {
						oldOwnerEnded = true
						grace.SetRoster(Roster{})
						remaining = 0
					}
					withDrift := remaining + remaining/10
					gate.AddConfirmation(member, clocks[successor].at(now).Add(withDrift))
				}
			},
			"": func(t *rapid.T) {
				if grace.Valid(clocks[oldOwner].at(now)) && gate.Reached(clocks[successor].at(now)) {
					t.Fatalf("old and new owner may both act at %v", now)
				}
			},
		})
	})
}

func TestQuorum(t *testing.T) {
	c := qt.New(t)
	for size, want := range map[int]int{
		1: 1,
		2: 2,
		3: 2,
		8: 5,
		9: 5,
	} {
		roster := Roster{
			Members: slices.Repeat([]string{"x"}, size),
		}
		c.Check(roster.Quorum(), qt.Equals, want, qt.Commentf("size %d", size))
	}
}
