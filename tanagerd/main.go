// Command tanagerd is the scheduler daemon. It runs on entry VMs, serves
// callers and operators, owns shards of workers and targets, and places tasks
// and requests on them.
//
// # Usage
//
//	tanagerd run --settings tanagerd.yaml
//	tanagerd check-settings tanagerd.yaml
//	tanagerd cell --settings member.yaml [--gang-wait 3s] [--max-value-bytes 1048576]
//	tanagerd check-cell-settings member.yaml
//
// On SIGTERM or SIGINT the daemon shuts down gracefully: it reports that it is
// not ready, hands over its shards, completes all requests in flight and exits.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanagerd/tanagerboot"
	"tanagersail.example/tanagerd/tanagersettings"
)

func main() {
	app := kingpin.New("tanagerd", "Daemon of the tanagersail cluster scheduler.")
	app.HelpFlag.Short('h')
	run := app.Command("run", "Run the daemon until SIGTERM.").Default()
	runPath := run.Flag("settings", "Settings file.").Required().ExistingFile()
	cell := app.Command("cell", "Run a member of a cell that schedules jobs, until SIGTERM.")
	cellPath := cell.Flag("settings", "Settings file of the member.").Required().ExistingFile()
	gangWait := cell.Flag("gang-wait", "How long a worker lets a task of a gang wait for the others. "+
		"Overrides work.gang_wait_ms of the settings.").Duration()
	maxValueBytes := cell.Flag("max-value-bytes", "The largest value that the store accepts, in bytes. "+
		"Overrides limits.max_value_bytes of the settings.").Int()
	checkCell := app.Command("check-cell-settings", "Check a member's settings file and report its errors.")
	checkCellPath := checkCell.Arg("file", "Settings file.").Required().String()
	check := app.Command("check-settings", "Check a settings file and report its errors.")
	checkPath := check.Arg("file", "Settings file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		settings, err := tanagersettings.Load(*runPath)
		exitOnError(err)
		exitOnError(serve(settings))
	case cell.FullCommand():
		exitOnError(tanagerboot.Serve(*cellPath, tanagerboot.Overrides{
			GangWait:      *gangWait,
			MaxValueBytes: *maxValueBytes,
		}))
	case checkCell.FullCommand():
		_, err := tanagersettings.LoadMember(*checkCellPath)
		exitOnError(err)
		fmt.Println("the settings are valid")
	case check.FullCommand():
		_, err := tanagersettings.Load(*checkPath)
		exitOnError(err)
		fmt.Println("the settings are valid")
	}
}

func exitOnError(err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "tanagerd: %v\n", err)
	os.Exit(1)
}
