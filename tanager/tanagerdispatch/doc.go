// Package tanagerdispatch implements the scheduling decisions of a cluster
// scheduler: which task runs on which worker and when, and which jobs are
// rejected. It performs no I/O.
//
// A Cell holds the control state of one partition: queues, jobs, steps, workers
// and maintenance waves. Events change that state. Tick makes the decisions that
// follow from it and issues orders, which the caller carries out. All methods
// must be called by one goroutine, and all times are passed in by the caller.
//
// The decisions are:
//
//   - schedule.go: order of steps by tier and least slack. Under overload, steps
//     that can still meet their objective precede those that cannot, and late
//     ones of urgent queues precede those with time to spare.
//   - expired.go: turns of the steps whose results are of no use any more, in a
//     backlog that is too long for one tick.
//   - place.go: placement of single tasks of different sizes on workers of
//     different speeds.
//   - gang.go, reserve.go: gang scheduling, reservations and backfilling.
//   - assembly.go: aborting gangs whose members do not all come in time.
//   - admission.go: admission control. The waiting work and the observed starts
//     are reported to package tanageradmission, which decides which jobs are
//     rejected and after which time to retry.
//   - health.go: avoidance of workers that fail, stall or slow down their runs.
//   - crash.go: isolation of tasks that may have crashed their workers, and giving
//     up those that have.
//   - advice.go: placement advice for steps that only some workers may run, from
//     an external service of limited throughput.
//   - drain.go: stopping of runs on workers that are about to terminate.
//   - wave.go: maintenance of machines in waves while tasks run.
//   - throttle.go: throttling of best-effort tasks next to latency-sensitive ones.
//   - predecessor.go: takeover from another scheduler while workers may be
//     unreachable.
//
// # Safety
//
// A task has at most one attempt at a time. An attempt ends only when its worker
// reports the end, when a worker that has accepted a stop no longer shows the
// run, when the worker has been replaced by another incarnation, or when the
// worker's lease has certainly expired. Its capacity stays allocated until then.
// The members of a gang's run are stopped together: when one of them is stopped,
// ends early or does not come in time, and before the scheduler hands over.
// Orders carry the scheduler's epoch as a fencing token, which workers check.
// Ends are acknowledged only after the caller has confirmed that the progress
// that contains them is stored.
//
// # Usage
//
//	cell := tanagerdispatch.New(settings, epoch, now)
//	cell.Configure(configuration)
//	cell.SetWorkers(now, entries)
//	cell.AddJob(now, record, nil)
//	cell.Tick(now)
//	for _, start := range cell.TakeOrders().Starts {
//		// Send it and pass the result to cell.HandleStartResponse.
//	}
package tanagerdispatch
