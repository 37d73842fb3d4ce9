package tanagerburn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// AlertRule is a multi-window burn-rate alert: it fires when the burn rate over
// both windows reaches BurnRate.
type AlertRule struct {
	LongWindow  time.Duration `json:"long"`
	ShortWindow time.Duration `json:"short"`
	BurnRate    float64       `json:"rate"`
	// Alert is the name of the alert: page or ticket.
	Alert string `json:"alert"`
}

// AlertRules are the alert rules of a report, in descending order of severity,
// for objectives with a period of 30 days.
var AlertRules = []AlertRule{
	{
		LongWindow:  time.Hour,
		ShortWindow: 5 * time.Minute,
		BurnRate:    14.4,
		Alert:       "page",
	},
	{
		LongWindow:  6 * time.Hour,
		ShortWindow: 30 * time.Minute,
		BurnRate:    6,
		Alert:       "page",
	},
	{
		LongWindow:  24 * time.Hour,
		ShortWindow: 2 * time.Hour,
		BurnRate:    3,
		Alert:       "ticket",
	},
}

// Row is the report of one branch and class. Good and Bad are the counts of one
// day, P50, P99 and P999 quantiles of the wait time.
type Row struct {
	Key       Key       `json:"key"`
	Objective Objective `json:"objective"`
	Good      uint64    `json:"good"`
	Bad       uint64    `json:"bad"`
	// BurnRates are the burn rates over the long windows of AlertRules, in that
	// order.
	BurnRates []float64     `json:"burn"`
	Alert     string        `json:"alert,omitempty"`
	P50       time.Duration `json:"p50"`
	P99       time.Duration `json:"p99"`
	P999      time.Duration `json:"p999"`

	// minuteRates are the burn rates of the last minutes, oldest first.
	minuteRates []float64
}

// Report holds the burn rates of all branches and classes at a time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// NewReport computes the burn rates of merged exports.
func NewReport(m Merged, now time.Time) Report {
	r := Report{
		At: now,
	}
	for _, k := range m.sortedKeys() {
		r.Rows = append(r.Rows, newRow(k, m.objectives[k.Class], m.series[k], now))
	}
	return r
}

func newRow(k Key, o Objective, s *mergedSeries, now time.Time) Row {
	row := Row{
		Key:       k,
		Objective: o,
		P50:       waitQuantile(s, 50),
		P99:       waitQuantile(s, 99),
		P999:      waitQuantile(s, 99.9),
	}
	for _, minute := range s.minutes {
		row.Good += minute.Good
		row.Bad += minute.Bad
	}
	for _, rule := range AlertRules {
		long := s.windowBurnRate(o, rule.LongWindow, now)
		short := s.windowBurnRate(o, rule.ShortWindow, now)
		row.BurnRates = append(row.BurnRates, long)
		if row.Alert == "" && long >= rule.BurnRate && short >= rule.BurnRate {
			row.Alert = rule.Alert
		}
	}
	row.minuteRates = s.minuteBurnRates(o, now)
	return row
}

// waitQuantile returns a quantile of the wait times, given in percent.
func waitQuantile(s *mergedSeries, percent float64) time.Duration {
	return time.Duration(s.waits.ValueAtQuantile(percent)) * time.Microsecond
}

// windowBurnRate returns the burn rate over a window that ends with the current
// minute.
func (s *mergedSeries) windowBurnRate(o Objective, window time.Duration, now time.Time) float64 {
	last := now.Unix() / 60
	first := last - int64(window/time.Minute) + 1
	var good, bad uint64
	for _, m := range s.minutes {
		if m.Minute >= first && m.Minute <= last {
			good += m.Good
			bad += m.Bad
		}
	}
	return burnRate(good, bad, o)
}

// burnRate returns the bad fraction divided by the fraction that an objective
// allows, or zero without any counts.
func burnRate(good, bad uint64, o Objective) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - o.GoodRatio)
}

// plottedMinutes is the length of the plot of a report.
const plottedMinutes = 60

// minuteBurnRates returns the burn rate of each of the last 60 minutes, oldest
// first.
func (s *mergedSeries) minuteBurnRates(o Objective, now time.Time) []float64 {
	rates := make([]float64, plottedMinutes)
	last := now.Unix() / 60
	for i := range rates {
		m := s.minutes[last-int64(len(rates)-1-i)]
		rates[i] = burnRate(m.Good, m.Bad, o)
	}
	return rates
}

// WriteText writes the report as a text table. It returns an error of type
// RenderFailed if writing fails.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "BRANCH\tCLASS\tGOOD\tBAD\tOBJECTIVE\tBURN 1H\tBURN 6H\tBURN 24H\tP50\tP99\tP99.9\tALERT\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s\t%s\t\n",
			row.Key.Branch, row.Key.Class, row.Good, row.Bad, row.Objective,
			row.BurnRates[0], row.BurnRates[1], row.BurnRates[2],
			formatDuration(row.P50), formatDuration(row.P99), formatDuration(row.P999), row.Alert)
	}
	if err := t.Flush(); err != nil {
		return RenderFailed.Wrap(err, "text report")
	}
	return nil
}

// String returns a text such as "99.9% in 3.9s".
func (o Objective) String() string {
	return fmt.Sprintf("%g%% in %s", o.GoodRatio*100, o.MaxWait)
}

// formatDuration rounds a duration to 0.1 ms below one second and to 10 ms above.
func formatDuration(d time.Duration) string {
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(10 * time.Millisecond).String()
}
