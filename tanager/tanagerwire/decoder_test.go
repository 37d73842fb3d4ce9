package tanagerwire

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// A decoder rejects long arrays and maps, also in fields that it does not know.
func TestDecoderRejectsLongArrays(t *testing.T) {
	const limit = 64
	d := NewDecoder(limit)
	long := make(map[int]int)
	for i := range limit + 1 {
		long[i] = i
	}
	for name, test := range map[string]struct {
		value any
		valid bool
	}{
		"longest":       {value: map[string]any{"steps": make([]int, limit)}, valid: true},
		"array":         {value: map[string]any{"steps": make([]int, limit+1)}},
		"unknown array": {value: map[string]any{"other": make([]int, limit+1)}},
		"nested array":  {value: map[string]any{"other": []any{make([]int, limit+1)}}},
		"map":           {value: map[string]any{"other": long}},
	} {
		var decoded struct {
			Steps []int `json:"steps"`
		}
		err := d.Decode(Encode(test.value), &decoded)
		qt.Check(t, err == nil, qt.Equals, test.valid, qt.Commentf("%s", name))
		qt.Check(t, err == nil || errorx.IsOfType(err, Malformed), qt.IsTrue, qt.Commentf("%s", name))
	}
}
