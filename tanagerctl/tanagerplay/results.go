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

// Result is the outcome of one piece of work.
type Result struct {
	Name       string                 `json:"name"`
	Class      string                 `json:"class"`
	ID         string                 `json:"id"`
	Job        bool                   `json:"job"`
	Idempotent bool                   `json:"idempotent"`
	Outcome    tanagerfailure.Outcome `json:"outcome"`
	Code       tanagerfailure.Code    `json:"code,omitempty"`
	Waited     time.Duration          `json:"waited"`
	Took       time.Duration          `json:"took"`
	// Mixed is set if the answer belongs to another request.
	Mixed bool `json:"mixed,omitempty"`
}

// Results collects the outcomes of a play. It is safe for concurrent use.
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

// List returns all results.
func (r *Results) List() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// line is a row of the table.
type line struct {
	name     string
	class    string
	outcomes map[tanagerfailure.Outcome]int
	asked    int
	waits    *hdrhistogram.Histogram
}

// The histogram of waits: microseconds up to an hour with three digits.
const (
	longestWait = int64(time.Hour / time.Microsecond)
	waitDigits  = 3
)

func (r *Results) lines() []*line {
	var lines []*line
	for _, result := range r.List() {
		i := slices.IndexFunc(lines, func(l *line) bool { return l.name == result.Name })
		if i < 0 {
			i = len(lines)
			lines = append(lines, &line{
				name:     result.Name,
				class:    result.Class,
				outcomes: make(map[tanagerfailure.Outcome]int),
				waits:    hdrhistogram.New(1, longestWait, waitDigits),
			})
		}
		lines[i].asked++
		lines[i].outcomes[result.Outcome]++
		if result.Outcome == tanagerfailure.Done {
			// Waits beyond an hour count as an hour.
			_ = lines[i].waits.RecordValue(min(result.Waited.Microseconds(), longestWait))
		}
	}
	slices.SortFunc(lines, func(a, b *line) int { return strings.Compare(a.name, b.name) })
	return lines
}

// WriteTable prints a row for each kind of work. The waits are those of work
// that was done. For a request: the time from asking to the answer, less the
// work itself. For a job: the time from asking to its acceptance, repeated calls
// included, and the longest wait of a task for its first start.
func (r *Results) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "WORK\tCLASS\tASKED\tDONE\tFAILED\tNOT RUN\tUNKNOWN\tWAIT P50\tWAIT P99\tWAIT MAX\t")
	for _, l := range r.lines() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", l.name, l.class, l.asked,
			l.outcomes[tanagerfailure.Done], l.outcomes[tanagerfailure.Failed],
			l.outcomes[tanagerfailure.NotRun], l.outcomes[tanagerfailure.Unknown],
			l.quantile(50), l.quantile(99), l.quantile(100))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeCodes(w)
}

// writeCodes prints how often each failure was the answer.
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

func (l *line) quantile(q float64) time.Duration {
	d := time.Duration(l.waits.ValueAtQuantile(q)) * time.Microsecond
	return d.Round(100 * time.Microsecond)
}

// RunCount is how often an observer at the targets saw a request.
type RunCount struct {
	ID    string `json:"id"`
	Runs  int    `json:"runs"`
	Ended int    `json:"ended"`
}

// Check compares the outcomes with what an observer saw and returns a line for
// each that is wrong: done work that did not run, work that was not run and did,
// work that is not idempotent and ran twice, and answers to another request.
func (r *Results) Check(seen []RunCount) []string {
	runs := make(map[string]RunCount, len(seen))
	for _, s := range seen {
		runs[s.ID] = s
	}
	var wrong []string
	for _, result := range r.List() {
		if problem := result.check(runs[result.ID]); problem != "" {
			wrong = append(wrong, fmt.Sprintf("%s %s: %s", result.Name, result.ID, problem))
		}
	}
	return wrong
}

func (r Result) check(seen RunCount) string {
	switch {
	case r.Outcome == "":
		return "has no outcome"
	case r.Job:
		return ""
	case r.Mixed:
		return "got the answer to another request"
	case r.Outcome == tanagerfailure.Done && seen.Ended == 0:
		return "is said to be done but did not run to its end"
	case r.Outcome == tanagerfailure.NotRun && seen.Runs > 0:
		return "is said not to have run but ran"
	case !r.Idempotent && seen.Runs > 1:
		return fmt.Sprintf("is not idempotent but ran %d times", seen.Runs)
	}
	return ""
}
