package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms cover nanoseconds up to a day with three significant digits.
const (
	maxWait               = int64(24 * time.Hour)
	waitSignificantDigits = 3
)

// waitHistogram is a histogram of wait times or latencies, in nanoseconds.
type waitHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newWaitHistogram() *waitHistogram {
	return &waitHistogram{
		histogram: hdrhistogram.New(1, maxWait, waitSignificantDigits),
	}
}

func (w *waitHistogram) record(d time.Duration) {
	// Waits longer than a day are recorded as a day.
	_ = w.histogram.RecordValue(min(max(int64(d), 1), maxWait))
}

// percentile returns the wait at percentile p, from 0 to 100.
func (w *waitHistogram) percentile(p float64) time.Duration {
	return time.Duration(w.histogram.ValueAtQuantile(p))
}

// percentileColumns formats the median and the 99th and 99.9th percentile as cells
// of a table.
func (w *waitHistogram) percentileColumns() string {
	return fmt.Sprintf("%s\t%s\t%s",
		formatDuration(w.percentile(50)), formatDuration(w.percentile(99)), formatDuration(w.percentile(99.9)))
}

// formatDuration formats a duration with about three significant digits.
func formatDuration(d time.Duration) string {
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
