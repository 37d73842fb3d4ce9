package tanagerburn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerburn")

// Malformed is the type of error for an export that can't be read.
var Malformed = Errors.NewType("malformed")

// RenderFailed is the type of error for a report that can't be written.
var RenderFailed = Errors.NewType("render_failed")

// Objective is the service level of one class.
type Objective struct {
	// LongestWait is the wait up to which a start is good.
	LongestWait time.Duration `json:"longest_wait"`
	// Good is the part of the work that has to be good, below 1.
	Good float64 `json:"good"`
}

// DefaultObjectives returns the objectives by class name.
func DefaultObjectives() map[string]Objective {
	return map[string]Objective{
		"urgent": {
			LongestWait: 3900 * time.Millisecond,
			Good:        0.999,
		},
		"normal": {
			LongestWait: 15 * time.Second,
			Good:        0.99,
		},
		"batch": {
			LongestWait: 10 * time.Minute,
			Good:        0.95,
		},
	}
}

// Key names what is counted together.
type Key struct {
	Branch string `json:"branch"`
	Class  string `json:"class"`
}

// The histogram of waits: microseconds up to an hour with two digits.
const (
	leastWait  = 1
	longest    = int64(time.Hour / time.Microsecond)
	waitDigits = 2
)

// minutesKept is the length of a ledger.
const minutesKept = 24 * 60

// Minute counts the work of one minute.
type Minute struct {
	// Minute is the number of minutes since 1970.
	Minute int64  `json:"minute"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
}

type series struct {
	minutes []Minute
	waits   *hdrhistogram.Histogram
}

// Ledger counts good and bad work. It is safe for concurrent use.
type Ledger struct {
	objectives map[string]Objective

	mu     sync.Mutex
	series map[Key]*series
}

// NewLedger returns an empty ledger. Objectives are by class name; classes
// without one are not counted.
func NewLedger(objectives map[string]Objective) *Ledger {
	return &Ledger{
		objectives: objectives,
		series:     make(map[Key]*series),
	}
}

// Observe counts one piece of work that waited for wait before it started. Known
// is false if the work was refused or its outcome is unknown.
func (l *Ledger) Observe(k Key, wait time.Duration, known bool, now time.Time) {
	objective, ok := l.objectives[k.Class]
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.series[k]
	if s == nil {
		s = &series{
			waits: hdrhistogram.New(leastWait, longest, waitDigits),
		}
		l.series[k] = s
	}
	good := known && wait <= objective.LongestWait
	s.add(now.Unix()/60, good)
	if known {
		// Waits beyond an hour count as an hour.
		_ = s.waits.RecordValue(min(wait.Microseconds(), longest))
	}
}

func (s *series) add(minute int64, good bool) {
	n := len(s.minutes)
	if n == 0 || s.minutes[n-1].Minute < minute {
		s.minutes = append(s.minutes, Minute{
			Minute: minute,
		})
		n++
	}
	for len(s.minutes) > 0 && s.minutes[0].Minute <= minute-minutesKept {
		s.minutes = s.minutes[1:]
		n--
	}
	if good {
		s.minutes[n-1].Good++
		return
	}
	s.minutes[n-1].Bad++
}

// Export is the content of a ledger for Merge.
type Export struct {
	Objectives map[string]Objective `json:"objectives"`
	Series     []ExportedSeries     `json:"series"`
}

// ExportedSeries is one row of an Export.
type ExportedSeries struct {
	Key     Key      `json:"key"`
	Minutes []Minute `json:"minutes"`
	// Waits is the histogram in the compressed form of HdrHistogram, base64.
	Waits []byte `json:"waits"`
}

// Export returns a copy of the ledger's content.
func (l *Ledger) Export() (Export, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Export{
		Objectives: l.objectives,
	}
	for k, s := range l.series {
		waits, err := s.waits.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return Export{}, Malformed.Wrap(err, "histogram of %s %s", k.Branch, k.Class)
		}
		e.Series = append(e.Series, ExportedSeries{
			Key:     k,
			Minutes: slices.Clone(s.minutes),
			Waits:   waits,
		})
	}
	return e, nil
}

// Merged is the sum of several ledgers.
type Merged struct {
	objectives map[string]Objective
	series     map[Key]*mergedSeries
}

type mergedSeries struct {
	minutes map[int64]Minute
	waits   *hdrhistogram.Histogram
}

// Merge adds ledgers up. It returns an error of type Malformed if a histogram
// can't be read.
func Merge(exports ...Export) (Merged, error) {
	m := Merged{
		objectives: make(map[string]Objective),
		series:     make(map[Key]*mergedSeries),
	}
	for _, e := range exports {
		for class, o := range e.Objectives {
			m.objectives[class] = o
		}
		for _, s := range e.Series {
			if err := m.add(s); err != nil {
				return Merged{}, err
			}
		}
	}
	return m, nil
}

func (m Merged) add(s ExportedSeries) error {
	row := m.series[s.Key]
	if row == nil {
		row = &mergedSeries{
			minutes: make(map[int64]Minute),
			waits:   hdrhistogram.New(leastWait, longest, waitDigits),
		}
		m.series[s.Key] = row
	}
	for _, minute := range s.Minutes {
		sum := row.minutes[minute.Minute]
		sum.Minute = minute.Minute
		sum.Good += minute.Good
		sum.Bad += minute.Bad
		row.minutes[minute.Minute] = sum
	}
	waits, err := hdrhistogram.Decode(s.Waits)
	if err != nil {
		return Malformed.Wrap(err, "histogram of %s %s", s.Key.Branch, s.Key.Class)
	}
	row.waits.Merge(waits)
	return nil
}

func (m Merged) keys() []Key {
	keys := make([]Key, 0, len(m.series))
	for k := range m.series {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Branch, b.Branch), cmp.Compare(classOrder[a.Class], classOrder[b.Class]))
	})
	return keys
}

var classOrder = map[string]int{
	"urgent": 0,
	"normal": 1,
	"batch":  2,
}
