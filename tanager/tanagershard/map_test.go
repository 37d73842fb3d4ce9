package tanagershard

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
)

// TestMapInvariantsUnderRandomChanges applies random joins, crashes, takeovers,
// handovers and confirmations. After each it checks that no epoch decreases,
// that every change of owner increases the epoch, and that a dead owner is
// listed as unconfirmed after a takeover.
func TestMapInvariantsUnderRandomChanges(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		live := []string{"d0"}
		next := 1
		m := New(rapid.IntRange(1, 40).Draw(t, "shards"), "d0")
		before := m
		t.Repeat(map[string]func(*rapid.T){
			"join": func(*rapid.T) {
				live = append(live, fmt.Sprintf("d%d", next))
				next++
			},
			"crash": func(t *rapid.T) {
				if len(live) > 1 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "daemon")
					live = slices.Delete(live, i, i+1)
				}
			},
			"take over": func(*rapid.T) { m, _ = m.TakeOver(live, live) },
			"balance": func(t *rapid.T) {
				owner := rapid.SampledFrom(live).Draw(t, "owner")
				for _, move := range m.RebalanceMoves(owner, live, 3) {
					if len(m.Shards[move.Shard].Unconfirmed) == 0 {
						m = m.HandOver(move.Shard, move.To)
					}
				}
			},
			"settle": func(t *rapid.T) {
				m, _ = m.RemoveConfirmed(rapid.SampledFrom(live).Draw(t, "owner"), m.UnconfirmedOwners())
			},
			"": func(t *rapid.T) {
				for i, a := range m.Shards {
					previous := before.Shards[i]
					switch {
					case a.Epoch < previous.Epoch:
						t.Fatalf("the epoch of shard %d decreased", i)
					case a.Owner != previous.Owner && a.Epoch == previous.Epoch:
						t.Fatalf("shard %d changed its owner without a new epoch", i)
					case !slices.Contains(live, previous.Owner) && a.Owner != previous.Owner &&
						!slices.Contains(a.Unconfirmed, previous.Owner):
						t.Fatalf("shard %d was taken over from %s, which is not listed as unconfirmed", i, previous.Owner)
					}
				}
				before = m
			},
		})
	})
}

func TestTakeOverAndRebalance(t *testing.T) {
	c := qt.New(t)
	m := New(64, "d1")
	live := []string{"d1", "d2", "d3"}
	for {
		moves := m.RebalanceMoves("d1", live, 4)
		if len(moves) == 0 {
			break
		}
		for _, move := range moves {
			m = m.HandOver(move.Shard, move.To)
		}
	}
	for _, daemon := range live {
		owned := len(m.Owned(daemon))
		c.Check(owned == 21 || owned == 22, qt.IsTrue, qt.Commentf("%s owns %d", daemon, owned))
	}
	next, changed := m.TakeOver([]string{"d1", "d3"}, []string{"d1", "d3"})
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Owned("d2"), qt.HasLen, 0)
	c.Assert(len(next.Owned("d1")), qt.Equals, 32)
	c.Assert(next.UnconfirmedOwners(), qt.DeepEquals, []string{"d2"})
	_, changed = m.TakeOver([]string{"d1"}, nil)
	c.Assert(changed, qt.IsFalse)
	// A daemon that stops hands over all its shards although it has no more than
	// the others.
	c.Assert(len(m.RebalanceMoves("d1", []string{"d2", "d3"}, 64)), qt.Equals, len(m.Owned("d1")))
}

func TestRosterStepChangesOneMember(t *testing.T) {
	c := qt.New(t)
	m := New(4, "d1")
	live := []string{"d2", "d3", "d4"}
	for steps := 0; ; steps++ {
		next, changed := m.NextRoster(live)
		if !changed {
			c.Assert(steps, qt.Equals, 4)
			break
		}
		difference := 0
		for _, member := range append(slices.Clone(next.Roster.Members), m.Roster.Members...) {
			if !next.Roster.Contains(member) || !m.Roster.Contains(member) {
				difference++
			}
		}
		c.Assert(difference, qt.Equals, 1)
		c.Assert(next.Roster.Revision, qt.Equals, m.Roster.Revision+1)
		m = next
	}
	c.Assert(m.Roster.Members, qt.DeepEquals, live)
}
