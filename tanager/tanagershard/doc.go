// Package tanagershard holds the map that names one owner for each shard.
//
// VMs and branches are hashed to a fixed number of shards by their names. The map is
// one value in the platform's store that changes only by compare-and-swap. Each
// shard has an epoch that rises whenever its owner changes; workers refuse
// commands of a lower epoch, so an owner that was paused cannot act after it
// was replaced.
//
// A shard whose owner's lease has lapsed is taken over: any daemon may write
// the map that gives the orphaned shards to the daemons with the fewest. A
// shard moves for balance, or because its owner stops, only by the owner's own
// write. After a takeover the old owner stays listed as unconfirmed until the
// promises that it may still hold have passed; after a hand-over nothing has to
// be waited for.
//
// # Usage
//
//	next, changed := current.TakeOver(present, takers)
//	if changed {
//		entry, err := store.Swap(ctx, tanagerstore.Swap{Key: tanagershard.Key, Value: tanagerwire.Encode(next), Expected: revision})
//	}
package tanagershard
