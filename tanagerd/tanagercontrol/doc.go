// Package tanagercontrol implements the control loop of a daemon: one goroutine
// that owns all scheduling state and advances it on each tick.
//
// # State tables and stages
//
// Members, shards, targets, workers, requests, jobs and gangs are rows in
// tables of the Control. Messages from other goroutines and daemons change
// rows. On each tick the stages of the loop run over the tables in a fixed
// order: leases, shard map, takeover confirmations, request coordination,
// target dispatch, worker leases, journals, task offers, gangs, placement and
// gossip. No handler and no stage blocks: every call to the store, a VM or a
// peer is started through Effects and its result comes back as a message.
//
// # Leases
//
// A daemon dispatches to targets and renews task leases only while it holds its
// store lease, or a quorum lease: promises of a quorum of the roster that it
// may go on during an outage of the store (see package tanagerlease). Workers
// also check the epoch of the shard. Responses about jobs contain only what is
// in the job journal, whose head fences a previous owner.
//
// # Usage
//
//	control := tanagercontrol.New(settings, tanagercontrol.Dependencies{...})
//	control.Run(ctx, messages)
//
// Tests call Handle and Step with a manual timer instead of Run.
package tanagercontrol
