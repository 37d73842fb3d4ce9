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
	topicHello        = "cell.hello"
	topicHints        = "cell.hints"
	topicJob          = "cell.job"
	topicCancel       = "cell.cancel"
	topicStateAsked   = "cell.state.asked"
	topicStateTold    = "cell.state.told"
	topicAdviceAsked  = "cell.advice.asked"
	topicAdviceTold   = "cell.advice.told"
	topicForwarded    = "cell.forwarded"
	topicForwardTold  = "cell.forward.told"
	topicHandOver     = "cell.hand_over"
	topicLeadTold     = "cell.lead.told"
	memberSeparator   = "/"
	memberSuffixBytes = 8
)

// hello tells the scheduler that a daemon is there.
type hello struct {
	// Deaf tells that no hints have come for some time: the scheduler's own
	// connection to the daemon has to be opened anew.
	Deaf bool `json:"deaf"`
	// UpTime is how long the daemon has run; Stopping ones are about to end.
	UpTime   time.Duration `json:"up_time"`
	Stopping bool          `json:"stopping"`
	// Weight is the daemon's part of a core.
	Weight float64 `json:"weight"`
	// StoreAge is the time since the store last served the daemon, StoreSteady
	// how long it has done so without a failure, zero while it fails.
	StoreAge    time.Duration `json:"store_age"`
	StoreSteady time.Duration `json:"store_steady"`
}

// member is a daemon that the scheduler has heard of.
type member struct {
	heard    time.Time
	started  time.Time
	stopping bool
	weight   float64
	// served is when the store last served it, servedSince since when it has
	// without a failure.
	served      time.Time
	servedSince time.Time
}

// hintsTold is the scheduler's word on each queue.
type hintsTold struct {
	// Every is how often daemons are to say hello.
	Every time.Duration                   `json:"every"`
	Epoch uint64                          `json:"epoch"`
	Hints map[string]tanagerdispatch.Hint `json:"hints"`
}

// jobStored tells the scheduler of a job that is in the store.
type jobStored struct {
	Record tanagerwork.Record `json:"record"`
	// Age is how long ago the job arrived: clocks of daemons differ, and jump.
	Age time.Duration `json:"age"`
}

type cancelStored struct {
	ID tanagerwork.JobID `json:"id"`
}

type stateAsked struct {
	Question uint64            `json:"question"`
	ID       tanagerwork.JobID `json:"id"`
}

type stateTold struct {
	Question uint64            `json:"question"`
	Known    bool              `json:"known"`
	State    tanagerwork.State `json:"state"`
}

// forwarded asks the scheduler to store a job or a cancellation for a daemon that
// does not reach the store.
type forwarded struct {
	Question uint64 `json:"question"`
	// Record is nil for the cancellation of Cancel.
	Record *tanagerwork.Record `json:"record,omitempty"`
	Cancel tanagerwork.JobID   `json:"cancel,omitempty"`
}

type forwardTold struct {
	Question uint64            `json:"question"`
	Reply    tanagerport.Reply `json:"reply"`
}

type adviceAsked struct {
	Order tanagerdispatch.AdviceOrder `json:"order"`
}

type adviceTold struct {
	Order  tanagerdispatch.AdviceOrder `json:"order"`
	Advice tanagerport.Advice          `json:"advice"`
	// Took is how long the call lasted.
	Took   time.Duration `json:"took"`
	Failed bool          `json:"failed"`
}

// memberName names a daemon uniquely across restarts, by its address and a
// suffix that is new with each start.
func memberName(address netip.AddrPort, suffix string) string {
	return address.String() + memberSeparator + suffix
}

// Directory finds a daemon by its member name, which holds its address.
type Directory struct{}

// Address implements tanagerpeer.Directory.
func (Directory) Address(member string) (netip.AddrPort, bool) {
	text, _, _ := strings.Cut(member, memberSeparator)
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
