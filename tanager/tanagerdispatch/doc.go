// Package tanagerdispatch decides which task runs on which worker, when, and
// which job is turned away. It does no I/O.
//
// A Cell is the control state of one partition: tables of queues, jobs, steps
// and workers. Events change the tables; Tick runs the systems over them and
// leaves orders in the outbox, which the caller carries out. All methods are for
// one goroutine, and all times come from the caller.
//
// The decisions and the load that each answers:
//
//   - order.go: more work than room; what can still meet its objective goes
//     first, by least slack.
//   - place.go: tasks of unlike sizes on workers of unlike speed.
//   - gang.go, reserve.go: gangs that need room at one moment.
//   - admit.go: a flood of one queue; jobs that would wait too long are turned
//     away with the time after which they fit.
//   - health.go: workers that fail, stall or slow down what they run.
//   - advice.go: steps that only some workers may run, which one slow service
//     knows.
//   - drain.go: workers that are taken away.
//   - wave.go: upkeep of machines under running work.
//   - pace.go: tasks that fill beside tasks that serve.
//   - predecessor.go: a change of scheduler while workers cannot be reached.
//
// # Safety
//
// A task has at most one attempt. An attempt ends only when its worker lists the
// end, when a worker that has answered a stop no longer shows it, when another
// incarnation of the worker appears, or when the worker's lease has certainly
// run out. Room is taken until then. Orders carry the scheduler's epoch, which
// workers check. Ends are acknowledged only once Written has been called for the
// progress that holds them.
//
// # Usage
//
//	cell := tanagerdispatch.New(settings, epoch, now)
//	cell.Configure(configuration)
//	cell.SetWorkers(now, entries)
//	cell.AddJob(now, record, nil)
//	cell.Tick(now)
//	for _, start := range cell.TakeOrders().Starts {
//		// send it and report the answer with cell.StartAnswered
//	}
package tanagerdispatch
