package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanagerctl/tanagerclient"
)

func addOperatorCommands(app *kingpin.Application, commands map[string]command) {
	plan := app.Command("plan", "Show what an intent would change, without changing anything.")
	p := &planCommand{}
	plan.Arg("file", "YAML file with an intent.").Required().ExistingFileVar(&p.file)
	plan.Flag("save", "Save the plan to this file, for the command confirm.").StringVar(&p.save)
	addJSONFlag(plan, &p.json)
	commands[plan.FullCommand()] = p

	confirm := app.Command("confirm", "Apply a saved plan unless the configuration has changed since it was made.")
	c := &confirmCommand{}
	confirm.Arg("file", "File written by plan --save.").Required().ExistingFileVar(&c.file)
	commands[confirm.FullCommand()] = c

	apply := app.Command("apply", "Plan and confirm each intent of a YAML list.")
	a := &applyCommand{}
	apply.Arg("file", "YAML file with a list of intents.").Required().ExistingFileVar(&a.file)
	commands[apply.FullCommand()] = a

	config := app.Command("config", "Show the current configuration.")
	commands[config.FullCommand()] = &configCommand{}

	status := app.Command("status", "Show each daemon, its shards and its load.")
	s := &statusCommand{}
	addJSONFlag(status, &s.json)
	commands[status.FullCommand()] = s

	burn := app.Command("burn", "Report how fast the error budgets are consumed, over all daemons.")
	b := &burnCommand{}
	burn.Flag("html", "Also write the report to this file as an HTML page with a plot.").StringVar(&b.html)
	addJSONFlag(burn, &b.json)
	commands[burn.FullCommand()] = b
}

// planCommand prints the plan for an intent and optionally saves it.
type planCommand struct {
	file string
	save string
	json bool
}

func (c *planCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var intent tanagerconfig.Intent
	if err := readYAML(c.file, &intent); err != nil {
		return err
	}
	plan, err := client.Plan(ctx, intent)
	if err != nil {
		return err
	}
	if c.save != "" {
		err := writeFile(c.save, func(w io.Writer) error { return printJSON(w, plan) })
		if err != nil {
			return err
		}
	}
	if c.json {
		return printJSON(os.Stdout, plan)
	}
	return printPlan(os.Stdout, plan)
}

func printPlan(w io.Writer, p tanagerplan.Plan) error {
	fmt.Fprintf(w, "Plan against revision %d\n", p.Revision)
	for _, change := range p.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
	if !p.Until.IsZero() {
		fmt.Fprintf(w, "  ends by itself at %s\n", p.Until.Format(time.RFC3339))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BRANCH\tWEIGHT\tWORKERS\tSLOTS\t")
	for _, e := range p.Effects {
		note := ""
		if e.LosesShare() {
			note = "loses capacity"
		}
		fmt.Fprintf(t, "%s\t%g -> %g\t%s\t%s\t%s\n", e.Branch, e.WeightBefore, e.WeightAfter,
			formatShareChange(e.WorkerShareBefore, e.WorkerShareAfter),
			formatShareChange(e.SlotShareBefore, e.SlotShareAfter), note)
	}
	if err := t.Flush(); err != nil {
		return writeFailed.Wrap(err, "plan")
	}
	for _, r := range p.Rejected {
		fmt.Fprintf(w, "would be refused: %s\n", r)
	}
	fmt.Fprintln(w, "Nothing has changed yet. Confirm with: tanagerctl confirm FILE (from plan --save FILE)")
	return nil
}

func formatShareChange(before, after float64) string {
	return fmt.Sprintf("%.1f%% -> %.1f%%", before*100, after*100)
}

type confirmCommand struct {
	file string
}

func (c *confirmCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	content, err := os.ReadFile(c.file)
	if err != nil {
		return invalidFile.Wrap(err, "%s", c.file)
	}
	var plan tanagerplan.Plan
	if err := json.Unmarshal(content, &plan); err != nil {
		return invalidFile.Wrap(err, "%s", c.file)
	}
	revision, err := client.Confirm(ctx, plan)
	if err != nil {
		return err
	}
	fmt.Printf("confirmed as revision %d\n", revision)
	return nil
}

type applyCommand struct {
	file string
}

func (c *applyCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var intents []tanagerconfig.Intent
	if err := readYAML(c.file, &intents); err != nil {
		return err
	}
	for _, intent := range intents {
		revision, err := planAndConfirm(ctx, client, intent)
		if err != nil {
			return err
		}
		fmt.Printf("revision %d: %s %s\n", revision, intent.Kind, intent.Branch)
	}
	return nil
}

// apply retries a plan that is rejected as stale, because the daemon that made it
// may not have received the latest revision yet.
const (
	applyMaxAttempts = 20
	applyRetryDelay  = 250 * time.Millisecond
)

func planAndConfirm(ctx context.Context, client *tanagerclient.Client, intent tanagerconfig.Intent) (uint64, error) {
	var err error
	for range applyMaxAttempts {
		var plan tanagerplan.Plan
		plan, err = client.Plan(ctx, intent)
		if err != nil {
			return 0, err
		}
		var revision uint64
		revision, err = client.Confirm(ctx, plan)
		failure := tanagerclient.FailureOf(err)
		if err == nil || failure == nil || failure.Code != "stale_plan" {
			return revision, err
		}
		sleep(ctx, applyRetryDelay)
	}
	return 0, err
}

// configCommand prints the current configuration as JSON.
type configCommand struct{}

func (*configCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	state, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, state)
}

// statusCommand prints the status of every daemon that responds.
type statusCommand struct {
	json bool
}

func (c *statusCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var statuses []tanagerclient.Status
	for _, daemon := range client.Daemons() {
		status, err := client.Status(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s: %v\n", daemon, err)
			continue
		}
		statuses = append(statuses, status)
	}
	if len(statuses) == 0 {
		return tanagerclient.Unreachable.New("no daemon responded")
	}
	if c.json {
		return printJSON(os.Stdout, statuses)
	}
	return printStatus(os.Stdout, statuses)
}

func printStatus(w io.Writer, statuses []tanagerclient.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t,
		"DAEMON\tDOMAIN\tUP\tCONFIG\tMAP\tSHARDS\tTARGETS\tIN FLIGHT\tQUEUED\tWORKERS\tCORES HELD\tTASKS\tJOBS\tSTATE")
	for _, s := range statuses {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%d/%d\t%d\t%d\t%s\n",
			s.Self, s.FailureDomain, s.Uptime.Round(time.Second), s.ConfigRevision, s.ShardMapRevision, len(s.Shards),
			s.Targets, s.InFlight, s.QueuedRequests, s.KnownWorkers, s.Workers,
			s.Allocated.CPU/1000, s.Capacity.CPU/1000, s.Tasks, s.Jobs, formatState(s))
	}
	return t.Flush()
}

// formatState names the lease that a daemon acts under and the restrictions on
// what it may schedule.
func formatState(s tanagerclient.Status) string {
	var parts []string
	switch {
	case s.StoreLeaseValid:
		parts = append(parts, "store lease")
	case s.QuorumLeaseValid:
		parts = append(parts, "quorum lease")
	default:
		parts = append(parts, "no valid lease")
	}
	if s.Draining {
		parts = append(parts, "draining")
	}
	if s.TargetsAwaitingTakeover > 0 {
		parts = append(parts, fmt.Sprintf("%d targets awaiting takeover", s.TargetsAwaitingTakeover))
	}
	if s.Recovering > 0 {
		parts = append(parts, fmt.Sprintf("%d shards recovering", s.Recovering))
	}
	return strings.Join(parts, ", ")
}

// burnCommand reports the error-budget burn rates, merged over all daemons that
// respond.
type burnCommand struct {
	html string
	json bool
}

func (c *burnCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var exports []tanagerburn.Export
	for _, daemon := range client.Daemons() {
		export, err := client.Burn(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s is omitted: %v\n", daemon, err)
			continue
		}
		exports = append(exports, export)
	}
	if len(exports) == 0 {
		return tanagerclient.Unreachable.New("no daemon responded")
	}
	merged, err := tanagerburn.Merge(exports...)
	if err != nil {
		return err
	}
	report := tanagerburn.NewReport(merged, time.Now())
	if c.html != "" {
		if err := writeFile(c.html, report.WriteHTML); err != nil {
			return err
		}
	}
	if c.json {
		return printJSON(os.Stdout, report)
	}
	return report.WriteText(os.Stdout)
}
