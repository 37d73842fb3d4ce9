package tanagercell

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
)

// A scheduler that loses the store cannot tell an outage, in which nobody can be
// elected, from a fault of its own, behind which a successor is at work. Workers that
// the successor reaches refuse the scheduler's epoch; for the others it has to stop by
// itself, within the time for which a successor waits. It may go on for
// tanagerdispatch.RenewalWindow after the latest time at which it was certainly the
// scheduler:
//
//   - the store has confirmed its lease or a write under its epoch; the time is that
//     at which the call was sent;
//   - or every other daemon still followed it: a daemon that has been elected sends no
//     heartbeats to another. The daemons are those that have sent heartbeats in this
//     term and those that the predecessor has stored in the roster. A heartbeat names
//     the last broadcast that the daemon has received, and the time is that at which
//     this broadcast was sent, so that a heartbeat that was delayed, or read after a
//     pause, counts as old.
//
// In an outage with all daemons alive the scheduler therefore goes on.

const (
	// broadcastHistory is the number of broadcasts whose times are kept, some seconds.
	broadcastHistory = 64
	// electorateDelay is how long after the start of a term the daemons that the
	// predecessor has stored or that have sent heartbeats are taken to be all: several
	// intervals of the largest cell.
	electorateDelay = 2 * time.Second
	// followerRetention is how long a silent daemon may still be elected as far as this
	// scheduler knows. It is forgotten only while the store confirms the lease.
	followerRetention = 30 * time.Second
)

// authority is how long a scheduler's term may be relied on.
type authority struct {
	termStartedAt time.Time
	// confirmedAt is the latest time at which the store is known to have held this
	// scheduler's epoch.
	confirmedAt time.Time
	// broadcast is the number of the last broadcast, sentAt the times of the last ones
	// by their number modulo broadcastHistory.
	broadcast uint64
	sentAt    [broadcastHistory]time.Time
	followers map[string]follower
	// lost is set while the authority has run out.
	lost bool
}

// follower is another daemon that may be elected.
type follower struct {
	heardAt time.Time
	// followedAt is the latest time at which the daemon is known to have followed this
	// scheduler in its present epoch.
	followedAt time.Time
	// exited is set once the process has exited. Another may have been started there.
	exited bool
}

func newAuthority(now time.Time) *authority {
	return &authority{
		termStartedAt: now,
		followers:     make(map[string]follower),
	}
}

// confirm records that the store has confirmed the scheduler's epoch by the response
// to a call that was sent at the given time.
func (a *authority) confirm(sentAt, now time.Time) {
	if sentAt.Before(a.confirmedAt) {
		return
	}
	a.confirmedAt = sentAt
	for name, f := range a.followers {
		if f.exited || now.Sub(f.heardAt) > followerRetention {
			delete(a.followers, name)
		}
	}
}

// nextBroadcast returns the number of a broadcast that is sent now.
func (a *authority) nextBroadcast(now time.Time) uint64 {
	a.broadcast++
	a.sentAt[a.broadcast%broadcastHistory] = now
	return a.broadcast
}

// followedBy records a heartbeat. broadcast is the last one that the daemon has
// received in the present epoch, or 0. A process that has restarted replaces the
// former one at its address.
func (a *authority) followedBy(name string, broadcast uint64, now time.Time) {
	f, known := a.followers[name]
	if !known {
		a.forgetFormerProcesses(name)
	}
	f.heardAt = now
	if broadcast > 0 && broadcast <= a.broadcast && a.broadcast-broadcast < broadcastHistory {
		if sentAt := a.sentAt[broadcast%broadcastHistory]; sentAt.After(f.followedAt) {
			f.followedAt = sentAt
		}
	}
	a.followers[name] = f
}

func (a *authority) forgetFormerProcesses(name string) {
	if former, known := a.processAt(name); known {
		delete(a.followers, former)
	}
}

// processAt returns the follower at the address of a daemon.
func (a *authority) processAt(name string) (string, bool) {
	address, valid := Directory{}.Address(name)
	for other := range a.followers {
		if o, known := (Directory{}).Address(other); valid && known && o == address {
			return other, true
		}
	}
	return "", false
}

// exited records that a daemon's process has exited. It is forgotten with the next
// confirmation of the store: its next process may be elected without having followed.
func (a *authority) exited(name string) {
	if f, known := a.followers[name]; known {
		f.exited = true
		a.followers[name] = f
	}
}

// addElectorate adds the daemons that a predecessor has stored, except those whose
// process has been replaced.
func (a *authority) addElectorate(names []string, self string, now time.Time) {
	for _, name := range names {
		if _, known := a.processAt(name); !known && name != self {
			a.followers[name] = follower{heardAt: now}
		}
	}
}

// electorate returns the names of the daemons that may be elected, sorted.
func (a *authority) electorate() []string {
	names := make([]string, 0, len(a.followers))
	for name := range a.followers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// until returns the time until which the scheduler may extend leases and start tasks.
func (a *authority) until(now time.Time) time.Time {
	certain := a.confirmedAt
	if now.Sub(a.termStartedAt) >= electorateDelay && len(a.followers) > 0 {
		followed := now
		for _, f := range a.followers {
			if f.followedAt.Before(followed) {
				followed = f.followedAt
			}
		}
		if followed.After(certain) {
			certain = followed
		}
	}
	return certain.Add(tanagerdispatch.RenewalWindow)
}

// updateAuthority passes the authority on to the cell.
func (c *control) updateAuthority(now time.Time) {
	until := c.authority.until(now)
	c.cell.SetAuthority(until)
	if lost := now.After(until); lost != c.authority.lost {
		c.authority.lost = lost
		event := "authority_regained"
		if lost {
			event = "authority_lost"
		}
		c.log.Warn().Str("event", event).Uint64("epoch", c.leader.epoch).
			Dur("confirmed_ms", now.Sub(c.authority.confirmedAt)).Int("followers", len(c.authority.followers)).Send()
	}
}

// confirmAuthority records that the store has confirmed the scheduler's epoch by the
// response to a call that was sent at the given time.
func (c *control) confirmAuthority(sentAt time.Time) {
	if c.authority != nil {
		c.authority.confirm(sentAt, c.timer.Now())
	}
}
