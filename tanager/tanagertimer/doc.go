// Package tanagertimer provides the clock of all other packages, which tests can
// replace.
//
// A Service returns the current time and creates subscriptions. Each subscription
// delivers ticks on a channel of capacity one: a slow subscriber misses ticks
// instead of blocking the service. Times returned by Real carry a monotonic clock
// reading, so that differences between them are unaffected by changes of the wall
// clock.
//
// # Usage
//
// A component receives the service in its constructor and never calls package time
// for the current time:
//
//	timer := tanagertimer.NewReal()
//	ticks := timer.Every(100 * time.Millisecond)
//	defer ticks.Stop()
//	for range ticks.C {
//		// periodic work
//	}
//
// Tests use NewManual and advance the time with Advance, which makes them
// deterministic.
package tanagertimer
