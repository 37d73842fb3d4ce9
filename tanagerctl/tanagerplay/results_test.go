package tanagerplay

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerfailure"
)

func TestCheckFindsEveryWrongOutcome(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		result Result
		seen   RunCount
		wrong  bool
	}{
		"done and ran":            {result: Result{Outcome: tanagerfailure.Done}, seen: RunCount{Runs: 1, Ended: 1}},
		"done but cut off":        {result: Result{Outcome: tanagerfailure.Done}, seen: RunCount{Runs: 1}, wrong: true},
		"not run":                 {result: Result{Outcome: tanagerfailure.NotRun}},
		"not run but ran":         {result: Result{Outcome: tanagerfailure.NotRun}, seen: RunCount{Runs: 1}, wrong: true},
		"unknown may have run":    {result: Result{Outcome: tanagerfailure.Unknown}, seen: RunCount{Runs: 1}},
		"ran twice":               {result: Result{Outcome: tanagerfailure.Unknown}, seen: RunCount{Runs: 2}, wrong: true},
		"idempotent ran twice":    {result: Result{Outcome: tanagerfailure.Done, Idempotent: true}, seen: RunCount{Runs: 2, Ended: 2}},
		"answer of another":       {result: Result{Outcome: tanagerfailure.Done, Mixed: true}, seen: RunCount{Runs: 1, Ended: 1}, wrong: true},
		"no outcome":              {result: Result{}, wrong: true},
		"a job has its own check": {result: Result{Job: true, Outcome: tanagerfailure.Done}},
	} {
		test.result.ID = "id"
		test.seen.ID = "id"
		r := newResults()
		r.add(test.result)
		c.Check(len(r.Check([]RunCount{test.seen})) > 0, qt.Equals, test.wrong, qt.Commentf(name))
	}
}

func TestTableHasARowForEachKindOfWork(t *testing.T) {
	c := qt.New(t)
	r := newResults()
	for range 3 {
		r.add(Result{
			Name:    "pairing",
			Class:   "urgent",
			Outcome: tanagerfailure.Done,
			Waited:  2 * time.Millisecond,
		})
	}
	r.add(Result{
		Name:    "booking",
		Class:   "normal",
		Outcome: tanagerfailure.NotRun,
		Code:    tanagerfailure.QueueFull,
	})
	var out bytes.Buffer
	c.Assert(r.WriteTable(&out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s).*booking +normal +1 +0 +0 +1 .*pairing +urgent +3 +3 .*2ms.*answered queue_full: 1\n`)
}
