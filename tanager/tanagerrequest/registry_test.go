package tanagerrequest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerfailure"
)

var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

func newRegistry() *Registry[string] {
	return NewRegistry[string](Settings{
		Coordinator: "d1",
		Window:      time.Minute,
		Retention:   2 * time.Minute,
	}, start)
}

func TestRepeatedIDReturnsFirstResult(t *testing.T) {
	c := qt.New(t)
	r := newRegistry()
	id := r.Issue(start.Add(time.Second))
	key := Key{
		Branch: "red",
		Digest: 1,
	}
	value, first, failure := r.Begin(id, key, start.Add(2*time.Second))
	c.Assert(failure == nil && first, qt.IsTrue)
	*value = "outcome"
	repeated, first, failure := r.Begin(id, key, start.Add(90*time.Second))
	c.Assert(failure == nil && !first, qt.IsTrue)
	c.Assert(*repeated, qt.Equals, "outcome")
	for _, otherKey := range []Key{
		{
			Branch: "blue",
			Digest: 1,
		},
		{
			Branch: "red",
			Digest: 2,
		},
	} {
		_, _, failure = r.Begin(id, otherKey, start)
		c.Check(failure.Code, qt.Equals, tanagerfailure.RequestIDReused)
	}
}

// TestExpiredIDIsNotRunAgain repeats an id after its entry was removed. The repeat
// must fail with an unknown outcome, as the first use may have run.
func TestExpiredIDIsNotRunAgain(t *testing.T) {
	c := qt.New(t)
	r := newRegistry()
	id := r.Issue(start)
	_, _, failure := r.Begin(id, Key{}, start.Add(time.Minute))
	c.Assert(failure == nil, qt.IsTrue)
	r.Expire(start.Add(3*time.Minute), func(*string) bool { return false })
	c.Assert(r.Len(), qt.Equals, 1)
	r.Expire(start.Add(3*time.Minute), func(*string) bool { return true })
	c.Assert(r.Len(), qt.Equals, 0)
	_, _, failure = r.Begin(id, Key{}, start.Add(3*time.Minute))
	c.Assert(failure.Code, qt.Equals, tanagerfailure.RequestIDExpired)
	c.Assert(failure.Outcome, qt.Equals, tanagerfailure.Unknown)
}

func TestUnissuedIDsAreRejected(t *testing.T) {
	c := qt.New(t)
	r := newRegistry()
	id := r.Issue(start)
	parsed, failure := Parse(id.String())
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(parsed, qt.Equals, id)
	id.Number++
	_, _, failure = r.Begin(id, Key{}, start)
	c.Assert(failure.Code, qt.Equals, tanagerfailure.InvalidField)
	for _, text := range []string{"", "d1", "d1.x", "d1.-1.1", "d1.1.!", ".1.1", "a.b.c.d"} {
		_, failure := Parse(text)
		c.Check(failure, qt.Not(qt.IsNil), qt.Commentf("%q", text))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("d1-0a1b2c3d.2jb.1")
	f.Add("d1..")
	f.Fuzz(func(t *testing.T, text string) {
		id, failure := Parse(text)
		if failure != nil {
			return
		}
		roundTrip, failure := Parse(id.String())
		if failure != nil || roundTrip != id {
			t.Fatalf("%q became %v", text, roundTrip)
		}
	})
}
