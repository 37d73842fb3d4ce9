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

func TestStoreLeaseExpiresBeforeStoreDeletesIt(t *testing.T) {
	c := qt.New(t)
	lease := NewStoreLease(StoreLeaseSettings{
		TTL:         3 * time.Second,
		DriftMargin: 300 * time.Millisecond,
	})
	c.Assert(lease.Valid(startTime), qt.IsFalse)
	lease.RecordRenewal(startTime)
	c.Assert(lease.Valid(startTime.Add(2699*time.Millisecond)), qt.IsTrue)
	c.Assert(lease.Valid(startTime.Add(2700*time.Millisecond)), qt.IsFalse)
	// A late report of an older renewal does not shorten the lease.
	lease.RecordRenewal(startTime.Add(time.Second))
	lease.RecordRenewal(startTime)
	c.Assert(lease.Expiry(), qt.Equals, startTime.Add(3700*time.Millisecond))
	lease.Invalidate()
	c.Assert(lease.Valid(startTime), qt.IsFalse)
}

func TestGrantorRefusesPromisesAfterConfirmingTakeover(t *testing.T) {
	c := qt.New(t)
	roster := Roster{
		Revision: 4,
		Members:  []string{"a", "b", "c"},
	}
	grantor := NewPromiseGrantor(promiseSettings)
	c.Assert(grantor.Grant("a", roster, roster, startTime), qt.IsTrue)
	c.Assert(grantor.ConfirmTakeover("a", startTime.Add(400*time.Millisecond)), qt.Equals, 650*time.Millisecond)
	c.Assert(grantor.Grant("a", roster, roster, startTime.Add(time.Hour)), qt.IsFalse)
	c.Assert(grantor.Grant("b", roster, roster, startTime), qt.IsTrue)
	older := Roster{
		Revision: 3,
		Members:  roster.Members,
	}
	c.Assert(grantor.Grant("b", older, roster, startTime), qt.IsFalse)
	grantor.Readmit("a")
	c.Assert(grantor.Grant("a", roster, roster, startTime), qt.IsTrue)
}

// driftingClock is the clock of a daemon, which runs slightly fast or slow.
type driftingClock struct {
	rate float64
}

func (c driftingClock) at(elapsed time.Duration) time.Time {
	return startTime.Add(time.Duration(float64(elapsed) * c.rate))
}

// TestPreviousOwnerAndSuccessorNeverActTogether runs random sequences of
// requests, lost messages and delays on daemons whose clocks drift by up to 2%,
// and checks that the previous owner's quorum lease is never valid while the
// successor's takeover quorum is reached.
func TestPreviousOwnerAndSuccessorNeverActTogether(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		roster := Roster{
			Revision: 1,
		}
		clocks := make(map[string]driftingClock)
		grantors := make(map[string]*PromiseGrantor)
		for i := range size {
			name := fmt.Sprintf("d%d", i)
			roster.Members = append(roster.Members, name)
			clocks[name] = driftingClock{
				rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
			}
			grantors[name] = NewPromiseGrantor(promiseSettings)
		}
		previous, successor := roster.Members[0], "successor"
		clocks[successor] = driftingClock{
			rate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
		}
		quorumLease := NewQuorumLease(previous, promiseSettings)
		quorumLease.SetRoster(roster)
		takeoverQuorum := NewTakeoverQuorum(roster)
		previousEnded := false
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			},
			"promises requested by the previous owner": func(t *rapid.T) {
				if previousEnded {
					return
				}
				sent := clocks[previous].at(now)
				for _, member := range roster.Members[1:] {
					if rapid.Bool().Draw(t, "arrives") &&
						grantors[member].Grant(previous, roster, roster, clocks[member].at(now)) &&
						rapid.Bool().Draw(t, "response arrives") {
						quorumLease.AddPromise(member, roster.Revision, sent)
					}
				}
			},
			"confirmations requested by the successor": func(t *rapid.T) {
				for _, member := range roster.Members {
					if !rapid.Bool().Draw(t, "arrives") {
						continue
					}
					remaining := grantors[member].ConfirmTakeover(previous, clocks[member].at(now))
					if member == previous {
						previousEnded = true
						quorumLease.SetRoster(Roster{})
						remaining = 0
					}
					withDrift := remaining + remaining/10
					takeoverQuorum.AddConfirmation(member, clocks[successor].at(now).Add(withDrift))
				}
			},
			"": func(t *rapid.T) {
				if quorumLease.Valid(clocks[previous].at(now)) && takeoverQuorum.Reached(clocks[successor].at(now)) {
					t.Fatalf("previous owner and successor may both act at %v", now)
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
