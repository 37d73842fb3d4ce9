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

func set(branch string, weight float64) Intent {
	return Intent{
		Kind:   SetBranch,
		Branch: branch,
		Rules: &Rules{
			Weight:      weight,
			UrgentShare: 0.2,
		},
	}
}

func grant(branch string, factor float64, until time.Time) Intent {
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

func TestExceptionHoldsForItsTimeAndInsideTheLimits(t *testing.T) {
	c := qt.New(t)
	s, failure := New().Apply(set("rosenheim", 30), now)
	c.Assert(failure == nil, qt.IsTrue)
	friday := now.Add(96 * time.Hour)
	s, failure = s.Apply(grant("rosenheim", 2, friday), now)
	c.Assert(failure == nil, qt.IsTrue)
	for at, weight := range map[time.Time]float64{
		now.Add(-time.Second):    30,
		now:                      60,
		friday.Add(-time.Second): 60,
		friday:                   30,
	} {
		rules, ok := s.Effective("rosenheim", at)
		c.Check(ok, qt.IsTrue)
		c.Check(rules.Weight, qt.Equals, weight, qt.Commentf("at %s", at))
	}
	c.Assert(s.Revision, qt.Equals, uint64(2))
}

func TestIntentsOutsideTheLimitsChangeNothing(t *testing.T) {
	c := qt.New(t)
	s, _ := New().Apply(set("rosenheim", 30), now)
	for name, test := range map[string]struct {
		intent Intent
		code   tanagerfailure.Code
	}{
		"unknown branch":        {intent: grant("augsburg", 2, now.Add(time.Hour)), code: tanagerfailure.UnknownBranch},
		"factor too large":      {intent: grant("rosenheim", 5, now.Add(time.Hour)), code: tanagerfailure.LimitExceeded},
		"weight too large":      {intent: grant("rosenheim", 3.5, now.Add(time.Hour)), code: tanagerfailure.LimitExceeded},
		"too long":              {intent: grant("rosenheim", 2, now.Add(32*24*time.Hour)), code: tanagerfailure.LimitExceeded},
		"already over":          {intent: grant("rosenheim", 2, now), code: tanagerfailure.InvalidField},
		"no rules":              {intent: Intent{Kind: SetBranch, Branch: "x"}, code: tanagerfailure.InvalidField},
		"bad name":              {intent: set("Rosenheim!", 1), code: tanagerfailure.InvalidField},
		"weight of zero":        {intent: set("x", 0), code: tanagerfailure.InvalidField},
		"unknown kind":          {intent: Intent{Kind: "else"}, code: tanagerfailure.InvalidField},
		"unknown exception":     {intent: Intent{Kind: RevokeException, Branch: "rosenheim", Name: "none"}, code: tanagerfailure.InvalidField},
		"limits without weight": {intent: Intent{Kind: SetLimits, Limits: &Limits{}}, code: tanagerfailure.InvalidField},
	} {
		next, failure := s.Apply(test.intent, now)
		c.Check(failure, qt.Not(qt.IsNil), qt.Commentf(name))
		c.Check(failure.Code, qt.Equals, test.code, qt.Commentf(name))
		c.Check(next, qt.DeepEquals, s, qt.Commentf(name))
	}
}

// TestReplayIsTheSameFromAnySnapshot applies random intents and checks that a
// snapshot at any point and the records after it add up to the same state.
func TestReplayIsTheSameFromAnySnapshot(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		var records []tanagerjournal.Record
		states := []State{s}
		for range rapid.IntRange(1, 20).Draw(t, "intents") {
			branch := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "branch")
			intent := rapid.SampledFrom([]Intent{
				set(branch, 2),
				grant(branch, 2, now.Add(time.Hour)),
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
			t.Fatalf("from revision %d: %v, from the start: %v", from, got, want)
		}
	})
}
