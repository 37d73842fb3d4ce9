// Package tanagerclient calls the daemons' HTTP interface for callers and
// operators.
//
// A client knows several daemons, as the platform's balancer does, and goes to
// the next one when a connection cannot be made. A call whose connection broke
// after it was sent is never repeated by the client: the error is of type
// Unanswered, and the work may have run.
//
// # Usage
//
//	client := tanagerclient.New(tanagerclient.Settings{Daemons: addresses, Token: token})
//	answer, err := client.Do(ctx, tanagerclient.Request{Service: "ladder", Path: "pairings", Class: "urgent"})
package tanagerclient
