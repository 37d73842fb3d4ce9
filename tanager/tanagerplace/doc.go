// Package tanagerplace chooses workers for tasks and keeps account of what each
// worker holds.
//
// # Account
//
// A task holds the larger of what it declared and what it was seen to use. A
// worker is never given a task that does not fit into its capacity less what
// its tasks hold.
//
// # Choice
//
// Workers of one failure domain are indexed in buckets by their free
// accelerators, processors and memory, on logarithmic scales. Dense placement,
// for batch work and gangs, visits the buckets from the fullest workers up and
// takes the best fit of the first bucket that has one. Spread placement, for
// services, first takes the failure domain with the fewest tasks of the same
// job. The number of buckets is fixed, so the cost of a decision hardly grows
// with the fleet. A small fleet is compared whole, which packs more tightly.
//
// # Health
//
// A worker on which several different jobs fail in a row is isolated for a
// time that doubles with each isolation, so that a worker that fails everything
// does not win every placement by being idle.
//
// # Usage
//
//	fleet := tanagerplace.New(tanagerplace.Settings{})
//	fleet.SetWorker(tanagerplace.Worker{Name: "w1", Capacity: capacity})
//	name, ok := fleet.Choose(tanagerplace.Demand{Resources: r, Policy: tanagerplace.Dense}, now)
//	fleet.Hold(name, tanagerplace.Holding{Task: id, Declared: r})
//
// A Fleet is not safe for concurrent use; the control goroutine owns it.
package tanagerplace
