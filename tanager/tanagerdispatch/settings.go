package tanagerdispatch

import "time"

// Settings are the parameters of a Cell. All fields are required.
type Settings struct {
	// Lease is how long a worker keeps running tasks without hearing from the
	// scheduler.
	Lease time.Duration
	// StopGrace is how long a worker may take to stop a run.
	StopGrace time.Duration
	// GangWait is how long a worker lets a member of a gang wait for the others.
	GangWait time.Duration
	// Retention is how long the state of an ended job is kept after it could first
	// be reported.
	Retention time.Duration
	// RemoteFactor is the factor by which a task takes longer on a worker outside
	// the rack of its data.
	RemoteFactor float64
	// MaxLargeJobBytes is the limit of the memory of all jobs above LargeJobBytes. At
	// 0 a scheduler has one such job at a time.
	MaxLargeJobBytes int64
}

const (
	// clockDrift bounds the fraction by which a worker's clock may run slow, as
	// the platform specifies.
	clockDrift = 0.02
	// leaseExpiryMargin is how long after the end of its lease a worker may still
	// be ending its runs.
	leaseExpiryMargin = 300 * time.Millisecond
	// pollWait is how long a worker may delay its response to a poll (long
	// polling). It also bounds the age of the progress of running tasks.
	pollWait = time.Second
	// minPollInterval is the pause between two polls of a worker, so that one
	// response can carry several ends of runs.
	minPollInterval = 25 * time.Millisecond
	// maxFirstPolls bounds the polls in flight to workers that have not responded
	// yet in this epoch or incarnation. Their responses take some milliseconds of
	// processor time.
	maxFirstPolls = 128
	// maxIdlePollRate is the maximum number of polls per second to all idle
	// workers together. At the measured 0.6 ms per poll it takes a fifth of a
	// core. Fleets that stay below it with one poll per worker and second are not
	// slowed down. maxIdlePollPause bounds the time until a worker that is still
	// listed but no longer responds is noticed.
	maxIdlePollRate  = 350
	maxIdlePollPause = 10 * time.Second
	// maxProgressWriteWait bounds how long a poll waits for the progress of the
	// last ended runs to be stored. It covers several writes; with a slower store
	// the worker is polled anyway, so that further ends are seen.
	maxProgressWriteWait = 120 * time.Millisecond
	// maxAcknowledgementDelay bounds the time from the last response of a worker to
	// a poll that acknowledges its ends. It is below the time in which a worker
	// restarts and ends a run.
	maxAcknowledgementDelay = time.Second
	// pollRetryDelay is multiplied by the number of failed polls in a row, at
	// most 4, and delays the next poll.
	pollRetryDelay = 150 * time.Millisecond
	// silenceTimeout is how long after its last response a worker still gets new
	// work: the wait of a poll and its transfer.
	silenceTimeout = pollWait + 700*time.Millisecond
	// maxStartSends is how often a start without a response is sent before the
	// run is stopped.
	maxStartSends = 2
	// stopRetryInterval is the pause before a stop without a response is sent
	// again.
	stopRetryInterval = 250 * time.Millisecond
	// runsPerEpoch is the distance between the run numbers of successive epochs,
	// so that a scheduler never reuses a number that its predecessor may have
	// used.
	runsPerEpoch = 1000
	// expiryFactor times the objective is the age at which a job has expired: its
	// result is of no use to the caller any more, as the operator specifies.
	expiryFactor = 3
)
