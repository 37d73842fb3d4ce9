// Package tanagerplace selects workers for tasks and tracks the resources
// allocated on each worker.
//
// # Accounting
//
// A task is charged the larger of its declared and its observed resources, per
// resource. A task is placed only on a worker whose free capacity, the capacity
// less the allocations of its tasks, covers the task's demand.
//
// # Selection
//
// The workers of a failure domain are indexed in buckets by their free
// accelerators, CPU and memory, on logarithmic scales. The policy BinPack, for
// batch jobs and gangs, visits the buckets from the least to the most free
// capacity and takes the best fit of the first bucket that has one. The policy
// Spread, for services, first selects the failure domain with the fewest tasks
// of the same job. The number of buckets is fixed, so the cost of a decision
// hardly grows with the fleet. In a small fleet BinPack compares all workers,
// which packs more tightly.
//
// # Health
//
// A worker on which several different jobs fail in a row is isolated for a time
// that doubles with each isolation. Otherwise a worker that fails every task
// would always be idle and attract every placement.
//
// # Usage
//
//	fleet := tanagerplace.New(tanagerplace.Settings{})
//	fleet.SetWorker(tanagerplace.Worker{Name: "w1", Capacity: capacity})
//	fleet.SetSchedulable("w1", true)
//	name, ok := fleet.SelectWorker(tanagerplace.Demand{Resources: r, Policy: tanagerplace.BinPack}, now)
//	fleet.Allocate(name, tanagerplace.Allocation{Task: id, Declared: r})
//
// A Fleet is not safe for concurrent use; the control goroutine owns it.
package tanagerplace
