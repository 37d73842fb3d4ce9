// Package tanagerapi is the HTTP interface of a daemon for callers and
// operators.
//
// Callers and operators are told apart by the token in the Authorization
// header; the settings map each caller's token to the one branch that it may
// act for. Tokens are compared in constant time.
//
// Errors have one shape, with the HTTP status that belongs to the code:
//
//	{"code":"queue_full","message":"...","hint":"...","outcome":"not_run","retry_after_ms":1200}
//
// An answer with retry_after_ms also carries a Retry-After header in whole
// seconds. Every answer to a request carries the header Tanager-Outcome with
// done, failed, not_run or unknown, and Tanager-Request-Id.
//
// # Usage
//
//	api := tanagerapi.New(settings, tanagerapi.Dependencies{...})
//	server := &http.Server{Handler: api.Handler()}
package tanagerapi
