// Package tanagerplay is a load generator: it sends requests and jobs to a cell at
// constant rates, tracks each to its outcome and prints a table of outcomes and
// wait times.
//
// A workload is a YAML file:
//
//	duration: 10s
//	callers:
//	  - token: cho-lon-caller-token
//	    requests:
//	      - {name: challenge pairings, service: ladder, path: pairings, class: urgent, count: 300,
//	         work: 20ms, idempotent: true, timeout: 2s}
//	    jobs:
//	      - {name: standings, count: 3, job: {kind: batch, tasks: 4,
//	         resources: {cpu_milli: 1000, memory_mib: 512}, run_time: 1s, idempotent: true}}
//
// Every request carries an id, so that Results.Verify can compare its outcome with
// the runs that an observer at the targets has counted.
//
// # Usage
//
//	workload, err := tanagerplay.Load("night.yaml")
//	results := tanagerplay.Run(ctx, workload, tanagerplay.Settings{Daemons: daemons, Timer: tanagertimer.NewReal()})
//	err = results.WriteTable(os.Stdout)
package tanagerplay
