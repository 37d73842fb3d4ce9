// Package tanagerfailure holds the four outcomes of a piece of work and the
// typed failures that callers and operators receive.
//
// Every request and every task ends in exactly one Outcome, and an outcome is
// final. NotRun is given only when it is certain that no byte of the work
// reached a target or a worker; where that is not certain the outcome is
// Unknown.
//
// A Failure carries a stable snake_case code, the HTTP status that belongs to
// it, a message that says what was wrong, a hint that says what to do and,
// where coming back helps, the time after which to come back. Failures cross
// the wire between daemons unchanged.
//
// # Usage
//
//	f := tanagerfailure.New(tanagerfailure.QueueFull, "the queue of class batch is full").After(2 * time.Second)
//	w.Header().Set("Retry-After", f.RetryAfterSeconds())
//	w.WriteHeader(f.Status())
package tanagerfailure
