// Package tanagerfailure defines the four outcomes of requests and tasks and the
// typed failures that callers and operators receive.
//
// Every request and every task ends with exactly one Outcome, which is final.
// NotRun means that certainly no byte of the request or task reached a target or
// a worker; if that is not certain the outcome is Unknown.
//
// A Failure carries a stable snake_case code with a fixed HTTP status, a message
// that describes the error, a hint on how to correct it and, if a retry can
// succeed, the time after which to retry. Failures are sent between daemons
// unchanged.
//
// # Usage
//
//	f := tanagerfailure.New(tanagerfailure.QueueFull, "the queue of class batch is full").
//		WithRetryAfter(2 * time.Second)
//	w.Header().Set("Retry-After", f.RetryAfterSeconds())
//	w.WriteHeader(f.Status())
package tanagerfailure
