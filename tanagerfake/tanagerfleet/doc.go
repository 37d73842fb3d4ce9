// Package tanagerfleet is a stand-in for the platform's VMs: the lagging list,
// workers and targets, each with a listener of its own.
//
// It follows the protocols that package tanagerplatform documents. A test
// orders faults with POST /control/vms/{name} and a body such as
//
//	{"state": "leaving"}  the list shows the VM as leaving, after its lag
//	{"dead": true}        the VM closes its connections and stops its work
//	{"paused": true}      the VM answers nothing until it is set to false
//	{"reset": true}       the VM's connections break once, its work goes on
//	{"black_hole": true}  a worker fails each task as soon as it starts
//
// An observer records what ran where, apart from what the system believes, and
// GET /control/observations returns the counts and every violation that it saw:
// a VM given more than it holds, one task or request in two places, a
// non-idempotent request run twice, new work on a VM that has been leaving for
// longer than the grace time.
//
// # Usage
//
//	fleet, err := tanagerfleet.New(settings, tanagertimer.NewReal())
//	http.ListenAndServe(address, fleet.Handler())
package tanagerfleet
