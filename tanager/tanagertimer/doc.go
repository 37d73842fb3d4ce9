// Package tanagertimer is the timer service that every other part takes its
// time from.
//
// A Service tells the current time and hands out subscriptions. Each
// subscription delivers ticks on a channel of capacity one: a subscriber that
// is slow misses ticks instead of delaying the service. Times returned by Real
// carry the monotonic clock reading of the process, so differences between
// them are not moved by changes of the wall clock. Durations are time.Duration
// throughout.
//
// # Usage
//
// A part receives the service in its constructor and never calls package time
// for the current time:
//
//	timer := tanagertimer.NewReal()
//	ticks := timer.Every(100 * time.Millisecond)
//	defer ticks.Stop()
//	for range ticks.C {
//		// one step of work
//	}
//
// Tests use NewManual and move the time themselves with Advance, which makes
// every run of a test the same.
package tanagertimer
