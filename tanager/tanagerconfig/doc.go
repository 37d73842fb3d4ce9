// Package tanagerconfig holds the configuration that operators set: the central
// limits, the rules of the branches and the exceptions granted to branches.
//
// The configuration is an immutable value; applying an Intent returns the next
// one. Each accepted intent is one record of a journal, so revisions increase
// monotonically and a revision identifies the same state on every daemon. An
// intent is atomic: it applies completely, or returns a failure and changes
// nothing.
//
// Exceptions carry the wall-clock times between which they apply. Effective
// evaluates them, so an exception expires without a change of the configuration.
//
// # Usage
//
//	next, failure := state.Apply(intent, now)
//	rules, ok := next.Effective("rosenheim", now)
package tanagerconfig
