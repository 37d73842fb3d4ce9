// Package tanagerstore is the client of the platform's key-value service.
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
// Values are base64 strings of up to 1 MiB. The revision of the store rises by
// one with each change; the revision of an entry is that of its last change.
// A swap takes effect if the entry's revision equals expected, where 0 means
// that the key must be absent. Deleted entries are reported by a watch with
// "deleted" set. A watch that cannot reach back to "after" answers with reset
// set and the whole prefix. Status 503 means that the call took no effect.
//
// The rest of the project sees only the Store interface, so another protocol
// replaces one file.
//
// # Lost answers
//
// A swap whose answer is lost may have taken effect. Swap then reads the key
// back and compares the whole value with its own: values that can be written
// by more than one daemon carry the writer and a sequence, so equal bytes mean
// that it was this write. If the key still has the expected revision the same
// swap is sent again, which is safe because at most one of the two can take
// effect. If somebody else has changed the key since, the outcome is reported
// as Ambiguous and never guessed.
//
// # Usage
//
//	store := tanagerstore.NewClient(tanagerstore.Settings{Address: address, ...}, timer)
//	entry, err := store.Swap(ctx, tanagerstore.Swap{Key: "a", Value: v, Expected: revision})
package tanagerstore
