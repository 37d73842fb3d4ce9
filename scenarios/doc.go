// Package tanagerscenarios holds scripted scenarios that run the daemons and the
// stand-ins of the platform as separate processes and prove what must hold while
// they fail.
//
// A scenario is a script in testdata, in the language of testscript with the
// commands that commands_test.go adds: cell, crash, pause, resume, deafen, shutdown, start,
// store, cut, vm, ctl, play, await and expect. The observer in the stand-ins
// says what really ran; a scenario never takes the system's own word for it.
//
// # Usage
//
//	go test ./...
//	go test -run TestScenarios/kill_owner ./...
package tanagerscenarios
