// Package tanagerlease decides whether a daemon may act as the owner of its
// shards, and until when. All of it is computed on the daemon's own monotonic
// clock and without I/O.
//
// # Store lease
//
// StoreLease tracks the daemon's lease in the platform's store. It is valid for
// the lease's TTL less a margin for clock drift, counted from the time at which
// the last successful renewal was sent. The store deletes the lease only after
// its full TTL, so the owner stops acting before any other daemon can see the
// lease expire.
//
// # Quorum lease and takeover
//
// While the store is unavailable no store lease can be renewed. A QuorumLease
// lets an owner continue as long as a quorum of the roster of daemons promises,
// for a short time each, that it has not confirmed a takeover from this owner. A
// PromiseGrantor is the other side: it grants promises, and it confirms a
// takeover by refusing all further promises to the previous owner and reporting
// how long the outstanding one remains valid. A TakeoverQuorum holds back the
// successor: it may use resources that cannot be fenced only once a quorum of
// the same roster has confirmed the takeover and the outstanding promises of
// that quorum have expired. Any two quorums of a roster share a member, so the
// previous owner and its successor never act at the same time.
//
// The roster changes by one daemon at a time, so that quorums of successive
// rosters intersect too.
//
// # Usage
//
//	lease := tanagerlease.NewStoreLease(tanagerlease.StoreLeaseSettings{
//		TTL:         3 * time.Second,
//		DriftMargin: 300 * time.Millisecond,
//	})
//	lease.RecordRenewal(sentAt)
//	if lease.Valid(timer.Now()) {
//		// dispatch to a target
//	}
package tanagerlease
