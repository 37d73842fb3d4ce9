// Package tanagerfleet is a fake of the platform's VMs: the VM list, which lags
// behind the VMs, the workers and the targets, each VM with a listener of its
// own.
//
// It implements the protocols that package tanagerplatform documents. A test
// injects faults with POST /control/vms/{name} and a body such as
//
//	{"state": "leaving"}  the list shows the VM as leaving, after its lag
//	{"dead": true}        the VM closes its connections and stops its tasks
//	{"paused": true}      the VM does not respond until this is set to false
//	{"reset": true}       the VM's connections are closed once, its work continues
//	{"black_hole": true}  a worker fails each task as soon as it starts
//
// An Observer records what ran where, independently of the scheduler's state. GET
// /control/observations returns its counts and the violations that it detected:
// a VM with more work than its capacity or slots, a task or a request that ran in
// two places at once, a non-idempotent request that ran twice, new work on a VM
// that had been leaving for longer than the grace time.
//
// # Usage
//
//	fleet, err := tanagerfleet.New(settings, tanagertimer.NewReal())
//	go fleet.Run(ctx)
//	http.ListenAndServe(address, fleet.Handler())
package tanagerfleet
