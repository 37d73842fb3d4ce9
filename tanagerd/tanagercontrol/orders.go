package tanagercontrol

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerplatform"
)

// RunOrder is one run of a request at a target.
type RunOrder struct {
	Target  string
	Address netip.AddrPort
	Call    tanagerplatform.RunCall
	Timeout time.Duration
}

// SyncOrder is one sync with a worker.
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

// StopOrder takes resources from tasks on a worker.
type StopOrder struct {
	Address netip.AddrPort
	Call    tanagerplatform.StopCall
}
