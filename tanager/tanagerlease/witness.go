package tanagerlease

import (
	"slices"
	"time"
)

// Roster is the set of daemons that give promises.
type Roster struct {
	// Revision rises with each change of the roster.
	Revision uint64   `json:"revision"`
	Members  []string `json:"members"`
}

// Majority returns the smallest number of members that is more than half.
func (r Roster) Majority() int { return len(r.Members)/2 + 1 }

// Contains reports whether a daemon is in the roster.
func (r Roster) Contains(member string) bool {
	return slices.Contains(r.Members, member)
}

// PromiseSettings configure Witness and Grace and must be the same on all
// daemons.
type PromiseSettings struct {
	// Length is how long a promise runs.
	Length time.Duration
	// Margin is taken off by the receiver and added by the giver of a promise,
	// for the drift between their clocks over one Length.
	Margin time.Duration
}

// Witness gives promises to owners and confirms takeovers from them.
type Witness struct {
	settings PromiseSettings
	until    map[string]time.Time
	denied   map[string]bool
}

// NewWitness returns a witness that has promised nothing.
func NewWitness(s PromiseSettings) *Witness {
	return &Witness{
		settings: s,
		until:    make(map[string]time.Time),
		denied:   make(map[string]bool),
	}
}

// Promise reports whether the owner may go on for the promise's length. It
// refuses once a takeover from the owner was confirmed, and when the two
// daemons do not know the same roster.
func (w *Witness) Promise(owner string, asked, known Roster, now time.Time) bool {
	if w.denied[owner] || asked.Revision != known.Revision {
		return false
	}
	w.until[owner] = now.Add(w.settings.Length + w.settings.Margin)
	return true
}

// Confirm refuses all further promises to the owner and returns how long the
// one that is outstanding still runs.
func (w *Witness) Confirm(owner string, now time.Time) time.Duration {
	w.denied[owner] = true
	left := w.until[owner].Sub(now)
	return max(left, 0)
}

// Readmit ends the refusal of an owner that has joined anew: it has read the
// map that no longer names it.
func (w *Witness) Readmit(owner string) { delete(w.denied, owner) }

// Grace collects the promises that this owner received.
type Grace struct {
	self     string
	settings PromiseSettings
	roster   Roster
	until    map[string]time.Time
}

// NewGrace returns a grace without promises.
func NewGrace(self string, s PromiseSettings) *Grace {
	return &Grace{
		self:     self,
		settings: s,
		until:    make(map[string]time.Time),
	}
}

// Adopt makes the grace count the members of a roster. Promises that were given
// under another revision no longer count.
func (g *Grace) Adopt(r Roster) {
	if r.Revision == g.roster.Revision {
		return
	}
	g.roster = r
	clear(g.until)
}

// Promised notes a promise of a member to a question that was sent at the given
// time under the given roster revision.
func (g *Grace) Promised(member string, revision uint64, sent time.Time) {
	if revision == g.roster.Revision && g.roster.Contains(member) {
		g.until[member] = sent.Add(g.settings.Length - g.settings.Margin)
	}
}

// Holds reports whether a majority of the roster has promised at a time. The
// owner itself counts only if it is in the roster.
func (g *Grace) Holds(now time.Time) bool {
	if !g.roster.Contains(g.self) {
		return false
	}
	count := 1
	for member, until := range g.until {
		if member != g.self && now.Before(until) {
			count++
		}
	}
	return count >= g.roster.Majority()
}

// Gate holds back a new owner until a takeover is confirmed.
type Gate struct {
	roster    Roster
	confirmed map[string]time.Time
}

// NewGate returns the gate of a takeover under a roster.
func NewGate(r Roster) *Gate {
	return &Gate{
		roster:    r,
		confirmed: make(map[string]time.Time),
	}
}

// Confirmed notes a member's confirmation and when its outstanding promise has
// passed, on this daemon's clock.
func (g *Gate) Confirmed(member string, passed time.Time) {
	if g.roster.Contains(member) {
		g.confirmed[member] = passed
	}
}

// Open reports whether a majority has confirmed and its promises have passed.
func (g *Gate) Open(now time.Time) bool {
	count := 0
	for _, passed := range g.confirmed {
		if !now.Before(passed) {
			count++
		}
	}
	return count >= g.roster.Majority()
}
