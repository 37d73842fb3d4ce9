// Package tanagerjournal keeps an append-only sequence of records in the
// platform's key-value service, with compare-and-swap of single keys only.
//
// A journal has two keys. The head holds the sequence number of the last record
// and a window of the most recent records; the snapshot holds the state that
// results from the older records. An append is one compare-and-swap of the head:
// of two concurrent writers one succeeds and the other gets Replaced, and a
// replaced writer cannot append once its successor has appended. When the window
// is full the writer first stores a snapshot and then starts a new window.
// Sequence numbers increase monotonically and are never reused.
//
// Every head carries its writer's name and a sequence number of that writer's
// writes, so that a write whose response was lost is recognised when the head is
// read back.
//
// # Usage
//
//	journal := tanagerjournal.New(store, tanagerjournal.Settings{
//		Prefix:           "tanager/config",
//		Writer:           id,
//		MaxWindowRecords: 16,
//		MaxWindowBytes:   64 << 10,
//	})
//	recovery, err := journal.Load(ctx)
//	// apply recovery.Snapshot and then recovery.Records
//	err = journal.Append(ctx, [][]byte{record}, nil)
//
// A process that only reads uses a Follower.
package tanagerjournal
