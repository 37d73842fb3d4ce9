// Package tanagerclient is a client of the daemons' HTTP API for callers and
// operators.
//
// A Client distributes its requests over several daemons, as a load balancer
// does, and tries the next daemon if a connection cannot be established. It never
// resends a request whose connection failed after the request was sent: the error
// is then of type OutcomeUnknown, and the work may have run.
//
// # Usage
//
//	client := tanagerclient.New(tanagerclient.Settings{Daemons: addresses, Token: token})
//	response, err := client.Do(ctx, tanagerclient.Request{Service: "ladder", Path: "pairings", Class: "urgent"})
package tanagerclient
