package tanagersettings

import (
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Member are the settings of a daemon of a cell that schedules jobs.
type Member struct {
	Daemon   MemberDaemon   `yaml:"daemon"`
	Services MemberServices `yaml:"services"`
	Limits   MemberLimits   `yaml:"limits"`
	Work     MemberWork     `yaml:"work"`
	Log      Log            `yaml:"log"`
}

// MemberDaemon says who the daemon is and where it listens.
type MemberDaemon struct {
	Name             string         `yaml:"name"`
	FailureDomain    string         `yaml:"failure_domain"`
	CallerAddress    netip.AddrPort `yaml:"caller_address"`
	ReadinessAddress netip.AddrPort `yaml:"readiness_address"`
	PeerAddress      netip.AddrPort `yaml:"peer_address"`
	// PeerListen is where it listens for the other daemons, if that is another
	// address.
	PeerListen     netip.AddrPort `yaml:"peer_listen"`
	MetricsAddress netip.AddrPort `yaml:"metrics_address"`
	PeerToken      string         `yaml:"peer_token"`
}

// MemberServices says where the outside services are.
type MemberServices struct {
	Store    netip.AddrPort `yaml:"store"`
	Advice   string         `yaml:"advice"`
	Machines string         `yaml:"machines"`
}

// MemberLimits says what the daemon may use.
type MemberLimits struct {
	// CPUShare is its part of a core, MemoryMB the memory at which it is killed.
	CPUShare float64 `yaml:"cpu_share"`
	MemoryMB int64   `yaml:"memory_mb"`
	// MaxFiles is how many descriptors it may hold, connections among them.
	MaxFiles int `yaml:"max_files"`
	// StopSeconds is the time from a signal to stop to the kill.
	StopSeconds float64 `yaml:"stop_seconds"`
}

// MemberWork holds the bounds of running tasks.
type MemberWork struct {
	// LongestLeaseMS bounds how long a worker runs on without hearing.
	LongestLeaseMS float64 `yaml:"longest_lease_ms"`
	StopGraceMS    float64 `yaml:"stop_grace_ms"`
	RetentionS     float64 `yaml:"retention_s"`
	RemoteFactor   float64 `yaml:"remote_factor"`
}

// LongestLease returns the bound of a worker's lease.
func (w MemberWork) LongestLease() time.Duration { return fromMilliseconds(w.LongestLeaseMS) }

// StopGrace returns how long a worker may take to stop a task.
func (w MemberWork) StopGrace() time.Duration { return fromMilliseconds(w.StopGraceMS) }

// Retention returns how long ended jobs are remembered.
func (w MemberWork) Retention() time.Duration { return fromMilliseconds(w.RetentionS * 1000) }

func fromMilliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// LoadMember reads and checks the settings file of a member of a cell.
func LoadMember(path string) (Member, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Member{}, Unreadable.Wrap(err, "%s", path)
	}
	return ParseMember(content)
}

// ParseMember reads and checks the content of such a file.
func ParseMember(content []byte) (Member, error) {
	m := Member{
		Work: MemberWork{
			RemoteFactor: 1,
		},
		Log: Log{
			Level: "info",
		},
	}
	if err := yaml.UnmarshalWithOptions(content, &m, yaml.Strict()); err != nil {
		return Member{}, explain(err, content)
	}
	if !m.Daemon.PeerListen.IsValid() {
		m.Daemon.PeerListen = m.Daemon.PeerAddress
	}
	return m, m.check()
}

func (m *Member) check() error {
	addresses := map[string]netip.AddrPort{
		"daemon.caller_address":    m.Daemon.CallerAddress,
		"daemon.readiness_address": m.Daemon.ReadinessAddress,
		"daemon.peer_address":      m.Daemon.PeerAddress,
		"daemon.metrics_address":   m.Daemon.MetricsAddress,
		"services.store":           m.Services.Store,
	}
	for name, a := range addresses {
		if !a.IsValid() {
			return OutOfRange.New("%s must be an IP address with a port", name)
		}
	}
	positive := map[string]float64{
		"limits.cpu_share":      m.Limits.CPUShare,
		"limits.memory_mb":      float64(m.Limits.MemoryMB),
		"limits.max_files":      float64(m.Limits.MaxFiles),
		"limits.stop_seconds":   m.Limits.StopSeconds,
		"work.longest_lease_ms": m.Work.LongestLeaseMS,
		"work.stop_grace_ms":    m.Work.StopGraceMS,
		"work.retention_s":      m.Work.RetentionS,
		"work.remote_factor":    m.Work.RemoteFactor,
	}
	for name, n := range positive {
		if n <= 0 {
			return OutOfRange.New("%s must be greater than 0, it is %v", name, n)
		}
	}
	if m.Daemon.Name == "" || m.Daemon.PeerToken == "" {
		return OutOfRange.New("daemon.name and daemon.peer_token must not be empty")
	}
	return nil
}
