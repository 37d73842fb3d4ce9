// Package tanageradmission decides whether a queue takes new jobs. It forecasts
// how long a job that arrives now waits for its first start, and rejects jobs
// whose result would by then be of no use: under overload, capacity is then left
// for the accepted jobs, and callers learn at once that they must come back.
//
// A forecast is the work that waits divided by the rate at which such work was
// started lately. The rate is observed for each Class on its own, so it covers
// what a model of the capacity would have to know: gangs that find their workers
// free only one after the other, work of higher priority that comes first, lost
// and slow workers, and an advice service that limits the starts.
//
// The package has no goroutines, clocks or I/O. A Controller must be used by one
// goroutine at a time.
//
// # Usage
//
//	c := tanageradmission.New()
//	class := tanageradmission.Class{Queue: "nightly", Gang: true}
//	c.RecordStart(now, class, coreSeconds)
//	d := c.Decide(now, class, tanageradmission.Line{Work: waiting, MaxWait: longest, Model: wait})
//	if d.Closed {
//		reject(d.RetryAfter)
//	}
package tanageradmission
