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

// Malformed is the type of error for a histogram that cannot be encoded or
// decoded.
var Malformed = Errors.NewType("malformed")

// RenderFailed is the type of error for a report that cannot be written.
var RenderFailed = Errors.NewType("render_failed")

// Objective is the service-level objective of one class.
type Objective struct {
	// MaxWait is the longest wait time with which a start is good.
	MaxWait time.Duration `json:"longest_wait"`
	// GoodRatio is the fraction that has to be good; it must be below 1.
	GoodRatio float64 `json:"good"`
}

// DefaultObjectives returns the objectives by class name.
func DefaultObjectives() map[string]Objective {
	return map[string]Objective{
		"urgent": {
			MaxWait:   3900 * time.Millisecond,
			GoodRatio: 0.999,
		},
		"normal": {
			MaxWait:   15 * time.Second,
			GoodRatio: 0.99,
		},
		"batch": {
			MaxWait:   10 * time.Minute,
			GoodRatio: 0.95,
		},
	}
}

// Key identifies a series of counts.
type Key struct {
	Branch string `json:"branch"`
	Class  string `json:"class"`
}

// The range and precision of the histogram of wait times.
const (
	minWaitMicroseconds   = 1
	maxWaitMicroseconds   = int64(time.Hour / time.Microsecond)
	waitSignificantDigits = 2
)

// retentionMinutes is how long a recorder retains the counts of a minute.
const retentionMinutes = 24 * 60

// MinuteCounts holds the good and bad counts of one minute.
type MinuteCounts struct {
	// Minute is the number of minutes since the start of 1970, in UTC.
	Minute int64  `json:"minute"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
}

// series holds the counts of one key in ascending order of minutes.
type series struct {
	minutes []MinuteCounts
	waits   *hdrhistogram.Histogram
}

// Recorder counts good and bad requests and tasks. It is safe for concurrent use.
type Recorder struct {
	objectives map[string]Objective

	mu     sync.Mutex
	series map[Key]*series
}

// NewRecorder returns an empty recorder. The objectives are keyed by class name;
// classes without an objective are not counted.
func NewRecorder(objectives map[string]Objective) *Recorder {
	return &Recorder{
		objectives: objectives,
		series:     make(map[Key]*series),
	}
}

// Observe counts one request or task. Wait is its wait time before the start;
// known is false if it was rejected or its outcome is unknown.
func (r *Recorder) Observe(k Key, wait time.Duration, known bool, now time.Time) {
	objective, ok := r.objectives[k.Class]
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[k]
	if s == nil {
		s = &series{
			waits: hdrhistogram.New(minWaitMicroseconds, maxWaitMicroseconds, waitSignificantDigits),
		}
		r.series[k] = s
	}
	good := known && wait <= objective.MaxWait
	s.count(now.Unix()/60, good)
	if known {
		// Waits above the histogram's range count as an hour.
		_ = s.waits.RecordValue(min(wait.Microseconds(), maxWaitMicroseconds))
	}
}

// count adds to the counts of a minute and removes expired minutes.
func (s *series) count(minute int64, good bool) {
	n := len(s.minutes)
	if n == 0 || s.minutes[n-1].Minute < minute {
		s.minutes = append(s.minutes, MinuteCounts{
			Minute: minute,
		})
		n++
	}
	for len(s.minutes) > 0 && s.minutes[0].Minute <= minute-retentionMinutes {
		s.minutes = s.minutes[1:]
		n--
	}
	if good {
		s.minutes[n-1].Good++
		return
	}
	s.minutes[n-1].Bad++
}

// Export is a serialisable copy of the counts of a recorder, for Merge.
type Export struct {
	Objectives map[string]Objective `json:"objectives"`
	Series     []ExportedSeries     `json:"series"`
}

// ExportedSeries is one series of an Export.
type ExportedSeries struct {
	Key     Key            `json:"key"`
	Minutes []MinuteCounts `json:"minutes"`
	// Waits is the histogram of wait times in microseconds, in the compressed
	// base64 encoding of HdrHistogram.
	Waits []byte `json:"waits"`
}

// Export returns a copy of the counts. It returns an error of type Malformed if
// a histogram cannot be encoded.
func (r *Recorder) Export() (Export, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Export{
		Objectives: r.objectives,
	}
	for k, s := range r.series {
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

// Merged is the sum of several exports.
type Merged struct {
	objectives map[string]Objective
	series     map[Key]*mergedSeries
}

// mergedSeries holds the summed counts of one key by minute since 1970.
type mergedSeries struct {
	minutes map[int64]MinuteCounts
	waits   *hdrhistogram.Histogram
}

// Merge sums exports. It returns an error of type Malformed if a histogram cannot
// be decoded.
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
			minutes: make(map[int64]MinuteCounts),
			waits:   hdrhistogram.New(minWaitMicroseconds, maxWaitMicroseconds, waitSignificantDigits),
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

// sortedKeys returns the keys by branch name, and by class from urgent to batch.
func (m Merged) sortedKeys() []Key {
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
