// Package tanagerjob holds the jobs of one shard: what was accepted, how far
// each task has come, and the journal entries from which a new owner rebuilds
// the table.
//
// # Durability
//
// A job is accepted once its Accept entry is in the journal, and a task has
// ended once its End entry is. Everything in between (offered, running) is kept
// in memory only; a new owner learns it from the owners of the workers. A task
// that is not idempotent has an Attempt entry written before it is first
// offered: if a new owner finds the entry but no word of the task from any
// worker, the task may have run, and its outcome is Unknown.
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
