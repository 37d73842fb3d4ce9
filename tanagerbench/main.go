// Command tanagerbench measures the decisions of tanagersail without processes
// or network: it feeds the decision packages with synthetic work in virtual time
// and prints their figures beside those of a baseline in the same run.
//
// # Usage
//
//	tanagerbench place     cost, waits and packing of placement at several sizes
//	tanagerbench requests  floods of requests at one service
//	tanagerbench tasks     floods of tasks on workers
//	tanagerbench owners    choice of owners on stale hints
//	tanagerbench replay    floods of a cell's load at the sizes of the two sites
//	tanagerbench control   cost and size of a daemon's control tables
//	tanagerbench all
//
// The baselines are first-come first-served for queues and first fit for
// placement. Every run prints its seed; the same seed makes the same work.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// fixedSeed makes the same work in every run.
const fixedSeed = 20261204

func main() {
	app := kingpin.New("tanagerbench", "Measures the decisions of tanagersail.")
	app.HelpFlag.Short('h')
	seed := app.Flag("seed", "Seed of the synthetic work.").Default(fmt.Sprint(fixedSeed)).Uint64()
	parts := map[string]func(io.Writer, uint64){
		"place":    benchPlace,
		"requests": benchRequests,
		"tasks":    benchTasks,
		"owners":   benchOwners,
		"replay":   benchReplay,
		"control":  benchControl,
	}
	order := []string{"place", "requests", "tasks", "owners", "replay", "control"}
	app.Command("place", "Cost, waits and packing of placement at several sizes.")
	app.Command("requests", "Floods of requests at one service.")
	app.Command("tasks", "Floods of tasks on workers.")
	app.Command("owners", "Choice of owners on stale hints.")
	app.Command("replay", "Floods of a cell's load at the sizes of the two sites.")
	app.Command("control", "Cost and size of a daemon's control tables.")
	app.Command("all", "All of these.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	fmt.Printf("seed %d\n", *seed)
	for _, name := range order {
		if command == name || command == "all" {
			parts[name](os.Stdout, *seed)
		}
	}
}
