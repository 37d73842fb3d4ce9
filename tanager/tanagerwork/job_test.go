package tanagerwork

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/tanagerwire"
)

func TestCheckLimitsOccurrencesAndDurations(t *testing.T) {
	for name, tc := range map[string]struct {
		times              int
		interval, estimate time.Duration
		valid              bool
	}{
		"runs once":               {estimate: time.Second, valid: true},
		"one occurrence":          {times: 1, estimate: time.Second, valid: true},
		"ten a second":            {times: maxOccurrences, interval: minInterval, estimate: time.Second, valid: true},
		"no interval":             {times: 2, estimate: time.Second},
		"too many occurrences":    {times: maxOccurrences + 1, interval: time.Second, estimate: time.Second},
		"negative occurrences":    {times: -1, interval: time.Second, estimate: time.Second},
		"interval that overflows": {times: 2, interval: 1 << 62, estimate: time.Second},
		"negative estimate":       {estimate: -1},
		"estimate that overflows": {estimate: 1 << 62},
	} {
		spec := Spec{
			Times:    tc.times,
			Interval: tc.interval,
			Steps: []Step{{
				TaskCount: 1,
				Estimate:  tc.estimate,
			}},
		}
		err := spec.Check()
		qt.Check(t, err == nil, qt.Equals, tc.valid, qt.Commentf("%s: %v", name, err))
		qt.Check(t, err == nil || errorx.IsOfType(err, Invalid), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against jobs whose due time can't be stored, such as one in microseconds: each
// daemon that tried ended.
func TestCheckBoundsFirstDueTime(t *testing.T) {
	for name, tc := range map[string]struct {
		firstDue        time.Time
		times           int
		valid, storable bool
	}{
		"now":                  {firstDue: time.UnixMilli(1_700_000_000_000), times: 1, valid: true, storable: true},
		"earliest":             {firstDue: MinDue, times: 1, valid: true, storable: true},
		"latest":               {firstDue: MaxDue, times: 1, valid: true, storable: true},
		"before the year 1":    {firstDue: MinDue.Add(-time.Millisecond), times: 1, storable: true},
		"after 9999":           {firstDue: MaxDue.Add(time.Millisecond), times: 1},
		"microseconds":         {firstDue: time.UnixMilli(1_700_000_000_000_000), times: 1},
		"latest integer":       {firstDue: time.UnixMilli(math.MaxInt64), times: 1},
		"earliest integer":     {firstDue: time.UnixMilli(math.MinInt64), times: 1},
		"after 9999 elsewhere": {firstDue: MaxDue.In(time.FixedZone("", 3600)), times: 1},
	} {
		spec := Spec{
			Times:    tc.times,
			FirstDue: tc.firstDue,
			Steps:    []Step{{TaskCount: 1}},
		}
		err := spec.Check()
		qt.Check(t, err == nil, qt.Equals, tc.valid, qt.Commentf("%s: %v", name, err))
		qt.Check(t, spec.CheckStructure() == nil, qt.Equals, tc.storable, qt.Commentf("%s", name))
		if err == nil && tc.times > 0 {
			var read Spec
			qt.Check(t, tanagerwire.Decode(tanagerwire.Encode(spec), &read), qt.IsNil, qt.Commentf("%s", name))
			qt.Check(t, read.FirstDue.Equal(spec.FirstDue), qt.IsTrue, qt.Commentf("%s: %v", name, read.FirstDue))
		}
	}
}

// Jobs that were accepted under other limits still run.
func TestStructureIsValidBeyondLimits(t *testing.T) {
	spec := Spec{
		Times: maxOccurrences + 1,
		Steps: []Step{{TaskCount: maxTasks + 1}},
	}
	qt.Assert(t, spec.CheckStructure(), qt.IsNil)
	spec.Steps[0].After = []int{0}
	qt.Assert(t, spec.CheckStructure(), qt.IsNotNil)
}

// Guards against a job whose numbers of tasks overflow: it was accepted, and ended each
// scheduler that read it.
func TestCheckBoundsTaskCounts(t *testing.T) {
	for name, tc := range map[string]struct {
		counts          []int
		valid, storable bool
	}{
		"most":                {counts: []int{maxTasks - 1, 1}, valid: true, storable: true},
		"more":                {counts: []int{maxTasks, 1}, storable: true},
		"most that is stored": {counts: []int{maxStoredTasks}, storable: true},
		"more than that":      {counts: []int{maxStoredTasks, 1}},
		"largest integer":     {counts: []int{math.MaxInt}},
		"overflow to less":    {counts: []int{math.MaxInt, math.MaxInt}},
		"overflow to one":     {counts: []int{math.MaxInt, math.MaxInt, 3}},
	} {
		var spec Spec
		for _, count := range tc.counts {
			spec.Steps = append(spec.Steps, Step{TaskCount: count})
		}
		qt.Check(t, spec.Check() == nil, qt.Equals, tc.valid, qt.Commentf("%s", name))
		qt.Check(t, spec.CheckStructure() == nil, qt.Equals, tc.storable, qt.Commentf("%s", name))
	}
}

// Guards against due times that overflow, as if the occurrence were due long ago.
func TestDueTimesDoNotOverflow(t *testing.T) {
	first := time.Date(2026, time.December, 7, 12, 0, 0, 250_000_000, time.UTC)
	for _, interval := range []time.Duration{minInterval, 1500 * time.Millisecond, time.Hour, maxDuration} {
		spec := Spec{
			Times:    maxOccurrences,
			FirstDue: first,
			Interval: interval,
		}
		want := first
		for k := range maxOccurrences {
			qt.Assert(t, spec.Due(k).Equal(want), qt.IsTrue, qt.Commentf("occurrence %d at intervals of %v", k, interval))
			want = want.Add(interval)
		}
	}
	spec := Spec{
		Times:    math.MaxInt,
		Interval: maxDuration,
		Steps:    []Step{{TaskCount: 1}},
	}
	qt.Assert(t, spec.CheckStructure(), qt.IsNotNil)
}

func TestParseTaskNameRejectsNegativeNumbers(t *testing.T) {
	name, err := ParseTaskName("00000000000000ab.1.2.3")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, name.String(), qt.Equals, "00000000000000ab.1.2.3")
	for _, text := range []string{
		"00000000000000ab.0.0.-1", "00000000000000ab.0.-1.0", "00000000000000ab.-1.0.0", "00000000000000ab.0.0.4294967296",
	} {
		_, err := ParseTaskName(text)
		qt.Check(t, errorx.IsOfType(err, Invalid), qt.IsTrue, qt.Commentf("%s", text))
	}
}

// Guards against a job whose record the store refuses for its size, with those of the other
// jobs in its transaction.
func TestRecordOfValidJobFitsTheStore(t *testing.T) {
	const storeValueLimit = 1 << 20
	largest := func(nameBytes, dependencies int) *Spec {
		s := &Spec{Payload: strings.Repeat("x", maxPayloadBytes)}
		for i := range MaxSteps {
			name := strings.Repeat("x", nameBytes)
			step := Step{
				TaskCount: 1,
				Resources: Resources{
					MilliCPU: math.MaxInt64,
					MemoryMB: math.MaxInt64,
					GPUs:     math.MaxInt64,
				},
				Estimate: maxDuration,
				Label:    name,
				DataRack: name,
				Image:    name,
			}
			for k := range dependencies * min(i, 1) {
				step.After = append(step.After, k%i)
			}
			s.Steps = append(s.Steps, step)
		}
		return s
	}
	c := qt.New(t)
	valid := largest(maxNameBytes, MaxSteps)
	c.Assert(valid.Check(), qt.IsNil)
	bytes := len(tanagerwire.Encode(Record{Spec: *valid}))
	c.Assert(bytes < storeValueLimit, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	c.Assert(errorx.IsOfType(largest(maxNameBytes+1, 0).Check(), Invalid), qt.IsTrue)
	c.Assert(errorx.IsOfType(largest(0, MaxSteps+1).Check(), Invalid), qt.IsTrue)
}

// A set of occurrences holds those that were added, in ranges that are sorted and apart.
func TestOccurrenceSet(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		added := make(map[int]bool)
		var s OccurrenceSet
		for _, k := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "occurrences") {
			s.Add(k)
			added[k] = true
		}
		for k := range 32 {
			c.Check(s.Contains(k), qt.Equals, added[k], qt.Commentf("%d", k))
		}
		for i, r := range s {
			c.Check(r.First <= r.Last, qt.IsTrue)
			if i > 0 {
				c.Check(s[i-1].Last+1 < r.First, qt.IsTrue)
			}
		}
	})
}
