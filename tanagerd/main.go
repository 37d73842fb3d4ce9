// Command tanagerd is the daemon that runs on entry VMs: it serves callers and
// operators, owns shards of workers and targets, and decides what runs where.
//
// # Usage
//
//	tanagerd run --settings tanagerd.yaml
//	tanagerd check-settings tanagerd.yaml
//	tanagerd cell --settings member.yaml
//	tanagerd check-cell-settings member.yaml
//
// SIGTERM stops the daemon: it says that it is not ready, hands its shards over,
// answers every request in flight and ends. SIGINT does the same.
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
	path := run.Flag("settings", "Settings file.").Required().ExistingFile()
	cell := app.Command("cell", "Run a member of a cell that schedules jobs, until SIGTERM.")
	member := cell.Flag("settings", "Settings file of the member.").Required().ExistingFile()
	checkCell := app.Command("check-cell-settings", "Check a member's settings file and say what is wrong in it.")
	checkedCell := checkCell.Arg("file", "Settings file.").Required().String()
	check := app.Command("check-settings", "Check a settings file and say what is wrong in it.")
	checked := check.Arg("file", "Settings file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		settings, err := tanagersettings.Load(*path)
		exitOn(err)
		exitOn(serve(settings))
	case cell.FullCommand():
		exitOn(tanagerboot.Serve(*member))
	case checkCell.FullCommand():
		_, err := tanagersettings.LoadMember(*checkedCell)
		exitOn(err)
		fmt.Println("the settings are valid")
	case check.FullCommand():
		_, err := tanagersettings.Load(*checked)
		exitOn(err)
		fmt.Println("the settings are valid")
	}
}

func exitOn(err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "tanagerd: %v\n", err)
	os.Exit(1)
}
