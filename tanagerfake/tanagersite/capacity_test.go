package tanagersite

import (
	"encoding/base64"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerwire"
)

// A start counts against a capacity that has shrunk only after the allowance, and
// against one that has grown at once.
func TestStartsAreCheckedAgainstPresentCapacity(t *testing.T) {
	const task = "0000000000000001.0.0.0"
	for name, tc := range map[string]struct {
		capacities []int64
		// interval separates the changes, age is the time since the last one.
		interval, age time.Duration
		violations    int
	}{
		"unchanged":                {capacities: []int64{4000}, age: time.Hour},
		"too small from the start": {capacities: []int64{1000}, violations: 1},
		"just shrunk":              {capacities: []int64{4000, 1000}, interval: time.Hour, age: shrinkAllowance - 1},
		"shrunk": {
			capacities: []int64{4000, 1000},
			interval:   time.Hour,
			age:        shrinkAllowance,
			violations: 1,
		},
		"shrunk twice, the second time late": {
			capacities: []int64{4000, 1500, 1000},
			interval:   shrinkAllowance,
			violations: 1,
		},
		"shrunk twice at once": {capacities: []int64{4000, 1500, 1000}, interval: time.Second},
		"grown again":          {capacities: []int64{4000, 1000, 4000}, interval: time.Hour},
	} {
		now := time.Unix(1_700_000_000, 0)
		o := newObserver()
		o.now = func() time.Time { return now }
		o.jobs["0000000000000001"] = JobSpec{
			TasksPerStep: []int{1},
			MilliCPU:     2000,
		}
		for i, c := range tc.capacities {
			if i > 0 {
				now = now.Add(tc.interval)
			}
			o.capacityChanged("w000", c)
		}
		now = now.Add(tc.age)
		o.runStarted(wireCommand{Task: task}, "w000", nil)
		qt.Check(t, o.violations, qt.HasLen, tc.violations, qt.Commentf("%s", name))
	}
}

func TestEntryShowsCapacity(t *testing.T) {
	c := qt.New(t)
	site, err := New(Settings{
		Workers:        1,
		StoreEndpoints: 1,
		MilliCPU:       4000,
	})
	c.Assert(err, qt.IsNil)
	defer site.Close()
	entry := func() (cpu, seq, born int64) {
		site.store.mu.Lock()
		value := site.store.items["servers/w000"].Value
		site.store.mu.Unlock()
		content, err := base64.StdEncoding.DecodeString(value)
		c.Assert(err, qt.IsNil)
		var decoded struct {
			Capacity struct {
				CPU int64 `json:"cpu"`
			} `json:"capacity"`
			Seq  int64 `json:"seq"`
			Born int64 `json:"born"`
		}
		c.Assert(tanagerwire.Decode(content, &decoded), qt.IsNil)
		return decoded.Capacity.CPU, decoded.Seq, decoded.Born
	}
	_, seq, born := entry()
	site.Worker(0).SetCapacity(1500)
	cpu, nextSeq, nextBorn := entry()
	c.Check(cpu, qt.Equals, int64(1500))
	c.Check(nextSeq, qt.Equals, seq+1)
	c.Check(nextBorn, qt.Equals, born)
}
