package tanagerdispatch

import "time"

// Settings of a Cell. All fields are required.
type Settings struct {
	// Lease is how long a worker runs on without hearing from the scheduler.
	Lease time.Duration
	// StopGrace is how long a worker may take to stop a run.
	StopGrace time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
}

const (
	// clockDrift bounds how much slower a worker's clock may run; the platform
	// states it.
	clockDrift = 0.02
	// leaseExpiryMargin is added to the end of a lease for the worker's own reaction.
	leaseExpiryMargin = 300 * time.Millisecond
	// predecessorRenewalWindow bounds how long a scheduler that has been replaced goes
	// on extending leases: one poll until a worker refuses its epoch, and the
	// timeout of that call.
	predecessorRenewalWindow = pollWait + 700*time.Millisecond
	// pollWait is how long a worker may hold back its answer to a poll. It also
	// bounds how old the progress of running tasks is.
	pollWait = time.Second
	// minPollInterval spaces the polls of one worker, so that ends that are close
	// together share an answer.
	minPollInterval = 25 * time.Millisecond
	// maxFirstPolls bounds the workers that are polled for the first time in a term
	// or a life: some milliseconds of processor time.
	maxFirstPolls = 128
	// maxIdlePollRate is how many polls a second all workers that run nothing get,
	// where one a second each would be more: a fifth of a core at the measured
	// 0.6 ms a poll. mostIdlePause bounds how late a worker that stays listed and
	// answers nothing is noticed.
	maxIdlePollRate  = 350
	maxIdlePollPause = 10 * time.Second
	// maxProgressWriteWait bounds how long a poll waits until the last ends are stored: some
	// writes, so that a slow store does not hide further ends.
	maxProgressWriteWait = 120 * time.Millisecond
	// pollRetryDelay is the pause after a poll that failed.
	pollRetryDelay = 150 * time.Millisecond
	// silenceTimeout is how long a worker may be silent and still get new work: a
	// poll's wait and its transfer.
	silenceTimeout = pollWait + 700*time.Millisecond
	// maxStartSends is how often an unanswered start is sent before it is stopped.
	maxStartSends = 2
	// stopRetryInterval is the pause before an unanswered stop is sent again.
	stopRetryInterval = 250 * time.Millisecond
	// runsPerEpoch separates the run numbers of epochs, so that a new scheduler
	// uses none that its predecessor may have used.
	runsPerEpoch = 1000
	// expiryFactor times its objective is the time after which a job is of no use
	// to its caller; the operator states it.
	expiryFactor = 3
)
