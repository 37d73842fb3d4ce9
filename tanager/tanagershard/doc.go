// Package tanagershard holds the shard map, which assigns each shard to one
// owner.
//
// VMs and branches are hashed by name to a fixed number of shards. The map is a
// single value in the platform's store and changes only by compare-and-swap.
// Each shard has an epoch that increases with every change of owner. The epoch
// serves as a fencing token: workers reject commands of a lower epoch, so an
// owner that was paused cannot act after it has been replaced.
//
// A shard whose owner's lease has expired is taken over: any daemon may write a
// map that assigns the orphaned shards to the daemons with the fewest shards.
// Otherwise a shard moves, for balance or because its owner stops, only by a
// handover that its owner writes. After a takeover the previous owner stays
// listed as unconfirmed until the promises that it may still hold have expired;
// after a handover there is nothing to wait for.
//
// # Usage
//
//	next, changed := current.TakeOver(present, takers)
//	if changed {
//		entry, err := store.Swap(ctx, tanagerstore.Swap{
//			Key: tanagershard.Key, Value: tanagerwire.Encode(next), Expected: revision,
//		})
//	}
package tanagershard
