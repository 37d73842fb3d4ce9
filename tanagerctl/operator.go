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
	plan := app.Command("plan", "Show what an intent would change; nothing takes effect.")
	p := &planCommand{}
	plan.Arg("file", "YAML file with an intent.").Required().ExistingFileVar(&p.file)
	plan.Flag("save", "Save the plan for confirm.").StringVar(&p.save)
	addJSON(plan, &p.json)
	commands[plan.FullCommand()] = p

	confirm := app.Command("confirm", "Put a saved plan in force, if nothing has changed since.")
	c := &confirmCommand{}
	confirm.Arg("file", "File that plan --save wrote.").Required().ExistingFileVar(&c.file)
	commands[confirm.FullCommand()] = c

	apply := app.Command("apply", "Plan and confirm each intent of a YAML list.")
	a := &applyCommand{}
	apply.Arg("file", "YAML file with a list of intents.").Required().ExistingFileVar(&a.file)
	commands[apply.FullCommand()] = a

	config := app.Command("config", "Show the configuration in force.")
	commands[config.FullCommand()] = &configCommand{}

	status := app.Command("status", "Show each daemon, its shards and its load.")
	s := &statusCommand{}
	addJSON(status, &s.json)
	commands[status.FullCommand()] = s

	burn := app.Command("burn", "Report the service-level burn of all daemons together.")
	b := &burnCommand{}
	burn.Flag("html", "Also write the report as a page with a plot.").StringVar(&b.html)
	addJSON(burn, &b.json)
	commands[burn.FullCommand()] = b
}

// planCommand makes a plan.
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
			percent(e.WorkerShareBefore, e.WorkerShareAfter), percent(e.SlotShareBefore, e.SlotShareAfter), note)
	}
	if err := t.Flush(); err != nil {
		return notWritten.Wrap(err, "plan")
	}
	for _, r := range p.Refused {
		fmt.Fprintf(w, "would be refused: %s\n", r)
	}
	fmt.Fprintln(w, "Nothing has changed yet. Confirm with: tanagerctl confirm FILE (from plan --save FILE)")
	return nil
}

func percent(before, after float64) string {
	return fmt.Sprintf("%.1f%% -> %.1f%%", before*100, after*100)
}

// confirmCommand confirms a saved plan.
type confirmCommand struct {
	file string
}

func (c *confirmCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	content, err := os.ReadFile(c.file)
	if err != nil {
		return badFile.Wrap(err, "%s", c.file)
	}
	var plan tanagerplan.Plan
	if err := json.Unmarshal(content, &plan); err != nil {
		return badFile.Wrap(err, "%s", c.file)
	}
	revision, err := client.Confirm(ctx, plan)
	if err != nil {
		return err
	}
	fmt.Printf("confirmed as revision %d\n", revision)
	return nil
}

// applyCommand plans and confirms a list of intents.
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

// The tries of apply: a daemon may not have seen the last revision yet.
const (
	applyTries = 20
	applyPause = 250 * time.Millisecond
)

func planAndConfirm(ctx context.Context, client *tanagerclient.Client, intent tanagerconfig.Intent) (uint64, error) {
	var err error
	for range applyTries {
		var plan tanagerplan.Plan
		plan, err = client.Plan(ctx, intent)
		if err != nil {
			return 0, err
		}
		var revision uint64
		revision, err = client.Confirm(ctx, plan)
		f := tanagerclient.FailureOf(err)
		if err == nil || f == nil || f.Code != "stale_plan" {
			return revision, err
		}
		pause(ctx, applyPause)
	}
	return 0, err
}

// configCommand shows the configuration.
type configCommand struct{}

func (*configCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	state, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, state)
}

// statusCommand shows the daemons.
type statusCommand struct {
	json bool
}

func (c *statusCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var list []tanagerclient.Status
	for _, daemon := range client.Daemons() {
		status, err := client.Status(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s: %v\n", daemon, err)
			continue
		}
		list = append(list, status)
	}
	if len(list) == 0 {
		return tanagerclient.Unreachable.New("no daemon answered")
	}
	if c.json {
		return printJSON(os.Stdout, list)
	}
	return printStatus(os.Stdout, list)
}

func printStatus(w io.Writer, list []tanagerclient.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tDOMAIN\tUP\tCONFIG\tMAP\tSHARDS\tTARGETS\tIN FLIGHT\tQUEUED\tWORKERS\tCORES HELD\tTASKS\tJOBS\tSTATE")
	for _, s := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%d/%d\t%d\t%d\t%s\n", s.Self, s.FailureDomain, s.Uptime.Round(time.Second),
			s.ConfigRevision, s.MapRevision, len(s.Shards), s.Targets, s.InFlight, s.QueuedRequests, s.KnownWorkers, s.Workers,
			s.Held.CPU/1000, s.Total.CPU/1000, s.Tasks, s.Jobs, stateOf(s))
	}
	return t.Flush()
}

// stateOf says in words what a daemon may do.
func stateOf(s tanagerclient.Status) string {
	var words []string
	switch {
	case s.StoreRight:
		words = append(words, "store lease")
	case s.Grace:
		words = append(words, "promises of the roster")
	default:
		words = append(words, "no right to act")
	}
	if s.Draining {
		words = append(words, "draining")
	}
	if s.GatedTargets > 0 {
		words = append(words, fmt.Sprintf("%d targets held back", s.GatedTargets))
	}
	if s.Recovering > 0 {
		words = append(words, fmt.Sprintf("%d shards recovering", s.Recovering))
	}
	return strings.Join(words, ", ")
}

// burnCommand reports the service-level burn.
type burnCommand struct {
	html string
	json bool
}

func (c *burnCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var exports []tanagerburn.Export
	for _, daemon := range client.Daemons() {
		export, err := client.Burn(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s is left out: %v\n", daemon, err)
			continue
		}
		exports = append(exports, export)
	}
	if len(exports) == 0 {
		return tanagerclient.Unreachable.New("no daemon answered")
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
