package tanagercell

import (
	"context"
	"net"
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
)

// Settings are the parameters of a daemon. All fields but PeerDial are required.
type Settings struct {
	Name        string
	PeerAddress netip.AddrPort
	PeerToken   string
	// PeerDial opens connections to other daemons; nil is the system's network.
	PeerDial func(ctx context.Context, network, address string) (net.Conn, error)
	// Weight is the daemon's share of a core. Daemons of a higher weight
	// campaign earlier.
	Weight float64
	// LeaderTTL is the TTL of the scheduler's lease.
	LeaderTTL time.Duration
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes int
	Dispatch      tanagerdispatch.Settings
}

const (
	keyRoot       = "tanager/"
	leaderPrefix  = keyRoot + "lead/"
	holderKey     = leaderPrefix + "holder"
	epochKey      = leaderPrefix + "epoch"
	rosterKey     = leaderPrefix + "roster"
	intakePrefix  = keyRoot + "intake/"
	jobPrefix     = intakePrefix + "job/"
	cancelPrefix  = intakePrefix + "cancel/"
	outcomePrefix = keyRoot + "outcome/"
)

const (
	// watchTimeout bounds one watch, so that a silent connection is detected.
	// It is half of the time within which a new configuration must take effect.
	watchTimeout = time.Second
	// recoveryWatchTimeout bounds the first watch after a failed call.
	recoveryWatchTimeout = time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 100 * time.Millisecond
	// intakeWatchDelay separates two watches of the intake, which only back up
	// the messages between daemons.
	intakeWatchDelay = 400 * time.Millisecond
	// entryReturnTime is how long after an outage of the store the entries of
	// living workers may be missing, as the platform specifies, with a margin.
	entryReturnTime = 2300 * time.Millisecond
	// renewalsPerTTL is the number of lease renewals within LeaderTTL.
	renewalsPerTTL = 4
	// maxCampaignDelay is the campaign delay at weight 0; campaignJitter
	// separates daemons of equal weight.
	maxCampaignDelay = 200 * time.Millisecond
	campaignJitter   = 60 * time.Millisecond
	// incumbentHeadStart is added to the campaign delay of other daemons while
	// the scheduler still sends hints after its key has expired. If it is elected
	// again it keeps its state.
	incumbentHeadStart = time.Second
	// campaignTimeout bounds one attempt to win an election.
	campaignTimeout = 2 * time.Second

	// maxTickInterval is the time between two ticks without events;
	// minTickInterval is the least time between two ticks, so that a burst of
	// events shares one.
	maxTickInterval = 25 * time.Millisecond
	minTickInterval = 15 * time.Millisecond
	// baseHeartbeatInterval is the interval of heartbeats and hints in a cell
	// of up to largeCellMembers; memberTimeout is a few of them.
	baseHeartbeatInterval = 200 * time.Millisecond
	memberTimeout         = 1200 * time.Millisecond
	// summaryInterval separates the summaries in the log.
	summaryInterval = time.Second
	// In a cell of more than largeCellMembers the heartbeat interval grows by
	// largeCellHeartbeatFactor. Otherwise the scheduler, which receives and
	// sends one message for each daemon, would spend a quarter of a core on
	// them.
	largeCellMembers         = 100
	largeCellHeartbeatFactor = 2
	// progressWriteInterval separates writes of progress, so that several
	// changes share a transaction.
	progressWriteInterval = 30 * time.Millisecond
	// maxProgressInFlight bounds the concurrent transactions of progress. It is
	// reached only with a slow store, where ended jobs would wait for a free one.
	maxProgressInFlight = 16
	// maxKeysPerTransaction is the number of writes, each with its
	// precondition, that fit one transaction beside the epoch's precondition.
	maxKeysPerTransaction = 15
	// maxCommitsInFlight bounds the concurrent transactions of accepted jobs, for
	// a slow store as well.
	maxCommitsInFlight = 8
	// stateRequestTimeout bounds a state request to the scheduler; after it the
	// store is read instead.
	stateRequestTimeout = 300 * time.Millisecond
	// acceptedRequestTimeout bounds the question to the scheduler whether a job
	// that is about to be rejected has been accepted before.
	acceptedRequestTimeout = 50 * time.Millisecond
	// largeJobRetryAfter is the Retry-After for a large job without room. Jobs make
	// room when they are removed, some time after their end.
	largeJobRetryAfter = 8 * time.Second
	// ownRoomShare is the part, 1/ownRoomShare, of the limit of large jobs that a daemon
	// may use while no scheduler keeps room.
	ownRoomShare = 8
	// storeSubmitTimeout bounds a daemon's own attempt to store a job or a
	// cancellation; after it the request is forwarded to the scheduler, within
	// forwardTimeout.
	storeSubmitTimeout = 700 * time.Millisecond
	forwardTimeout     = 1200 * time.Millisecond
	// commitTimeout bounds a transaction of accepted jobs. No caller waits longer.
	commitTimeout = forwardTimeout
	// maxSchedulerSilence is how long ago the scheduler may have been heard for a
	// request to be forwarded to it: three base heartbeat intervals.
	maxSchedulerSilence = 600 * time.Millisecond
	// hintBytesPerSecond is the rate at which hints are sent to a daemon, the target
	// for its control traffic. Hints are nevertheless sent every maxHintInterval, so
	// that they are used before maxHintAge.
	hintBytesPerSecond = 7 << 10
	maxHintInterval    = 1200 * time.Millisecond
	// maxHintAge is the age after which the scheduler's hints are ignored. It
	// is also the published bound on the age of a pending count.
	maxHintAge = 2 * time.Second
	// unavailableRetryAfter is the retry delay sent to callers while the store
	// is unavailable. Outages last seconds.
	unavailableRetryAfter = 2 * time.Second
	// maxCachedFinalStates bounds the cache of ended jobs.
	maxCachedFinalStates = 20000
	// eventQueueLength bounds the events queued for the control goroutine.
	eventQueueLength = 8192
)
