package tanagerplay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagersail.example/tanager/tanagerfailure"
)

// Result is the outcome of one request or job. Name is the name of its group.
type Result struct {
	Name  string `json:"name"`
	Class string `json:"class"`
	ID    string `json:"id"`
	// Job tells a job from a request.
	Job        bool                   `json:"job"`
	Idempotent bool                   `json:"idempotent"`
	Outcome    tanagerfailure.Outcome `json:"outcome"`
	Code       tanagerfailure.Code    `json:"code,omitempty"`
	// Wait is the time spent waiting, as WriteTable defines it.
	Wait time.Duration `json:"waited"`
	// Elapsed is the time from the first attempt to the outcome.
	Elapsed time.Duration `json:"took"`
	// Mismatched is set if the response belongs to another request.
	Mismatched bool `json:"mixed,omitempty"`
}

// Results collects the outcomes of a run. It is safe for concurrent use.
type Results struct {
	mu   sync.Mutex
	list []Result
}

func newResults() *Results { return &Results{} }

func (r *Results) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, result)
}

// List returns a copy of all results in the order of their outcomes.
func (r *Results) List() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// tableRow summarizes the results of one group; waits is in microseconds.
type tableRow struct {
	name      string
	class     string
	outcomes  map[tanagerfailure.Outcome]int
	submitted int
	waits     *hdrhistogram.Histogram
}

// The histogram of waits covers microseconds up to an hour with three significant
// digits.
const (
	maxWaitMicros         = int64(time.Hour / time.Microsecond)
	waitSignificantDigits = 3
)

// tableRows returns a row for each group, in order of the names.
func (r *Results) tableRows() []*tableRow {
	var rows []*tableRow
	for _, result := range r.List() {
		i := slices.IndexFunc(rows, func(row *tableRow) bool { return row.name == result.Name })
		if i < 0 {
			i = len(rows)
			rows = append(rows, &tableRow{
				name:     result.Name,
				class:    result.Class,
				outcomes: make(map[tanagerfailure.Outcome]int),
				waits:    hdrhistogram.New(1, maxWaitMicros, waitSignificantDigits),
			})
		}
		rows[i].submitted++
		rows[i].outcomes[result.Outcome]++
		if result.Outcome == tanagerfailure.Done {
			// Waits longer than an hour are recorded as an hour.
			_ = rows[i].waits.RecordValue(min(result.Wait.Microseconds(), maxWaitMicros))
		}
	}
	slices.SortFunc(rows, func(a, b *tableRow) int { return strings.Compare(a.name, b.name) })
	return rows
}

// WriteTable prints a row for each group. The wait columns cover only work that
// was done. The wait of a request is the time from its start to the response,
// less the time of the work itself. The wait of a job is the time until its
// submission was accepted, retries included, plus the longest wait of one of its
// tasks for the first start.
func (r *Results) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "WORK\tCLASS\tASKED\tDONE\tFAILED\tNOT RUN\tUNKNOWN\tWAIT P50\tWAIT P99\tWAIT MAX\t")
	for _, row := range r.tableRows() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.name, row.class, row.submitted,
			row.outcomes[tanagerfailure.Done], row.outcomes[tanagerfailure.Failed],
			row.outcomes[tanagerfailure.NotRun], row.outcomes[tanagerfailure.Unknown],
			row.percentile(50), row.percentile(99), row.percentile(100))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeCodes(w)
}

// writeCodes prints the number of results for each failure code.
func (r *Results) writeCodes(w io.Writer) error {
	counts := make(map[tanagerfailure.Code]int)
	for _, result := range r.List() {
		if result.Code != "" {
			counts[result.Code]++
		}
	}
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		if _, err := fmt.Fprintf(w, "answered %s: %d\n", code, counts[code]); err != nil {
			return err
		}
	}
	return nil
}

// percentile returns the wait at percentile p, from 0 to 100.
func (row *tableRow) percentile(p float64) time.Duration {
	d := time.Duration(row.waits.ValueAtQuantile(p)) * time.Microsecond
	return d.Round(100 * time.Microsecond)
}

// RunCount is the number of runs of a request that an observer at the targets
// counted: Runs were started and Completed of them ran to their end.
type RunCount struct {
	ID        string `json:"id"`
	Runs      int    `json:"runs"`
	Completed int    `json:"ended"`
}

// Verify compares the outcomes with the runs that an observer counted and returns
// a line for each mismatch: a request reported as done that did not run to its
// end, one reported as not run that ran, one that is not idempotent and ran more
// than once, a response to another request, and work without an outcome. Runs of
// jobs are not compared.
func (r *Results) Verify(observed []RunCount) []string {
	countsByID := make(map[string]RunCount, len(observed))
	for _, count := range observed {
		countsByID[count.ID] = count
	}
	var mismatches []string
	for _, result := range r.List() {
		if mismatch := result.verify(countsByID[result.ID]); mismatch != "" {
			mismatches = append(mismatches, fmt.Sprintf("%s %s: %s", result.Name, result.ID, mismatch))
		}
	}
	return mismatches
}

// verify describes how a result contradicts the observed runs, or returns an
// empty string if it does not.
func (r Result) verify(observed RunCount) string {
	switch {
	case r.Outcome == "":
		return "has no outcome"
	case r.Job:
		return ""
	case r.Mismatched:
		return "received the response to another request"
	case r.Outcome == tanagerfailure.Done && observed.Completed == 0:
		return "was reported as done but did not run to its end"
	case r.Outcome == tanagerfailure.NotRun && observed.Runs > 0:
		return "was reported as not run but ran"
	case !r.Idempotent && observed.Runs > 1:
		return fmt.Sprintf("is not idempotent but ran %d times", observed.Runs)
	}
	return ""
}
