package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tanagersail.example/tanager/tanagerreplay"
)

// Errors is the namespace of this command's errors.
var Errors = errorx.NewNamespace("tanagerbench")

// InvalidInput is the type of errors for files and arguments that cannot be used.
var InvalidInput = Errors.NewType("invalid_input")

// experimentSettings are the arguments of the command experiment.
type experimentSettings struct {
	// patterns and policies are names; none means all.
	patterns, policies []string
	seed               uint64
	seeds              int
	// plotFile, if not empty, is the SVG file for the plot.
	plotFile string
}

// runExperiment plays load patterns with several policies and prints a table. The
// same arguments give the same table, byte for byte.
func runExperiment(w io.Writer, s experimentSettings) error {
	patterns, err := selectPatterns(s.patterns)
	if err != nil {
		return err
	}
	policies, err := selectPolicies(s.policies)
	if err != nil {
		return err
	}
	results := tanagerreplay.RunExperiment(patterns, policies, s.seed, s.seeds)
	printResults(w, results)
	if s.plotFile == "" {
		return nil
	}
	return plotResults(s.plotFile, patterns, policies, results)
}

func selectPatterns(names []string) ([]tanagerreplay.Pattern, error) {
	all, err := tanagerreplay.Patterns()
	if err != nil || len(names) == 0 {
		return all, err
	}
	var selected []tanagerreplay.Pattern
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.Name == name {
				selected = append(selected, p)
				found = true
			}
		}
		if !found {
			return nil, InvalidInput.New("no pattern %q", name)
		}
	}
	return selected, nil
}

func selectPolicies(names []string) ([]tanagerreplay.Policy, error) {
	all := tanagerreplay.Policies()
	if len(names) == 0 {
		return all, nil
	}
	var selected []tanagerreplay.Policy
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.Name == name {
				selected = append(selected, p)
				found = true
			}
		}
		if !found {
			return nil, InvalidInput.New("no policy %q", name)
		}
	}
	return selected, nil
}

func printResults(w io.Writer, results []tanagerreplay.Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "pattern\tpolicy\tvalue\tspread\taccepted, unserved\trejected\turgent wait p95\tretry error p50\tp95\trejections\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.2f%%\t%.2f%%\t%s\t%s\t%s\t%d\t\n", r.Pattern, r.Policy, r.Value,
			r.ValueSpread, 100*r.AcceptedUnserved, 100*r.Rejected, seconds(r.UrgentWait), seconds(r.RetryError),
			seconds(r.RetryErrorP95), r.Rejections)
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(w, err)
	}
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

// The size of the plot, and the width of a bar.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = vg.Length(6)
)

// plotResults writes bars of the value that each policy earns under each pattern.
func plotResults(file string, patterns []tanagerreplay.Pattern, policies []tanagerreplay.Policy,
	results []tanagerreplay.Result) error {
	p := plot.New()
	p.Title.Text = "Earned part of the offered value"
	p.Y.Min = 0
	p.Y.Max = 1
	names := make([]string, len(patterns))
	for i := range patterns {
		names[i] = patterns[i].Name
	}
	for j, policy := range policies {
		values := make(plotter.Values, len(patterns))
		for i := range patterns {
			values[i] = results[i*len(policies)+j].Value
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return InvalidInput.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(j)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(j-len(policies)/2)
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return InvalidInput.Wrap(err, "save the plot")
	}
	return nil
}
