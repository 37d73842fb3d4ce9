// Package tanagerscenarios holds scripted tests that run the daemons and the fake
// platform as separate processes and check the system's guarantees while some of
// them fail.
//
// A scenario is a testscript script in testdata. commands_test.go adds the
// commands cell, crash, pause, resume, cut_inbound, shutdown, start, store, vm,
// ctl, play, await and expect. What really ran is checked by the observer of the
// fake platform, independently of what the daemons report.
//
// # Usage
//
//	go test ./...
//	go test -run TestScenarios/kill_owner ./...
package tanagerscenarios
