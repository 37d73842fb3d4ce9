// Package tanagerkv is a fake of the platform's key-value service for tests and
// demonstrations. It keeps all data in memory.
//
// It implements the protocol that package tanagerstore documents, and faults that
// a test can inject with POST /control/faults:
//
//	{"outage": true}        every call is rejected with status 503
//	{"slow_ms": 500}        every call is delayed by half a second
//	{"lose_answers": 3}     the next three swaps take effect but get no response
//	{"refuse": ["d1"]}      calls with this User-Agent are rejected with status 503
//
// GET /control/calls returns the number of calls by kind and the highest number
// in any one second. Leases do not expire during an outage, as in a replicated
// service that has lost its leader.
//
// # Usage
//
//	server := tanagerkv.New(tanagertimer.NewReal())
//	go server.Run(ctx)
//	http.ListenAndServe(address, server.Handler())
package tanagerkv
