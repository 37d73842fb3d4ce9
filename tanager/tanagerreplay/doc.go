// Package tanagerreplay is a discrete-event simulator that runs a synthetic
// workload against a scheduler in virtual time.
//
// A Load describes a fleet, kinds of jobs and bursts. Play generates the same
// jobs for each scheduler from the load's seed, runs them on simulated workers
// and reports the value of the jobs that completed on time or late, rejected
// jobs, wait times and wasted core-seconds. The simulated workers accept every
// start; Report.OvercommittedStarts counts those that exceeded the worker's
// free resources.
//
// Two schedulers are provided: Dispatch, the cell of package tanagerdispatch,
// and Naive, a baseline that accepts every job and starts tasks first come,
// first served on the first worker on which they fit. The ratio between the
// two in one run measures how much the decisions of the cell gain under a load.
//
// # Usage
//
//	load := tanagerreplay.Ladder()
//	load.Bursts = []tanagerreplay.Burst{{Kind: 0, From: 4 * time.Second, For: 4 * time.Second, Factor: 2}}
//	cell := tanagerreplay.Play(load, tanagerreplay.NewDispatch(load))
//	baseline := tanagerreplay.Play(load, tanagerreplay.NewNaive(load))
//	fmt.Println(cell.Worth() / baseline.Worth())
package tanagerreplay
