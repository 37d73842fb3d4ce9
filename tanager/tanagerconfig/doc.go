// Package tanagerconfig holds the rules that operators set: the limits of the
// centre, the branches, and the exceptions that branches were granted.
//
// The configuration is a value that changes only by applying an Intent. Each
// accepted intent is one record of a journal, so revisions only rise and a
// revision means the same state on every daemon. An intent either applies whole
// or returns a failure and changes nothing.
//
// Exceptions carry the wall-clock times between which they are in force;
// Effective evaluates them, so the end of an exception needs no change.
//
// # Usage
//
//	next, failure := state.Apply(intent, now)
//	rules, ok := next.Effective("rosenheim", now)
package tanagerconfig
