// Package tanagerreplay is a discrete-event simulator that runs a synthetic
// workload against a scheduler in virtual time.
//
// A Load describes a fleet, kinds of jobs and bursts. Simulate generates the same
// jobs for each scheduler from the load's seed, runs them on simulated workers
// and reports the value of the jobs that completed on time or late, rejected
// jobs, wait times and wasted core-seconds. The simulated workers accept every
// start; Report.OvercommittedStarts counts those that exceeded the worker's
// free capacity.
//
// Two schedulers are provided: CellScheduler, which is the cell of package
// tanagerdispatch, and Baseline, which accepts every job and starts tasks first
// come, first served on the first worker on which they fit. The ratio of their
// values under the same load measures how much the cell's decisions gain.
//
// # Usage
//
//	load := tanagerreplay.LadderLoad()
//	load.Bursts = []tanagerreplay.Burst{{Kind: 0, Start: 4 * time.Second, Duration: 4 * time.Second, Factor: 2}}
//	cell := tanagerreplay.Simulate(load, tanagerreplay.NewCellScheduler(load))
//	baseline := tanagerreplay.Simulate(load, tanagerreplay.NewBaseline(load))
//	fmt.Println(cell.ValueRatio() / baseline.ValueRatio())
package tanagerreplay
