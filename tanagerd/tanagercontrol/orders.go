package tanagercontrol

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerplatform"
)

// RunOrder sends one request to a target.
type RunOrder struct {
	Target  string
	Address netip.AddrPort
	Call    tanagerplatform.RunCall
	Timeout time.Duration
}

// SyncOrder renews the task lease of a worker and reads its report.
type SyncOrder struct {
	Worker  string
	Address netip.AddrPort
	Call    tanagerplatform.SyncCall
}

// StartOrder starts tasks on a worker.
type StartOrder struct {
	Worker  string
	Address netip.AddrPort
	Call    tanagerplatform.StartCall
}

// StopOrder stops, checkpoints or throttles tasks on a worker.
type StopOrder struct {
	Address netip.AddrPort
	Call    tanagerplatform.StopCall
}
