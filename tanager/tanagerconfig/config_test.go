package tanagerconfig

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerwire"
)

var now = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

func setBranchIntent(branch string, weight float64) Intent {
	return Intent{
		Kind:   SetBranch,
		Branch: branch,
		Rules: &Rules{
			Weight:      weight,
			UrgentShare: 0.2,
		},
	}
}

func grantExceptionIntent(branch string, factor float64, until time.Time) Intent {
	return Intent{
		Kind:   GrantException,
		Branch: branch,
		Exception: &Exception{
			Name:         "spring-pruning",
			WeightFactor: factor,
			Until:        until,
		},
	}
}

func TestExceptionAppliesBetweenFromAndUntil(t *testing.T) {
	c := qt.New(t)
	s, failure := New().Apply(setBranchIntent("rosenheim", 30), now)
	c.Assert(failure == nil, qt.IsTrue)
	until := now.Add(96 * time.Hour)
	s, failure = s.Apply(grantExceptionIntent("rosenheim", 2, until), now)
	c.Assert(failure == nil, qt.IsTrue)
	for at, weight := range map[time.Time]float64{
		now.Add(-time.Second):   30,
		now:                     60,
		until.Add(-time.Second): 60,
		until:                   30,
	} {
		rules, ok := s.Effective("rosenheim", at)
		c.Check(ok, qt.IsTrue)
		c.Check(rules.Weight, qt.Equals, weight, qt.Commentf("at %s", at))
	}
	c.Assert(s.Revision, qt.Equals, uint64(2))
}

func TestInvalidIntentsLeaveStateUnchanged(t *testing.T) {
	c := qt.New(t)
	s, _ := New().Apply(setBranchIntent("rosenheim", 30), now)
	for name, test := range map[string]struct {
		intent Intent
		code   tanagerfailure.Code
	}{
		"unknown branch": {intent: grantExceptionIntent("augsburg", 2, now.Add(time.Hour)),
			code: tanagerfailure.UnknownBranch},
		"factor too large": {intent: grantExceptionIntent("rosenheim", 5, now.Add(time.Hour)),
			code: tanagerfailure.LimitExceeded},
		"weight too large": {intent: grantExceptionIntent("rosenheim", 3.5, now.Add(time.Hour)),
			code: tanagerfailure.LimitExceeded},
		"exception too long": {intent: grantExceptionIntent("rosenheim", 2, now.Add(32*24*time.Hour)),
			code: tanagerfailure.LimitExceeded},
		"already ended": {intent: grantExceptionIntent("rosenheim", 2, now),
			code: tanagerfailure.InvalidField},
		"no rules": {intent: Intent{Kind: SetBranch, Branch: "x"},
			code: tanagerfailure.InvalidField},
		"bad name": {intent: setBranchIntent("Rosenheim!", 1),
			code: tanagerfailure.InvalidField},
		"weight of zero": {intent: setBranchIntent("x", 0),
			code: tanagerfailure.InvalidField},
		"unknown kind": {intent: Intent{Kind: "else"},
			code: tanagerfailure.InvalidField},
		"unknown exception": {intent: Intent{Kind: RevokeException, Branch: "rosenheim", Name: "none"},
			code: tanagerfailure.InvalidField},
		"limits with zero weight": {intent: Intent{Kind: SetLimits, Limits: &Limits{}},
			code: tanagerfailure.InvalidField},
	} {
		next, failure := s.Apply(test.intent, now)
		c.Check(failure, qt.Not(qt.IsNil), qt.Commentf(name))
		c.Check(failure.Code, qt.Equals, test.code, qt.Commentf(name))
		c.Check(next, qt.DeepEquals, s, qt.Commentf(name))
	}
}

// TestReplayIsTheSameFromAnySnapshot applies random intents and checks that
// replaying any snapshot and the records after it yields the same state as
// replaying all records.
func TestReplayIsTheSameFromAnySnapshot(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		var records []tanagerjournal.Record
		states := []State{s}
		for range rapid.IntRange(1, 20).Draw(t, "intents") {
			branch := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "branch")
			intent := rapid.SampledFrom([]Intent{
				setBranchIntent(branch, 2),
				grantExceptionIntent(branch, 2, now.Add(time.Hour)),
				{
					Kind:   RemoveBranch,
					Branch: branch,
				},
				{
					Kind:   RevokeException,
					Branch: branch,
					Name:   "spring-pruning",
				},
			}).Draw(t, "intent")
			next, failure := s.Apply(intent, now)
			if failure != nil {
				continue
			}
			s = next
			states = append(states, s)
			records = append(records, tanagerjournal.Record{
				Sequence: s.Revision,
				Payload: tanagerwire.Encode(Record{
					Intent: intent,
					At:     now,
				}),
			})
		}
		from := rapid.IntRange(0, len(states)-1).Draw(t, "snapshot")
		got, err := Replay(New(), tanagerjournal.Recovery{
			Snapshot: states[from].Snapshot(),
			Records:  records[from:],
		})
		if err != nil {
			t.Fatal(err)
		}
		want, _ := Replay(New(), tanagerjournal.Recovery{
			Records: records,
		})
		if string(got.Snapshot()) != string(want.Snapshot()) {
			t.Fatalf("replay from revision %d gave %v, from the start %v", from, got, want)
		}
	})
}
