// Package tanagerlease decides which rights a daemon holds and when they
// lapse. All of it is computed on the daemon's own monotonic clock and without
// I/O.
//
// # Rights
//
// Right is the daemon's lease in the platform's store. It holds for the lease's
// length less a margin for clock drift, counted from before the last successful
// renewal was sent. The store deletes the lease only after its full length, so
// the right has lapsed before anybody else can see the lease gone.
//
// While the store is out nobody can renew. Grace lets an owner go on as long as
// a majority of the roster of daemons promises, for a short time each, that it
// has not confirmed a takeover from this owner. Witness is the other side: it
// gives promises, and it confirms a takeover by refusing all further promises
// and telling how long the outstanding one still runs. A new owner may use what
// cannot be fenced once a majority of the same roster has confirmed and the
// longest outstanding promise has passed. Any two majorities of a roster share
// a member, so an old and a new owner never hold the right together.
//
// The roster changes by one daemon at a time, which keeps majorities of
// neighbouring rosters intersecting.
//
// # Usage
//
//	right := tanagerlease.NewRight(tanagerlease.RightSettings{TTL: 3 * time.Second, Margin: 300 * time.Millisecond})
//	right.Renewed(sentAt)
//	if right.Holds(timer.Now()) {
//		// dispatch to a target
//	}
package tanagerlease
