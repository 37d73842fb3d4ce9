package tanagershard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagersail.example/tanager/tanagerlease"
)

// Key is the key of the map in the platform's store.
const Key = "tanager/shards"

// Shard numbers a shard from zero.
type Shard int

// Assignment is the ownership of one shard.
type Assignment struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// Unconfirmed names the earlier owners from which the shard was taken over
	// and whose end a majority of the roster has not confirmed yet. It is empty
	// after a hand-over.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Map names the owner of each shard. Treat it as a value: its methods return
// changed copies.
type Map struct {
	Writer string `json:"writer"`
	Write  uint64 `json:"write"`
	// Shards has one assignment for each shard; its length never changes.
	Shards []Assignment        `json:"shards"`
	Roster tanagerlease.Roster `json:"roster"`
}

// New returns the first map, in which every shard belongs to one owner.
func New(shards int, owner string) Map {
	m := Map{
		Shards: make([]Assignment, shards),
		Roster: tanagerlease.Roster{
			Revision: 1,
			Members:  []string{owner},
		},
	}
	for i := range m.Shards {
		m.Shards[i] = Assignment{
			Owner: owner,
			Epoch: 1,
		}
	}
	return m
}

// Of returns the shard that a VM or a branch belongs to.
func (m Map) Of(name string) Shard {
	return Shard(xxhash.Sum64String(name) % uint64(len(m.Shards)))
}

// Owned returns the shards of an owner.
func (m Map) Owned(owner string) []Shard {
	var owned []Shard
	for i, a := range m.Shards {
		if a.Owner == owner {
			owned = append(owned, Shard(i))
		}
	}
	return owned
}

// clone copies the parts that the other methods change.
func (m Map) clone() Map {
	m.Shards = slices.Clone(m.Shards)
	m.Roster.Members = slices.Clone(m.Roster.Members)
	return m
}

// TakeOver returns the map in which the shards of owners that are not present
// belong to the takers with the fewest shards, and whether that is a change. It
// returns the map unchanged if there are no takers.
func (m Map) TakeOver(present, takers []string) (Map, bool) {
	if len(takers) == 0 {
		return m, false
	}
	next := m.clone()
	counts := next.counts(takers)
	changed := false
	for i, a := range next.Shards {
		if slices.Contains(present, a.Owner) {
			continue
		}
		to := fewest(takers, counts)
		next.Shards[i] = Assignment{
			Owner:       to,
			Epoch:       a.Epoch + 1,
			Unconfirmed: append(slices.Clone(a.Unconfirmed), a.Owner),
		}
		counts[to]++
		changed = true
	}
	return next, changed
}

// HandOver returns the map in which one shard has moved from its owner to
// another daemon by the owner's own will. The owner must have stopped using the
// shard and must have no unconfirmed predecessor.
func (m Map) HandOver(s Shard, to string) Map {
	next := m.clone()
	next.Shards[s] = Assignment{
		Owner: to,
		Epoch: next.Shards[s].Epoch + 1,
	}
	return next
}

// Settle returns the map in which no shard of owner has the given unconfirmed
// predecessors, and whether that is a change.
func (m Map) Settle(owner string, confirmed []string) (Map, bool) {
	next := m.clone()
	changed := false
	for i, a := range next.Shards {
		if a.Owner != owner || len(a.Unconfirmed) == 0 {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(a.Unconfirmed), func(p string) bool {
			return slices.Contains(confirmed, p)
		})
		if len(left) < len(a.Unconfirmed) {
			next.Shards[i].Unconfirmed = left
			changed = true
		}
	}
	return next, changed
}

// Unconfirmed returns the predecessors that some shard still has to have
// confirmed.
func (m Map) Unconfirmed() []string {
	var names []string
	for _, a := range m.Shards {
		for _, p := range a.Unconfirmed {
			if !slices.Contains(names, p) {
				names = append(names, p)
			}
		}
	}
	return names
}

// Surplus returns shards that owner should hand over, with their receivers, so
// that no two live daemons differ by more than one shard. An owner that is not
// itself live gives all its shards away. The result has at most limit moves.
func (m Map) Surplus(owner string, live []string, limit int) []Move {
	counts := m.counts(live)
	owned := m.Owned(owner)
	staying := slices.Contains(live, owner)
	var moves []Move
	for len(moves) < min(limit, len(owned)) {
		to := fewest(live, counts)
		if to == "" || staying && counts[owner]-counts[to] < 2 {
			return moves
		}
		moves = append(moves, Move{
			Shard: owned[len(moves)],
			To:    to,
		})
		counts[owner]--
		counts[to]++
	}
	return moves
}

// Move is one hand-over.
type Move struct {
	Shard Shard
	To    string
}

// RosterStep returns the map whose roster is one daemon closer to the live
// daemons, and whether that is a change. The caller must leave a lease's length
// between two steps and take none while a takeover is unconfirmed.
func (m Map) RosterStep(live []string) (Map, bool) {
	next := m.clone()
	for i, member := range next.Roster.Members {
		if !slices.Contains(live, member) {
			next.Roster.Members = slices.Delete(next.Roster.Members, i, i+1)
			next.Roster.Revision++
			return next, true
		}
	}
	for _, member := range live {
		if !next.Roster.Contains(member) {
			next.Roster.Members = append(next.Roster.Members, member)
			next.Roster.Revision++
			return next, true
		}
	}
	return m, false
}

func (m Map) counts(live []string) map[string]int {
	counts := make(map[string]int, len(live))
	for _, l := range live {
		counts[l] = 0
	}
	for _, a := range m.Shards {
		if _, ok := counts[a.Owner]; ok {
			counts[a.Owner]++
		}
	}
	return counts
}

// fewest returns the live daemon with the fewest shards, the first by name
// among equals.
func fewest(live []string, counts map[string]int) string {
	best := ""
	for _, l := range live {
		if best == "" || counts[l] < counts[best] || counts[l] == counts[best] && l < best {
			best = l
		}
	}
	return best
}
