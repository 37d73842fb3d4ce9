// Package tanagertraffic performs the I/O of a daemon outside its control
// goroutine: calls to targets, workers and the platform's store. Each call runs
// in its own goroutine and sends its result to the control goroutine as a
// message.
//
// # Usage
//
//	executor := tanagertraffic.New(tanagertraffic.Dependencies{...})
//	control := tanagercontrol.New(settings, tanagercontrol.Dependencies{Effects: executor, ...})
//
// Goroutines that wait for a response of the control goroutine, such as those of
// HTTP requests, obtain an ID and a channel from Waiters.
package tanagertraffic
