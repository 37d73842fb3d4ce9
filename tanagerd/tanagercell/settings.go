package tanagercell

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
)

// Settings of a daemon. All fields are required.
type Settings struct {
	Name        string
	PeerAddress netip.AddrPort
	PeerToken   string
	// Weight is the daemon's part of a core; heavier ones are elected first.
	Weight float64
	// LeaderTTL is how long a scheduler is believed in without a renewal.
	LeaderTTL time.Duration
	Dispatch  tanagerdispatch.Settings
}

const (
	keyRoot      = "tanager/"
	leadPrefix   = keyRoot + "lead/"
	holderKey    = leadPrefix + "holder"
	epochKey     = leadPrefix + "epoch"
	rosterKey    = leadPrefix + "roster"
	intakePrefix = keyRoot + "intake/"
	jobPrefix    = intakePrefix + "job/"
	cancelPrefix = intakePrefix + "cancel/"
	outcomeKeys  = keyRoot + "outcome/"
)

const (
	// watchWait bounds one watch, so that a connection that went silent is
	// noticed; half of the time in which a configuration must be in force.
	watchWait = time.Second
	// storePause is the pause after a call to the store that failed.
	storePause = 100 * time.Millisecond
	// intakePause spaces the watches of the intake, which only back up the
	// messages between daemons.
	intakePause = 400 * time.Millisecond
	// renewals is how often a leader renews within LeaderTTL.
	renewals = 4
	// heavyDelay is the wait of the lightest daemon before it stands for
	// election; electionJitter keeps equal ones apart.
	heavyDelay     = 200 * time.Millisecond
	electionJitter = 60 * time.Millisecond
	// incumbentHeadStart is left to a scheduler that still answers but whose
	// key lapsed: it keeps its tables if it is elected again.
	incumbentHeadStart = time.Second
	// candidacyTimeout is how long an election may stay open before the next.
	candidacyTimeout = 2 * time.Second

	// tickInterval runs the systems when no event does; tickGap is the least
	// time between two runs, so that a burst of events shares one.
	tickInterval = 25 * time.Millisecond
	tickGap      = 15 * time.Millisecond
	// helloInterval spaces the messages by which daemons and the scheduler know
	// of each other; memberTimeout is a few of them.
	helloInterval = 200 * time.Millisecond
	memberTimeout = 1200 * time.Millisecond
	// loadInterval spaces the summaries in the log.
	loadInterval = time.Second
	// In a cell of more than manyMembers helloInterval is slowFactor times as long:
	// the scheduler gets and sends as many messages, and must not spend a quarter
	// of a core on them.
	manyMembers = 100
	slowFactor  = 2
	// writeGap spaces writes of progress, so that changes share a transaction.
	writeGap = 30 * time.Millisecond
	// writesInFlight bounds the transactions of progress on their way.
	writesInFlight = 4
	// pairsPerWrite is how many keys with their conditions fit one transaction
	// beside the epoch's.
	pairsPerWrite = 15
	// commitsInFlight bounds the transactions of accepted jobs on their way.
	commitsInFlight = 4
	// stateTimeout bounds the question to the scheduler before the store is
	// asked instead.
	stateTimeout = 300 * time.Millisecond
	// submitTimeout bounds the store's part in an acceptance before the
	// scheduler is asked; forwardTimeout bounds that.
	submitTimeout  = 700 * time.Millisecond
	forwardTimeout = 1200 * time.Millisecond
	// forwardHint is how fresh the scheduler's word must be before something is
	// forwarded to it: some of its messages.
	forwardHint = 600 * time.Millisecond
	// staleHint is the age after which the scheduler's hints count for nothing;
	// the published bound of a count's age.
	staleHint = 2 * time.Second
	// refusalPause is the time after which a caller may come back when the
	// store does not answer: outages last seconds.
	refusalPause = 2 * time.Second
	// finalStates bounds the ended jobs that a daemon remembers.
	finalStates = 20000
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 8192
)
