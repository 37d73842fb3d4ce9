// Package tanagermember maintains a daemon's membership of its cell: the store
// lease and the member entry in the platform's store, the watch of the store,
// and the watch of the platform's list of VMs. It sends all changes to the
// control goroutine as messages.
//
// The store lease is renewed only while the store responds to the watch, so a
// daemon with a valid lease also has a recent shard map. After its lease has
// expired a daemon reads the complete state again before it rejoins.
//
// # Usage
//
//	membership := tanagermember.New(settings, tanagermember.Dependencies{...})
//	go membership.MaintainLease(ctx)
//	go membership.WatchStore(ctx)
//	go membership.WatchVMs(ctx)
package tanagermember
