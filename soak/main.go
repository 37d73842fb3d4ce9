// Command soak runs real daemons against the stand-in of the platform, injects
// faults from outside and checks what callers and workers see.
//
// # Usage
//
//	soak --binary bin/tanagerd --first 1 --seeds 50
//
// A seed gives the same schedule of faults and jobs each time. It exits 1 if a
// promise was broken, and leaves the daemons' logs of that seed where it says.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/soak/tanagersoak"
)

func main() {
	app := kingpin.New("soak", "Fault soak of the daemons that schedule jobs of a cell.")
	binary := app.Flag("binary", "The daemon's program.").Required().ExistingFile()
	first := app.Flag("first", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("10").Uint64()
	daemons := app.Flag("daemons", "Daemons of a run.").Default("4").Int()
	workers := app.Flag("workers", "Workers of a run.").Default("10").Int()
	length := app.Flag("length", "Time during which faults are injected.").Default("8s").Duration()
	links := app.Flag("links", "Inject faults of connections too.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	failed := 0
	for seed := *first; seed < *first+*seeds; seed++ {
		report, err := tanagersoak.Run(tanagersoak.Settings{
			Binary:  *binary,
			Seed:    seed,
			Daemons: *daemons,
			Workers: *workers,
			Length:  *length,
			Settle:  90 * time.Second,
			Links:   *links,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(2)
		}
		fmt.Println(report)
		if len(report.Broken) > 0 {
			failed++
		}
	}
	if failed > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d seeds broke a promise\n", failed, *seeds)
		os.Exit(1)
	}
}
