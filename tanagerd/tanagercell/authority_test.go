package tanagercell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

const (
	peerOne = "10.0.0.2:1/one"
	peerTwo = "10.0.0.3:1/two"
)

// Guards against a scheduler that is cut off from the store and from its successor,
// and goes on with the workers on its side.
func TestAuthorityEndsWithoutStoreAndFollowers(t *testing.T) {
	q := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	a := newAuthority(start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	a.confirm(at(time.Second), at(time.Second))
	// A scheduler that has heard of no other daemon may be cut off from all.
	q.Assert(a.until(at(time.Minute)), qt.Equals, at(time.Second+tanagerdispatch.RenewalWindow))
	first := a.nextBroadcast(at(3 * time.Second))
	a.followedBy(peerOne, first, at(4*time.Second))
	a.followedBy(peerTwo, 0, at(4*time.Second))
	// The second daemon has not received a broadcast, so it may not follow.
	q.Assert(a.until(at(5*time.Second)), qt.Equals, at(time.Second+tanagerdispatch.RenewalWindow))
	a.followedBy(peerTwo, first, at(5*time.Second))
	q.Assert(a.until(at(5*time.Second)), qt.Equals, at(3*time.Second+tanagerdispatch.RenewalWindow))
	// A heartbeat that was delayed proves no more than its broadcast.
	a.followedBy(peerOne, first, at(20*time.Second))
	q.Assert(a.until(at(20*time.Second)), qt.Equals, at(3*time.Second+tanagerdispatch.RenewalWindow))
	second := a.nextBroadcast(at(20 * time.Second))
	a.followedBy(peerOne, second, at(21*time.Second))
	a.exited(peerTwo)
	// Its next process may have been elected until the store confirms that it was not.
	q.Assert(a.until(at(21*time.Second)), qt.Equals, at(3*time.Second+tanagerdispatch.RenewalWindow))
	a.confirm(at(4*time.Second), at(21*time.Second))
	q.Assert(a.until(at(21*time.Second)), qt.Equals, at(20*time.Second+tanagerdispatch.RenewalWindow))
	a.followedBy("10.0.0.2:1/again", second, at(22*time.Second))
	q.Assert(a.followers, qt.HasLen, 1)
}

// At the start of a term not all daemons are known, and only the store counts.
func TestAuthorityOfNewTermNeedsTheStore(t *testing.T) {
	q := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	a := newAuthority(start)
	now := start.Add(electorateDelay - time.Millisecond)
	q.Assert(a.until(now), qt.Equals, time.Time{}.Add(tanagerdispatch.RenewalWindow))
	a.confirm(start, now)
	q.Assert(a.until(now), qt.Equals, start.Add(tanagerdispatch.RenewalWindow))
}

// A daemon that has been silent for long is forgotten only while the store confirms
// the lease: before, it may be on the other side of a partition.
func TestSilentFollowerIsForgottenWithTheStore(t *testing.T) {
	q := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	a := newAuthority(start)
	a.followedBy(peerOne, a.nextBroadcast(start), start)
	later := start.Add(2 * followerRetention)
	q.Assert(a.until(later), qt.Equals, start.Add(tanagerdispatch.RenewalWindow))
	a.confirm(later, later)
	q.Assert(a.followers, qt.HasLen, 0)
}

// A heartbeat counts for the epoch whose broadcast it names.
func TestHeartbeatOfFormerEpochProvesNothing(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(2)
	number := c.authority.nextBroadcast(c.timer.Now())
	c.receiveHeartbeat(peerOne, heartbeat{Followed: followedBroadcast{
		Epoch:  1,
		Number: number,
	}})
	qt.Assert(t, c.authority.followers[peerOne].followedAt.IsZero(), qt.IsTrue)
	c.receiveHeartbeat(peerOne, heartbeat{Followed: followedBroadcast{
		Epoch:  2,
		Number: number,
	}})
	qt.Assert(t, c.authority.followers[peerOne].followedAt, qt.Equals, c.timer.Now())
}

// Guards against a daemon that learns late of its election, after a pause in which
// another was elected, and begins a term on what it has read meanwhile.
func TestTakeoverEndsIfAnotherWasElected(t *testing.T) {
	c := newTestControl(t)
	c.applyLeaderItem(epochItem(1, 10))
	c.applyLeaderItem(holderItem(self, 1, 10))
	q := qt.New(t)
	q.Assert(c.loading, qt.IsTrue)
	storedStateLoaded{
		term: c.term,
		state: &storedState{leader: []tanagerport.Item{
			epochItem(2, 20),
			holderItem("10.0.0.2:1/other", 2, 20),
		}},
	}.apply(c)
	q.Assert(c.cell, qt.IsNil)
	q.Assert(c.leader.holder.Member, qt.Equals, "10.0.0.2:1/other")
}

// Guards against a scheduler that was paused after a write of its was answered, and takes
// the end of the pause for the time of the write.
func TestWriteBeforeAPauseConfirmsNothingLater(t *testing.T) {
	c := newTestControl(t)
	c.becomeScheduler(1)
	sentAt := c.timer.Now()
	written := progressWritten{
		term:   c.term,
		sentAt: sentAt,
		took:   20 * time.Millisecond,
	}
	c.advance(10 * time.Second)
	c.writer.progressInFlight++
	written.apply(c)
	qt.Assert(t, c.authority.confirmedAt, qt.Equals, sentAt)
}

// Guards against a successor that has never heard of a daemon which its predecessor knew,
// and which is elected while the two cannot reach each other.
func TestElectorateOfPredecessorCounts(t *testing.T) {
	c := newTestControl(t)
	c.applyLeaderItem(epochItem(2, 20))
	c.applyLeaderItem(holderItem(self, 2, 20))
	start := c.timer.Now()
	storedStateLoaded{
		term: c.term,
		state: &storedState{
			daemons:     []string{peerOne, peerTwo, self},
			requestedAt: start,
		},
	}.apply(c)
	q := qt.New(t)
	q.Assert(c.authority.electorate(), qt.DeepEquals, []string{peerOne, peerTwo})
	c.receiveHeartbeat(peerOne, heartbeat{Followed: followedBroadcast{
		Epoch:  2,
		Number: c.authority.nextBroadcast(start),
	}})
	c.advance(time.Minute)
	q.Assert(c.authority.until(c.timer.Now()), qt.Equals, start.Add(tanagerdispatch.RenewalWindow))
}

// The stored electorate may name a process that another has replaced since.
func TestStoredElectorateKeepsNoFormerProcess(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := newAuthority(now)
	a.followedBy("10.0.0.2:1/again", 0, now)
	a.addElectorate([]string{peerOne, peerTwo, self}, self, now)
	qt.Assert(t, a.electorate(), qt.DeepEquals, []string{"10.0.0.2:1/again", peerTwo})
}
