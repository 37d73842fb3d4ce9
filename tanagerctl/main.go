// Command tanagerctl is the command line of callers and operators.
//
// # Usage
//
//	tanagerctl --daemon 10.0.0.1:7211 --token TOKEN job submit job.yaml
//	tanagerctl plan intent.yaml --save plan.json
//	tanagerctl confirm plan.json
//	tanagerctl status
//	tanagerctl branches
//	tanagerctl burn --html burn.html
//
// The daemons and the token may also come from TANAGER_DAEMONS (separated by
// commas) and TANAGER_TOKEN. Exit codes: 0 done; 1 refused or failed; 2 the
// outcome is unknown; 3 no daemon could be reached.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerctl/tanagerclient"
)

// The exit codes.
const (
	exitRefused     = 1
	exitUnknown     = 2
	exitUnreachable = 3
)

// command is a command of the program.
type command interface {
	run(ctx context.Context, client *tanagerclient.Client) error
}

func main() {
	app := kingpin.New("tanagerctl", "Submit and follow work, plan and confirm changes, look at the cell.")
	app.HelpFlag.Short('h')
	daemons := app.Flag("daemon", "Addresses of daemons' HTTP interfaces, separated by commas.").Short('d').Envar("TANAGER_DAEMONS").Required().String()
	token := app.Flag("token", "Token of a caller or an operator.").Short('t').Envar("TANAGER_TOKEN").String()
	commands := make(map[string]command)
	addCallerCommands(app, commands)
	addOperatorCommands(app, commands)
	addTableCommands(app, commands)
	addPlayCommand(app, commands)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	addresses, err := parseAddresses(*daemons)
	if err != nil {
		exit(err)
	}
	client := tanagerclient.New(tanagerclient.Settings{
		Daemons: addresses,
		Token:   *token,
	})
	if err := commands[name].run(ctx, client); err != nil {
		exit(err)
	}
}

// exit prints an error and ends with the exit code that belongs to it.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "tanagerctl:", err)
	f := tanagerclient.FailureOf(err)
	switch {
	case f != nil && f.Outcome != tanagerfailure.Unknown:
		os.Exit(exitRefused)
	case f != nil, errorx.IsOfType(err, tanagerclient.Unanswered):
		os.Exit(exitUnknown)
	case errorx.IsOfType(err, tanagerclient.Unreachable):
		os.Exit(exitUnreachable)
	}
	os.Exit(exitRefused)
}
