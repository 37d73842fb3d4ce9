package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanagerctl/tanagerclient"
)

func addTableCommands(app *kingpin.Application, commands map[string]command) {
	branches := app.Command("branches", "Show the branches, their rules and the exceptions in force.")
	b := &branchesCommand{}
	addJSON(branches, &b.json)
	commands[branches.FullCommand()] = b

	shards := app.Command("shards", "Show which daemon owns each shard, and since which epoch.")
	s := &shardsCommand{}
	addJSON(shards, &s.json)
	commands[shards.FullCommand()] = s
}

// branchesCommand shows the branches.
type branchesCommand struct {
	json bool
}

func (c *branchesCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	state, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(os.Stdout, state.Branches)
	}
	return printBranches(os.Stdout, state, time.Now())
}

func printBranches(w io.Writer, state tanagerconfig.State, now time.Time) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "revision %d\n", state.Revision)
	fmt.Fprintln(t, "BRANCH\tWEIGHT\tWEIGHT NOW\tURGENT SHARE NOW\tQUOTA (milli-cores, MiB, accelerators)\tEXCEPTIONS")
	for _, name := range state.BranchNames() {
		b := state.Branches[name]
		rules, _ := state.Effective(name, now)
		quota := "-"
		if !rules.Quota.IsZero() {
			quota = fmt.Sprintf("%d, %d, %d", rules.Quota.CPU, rules.Quota.Memory, rules.Quota.Accelerators)
		}
		fmt.Fprintf(t, "%s\t%g\t%g\t%g\t%s\t%s\n", name, b.Rules.Weight, rules.Weight, rules.UrgentShare, quota, exceptionsOf(b, now))
	}
	if err := t.Flush(); err != nil {
		return notWritten.Wrap(err, "branches")
	}
	return nil
}

// exceptionsOf names the exceptions of a branch that are not over.
func exceptionsOf(b tanagerconfig.Branch, now time.Time) string {
	var words []string
	for _, e := range b.Exceptions {
		if now.Before(e.Until) {
			words = append(words, fmt.Sprintf("%s (%g times the weight until %s)", e.Name, e.WeightFactor, e.Until.Format(time.RFC3339)))
		}
	}
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ", ")
}

// shardsCommand shows the owners of the shards.
type shardsCommand struct {
	json bool
}

// ownedShard is a shard with the daemon that says it owns it.
type ownedShard struct {
	tanagerclient.ShardStatus
	Owner string `json:"owner"`
}

func (c *shardsCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var list []ownedShard
	for _, daemon := range client.Daemons() {
		status, err := client.Status(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s: %v\n", daemon, err)
			continue
		}
		for _, s := range status.Shards {
			list = append(list, ownedShard{
				ShardStatus: s,
				Owner:       status.Self,
			})
		}
	}
	slices.SortFunc(list, func(a, b ownedShard) int { return cmp.Compare(a.Shard, b.Shard) })
	if c.json {
		return printJSON(os.Stdout, list)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SHARD\tOWNER\tEPOCH\tPREDECESSORS NOT CONFIRMED")
	for _, s := range list {
		fmt.Fprintf(t, "%d\t%s\t%d\t%s\n", s.Shard, s.Owner, s.Epoch, strings.Join(s.Unconfirmed, ", "))
	}
	if err := t.Flush(); err != nil {
		return notWritten.Wrap(err, "shards")
	}
	return nil
}
