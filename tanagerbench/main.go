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
//	tanagerbench experiment --seeds 8 --pattern urgent_flood --policy cell --policy accept_all --plot out.svg
//	tanagerbench losses FILE
//
// The command experiment plays load patterns on deployments that are drawn by
// seed, with each policy on the same jobs. The command losses says why jobs of a
// play were lost, from the logs of all daemons.
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
	experiment := experimentSettings{}
	experimentCommand := app.Command("experiment", "Play load patterns with several policies in virtual time.")
	experimentCommand.Flag("pattern", "Name of a pattern; repeatable, all by default.").StringsVar(&experiment.patterns)
	experimentCommand.Flag("policy", "Name of a policy; repeatable, all by default.").StringsVar(&experiment.policies)
	experimentCommand.Flag("seeds", "Number of deployments, with successive seeds.").Default("8").IntVar(&experiment.seeds)
	experimentCommand.Flag("plot", "SVG file for a plot of the values.").StringVar(&experiment.plotFile)
	lossesCommand := app.Command("losses", "Say why jobs of a play were lost.")
	logFile := lossesCommand.Arg("log", "Log of all daemons, with the time in seconds at the start of each line.").
		Required().File()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	switch command {
	case experimentCommand.FullCommand():
		fmt.Printf("seed %d\n", *seed)
		experiment.seed = *seed
		app.FatalIfError(runExperiment(os.Stdout, experiment), "experiment")
		return
	case lossesCommand.FullCommand():
		app.FatalIfError(printLosses(os.Stdout, *logFile), "losses")
		return
	}
	fmt.Printf("seed %d\n", *seed)
	for _, name := range order {
		if command == name || command == "all" {
			benchmarks[name](os.Stdout, *seed)
		}
	}
}
