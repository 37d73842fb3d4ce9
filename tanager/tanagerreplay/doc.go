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
// A Fault strikes workers, the store or the scheduler for a time. A Pattern is a
// named set of bursts and faults, read from YAML, that can be applied to any load;
// Patterns returns those that come with the package. DrawShape draws a deployment
// from a seed, and RunExperiment plays patterns with several policies on such
// deployments. Rejected callers come back as long as their deadline allows, not
// later than Retry-After asks them to.
//
// The simulation knows no leases of workers and no epochs: responses to a
// scheduler that has been replaced are dropped instead. A completed job counts
// from the end of its last task, whether that could be stored or not.
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
//
//	patterns, err := tanagerreplay.Patterns()
//	results := tanagerreplay.RunExperiment(patterns, tanagerreplay.Policies(), 1, 8)
package tanagerreplay
