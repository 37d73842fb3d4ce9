package tanagerburn

import (
	"bytes"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, time.March, 1, 12, 0, 30, 0, time.UTC)

var key = Key{
	Branch: "rosenheim",
	Class:  "urgent",
}

func mergedReport(c *qt.C, recorders ...*Recorder) Report {
	var exports []Export
	for _, recorder := range recorders {
		e, err := recorder.Export()
		c.Assert(err, qt.IsNil)
		exports = append(exports, e)
	}
	merged, err := Merge(exports...)
	c.Assert(err, qt.IsNil)
	return NewReport(merged, now)
}

func TestBurnRatesPerWindow(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder(DefaultObjectives())
	// All counts of two hours ago are good. In the last three minutes 2% are bad:
	// half waited too long, half were rejected. The objective allows 0.1%.
	for range 900 {
		recorder.Observe(key, time.Second, true, now.Add(-2*time.Hour))
	}
	for i := range 1000 {
		at := now.Add(-time.Duration(i%3) * time.Minute)
		switch i % 100 {
		case 0:
			recorder.Observe(key, 4*time.Second, true, at)
		case 1:
			recorder.Observe(key, 0, false, at)
		default:
			recorder.Observe(key, 10*time.Millisecond, true, at)
		}
	}
	r := mergedReport(c, recorder)
	c.Assert(r.Rows, qt.HasLen, 1)
	row := r.Rows[0]
	c.Check(row.Good, qt.Equals, uint64(1880))
	c.Check(row.Bad, qt.Equals, uint64(20))
	c.Check(math.Abs(row.BurnRates[0]-20) < 0.01, qt.IsTrue, qt.Commentf("%v", row.BurnRates))
	c.Check(math.Abs(row.BurnRates[1]-1000.0*20/1900) < 0.01, qt.IsTrue, qt.Commentf("%v", row.BurnRates))
	c.Check(row.Alert, qt.Equals, "page")
	c.Check(row.P50 > 900*time.Microsecond && row.P50 < 1100*time.Millisecond, qt.IsTrue)
}

func TestAlertNeedsBothWindows(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder(DefaultObjectives())
	for range 100 {
		recorder.Observe(key, 0, false, now.Add(-50*time.Minute))
	}
	recorder.Observe(key, 0, true, now)
	c.Assert(mergedReport(c, recorder).Rows[0].Alert, qt.Not(qt.Equals), "page")
	// A day later the older minutes have expired.
	recorder.Observe(key, 0, true, now.Add(24*time.Hour))
	e, err := recorder.Export()
	c.Assert(err, qt.IsNil)
	c.Assert(e.Series[0].Minutes, qt.HasLen, 1)
}

func TestMergeSumsRecorders(t *testing.T) {
	c := qt.New(t)
	a, b := NewRecorder(DefaultObjectives()), NewRecorder(DefaultObjectives())
	for range 10 {
		a.Observe(key, time.Millisecond, true, now)
		b.Observe(key, time.Minute, true, now)
	}
	row := mergedReport(c, a, b).Rows[0]
	c.Check(row.Good, qt.Equals, uint64(10))
	c.Check(row.Bad, qt.Equals, uint64(10))
	c.Check(row.P99 > 59*time.Second, qt.IsTrue)
	c.Check(row.P50 < 2*time.Millisecond, qt.IsTrue)
}

func TestTextAndHTMLReports(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder(DefaultObjectives())
	recorder.Observe(key, time.Millisecond, true, now)
	recorder.Observe(Key{
		Branch: "<script>",
		Class:  "batch",
	}, time.Hour, true, now)
	r := mergedReport(c, recorder)
	var text, page bytes.Buffer
	c.Assert(r.WriteText(&text), qt.IsNil)
	c.Assert(text.String(), qt.Contains, "99.9% in 3.9s")
	c.Assert(r.WriteHTML(&page), qt.IsNil)
	c.Assert(page.String(), qt.Contains, "<svg")
	c.Assert(page.String(), qt.Not(qt.Contains), "<script>")
	c.Assert(page.String(), qt.Not(qt.Contains), "http-equiv")
}
