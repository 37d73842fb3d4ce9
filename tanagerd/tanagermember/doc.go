// Package tanagermember keeps a daemon's membership: its lease and entry in the
// platform's store, the watch of the store, and the watch of the platform's
// list of VMs. What it learns goes to the control goroutine as messages.
//
// The lease is renewed only while the watch is answered, so a daemon that holds
// its lease also knows a recent shard map. A daemon whose lease has lapsed reads
// the whole state again before it joins anew.
//
// # Usage
//
//	keeper := tanagermember.New(settings, tanagermember.Dependencies{...})
//	go keeper.KeepLease(ctx)
//	go keeper.WatchStore(ctx)
//	go keeper.WatchVMs(ctx)
package tanagermember
