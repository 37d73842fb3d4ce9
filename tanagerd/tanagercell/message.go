package tanagercell

import (
	"net/netip"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// The topics of messages between daemons.
const (
	topicHeartbeat          = "cell.hello"
	topicHints              = "cell.hints"
	topicJob                = "cell.job"
	topicCancel             = "cell.cancel"
	topicStateRequest       = "cell.state.asked"
	topicStateResponse      = "cell.state.told"
	topicAdviceRequest      = "cell.advice.asked"
	topicAdviceResponse     = "cell.advice.told"
	topicForwardRequest     = "cell.forwarded"
	topicForwardResponse    = "cell.forward.told"
	topicHandoverRequest    = "cell.hand_over"
	topicLeaderAnnouncement = "cell.lead.told"
	memberSeparator         = "/"
	memberSuffixBytes       = 8
)

// heartbeat reports a daemon's status to the scheduler.
type heartbeat struct {
	// HintsMissing reports that no hints have arrived for memberTimeout. The
	// scheduler then resets its connection to the daemon.
	HintsMissing bool `json:"deaf"`
	// Uptime is how long the daemon has run; Stopping is set during shutdown.
	Uptime   time.Duration `json:"up_time"`
	Stopping bool          `json:"stopping"`
	// Weight is the daemon's share of a core.
	Weight float64 `json:"weight"`
	// Followed is the last broadcast that the daemon has received.
	Followed followedBroadcast `json:"followed"`
	// SinceStoreSuccess is the time since the last successful call to the
	// store. StoreUptime is the time for which calls have succeeded, 0 while
	// they fail.
	SinceStoreSuccess time.Duration `json:"store_age"`
	StoreUptime       time.Duration `json:"store_steady"`
}

// followedBroadcast names a broadcast of a scheduler by its epoch and number.
type followedBroadcast struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// member is what the scheduler knows about a daemon from its heartbeats.
type member struct {
	lastHeartbeat time.Time
	startedAt     time.Time
	stopping      bool
	weight        float64
	// lastStoreSuccess is when a call to the store last succeeded, storeUpSince
	// the time since which all calls have succeeded.
	lastStoreSuccess time.Time
	storeUpSince     time.Time
}

// hintsMessage carries the scheduler's hints by queue. It also tells that the
// scheduler is alive.
type hintsMessage struct {
	// HeartbeatInterval is the interval at which daemons should send
	// heartbeats.
	HeartbeatInterval time.Duration `json:"every"`
	Epoch             uint64        `json:"epoch"`
	// Broadcast numbers the messages of a term, from 1.
	Broadcast uint64                                   `json:"broadcast"`
	Hints     map[string]tanagerdispatch.AdmissionHint `json:"hints,omitempty"`
	// Unchanged is set if the message has no hints, and those before it hold.
	Unchanged bool `json:"unchanged,omitempty"`
}

// jobStored notifies the scheduler of a job that is in the store.
type jobStored struct {
	Record tanagerwork.Record `json:"record"`
	// Age is the time since the job arrived. It replaces the time of arrival
	// because the clocks of daemons differ and jump.
	Age time.Duration `json:"age"`
}

type cancelStored struct {
	ID tanagerwork.JobID `json:"id"`
}

type stateRequest struct {
	CorrelationID uint64            `json:"question"`
	ID            tanagerwork.JobID `json:"id"`
	// Bytes is the size of a large job that is to be stored unless it is known; 0 for
	// a question only.
	Bytes int64 `json:"bytes,omitempty"`
}

type stateResponse struct {
	CorrelationID uint64            `json:"question"`
	Known         bool              `json:"known"`
	State         tanagerwork.State `json:"state"`
	// HasRoom is set if the scheduler keeps room for the large job, NoRoom if it has
	// none. Neither is set by a daemon that is not the scheduler, or not yet.
	HasRoom bool `json:"has_room,omitempty"`
	NoRoom  bool `json:"no_room,omitempty"`
}

// forwardRequest asks the scheduler to store a job or a cancellation for a
// daemon that cannot reach the store.
type forwardRequest struct {
	CorrelationID uint64 `json:"question"`
	// Record is nil if the request is to cancel the job Cancel.
	Record *tanagerwork.Record `json:"record,omitempty"`
	Cancel tanagerwork.JobID   `json:"cancel,omitempty"`
}

type forwardResponse struct {
	CorrelationID uint64            `json:"question"`
	Reply         tanagerport.Reply `json:"reply"`
}

type adviceRequest struct {
	Order tanagerdispatch.AdviceOrder `json:"order"`
}

type adviceResponse struct {
	Order  tanagerdispatch.AdviceOrder `json:"order"`
	Advice tanagerport.Advice          `json:"advice"`
	// Took is the duration of the call.
	Took   time.Duration `json:"took"`
	Failed bool          `json:"failed"`
}

// memberName returns a name that is unique across restarts: the address and a
// suffix that is new with each start.
func memberName(address netip.AddrPort, suffix string) string {
	return address.String() + memberSeparator + suffix
}

// Directory resolves a member name to the address that it contains.
type Directory struct{}

// Address implements tanagerpeer.Directory.
func (Directory) Address(member string) (netip.AddrPort, bool) {
	text, _, _ := strings.Cut(member, memberSeparator)
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
