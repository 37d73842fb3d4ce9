// Package tanagerrequest issues request ids and deduplicates requests: a repeated
// id gets the outcome of the first run.
//
// An id names the daemon process that issued it, the time of issue on that
// process's clock, and a number. Only that process, the id's coordinator, decides
// whether the id has been used, so that deduplication depends neither on the
// store nor on another machine's clock. If the coordinator has terminated, the
// outcome of a repeat is Unknown, and the request is not run.
//
// Ids expire after a window. The outcome of a repeat after that is Unknown too.
//
// # Usage
//
//	registry := tanagerrequest.NewRegistry[Request](tanagerrequest.Settings{
//		Coordinator: self,
//		Window:      time.Minute,
//		Retention:   2 * time.Minute,
//	}, start)
//	id := registry.Issue(now)
//	request, first, failure := registry.Begin(id, key, now)
//	registry.Expire(now, func(r *Request) bool { return r.ended })
package tanagerrequest
