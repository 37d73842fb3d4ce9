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
	branches := app.Command("branches", "Show the branches, their rules and their current exceptions.")
	b := &branchesCommand{}
	addJSONFlag(branches, &b.json)
	commands[branches.FullCommand()] = b

	shards := app.Command("shards", "Show the owner of each shard and the epoch of its ownership.")
	s := &shardsCommand{}
	addJSONFlag(shards, &s.json)
	commands[shards.FullCommand()] = s
}

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
		fmt.Fprintf(t, "%s\t%g\t%g\t%g\t%s\t%s\n",
			name, b.Rules.Weight, rules.Weight, rules.UrgentShare, quota, formatExceptions(b, now))
	}
	if err := t.Flush(); err != nil {
		return writeFailed.Wrap(err, "branches")
	}
	return nil
}

// formatExceptions lists the exceptions of a branch that end after now, or
// returns "-" if there is none.
func formatExceptions(b tanagerconfig.Branch, now time.Time) string {
	var parts []string
	for _, e := range b.Exceptions {
		if now.Before(e.Until) {
			parts = append(parts, fmt.Sprintf("%s (%g times the weight until %s)",
				e.Name, e.WeightFactor, e.Until.Format(time.RFC3339)))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

type shardsCommand struct {
	json bool
}

// ownedShard is a shard and the daemon that claims to own it.
type ownedShard struct {
	tanagerclient.ShardStatus
	Owner string `json:"owner"`
}

func (c *shardsCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var shards []ownedShard
	for _, daemon := range client.Daemons() {
		status, err := client.Status(ctx, daemon)
		if err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s: %v\n", daemon, err)
			continue
		}
		for _, s := range status.Shards {
			shards = append(shards, ownedShard{
				ShardStatus: s,
				Owner:       status.Self,
			})
		}
	}
	slices.SortFunc(shards, func(a, b ownedShard) int { return cmp.Compare(a.Shard, b.Shard) })
	if c.json {
		return printJSON(os.Stdout, shards)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SHARD\tOWNER\tEPOCH\tPREDECESSORS NOT CONFIRMED")
	for _, s := range shards {
		fmt.Fprintf(t, "%d\t%s\t%d\t%s\n", s.Shard, s.Owner, s.Epoch, strings.Join(s.Unconfirmed, ", "))
	}
	if err := t.Flush(); err != nil {
		return writeFailed.Wrap(err, "shards")
	}
	return nil
}
