// Package tanagerjob holds the jobs of one shard: their specifications, the
// states of their tasks, and the journal entries from which a successor rebuilds
// the table.
//
// # Durability
//
// A job is accepted once its Accept entry is in the journal, and a task has
// ended once its End entry is. The states in between (offered, running) are
// kept in memory only; a successor recovers them from the owners of the
// workers. For a task that is not idempotent, an Attempt entry is written
// before the task is first offered. If a successor finds that entry but no
// worker reports the task, the task may have run, and its outcome is Unknown.
//
// # Usage
//
//	table := tanagerjob.NewTable()
//	table.Restore(snapshot)
//	table.Apply(entry)
//	snapshot := table.Snapshot(now)
//
// A Table is not safe for concurrent use; the control goroutine owns it.
package tanagerjob
