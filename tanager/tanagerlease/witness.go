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
	// Length is the duration of a promise.
	Length time.Duration
	// Margin is subtracted by the receiver and added by the giver of a promise,
	// for the drift between their clocks over one Length.
	Margin time.Duration
}

// Witness gives promises to owners and confirms takeovers from them.
type Witness struct {
	settings      PromiseSettings
	promisedUntil map[string]time.Time
	denied        map[string]bool
}

// NewWitness returns a witness that has given no promises.
func NewWitness(s PromiseSettings) *Witness {
	return &Witness{
		settings:      s,
		promisedUntil: make(map[string]time.Time),
		denied:        make(map[string]bool),
	}
}

// Promise reports whether the owner may continue for the duration of a promise.
// It refuses once a takeover from the owner has been confirmed, or if the
// requested roster is not the one known to this daemon.
func (w *Witness) Promise(owner string, requested, known Roster, now time.Time) bool {
	if w.denied[owner] || requested.Revision != known.Revision {
		return false
	}
	w.promisedUntil[owner] = now.Add(w.settings.Length + w.settings.Margin)
	return true
}

// Confirm confirms a takeover from an owner: it refuses all further promises to
// the owner and returns how long the outstanding one remains valid, or 0.
func (w *Witness) Confirm(owner string, now time.Time) time.Duration {
	w.denied[owner] = true
	remaining := w.promisedUntil[owner].Sub(now)
	return max(remaining, 0)
}

// Readmit allows promises to an owner again. Call it when the owner has
// rejoined, because it has then read the map that no longer names it.
func (w *Witness) Readmit(owner string) { delete(w.denied, owner) }

// Grace tracks the promises that this daemon has received as an owner.
type Grace struct {
	self          string
	settings      PromiseSettings
	roster        Roster
	promisedUntil map[string]time.Time
}

// NewGrace returns a grace without promises.
func NewGrace(self string, s PromiseSettings) *Grace {
	return &Grace{
		self:          self,
		settings:      s,
		promisedUntil: make(map[string]time.Time),
	}
}

// Adopt sets the roster. Promises received under another revision are
// discarded.
func (g *Grace) Adopt(r Roster) {
	if r.Revision == g.roster.Revision {
		return
	}
	g.roster = r
	clear(g.promisedUntil)
}

// Promised records the promise of a member in answer to a request that was sent
// at the given time under the given roster revision.
func (g *Grace) Promised(member string, revision uint64, sent time.Time) {
	if revision == g.roster.Revision && g.roster.Contains(member) {
		g.promisedUntil[member] = sent.Add(g.settings.Length - g.settings.Margin)
	}
}

// Holds reports whether promises of a quorum are valid at the given time. The
// owner itself counts as one, and must be a member of the roster.
func (g *Grace) Holds(now time.Time) bool {
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

// Gate holds back a new owner until a quorum has confirmed the takeover and its
// promises to the old owner have expired.
type Gate struct {
	roster        Roster
	promiseExpiry map[string]time.Time
}

// NewGate returns a gate for a takeover under the given roster.
func NewGate(r Roster) *Gate {
	return &Gate{
		roster:        r,
		promiseExpiry: make(map[string]time.Time),
	}
}

// Confirmed records the confirmation of a member and the time, on this daemon's
// clock, at which the member's outstanding promise expires.
func (g *Gate) Confirmed(member string, expiry time.Time) {
	if g.roster.Contains(member) {
		g.promiseExpiry[member] = expiry
	}
}

// Open reports whether a quorum has confirmed and its promises have expired.
func (g *Gate) Open(now time.Time) bool {
	count := 0
	for _, expiry := range g.promiseExpiry {
		if !now.Before(expiry) {
			count++
		}
	}
	return count >= g.roster.Quorum()
}
