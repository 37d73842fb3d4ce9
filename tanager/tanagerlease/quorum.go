package tanagerlease

import (
	"slices"
	"time"
)

// Roster is the set of daemons that grant promises and confirm takeovers.
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

// PromiseSettings configures a PromiseGrantor and a QuorumLease. It must be the
// same on all daemons.
type PromiseSettings struct {
	// Duration is the duration of a promise.
	Duration time.Duration
	// DriftMargin is subtracted by the receiver and added by the grantor of a
	// promise, for the drift between their clocks over one Duration.
	DriftMargin time.Duration
}

// PromiseGrantor grants promises to owners and confirms takeovers from them.
type PromiseGrantor struct {
	settings      PromiseSettings
	promisedUntil map[string]time.Time
	denied        map[string]bool
}

// NewPromiseGrantor returns a grantor that has granted no promises.
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
func (g *PromiseGrantor) Grant(owner string, requested, known Roster, now time.Time) bool {
	if g.denied[owner] || requested.Revision != known.Revision {
		return false
	}
	g.promisedUntil[owner] = now.Add(g.settings.Duration + g.settings.DriftMargin)
	return true
}

// ConfirmTakeover confirms a takeover from an owner: it refuses all further
// promises to the owner and returns how long the outstanding one remains valid,
// or 0.
func (g *PromiseGrantor) ConfirmTakeover(owner string, now time.Time) time.Duration {
	g.denied[owner] = true
	remaining := g.promisedUntil[owner].Sub(now)
	return max(remaining, 0)
}

// Readmit allows promises to an owner again. Call it when the owner has
// rejoined, because it has then read the map that no longer names it.
func (g *PromiseGrantor) Readmit(owner string) { delete(g.denied, owner) }

// QuorumLease tracks the promises that this daemon has received as an owner.
type QuorumLease struct {
	self          string
	settings      PromiseSettings
	roster        Roster
	promisedUntil map[string]time.Time
}

// NewQuorumLease returns a quorum lease without promises.
func NewQuorumLease(self string, s PromiseSettings) *QuorumLease {
	return &QuorumLease{
		self:          self,
		settings:      s,
		promisedUntil: make(map[string]time.Time),
	}
}

// SetRoster sets the roster. Promises received under another revision are
// discarded.
func (l *QuorumLease) SetRoster(r Roster) {
	if r.Revision == l.roster.Revision {
		return
	}
	l.roster = r
	clear(l.promisedUntil)
}

// AddPromise records the promise of a member in response to a request that
// was sent at the given time under the given roster revision.
func (l *QuorumLease) AddPromise(member string, revision uint64, sent time.Time) {
	if revision == l.roster.Revision && l.roster.Contains(member) {
		l.promisedUntil[member] = sent.Add(l.settings.Duration - l.settings.DriftMargin)
	}
}

// Valid reports whether promises of a quorum are valid at the given time. The
// owner itself counts as one, and must be a member of the roster.
func (l *QuorumLease) Valid(now time.Time) bool {
	if !l.roster.Contains(l.self) {
		return false
	}
	count := 1
	for member, until := range l.promisedUntil {
		if member != l.self && now.Before(until) {
			count++
		}
	}
	return count >= l.roster.Quorum()
}

// TakeoverQuorum holds back the successor until a quorum has confirmed the
// takeover and its promises to the previous owner have expired.
type TakeoverQuorum struct {
	roster        Roster
	promiseExpiry map[string]time.Time
}

// NewTakeoverQuorum returns a TakeoverQuorum without confirmations under the
// given roster.
func NewTakeoverQuorum(r Roster) *TakeoverQuorum {
	return &TakeoverQuorum{
		roster:        r,
		promiseExpiry: make(map[string]time.Time),
	}
}

// AddConfirmation records the confirmation of a member and the time, on this
// daemon's clock, at which the member's outstanding promise expires.
func (q *TakeoverQuorum) AddConfirmation(member string, expiry time.Time) {
	if q.roster.Contains(member) {
		q.promiseExpiry[member] = expiry
	}
}

// Reached reports whether a quorum has confirmed and its promises have expired.
func (q *TakeoverQuorum) Reached(now time.Time) bool {
	count := 0
	for _, expiry := range q.promiseExpiry {
		if !now.Before(expiry) {
			count++
		}
	}
	return count >= q.roster.Quorum()
}
