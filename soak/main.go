// Command soak runs daemon processes against a fake platform, injects faults and
// checks what callers and workers observe.
//
// # Usage
//
//	soak --binary bin/tanagerd --first 1 --seeds 50
//
// A seed gives the same schedule of faults and jobs each time. The command prints
// a report for each seed. It exits with status 1 if an invariant was violated and
// with 2 if a run could not start; the report of a seed with violations names the
// directory of the daemons' logs, which are kept.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/soak/tanagersoak"
)

const (
	profileMixed     = "mixed"
	profileTakeovers = "takeovers"
)

// setDefault sets a flag that the user has not set.
func setDefault[T any](flag *T, isSet bool, value T) {
	if !isSet {
		*flag = value
	}
}

func main() {
	app := kingpin.New("soak", "Soak test that injects faults into the daemons of a cell.")
	binary := app.Flag("binary", "Path of the tanagerd binary.").Required().ExistingFile()
	first := app.Flag("first", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("10").Uint64()
	var daemonsSet, workersSet, lengthSet bool
	daemons := app.Flag("daemons", "Number of daemons.").Default("4").IsSetByUser(&daemonsSet).Int()
	workers := app.Flag("workers", "Number of workers.").Default("10").IsSetByUser(&workersSet).Int()
	length := app.Flag("length", "How long faults are injected.").Default("8s").IsSetByUser(&lengthSet).Duration()
	links := app.Flag("links", "Inject connection faults too.").Default("true").Bool()
	capacity := app.Flag("capacity", "Make workers shrink and grow again too.").Default("true").Bool()
	crashes := app.Flag("crashes", "Submit jobs that crash workers too.").Default("true").Bool()
	profile := app.Flag("profile", "Faults and load: mixed, or takeovers with 8 daemons and 48 workers for 2 minutes.").
		Default(profileMixed).Enum(profileMixed, profileTakeovers)
	record := app.Flag("record", "Record what workers, callers and the store see.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *profile == profileTakeovers {
		setDefault(daemons, daemonsSet, tanagersoak.TakeoverDaemons)
		setDefault(workers, workersSet, tanagersoak.TakeoverWorkers)
		setDefault(length, lengthSet, tanagersoak.TakeoverDuration)
	}
	failed := 0
	for seed := *first; seed < *first+*seeds; seed++ {
		report, err := tanagersoak.Run(tanagersoak.Settings{
			Binary:           *binary,
			Seed:             seed,
			Daemons:          *daemons,
			Workers:          *workers,
			FaultDuration:    *length,
			SettleTimeout:    90 * time.Second,
			ConnectionFaults: *links,
			CapacityChanges:  *capacity,
			CrashingJobs:     *crashes,
			Takeovers:        *profile == profileTakeovers,
			Record:           *record,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(2)
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d seeds had violations\n", failed, *seeds)
		os.Exit(1)
	}
}
