package tanagerplay

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerfailure"
)

func TestVerifyReportsEveryInconsistentOutcome(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		result   Result
		observed RunCount
		mismatch bool
	}{
		"done and completed": {
			result:   Result{Outcome: tanagerfailure.Done},
			observed: RunCount{Runs: 1, Completed: 1},
		},
		"done but not completed": {
			result:   Result{Outcome: tanagerfailure.Done},
			observed: RunCount{Runs: 1},
			mismatch: true,
		},
		"not run": {
			result: Result{Outcome: tanagerfailure.NotRun},
		},
		"reported as not run but ran": {
			result:   Result{Outcome: tanagerfailure.NotRun},
			observed: RunCount{Runs: 1},
			mismatch: true,
		},
		"outcome unknown and ran": {
			result:   Result{Outcome: tanagerfailure.Unknown},
			observed: RunCount{Runs: 1},
		},
		"not idempotent but ran twice": {
			result:   Result{Outcome: tanagerfailure.Unknown},
			observed: RunCount{Runs: 2},
			mismatch: true,
		},
		"idempotent and ran twice": {
			result:   Result{Outcome: tanagerfailure.Done, Idempotent: true},
			observed: RunCount{Runs: 2, Completed: 2},
		},
		"response to another request": {
			result:   Result{Outcome: tanagerfailure.Done, Mismatched: true},
			observed: RunCount{Runs: 1, Completed: 1},
			mismatch: true,
		},
		"no outcome": {
			result:   Result{},
			mismatch: true,
		},
		"runs of a job are not compared": {
			result: Result{Job: true, Outcome: tanagerfailure.Done},
		},
	} {
		test.result.ID = "id"
		test.observed.ID = "id"
		r := newResults()
		r.add(test.result)
		c.Check(len(r.Verify([]RunCount{test.observed})) > 0, qt.Equals, test.mismatch, qt.Commentf(name))
	}
}

func TestWriteTablePrintsOneRowPerGroup(t *testing.T) {
	c := qt.New(t)
	r := newResults()
	for range 3 {
		r.add(Result{
			Name:    "pairing",
			Class:   "urgent",
			Outcome: tanagerfailure.Done,
			Wait:    2 * time.Millisecond,
		})
	}
	r.add(Result{
		Name:    "booking",
		Class:   "normal",
		Outcome: tanagerfailure.NotRun,
		Code:    tanagerfailure.QueueFull,
	})
	var output bytes.Buffer
	c.Assert(r.WriteTable(&output), qt.IsNil)
	c.Assert(output.String(), qt.Matches,
		`(?s).*booking +normal +1 +0 +0 +1 .*pairing +urgent +3 +3 .*2ms.*answered queue_full: 1\n`)
}
