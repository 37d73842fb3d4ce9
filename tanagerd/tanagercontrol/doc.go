// Package tanagercontrol is the control thread of a daemon: one goroutine that
// owns all control tables and runs the systems over them each tick.
//
// # Tables and systems
//
// Entities (members, shards, targets, workers, requests, jobs, gangs) are rows
// in tables of the Control. Messages from other goroutines and daemons change
// rows; on each tick the systems run in a fixed order over them: rights, shard
// map, gates, request homes, target dispatch, worker leases, journals, task
// offers, gangs, placement, gossip. Nothing here blocks: every call to the
// store, a VM or a peer is started through Effects and comes back as a message.
//
// # Rights
//
// A daemon dispatches to targets and renews task leases only while it holds its
// store lease or a majority of the roster has promised that it may go on; see
// package tanagerlease. Workers check the shard's epoch besides. Everything
// that a caller is told about a job is in the job journal, whose head fences an
// owner that was replaced.
//
// # Usage
//
//	control := tanagercontrol.New(settings, tanagercontrol.Dependencies{...})
//	control.Run(ctx, messages)
//
// Tests call Handle and Step with a manual timer instead of Run.
package tanagercontrol
