// Package tanagertraffic does the I/O of a daemon apart from its control
// goroutine: calls to targets, workers and the platform's store. Each call runs
// in a goroutine of its own and its result goes to the control goroutine as a
// message.
//
// # Usage
//
//	traffic := tanagertraffic.New(tanagertraffic.Dependencies{...})
//	control := tanagercontrol.New(settings, tanagercontrol.Dependencies{Effects: traffic, ...})
//
// Goroutines that wait for an answer of the control goroutine, such as those of
// HTTP requests, get a number and a channel from Waiters.
package tanagertraffic
