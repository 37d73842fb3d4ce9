// Package tanagerjournal keeps an append-only sequence of records in the
// platform's key-value service, with compare-and-swap of single keys only.
//
// A journal has two keys. The head holds the number of the last record and the
// most recent records; the snapshot holds the state that the older records add
// up to. An append is one compare-and-swap of the head, so of two writers that
// race one wins and the other is told; a writer that has been replaced cannot
// append once its successor has appended. When the head's window is full the
// writer first stores a snapshot and then starts a new window. Sequence numbers
// only rise and are never used twice.
//
// Every head carries its writer and a number of the writer's, so that a write
// whose answer was lost is recognised when it is read back.
//
// # Usage
//
//	journal := tanagerjournal.New(store, tanagerjournal.Settings{Prefix: "tanager/config", Writer: id, Window: 16, WindowBytes: 64 << 10})
//	recovery, err := journal.Load(ctx)
//	// apply recovery.Snapshot and then recovery.Records
//	err = journal.Append(ctx, [][]byte{record}, nil)
//
// A reader that does not write uses a Follower.
package tanagerjournal
