// Package tanagerkv is a stand-in for the platform's key-value service, for
// tests and demonstrations. It keeps everything in memory.
//
// It follows the protocol that package tanagerstore documents and adds faults
// that a test can order with POST /control/faults:
//
//	{"outage": true}        every call is refused with status 503
//	{"slow_ms": 500}        every call is held for half a second
//	{"lose_answers": 3}     the next three swaps take effect but go unanswered
//	{"refuse": ["d1"]}       calls with this User-Agent are refused
//
// GET /control/calls returns the number of calls by kind and the highest number
// in any one second. Leases do not lapse during an outage, as those of a
// replicated service that has lost its leader do not.
//
// # Usage
//
//	server := tanagerkv.New(tanagertimer.NewReal())
//	http.ListenAndServe(address, server.Handler())
package tanagerkv
