// Command tanagerctl is the command-line client for callers and operators.
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
// The environment variables TANAGER_DAEMONS (a comma-separated list) and
// TANAGER_TOKEN replace the flags --daemon and --token. Exit codes: 0 success; 1
// rejected or failed; 2 outcome unknown; 3 no daemon could be reached.
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

// Exit codes other than 0.
const (
	exitFailed         = 1
	exitOutcomeUnknown = 2
	exitUnreachable    = 3
)

// command is one subcommand of the program.
type command interface {
	run(ctx context.Context, client *tanagerclient.Client) error
}

func main() {
	app := kingpin.New("tanagerctl",
		"Submit and track jobs and requests, plan and confirm configuration changes, inspect the cell.")
	app.HelpFlag.Short('h')
	daemons := app.Flag("daemon", "Comma-separated HTTP addresses of daemons.").
		Short('d').Envar("TANAGER_DAEMONS").Required().String()
	token := app.Flag("token", "Bearer token of a caller or an operator.").
		Short('t').Envar("TANAGER_TOKEN").String()
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
		fatal(err)
	}
	client := tanagerclient.New(tanagerclient.Settings{
		Daemons: addresses,
		Token:   *token,
	})
	if err := commands[name].run(ctx, client); err != nil {
		fatal(err)
	}
}

// fatal prints an error and exits with the code for its type.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "tanagerctl:", err)
	failure := tanagerclient.FailureOf(err)
	switch {
	case failure != nil && failure.Outcome != tanagerfailure.Unknown:
		os.Exit(exitFailed)
	case failure != nil, errorx.IsOfType(err, tanagerclient.OutcomeUnknown):
		os.Exit(exitOutcomeUnknown)
	case errorx.IsOfType(err, tanagerclient.Unreachable):
		os.Exit(exitUnreachable)
	}
	os.Exit(exitFailed)
}
