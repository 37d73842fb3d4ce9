package tanagerfleet

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// Settings of a Fleet.
type Settings struct {
	// Address is the IP number that the VMs listen on, with ports chosen by
	// the operating system.
	Address netip.Addr `yaml:"address"`
	// ListLag is how far the list is behind the VMs.
	ListLag time.Duration `yaml:"list_lag"`
	// UsageLag is how far usage reports are behind.
	UsageLag time.Duration `yaml:"usage_lag"`
	// LeavingGrace is the time after which work given to a leaving VM counts
	// as a violation.
	LeavingGrace time.Duration `yaml:"leaving_grace"`
	Workers      []WorkerGroup `yaml:"workers"`
	Targets      []TargetGroup `yaml:"targets"`
}

// WorkerGroup is a number of equal workers in one rack.
type WorkerGroup struct {
	Rack          string `yaml:"rack"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
	Count         int    `yaml:"count"`
	Cores         int64  `yaml:"cores"`
	MemoryMiB     int64  `yaml:"memory_mib"`
	Accelerators  int64  `yaml:"accelerators"`
}

// TargetGroup is a number of equal targets of one service in one rack.
type TargetGroup struct {
	Service       string `yaml:"service"`
	Rack          string `yaml:"rack"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
	Count         int    `yaml:"count"`
	Slots         int    `yaml:"slots"`
	Connections   int    `yaml:"connections"`
}

func (g WorkerGroup) capacity() tanagerresource.Vector {
	return tanagerresource.Vector{
		CPU:          g.Cores * 1000,
		Memory:       g.MemoryMiB,
		Accelerators: g.Accelerators,
	}
}
