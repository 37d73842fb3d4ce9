package tanageradmission

import "time"

const (
	// bucketWidth and bucketCount give the resolution and the length of the
	// history of starts.
	bucketWidth = 100 * time.Millisecond
	bucketCount = 64
	// A rate is taken over the latest part of the history that is as long as
	// 1/spansPerMaxWait of the time that jobs can wait, at least minRateSpan and at
	// most maxRateSpan, and longer until it contains minRateStarts starts. Classes
	// that can wait are not closed by a short pause of their starts.
	spansPerMaxWait = 8
	minRateSpan     = 500 * time.Millisecond
	maxRateSpan     = 5 * time.Second
	minRateStarts   = 8
	// knownRateStarts is the number of starts below which a rate is unknown.
	knownRateStarts = 3
)

// startRate is the history of the starts of one class.
type startRate struct {
	buckets [bucketCount]startBucket
}

// startBucket counts the starts of one interval of bucketWidth and their
// core-seconds. It is backlogged if work of the class waited for capacity in the
// interval. The starts of other intervals say how much work arrived, not how
// much could have been started.
type startBucket struct {
	interval   int64
	backlogged bool
	starts     int
	work       float64
}

func intervalOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// bucket returns the bucket of the interval that contains now.
func (r *startRate) bucket(now time.Time) *startBucket {
	i := intervalOf(now)
	b := &r.buckets[i%bucketCount]
	if b.interval != i {
		*b = startBucket{interval: i}
	}
	return b
}

func (r *startRate) record(now time.Time, work float64) {
	b := r.bucket(now)
	b.starts++
	b.work += work
}

func (r *startRate) markBacklogged(now time.Time) { r.bucket(now).backlogged = true }

// rateSpan returns the least span of the rate of a class whose jobs can wait for
// maxWait.
func rateSpan(maxWait time.Duration) time.Duration {
	return min(max(maxWait/spansPerMaxWait, minRateSpan), maxRateSpan)
}

// perSecond returns the core-seconds that were started per second while work
// waited, over the latest backlogged intervals that add up to minSpan or longer.
// It returns false if there were too few starts to tell. The present interval,
// which is not over, is left out.
func (r *startRate) perSecond(now time.Time, minSpan time.Duration) (float64, bool) {
	last := intervalOf(now) - 1
	starts, work := 0, 0.0
	span := time.Duration(0)
	for i := last; i > last-bucketCount+1; i-- {
		b := &r.buckets[i%bucketCount]
		if b.interval != i || !b.backlogged {
			continue
		}
		starts += b.starts
		work += b.work
		span += bucketWidth
		if starts >= minRateStarts && span >= minSpan {
			break
		}
	}
	if starts < knownRateStarts || span < minRateSpan {
		return 0, false
	}
	return work / span.Seconds(), true
}
