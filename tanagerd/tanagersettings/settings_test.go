package tanagersettings

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

const valid = `daemon:
  name: d1
  failure_domain: a
  http_address: 127.0.0.1:7001
  peer_address: 127.0.0.1:7002
  peer_token: a-long-peer-token
platform:
  store: 127.0.0.1:7003
  vm_list: 127.0.0.1:7004
store:
  lease: 3s
callers:
  - {token: a-long-caller-token, branch: red}
operators:
  - {token: a-long-operator-token, name: centre}
`

func TestValidSettingsKeepTheDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse([]byte(valid))
	c.Assert(err, qt.IsNil)
	c.Check(s.Store.Lease, qt.Equals, 3*time.Second)
	c.Check(s.Cell, qt.Equals, Default().Cell)
	c.Check(s.Daemon.PeerListen, qt.Equals, s.Daemon.PeerAddress)
}

func TestProblemsNameLineKeyAndRange(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		old, new string
		kind     *errorx.Type
		want     []string
	}{
		"range":       {old: "lease: 3s", new: "lease: 1ms", kind: OutOfRange, want: []string{"line 11", "store.lease", "from 1s to 1m0s"}},
		"unknown key": {old: "lease: 3s", new: "leese: 3s", kind: Malformed, want: []string{"11:", "leese"}},
		"not a time":  {old: "lease: 3s", new: "lease: soon", kind: Malformed, want: []string{"line 11", "store.lease", "duration with a unit"}},
		"missing":     {old: "  name: d1\n", new: "", kind: OutOfRange, want: []string{"daemon.name", "line 2"}},
		"address":     {old: "127.0.0.1:7003", new: "store.local:7003", kind: Malformed, want: []string{"line 8", "platform.store", "IP number"}},
		"token":       {old: "a-long-caller-token", new: "short", kind: OutOfRange, want: []string{"line 13", "callers[0].token", "16 bytes"}},
		"same tokens": {old: "a-long-caller-token", new: "a-long-operator-token", kind: OutOfRange, want: []string{"line 15", "unlike every other"}},
	} {
		_, err := Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))
		c.Check(errorx.IsOfType(err, test.kind), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		for _, want := range test.want {
			c.Check(err, qt.ErrorMatches, "(?s).*"+regexpQuote(want)+".*", qt.Commentf(name))
		}
	}
}

func regexpQuote(s string) string {
	return strings.NewReplacer("[", `\[`, "]", `\]`, ".", `\.`).Replace(s)
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	broken := strings.Replace(strings.Replace(valid, "lease: 3s", "lease: 0s", 1), "name: d1", "name: D 1", 1)
	_, err := Parse([]byte(broken))
	c.Assert(err, qt.ErrorMatches, "(?s).*daemon\\.name.*\n.*store\\.lease.*")
}
