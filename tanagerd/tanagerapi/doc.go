// Package tanagerapi implements the HTTP API of a daemon for callers and
// operators.
//
// Callers and operators are authenticated by the bearer token in the
// Authorization header. The settings map each caller's token to the one branch
// on whose behalf it may act. Tokens are compared in constant time.
//
// All errors have the same format; the code determines the HTTP status:
//
//	{"code":"queue_full","message":"...","hint":"...","outcome":"not_run","retry_after_ms":1200}
//
// A response with retry_after_ms also has a Retry-After header in whole seconds.
// Every response to a request has the headers Tanager-Request-Id and
// Tanager-Outcome, which is done, failed, not_run or unknown.
//
// # Usage
//
//	api := tanagerapi.New(settings, tanagerapi.Dependencies{...})
//	server := &http.Server{Handler: api.Handler(metrics)}
package tanagerapi
