package tanagerboot

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestKeyValues(t *testing.T) {
	for line, want := range map[string]string{
		`{"level":"info","n":3,"x":1.5,"ok":true}` + "\n": "level=info n=3 x=1.5 ok=true\n",
		`{"reason":"two words","e":"a\"b, c:d"}` + "\n":   `reason="two words" e="a\"b, c:d"` + "\n",
		`{"empty":""}` + "\n":                             `empty=""` + "\n",
		"not an object\n":                                 "not an object\n",
		`{"cut`:                                           `{"cut` + "\n",
		``:                                                "\n",
	} {
		qt.New(t).Check(string(appendKeyValues(nil, []byte(line))), qt.Equals, want)
	}
}

func FuzzKeyValues(f *testing.F) {
	f.Add([]byte(`{"a":"b","c":1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		out := appendKeyValues(nil, line)
		if !bytes.HasSuffix(out, []byte("\n")) {
			t.Errorf("%q ends without a line break", out)
		}
	})
}
