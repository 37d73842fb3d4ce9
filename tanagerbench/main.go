// Command tanagerbench benchmarks the scheduling decisions of tanagersail without
// processes or a network. It runs the decision packages on synthetic workloads in
// virtual time and prints their results next to those of a baseline.
//
// # Usage
//
//	tanagerbench place     latency, throughput and packing of placement at several cluster sizes
//	tanagerbench requests  request queueing while one branch floods a service
//	tanagerbench tasks     task scheduling while one branch floods the workers
//	tanagerbench owners    selection of request owners on stale load information
//	tanagerbench replay    job scheduling during load bursts, at the sizes of the two sites
//	tanagerbench control   CPU time and memory of a daemon's control loop, message sizes
//	tanagerbench all
//
// The baselines are first come, first served for queues and first fit for
// placement. Every run prints its seed; the same seed generates the same work.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// defaultSeed is fixed so that runs without --seed are comparable.
const defaultSeed = 20261204

func main() {
	app := kingpin.New("tanagerbench", "Benchmarks the scheduling decisions of tanagersail.")
	app.HelpFlag.Short('h')
	seed := app.Flag("seed", "Seed of the synthetic workloads.").Default(fmt.Sprint(defaultSeed)).Uint64()
	benchmarks := map[string]func(io.Writer, uint64){
		"place":    benchPlacement,
		"requests": benchRequests,
		"tasks":    benchTasks,
		"owners":   benchOwners,
		"replay":   benchReplay,
		"control":  benchControl,
	}
	order := []string{"place", "requests", "tasks", "owners", "replay", "control"}
	app.Command("place", "Latency, throughput and packing of placement at several cluster sizes.")
	app.Command("requests", "Request queueing while one branch floods a service.")
	app.Command("tasks", "Task scheduling while one branch floods the workers.")
	app.Command("owners", "Selection of request owners on stale load information.")
	app.Command("replay", "Job scheduling during load bursts, at the sizes of the two sites.")
	app.Command("control", "CPU time and memory of a daemon's control loop, message sizes.")
	app.Command("all", "Run all benchmarks.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	fmt.Printf("seed %d\n", *seed)
	for _, name := range order {
		if command == name || command == "all" {
			benchmarks[name](os.Stdout, *seed)
		}
	}
}
