package tanagerwire

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// TestTimesKeepNanoseconds guards against the truncation of encoded times to
// seconds. A job's wait time is measured from its arrival time to the millisecond.
func TestTimesKeepNanoseconds(t *testing.T) {
	sent := time.Date(2026, 12, 4, 5, 0, 1, 987654321, time.UTC)
	var received time.Time
	c := qt.New(t)
	c.Assert(Decode(Encode(sent), &received), qt.IsNil)
	c.Assert(received.Equal(sent), qt.IsTrue)
}

// Guards against times that are accepted from a daemon or the store and end the process
// that encodes them again: a number of seconds, too, stands for a time.
func TestDecodedTimesCanBeEncoded(t *testing.T) {
	type embedded struct {
		At time.Time `json:"at"`
	}
	type message struct {
		embedded
		Name    string               `json:"name"`
		Pointer *time.Time           `json:"pointer,omitempty"`
		List    []embedded           `json:"list,omitempty"`
		ByName  map[string]time.Time `json:"by_name,omitempty"`
		Next    *message             `json:"next,omitempty"`
	}
	for _, test := range []struct {
		seconds int64
		valid   bool
	}{
		{seconds: 0, valid: true},
		{seconds: 1_700_000_000, valid: true},
		{seconds: 1_700_000_000_000},
		{seconds: math.MaxInt64},
		{seconds: math.MinInt64},
	} {
		at := map[string]any{"at": test.seconds}
		for name, value := range map[string]any{
			"embedded": at,
			"pointer":  map[string]any{"pointer": test.seconds},
			"list":     map[string]any{"list": []any{at}},
			"map":      map[string]any{"by_name": map[string]any{"x": test.seconds}},
			"nested":   map[string]any{"next": map[string]any{"next": at}},
		} {
			comment := qt.Commentf("%s of %d s", name, test.seconds)
			var decoded message
			err := Decode(Encode(value), &decoded)
			qt.Check(t, err == nil, qt.Equals, test.valid, comment)
			qt.Check(t, err == nil || errorx.IsOfType(err, Malformed), qt.IsTrue, comment)
			if err == nil {
				_, err := Marshal(decoded)
				qt.Check(t, err, qt.IsNil, comment)
			}
		}
	}
}

func TestMarshalReturnsError(t *testing.T) {
	for _, v := range []any{time.UnixMilli(1_700_000_000_000_000), make(chan int)} {
		_, err := Marshal(v)
		qt.Check(t, errorx.IsOfType(err, Unencodable), qt.IsTrue, qt.Commentf("%T", v))
	}
}
