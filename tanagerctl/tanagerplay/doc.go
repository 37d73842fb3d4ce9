// Package tanagerplay sends example work to a cell at a steady rate, follows
// each piece to its outcome and prints a table of what was asked, run, refused
// and how long it waited.
//
// A play is a YAML file:
//
//	duration: 10s
//	callers:
//	  - token: cho-lon-caller-token
//	    requests:
//	      - {name: challenge pairings, service: ladder, path: pairings, class: urgent, count: 300, work: 20ms, idempotent: true, timeout: 2s}
//	    jobs:
//	      - {name: standings, count: 3, job: {kind: batch, tasks: 4, resources: {cpu_milli: 1000, memory_mib: 512}, run_time: 1s, idempotent: true}}
//
// Every request carries an id, so the result can be compared with what an
// observer at the targets has counted.
//
// # Usage
//
//	results, err := tanagerplay.Run(ctx, play, tanagerplay.Settings{Daemons: daemons})
//	results.WriteTable(os.Stdout)
package tanagerplay
