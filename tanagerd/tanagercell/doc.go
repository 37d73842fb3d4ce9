// Package tanagercell is the daemon that schedules jobs of a cell on workers.
//
// All daemons of a cell are equal. Each one takes jobs of callers, stores them,
// answers for their state, and asks for advice when told to. One of them, the
// scheduler, holds the cell's tables (package tanagerdispatch) and gives orders
// to the workers. It is elected through the store: a key with a lease names it,
// and an epoch that rises with each election fences its orders and its writes.
//
// # State in the store
//
//	tanager/lead/epoch         number of the present scheduler's epoch
//	tanager/lead/holder        the present scheduler, under a lease
//	tanager/lead/roster        workers that a successor has to account for
//	tanager/intake/job/ID      a job as it was accepted; written once
//	tanager/intake/cancel/ID   a cancellation
//	tanager/outcome/ID         a job's progress and end
//
// A job is accepted on the condition that the epoch is still the one that its
// record names. A scheduler writes outcomes on the condition that its epoch is
// the present one, so one that has been replaced changes nothing any more.
//
// # Goroutines
//
// One goroutine owns the control state. Calls to the store, the workers and the
// advice service run on goroutines of their own and bring their results back as
// events. Callers' requests run on those of the HTTP server.
//
// # Usage
//
//	daemon := tanagercell.New(settings, ports, timer, log)
//	go daemon.Run(ctx)
//	http.Serve(listener, platformEntry(daemon.Desk()))
package tanagercell
