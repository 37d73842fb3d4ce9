package tanagerburn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Window is a pair of windows that alert together.
type Window struct {
	Long  time.Duration `json:"long"`
	Short time.Duration `json:"short"`
	// Rate is the burn rate from which the pair alerts.
	Rate  float64 `json:"rate"`
	Alert string  `json:"alert"`
}

// Windows are the pairs of a report, for an objective over 30 days.
var Windows = []Window{
	{
		Long:  time.Hour,
		Short: 5 * time.Minute,
		Rate:  14.4,
		Alert: "page",
	},
	{
		Long:  6 * time.Hour,
		Short: 30 * time.Minute,
		Rate:  6,
		Alert: "page",
	},
	{
		Long:  24 * time.Hour,
		Short: 2 * time.Hour,
		Rate:  3,
		Alert: "ticket",
	},
}

// Row is the state of one branch and class.
type Row struct {
	Key       Key       `json:"key"`
	Objective Objective `json:"objective"`
	Good      uint64    `json:"good"`
	Bad       uint64    `json:"bad"`
	// Burn are the burn rates over the long windows.
	Burn  []float64     `json:"burn"`
	Alert string        `json:"alert,omitempty"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`

	history []float64
}

// Report is the state of all branches and classes at a time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// NewReport computes the burn rates of merged ledgers.
func NewReport(m Merged, now time.Time) Report {
	r := Report{
		At: now,
	}
	for _, k := range m.keys() {
		r.Rows = append(r.Rows, newRow(k, m.objectives[k.Class], m.series[k], now))
	}
	return r
}

func newRow(k Key, o Objective, s *mergedSeries, now time.Time) Row {
	row := Row{
		Key:       k,
		Objective: o,
		P50:       quantile(s, 50),
		P99:       quantile(s, 99),
		P999:      quantile(s, 99.9),
	}
	for _, minute := range s.minutes {
		row.Good += minute.Good
		row.Bad += minute.Bad
	}
	for _, w := range Windows {
		long := s.burn(o, w.Long, now)
		short := s.burn(o, w.Short, now)
		row.Burn = append(row.Burn, long)
		if row.Alert == "" && long >= w.Rate && short >= w.Rate {
			row.Alert = w.Alert
		}
	}
	row.history = s.hour(o, now)
	return row
}

func quantile(s *mergedSeries, q float64) time.Duration {
	return time.Duration(s.waits.ValueAtQuantile(q)) * time.Microsecond
}

// burn returns the burn rate over a window that ends now.
func (s *mergedSeries) burn(o Objective, window time.Duration, now time.Time) float64 {
	last := now.Unix() / 60
	first := last - int64(window/time.Minute) + 1
	var good, bad uint64
	for _, m := range s.minutes {
		if m.Minute >= first && m.Minute <= last {
			good += m.Good
			bad += m.Bad
		}
	}
	return rate(good, bad, o)
}

func rate(good, bad uint64, o Objective) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - o.Good)
}

// plottedMinutes is the length of the history in a report.
const plottedMinutes = 60

// hour returns the burn rate of each of the last 60 minutes.
func (s *mergedSeries) hour(o Objective, now time.Time) []float64 {
	rates := make([]float64, plottedMinutes)
	last := now.Unix() / 60
	for i := range rates {
		m := s.minutes[last-int64(len(rates)-1-i)]
		rates[i] = rate(m.Good, m.Bad, o)
	}
	return rates
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "BRANCH\tCLASS\tGOOD\tBAD\tOBJECTIVE\tBURN 1H\tBURN 6H\tBURN 24H\tP50\tP99\tP99.9\tALERT\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s\t%s\t\n",
			row.Key.Branch, row.Key.Class, row.Good, row.Bad, row.Objective, row.Burn[0], row.Burn[1], row.Burn[2],
			short(row.P50), short(row.P99), short(row.P999), row.Alert)
	}
	if err := t.Flush(); err != nil {
		return RenderFailed.Wrap(err, "text report")
	}
	return nil
}

// String returns a form such as "99.9% in 3.9s".
func (o Objective) String() string {
	return fmt.Sprintf("%g%% in %s", o.Good*100, o.LongestWait)
}

func short(d time.Duration) string {
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(10 * time.Millisecond).String()
}
