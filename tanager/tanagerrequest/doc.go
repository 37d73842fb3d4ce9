// Package tanagerrequest gives requests their ids and remembers their outcomes,
// so that a repeated id gets the outcome of the first run.
//
// An id names the daemon process that issued it, the time of issue on that
// process's clock, and a number. Only that process, the id's home, decides
// whether the id has been used; the answer needs no store and no clock of
// another machine. If the home is gone nobody can know, and the outcome of a
// repeat is Unknown; the request is never run on the strength of an id alone.
//
// Ids are forgotten after a window. A repeat after that is Unknown as well.
//
// # Usage
//
//	registry := tanagerrequest.NewRegistry[Row](tanagerrequest.Settings{Home: self, Window: time.Minute}, start)
//	id := registry.Mint(now)
//	row, fresh, failure := registry.Begin(id, key, now)
//	registry.Expire(now)
package tanagerrequest
