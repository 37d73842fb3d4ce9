package tanagercheck

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Entry is a line of a trace.
type Entry struct {
	At       time.Duration
	From, To string
	// Job is the job that the entry concerns, empty for none.
	Job  string
	What string
}

// Result is the result of a walk.
type Result struct {
	Plan       Plan
	Violations []Violation
	Entries    []Entry
	// Starts is the number of runs that were started.
	Starts    int
	Elections int
	// Virtual is the time that the walk took on the clocks of the cell.
	Virtual time.Duration
}

// WriteTable writes the faults and the entries that concern the first violation's job
// or no job.
func (r *Result) WriteTable(to io.Writer) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "seed %d, %d daemons, %d workers\n", r.Plan.Seed, r.Plan.Daemons, r.Plan.Workers)
	for i := range r.Plan.Faults {
		fmt.Fprintf(t, "fault\t%s\t%s\n", seconds(r.Plan.Faults[i].At), r.Plan.Faults[i].String())
	}
	job := ""
	for _, v := range r.Violations {
		fmt.Fprintf(t, "broken\t%s\t%s: %s\n", seconds(v.At), v.Rule, v.What)
		if job == "" {
			job = v.Job
		}
	}
	fmt.Fprintln(t, "time\tfrom\tto\twhat")
	for _, e := range r.Entries {
		if e.Job == "" || e.Job == job {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", seconds(e.At), e.From, e.To, e.What)
		}
	}
	return t.Flush()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.4f", d.Seconds()) }
