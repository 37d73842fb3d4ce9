// Package tanagerstore is a client of the platform's key-value service.
//
// # Assumed protocol
//
// The service speaks HTTP with JSON bodies. Every call is a POST:
//
//	/v1/read          {"prefix"}                        -> {"revision","entries"}
//	/v1/swap          {"key","value","expected","lease","delete"} -> {"swapped","revision","current"}
//	/v1/lease/grant   {"ttl_ms"}                        -> {"lease"}
//	/v1/lease/renew   {"lease"}                         -> {"alive"}
//	/v1/lease/revoke  {"lease"}                         -> {}
//	/v1/watch         {"prefix","after","wait_ms"}      -> {"revision","entries","reset"}
//
// Values are base64 strings of up to 1 MiB. Each change increments the revision of
// the store by one; the revision of an entry is that of its last change. A swap
// takes effect if the entry's revision equals expected, where 0 means that the key
// must be absent. A watch reports deleted entries with "deleted" set. If the
// changes since "after" are no longer available, a watch returns all entries of
// the prefix with reset set. Status 503 means that the call took no effect.
//
// The rest of the project uses only the Store interface, so that supporting
// another protocol takes another implementation of it.
//
// # Lost responses
//
// A swap whose response is lost may have taken effect. Client.Swap then sends the
// same swap again, which is safe because at most one of the two can take effect. A
// conflict returns the current entry, whose value is compared with the written
// one: values that more than one daemon can write carry the writer and a sequence
// number, so equal bytes mean that the first swap took effect. If another writer
// has changed the key since, or if the context ends first, the outcome is unknown
// and reported as Ambiguous.
//
// # Usage
//
//	store := tanagerstore.NewClient(tanagerstore.Settings{Address: address, ...}, timer)
//	entry, err := store.Swap(ctx, tanagerstore.Swap{Key: "a", Value: v, ExpectedRevision: revision})
package tanagerstore
