// Package tanagercell is the daemon that schedules the jobs of a cell on workers.
//
// All daemons of a cell are equal. Each one accepts jobs from callers, stores
// them, reports their state, and calls the advice service when the scheduler
// asks it to. One of them, the scheduler, is the elected leader. It holds the
// cell's state (package tanagerdispatch) and sends orders to the workers. A
// leased key in the store names the scheduler. The epoch, which increases with
// each election, fences its orders and its writes.
//
// # State in the store
//
//	tanager/lead/epoch         current epoch
//	tanager/lead/holder        current scheduler, leased
//	tanager/lead/roster        workers that a successor has to account for
//	tanager/intake/job/ID      a job as it was accepted; written once
//	tanager/intake/cancel/ID   a cancellation
//	tanager/outcome/ID         a job's progress and end
//
// The transaction that accepts a job requires the epoch that the job's record
// names. A scheduler's writes require its own epoch, so that a scheduler that
// has been replaced cannot change anything.
//
// # Goroutines
//
// One goroutine owns the control state. Calls to the store, the workers and the
// advice service run on their own goroutines and return their results as
// events. Callers' requests run on the goroutines of the HTTP server.
//
// # Usage
//
//	daemon := tanagercell.New(settings, ports, timer, metrics, log)
//	go daemon.Run()
//	http.Serve(listener, tanagerplatform.NewCallerHandler(daemon.Frontend()))
package tanagercell
