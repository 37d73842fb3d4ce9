package tanagerlease

import (
	"slices"
	"time"
)

// Roster is the set of daemons that give promises and confirm takeovers.
type Roster struct {
	// Revision increases with each change of the roster.
	Revision uint64   `json:"revision"`
	Members  []string `json:"members"`
}

// Quorum returns the smallest number of members that is a majority.
func (r Roster) Quorum() int { return len(r.Members)/2 + 1 }

// Contains reports whether a daemon is a member of the roster.
func (r Roster) Contains(member string) bool {
	return slices.Contains(r.Members, member)
}

// PromiseSettings configures Witness and Grace. It must be the same on all
// daemons.
type PromiseSettings struct {
	// Duration is the duration of a promise.
	Duration time.Duration
	// DriftMargin is subtracted by the receiver and added by the giver of a promise,
	// for the drift between their clocks over one Length.
	DriftMargin time.Duration
}

// PromiseGrantor gives promises to owners and confirms takeovers from them.
type PromiseGrantor struct {
	settings      PromiseSettings
	promisedUntil map[string]time.Time
	denied        map[string]bool
}

// NewPromiseGrantor returns a witness that has given no promises.
func NewPromiseGrantor(s PromiseSettings) *PromiseGrantor {
	return &PromiseGrantor{
		settings:      s,
		promisedUntil: make(map[string]time.Time),
		denied:        make(map[string]bool),
	}
}

// Grant reports whether the owner may continue for the duration of a promise.
// It refuses once a takeover from the owner has been confirmed, or if the
// requested roster is not the one known to this daemon.
func (w *PromiseGrantor) Grant(owner string, requested, known Roster, now time.Time) bool {
	if w.denied[owner] || requested.Revision != known.Revision {
		return false
	}
	w.promisedUntil[owner] = now.Add(w.settings.Duration + w.settings.DriftMargin)
	return true
}

// ConfirmTakeover confirms a takeover from an owner: it refuses all further promises to
// the owner and returns how long the outstanding one remains valid, or 0.
func (w *PromiseGrantor) ConfirmTakeover(owner string, now time.Time) time.Duration {
	w.denied[owner] = true
	remaining := w.promisedUntil[owner].Sub(now)
	return max(remaining, 0)
}

// Readmit allows promises to an owner again. Call it when the owner has
// rejoined, because it has then read the map that no longer names it.
func (w *PromiseGrantor) Readmit(owner string) { delete(w.denied, owner) }

// QuorumLease tracks the promises that this daemon has received as an owner.
type QuorumLease struct {
	self          string
	settings      PromiseSettings
	roster        Roster
	promisedUntil map[string]time.Time
}

// NewQuorumLease returns a grace without promises.
func NewQuorumLease(self string, s PromiseSettings) *QuorumLease {
	return &QuorumLease{
		self:          self,
		settings:      s,
		promisedUntil: make(map[string]time.Time),
	}
}

// SetRoster sets the roster. Promises received under another revision are
// discarded.
func (g *QuorumLease) SetRoster(r Roster) {
	if r.Revision == g.roster.Revision {
		return
	}
	g.roster = r
	clear(g.promisedUntil)
}

// AddPromise records the promise of a member in answer to a request that was sent
// at the given time under the given roster revision.
func (g *QuorumLease) AddPromise(member string, revision uint64, sent time.Time) {
	if revision == g.roster.Revision && g.roster.Contains(member) {
		g.promisedUntil[member] = sent.Add(g.settings.Duration - g.settings.DriftMargin)
	}
}

// Valid reports whether promises of a quorum are valid at the given time. The
// owner itself counts as one, and must be a member of the roster.
func (g *QuorumLease) Valid(now time.Time) bool {
	if !g.roster.Contains(g.self) {
		return false
	}
	count := 1
	for member, until := range g.promisedUntil {
		if member != g.self && now.Before(until) {
			count++
		}
	}
	return count >= g.roster.Quorum()
}

// TakeoverQuorum holds back a new owner until a quorum has confirmed the takeover and its
// promises to the old owner have expired.
type TakeoverQuorum struct {
	roster        Roster
	promiseExpiry map[string]time.Time
}

// NewTakeoverQuorum returns a gate for a takeover under the given roster.
func NewTakeoverQuorum(r Roster) *TakeoverQuorum {
	return &TakeoverQuorum{
		roster:        r,
		promiseExpiry: make(map[string]time.Time),
	}
}

// AddConfirmation records the confirmation of a member and the time, on this daemon's
// clock, at which the member's outstanding promise expires.
func (g *TakeoverQuorum) AddConfirmation(member string, expiry time.Time) {
	if g.roster.Contains(member) {
		g.promiseExpiry[member] = expiry
	}
}

// Reached reports whether a quorum has confirmed and its promises have expired.
func (g *TakeoverQuorum) Reached(now time.Time) bool {
	count := 0
	for _, expiry := range g.promiseExpiry {
		if !now.Before(expiry) {
			count++
		}
	}
	return count >= g.roster.Quorum()
}
