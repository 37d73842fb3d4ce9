package tanagershard

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
)

// TestMapUnderChange applies random joins, deaths, hand-overs and confirmations
// and checks after each that every shard has one owner, that epochs never fall
// and rise with each change of owner, and that nobody is forgotten unconfirmed.
func TestMapUnderChange(t *testing.T) {
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
			"die": func(t *rapid.T) {
				if len(live) > 1 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "who")
					live = slices.Delete(live, i, i+1)
				}
			},
			"take over": func(*rapid.T) { m, _ = m.TakeOver(live, live) },
			"balance": func(t *rapid.T) {
				owner := rapid.SampledFrom(live).Draw(t, "owner")
				for _, move := range m.Surplus(owner, live, 3) {
					if len(m.Shards[move.Shard].Unconfirmed) == 0 {
						m = m.HandOver(move.Shard, move.To)
					}
				}
			},
			"settle": func(t *rapid.T) {
				m, _ = m.Settle(rapid.SampledFrom(live).Draw(t, "owner"), m.Unconfirmed())
			},
			"": func(t *rapid.T) {
				for i, a := range m.Shards {
					old := before.Shards[i]
					switch {
					case a.Epoch < old.Epoch:
						t.Fatalf("the epoch of shard %d fell", i)
					case a.Owner != old.Owner && a.Epoch == old.Epoch:
						t.Fatalf("shard %d changed its owner within an epoch", i)
					case !slices.Contains(live, old.Owner) && a.Owner != old.Owner && !slices.Contains(a.Unconfirmed, old.Owner):
						t.Fatalf("shard %d was taken over from %s without a word", i, old.Owner)
					}
				}
				before = m
			},
		})
	})
}

func TestTakeOverAndSurplusBalance(t *testing.T) {
	c := qt.New(t)
	m := New(64, "d1")
	live := []string{"d1", "d2", "d3"}
	for {
		moves := m.Surplus("d1", live, 4)
		if len(moves) == 0 {
			break
		}
		for _, move := range moves {
			m = m.HandOver(move.Shard, move.To)
		}
	}
	for _, l := range live {
		n := len(m.Owned(l))
		c.Check(n == 21 || n == 22, qt.IsTrue, qt.Commentf("%s owns %d", l, n))
	}
	next, changed := m.TakeOver([]string{"d1", "d3"}, []string{"d1", "d3"})
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Owned("d2"), qt.HasLen, 0)
	c.Assert(len(next.Owned("d1")), qt.Equals, 32)
	c.Assert(next.Unconfirmed(), qt.DeepEquals, []string{"d2"})
	_, changed = m.TakeOver([]string{"d1"}, nil)
	c.Assert(changed, qt.IsFalse)
	// A daemon that stops gives everything away although it has no more than
	// the others.
	c.Assert(len(m.Surplus("d1", []string{"d2", "d3"}, 64)), qt.Equals, len(m.Owned("d1")))
}

func TestRosterStepChangesOneMember(t *testing.T) {
	c := qt.New(t)
	m := New(4, "d1")
	live := []string{"d2", "d3", "d4"}
	for steps := 0; ; steps++ {
		next, changed := m.RosterStep(live)
		if !changed {
			c.Assert(steps, qt.Equals, 4)
			break
		}
		difference := 0
		for _, x := range append(slices.Clone(next.Roster.Members), m.Roster.Members...) {
			if !next.Roster.Contains(x) || !m.Roster.Contains(x) {
				difference++
			}
		}
		c.Assert(difference, qt.Equals, 1)
		c.Assert(next.Roster.Revision, qt.Equals, m.Roster.Revision+1)
		m = next
	}
	c.Assert(m.Roster.Members, qt.DeepEquals, live)
}
