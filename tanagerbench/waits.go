package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms: nanoseconds up to a day with three digits.
const (
	longestWait = int64(24 * time.Hour)
	waitDigits  = 3
)

// waits is a histogram of waits.
type waits struct {
	histogram *hdrhistogram.Histogram
}

func newWaits() *waits {
	return &waits{
		histogram: hdrhistogram.New(1, longestWait, waitDigits),
	}
}

func (w *waits) add(d time.Duration) {
	// Waits beyond a day count as a day.
	_ = w.histogram.RecordValue(min(max(int64(d), 1), longestWait))
}

func (w *waits) quantile(q float64) time.Duration {
	return time.Duration(w.histogram.ValueAtQuantile(q))
}

// columns returns the median and the 99th and 99.9th percentile.
func (w *waits) columns() string {
	return fmt.Sprintf("%s\t%s\t%s", short(w.quantile(50)), short(w.quantile(99)), short(w.quantile(99.9)))
}

// short prints a duration with about three digits.
func short(d time.Duration) string {
	switch {
	case d < 10*time.Microsecond:
		return d.Round(10 * time.Nanosecond).String()
	case d < 10*time.Millisecond:
		return d.Round(time.Microsecond).String()
	case d < 10*time.Second:
		return d.Round(time.Millisecond).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
