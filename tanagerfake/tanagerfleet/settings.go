package tanagerfleet

import (
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// Settings configures a Fleet.
type Settings struct {
	// Address is the IP address that the VMs listen on. The operating system
	// chooses the ports.
	Address netip.Addr `yaml:"address"`
	// ListLag is the delay until a change of a VM is visible in the list.
	ListLag time.Duration `yaml:"list_lag"`
	// UsageLag is the time after which a running task's usage is first reported.
	UsageLag time.Duration `yaml:"usage_lag"`
	// LeavingGrace is the time after which new work on a VM that the list shows as
	// leaving counts as a violation.
	LeavingGrace time.Duration `yaml:"leaving_grace"`
	Workers      []WorkerGroup `yaml:"workers"`
	Targets      []TargetGroup `yaml:"targets"`
}

// WorkerGroup describes Count identical workers in one rack.
type WorkerGroup struct {
	Rack          string `yaml:"rack"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
	Count         int    `yaml:"count"`
	Cores         int64  `yaml:"cores"`
	MemoryMiB     int64  `yaml:"memory_mib"`
	Accelerators  int64  `yaml:"accelerators"`
}

// TargetGroup describes Count identical targets of one service in one rack.
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
