// Package tanagercheck explores takeovers. A walk runs the real daemons of a cell
// against a model of the platform in virtual time, with faults that a seed chooses,
// and checks the rules at the workers, the store and the callers.
//
// The plan of a walk is a function of its seed: the jobs, the faults with their
// times, and the fate of each call. A fault can be left out of a plan without a
// change of the others, so that a failing walk can be shrunk.
//
// # Usage
//
// A walk has to run in a bubble of testing/synctest:
//
//	synctest.Test(t, func(*testing.T) {
//		result = tanagercheck.Run(tanagercheck.NewPlan(seed))
//	})
package tanagercheck
