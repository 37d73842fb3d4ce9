package tanagershard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagersail.example/tanager/tanagerlease"
)

// Key is the key of the shard map in the platform's store.
const Key = "tanager/shards"

// Shard is the index of a shard, starting at 0.
type Shard int

// Assignment is the owner and the epoch of one shard.
type Assignment struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// Unconfirmed lists previous owners from which the shard was taken over and
	// whose takeover a quorum of the roster has not confirmed yet. It is empty
	// after a handover.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Map assigns each shard to an owner. It is used as an immutable value: its
// methods return modified copies.
type Map struct {
	// Writer is the daemon that wrote the map, WriteSequence the sequence
	// number of the write among the writer's own.
	Writer        string `json:"writer"`
	WriteSequence uint64 `json:"write"`
	// Shards has one assignment per shard; its length never changes.
	Shards []Assignment        `json:"shards"`
	Roster tanagerlease.Roster `json:"roster"`
}

// New returns the initial map, in which one owner has all shards.
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

// ShardOf returns the shard of a VM or a branch.
func (m Map) ShardOf(name string) Shard {
	return Shard(xxhash.Sum64String(name) % uint64(len(m.Shards)))
}

// Owned returns the shards of an owner in ascending order.
func (m Map) Owned(owner string) []Shard {
	var owned []Shard
	for i, a := range m.Shards {
		if a.Owner == owner {
			owned = append(owned, Shard(i))
		}
	}
	return owned
}

// clone copies the slices that the other methods modify.
func (m Map) clone() Map {
	m.Shards = slices.Clone(m.Shards)
	m.Roster.Members = slices.Clone(m.Roster.Members)
	return m
}

// TakeOver returns the map in which the shards of owners that are not present
// are assigned to the takers with the fewest shards, and whether the map has
// changed. Without takers it returns the map unchanged.
func (m Map) TakeOver(present, takers []string) (Map, bool) {
	if len(takers) == 0 {
		return m, false
	}
	next := m.clone()
	counts := next.shardCounts(takers)
	changed := false
	for i, a := range next.Shards {
		if slices.Contains(present, a.Owner) {
			continue
		}
		to := leastLoaded(takers, counts)
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

// HandOver returns the map in which a shard has moved from its owner to another
// daemon. Only the owner may write this map; it must have stopped using the
// shard, and the shard must have no unconfirmed previous owner.
func (m Map) HandOver(s Shard, to string) Map {
	next := m.clone()
	next.Shards[s] = Assignment{
		Owner: to,
		Epoch: next.Shards[s].Epoch + 1,
	}
	return next
}

// RemoveConfirmed returns the map in which the confirmed previous owners are no
// longer listed as unconfirmed in the shards of owner, and whether the map has
// changed.
func (m Map) RemoveConfirmed(owner string, confirmed []string) (Map, bool) {
	next := m.clone()
	changed := false
	for i, a := range next.Shards {
		if a.Owner != owner || len(a.Unconfirmed) == 0 {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(a.Unconfirmed), func(previousOwner string) bool {
			return slices.Contains(confirmed, previousOwner)
		})
		if len(remaining) < len(a.Unconfirmed) {
			next.Shards[i].Unconfirmed = remaining
			changed = true
		}
	}
	return next, changed
}

// UnconfirmedOwners returns the previous owners that are unconfirmed in any
// shard.
func (m Map) UnconfirmedOwners() []string {
	var names []string
	for _, a := range m.Shards {
		for _, previousOwner := range a.Unconfirmed {
			if !slices.Contains(names, previousOwner) {
				names = append(names, previousOwner)
			}
		}
	}
	return names
}

// RebalanceMoves returns the handovers by which owner should balance the
// shards, so that the numbers of shards of any two live daemons differ by at
// most one. An owner that is not live itself hands over all its shards. The
// result has at most limit moves.
func (m Map) RebalanceMoves(owner string, live []string, limit int) []Move {
	counts := m.shardCounts(live)
	owned := m.Owned(owner)
	ownerLive := slices.Contains(live, owner)
	var moves []Move
	for len(moves) < min(limit, len(owned)) {
		to := leastLoaded(live, counts)
		if to == "" || ownerLive && counts[owner]-counts[to] < 2 {
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

// Move is the handover of one shard.
type Move struct {
	Shard Shard
	To    string
}

// NextRoster returns the map whose roster is one member closer to the live
// daemons, and whether the map has changed. The caller must wait at least the
// TTL of a lease between two steps, and must not make a step while a takeover
// is unconfirmed.
func (m Map) NextRoster(live []string) (Map, bool) {
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

// shardCounts returns the number of shards of each live daemon.
func (m Map) shardCounts(live []string) map[string]int {
	counts := make(map[string]int, len(live))
	for _, daemon := range live {
		counts[daemon] = 0
	}
	for _, a := range m.Shards {
		if _, ok := counts[a.Owner]; ok {
			counts[a.Owner]++
		}
	}
	return counts
}

// leastLoaded returns the live daemon with the fewest shards, ties broken
// by name. It returns "" if no daemon is live.
func leastLoaded(live []string, counts map[string]int) string {
	chosen := ""
	for _, daemon := range live {
		if chosen == "" || counts[daemon] < counts[chosen] || counts[daemon] == counts[chosen] && daemon < chosen {
			chosen = daemon
		}
	}
	return chosen
}
