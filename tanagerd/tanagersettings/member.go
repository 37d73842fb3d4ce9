package tanagersettings

import (
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"tanagersail.example/tanager/tanageringress"
)

// MemberSettings holds the settings of a member of a cell: a daemon that
// schedules jobs.
type MemberSettings struct {
	Daemon   MemberDaemon   `yaml:"daemon"`
	Services MemberServices `yaml:"services"`
	Limits   MemberLimits   `yaml:"limits"`
	Work     MemberWork     `yaml:"work"`
	Log      Log            `yaml:"log"`
}

// MemberDaemon holds the identity and the addresses of a daemon.
type MemberDaemon struct {
	Name             string         `yaml:"name"`
	FailureDomain    string         `yaml:"failure_domain"`
	CallerAddress    netip.AddrPort `yaml:"caller_address"`
	ReadinessAddress netip.AddrPort `yaml:"readiness_address"`
	PeerAddress      netip.AddrPort `yaml:"peer_address"`
	// PeerListen is the address on which the daemon listens for other daemons. It
	// is PeerAddress by default.
	PeerListen     netip.AddrPort `yaml:"peer_listen"`
	MetricsAddress netip.AddrPort `yaml:"metrics_address"`
	// PeerToken is shared by all daemons of a cell.
	PeerToken string `yaml:"peer_token"`
}

// MemberServices holds the addresses of the platform's services.
type MemberServices struct {
	Store netip.AddrPort `yaml:"store"`
	// Advice and Machines are IP addresses with a port. Empty means that the
	// platform does not have the service.
	Advice   string `yaml:"advice"`
	Machines string `yaml:"machines"`
}

// MemberLimits holds the resource limits of the daemon.
type MemberLimits struct {
	// CPUCores is the CPU limit in cores.
	CPUCores float64 `yaml:"cpu_share"`
	// MemoryMB is the memory limit in MiB. Above it the daemon is killed.
	MemoryMB int64 `yaml:"memory_mb"`
	// MaxFiles is the limit of open file descriptors, connections included.
	MaxFiles int `yaml:"max_files"`
	// StopSeconds is the time from the signal to stop until the daemon is killed.
	StopSeconds float64 `yaml:"stop_seconds"`
	// MaxValueBytes is the largest value that the store accepts. The default is 1 MiB.
	MaxValueBytes int `yaml:"max_value_bytes"`
	// MaxHeaderBytes is the limit of a request's line and header fields. The default
	// is 16 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
}

// MemberWork holds the parameters of running tasks.
type MemberWork struct {
	// MaxLeaseMS is the upper limit of a worker's lease, for which the worker
	// continues its tasks without a renewal.
	MaxLeaseMS float64 `yaml:"longest_lease_ms"`
	// StopGraceMS is the time that a worker may take to stop a task.
	StopGraceMS float64 `yaml:"stop_grace_ms"`
	// GangWaitMS is the time for which a worker lets a task of a gang wait for the
	// others. The default is 3000.
	GangWaitMS float64 `yaml:"gang_wait_ms"`
	// RetentionS is the time for which the state of an ended job is kept.
	RetentionS float64 `yaml:"retention_s"`
	// RemoteFactor is the factor by which a task takes longer outside the rack of
	// its data. The default is 1.
	RemoteFactor float64 `yaml:"remote_factor"`
}

// MaxLease returns the upper limit of a worker's lease.
func (w MemberWork) MaxLease() time.Duration { return durationFromMS(w.MaxLeaseMS) }

// StopGrace returns the time that a worker may take to stop a task.
func (w MemberWork) StopGrace() time.Duration { return durationFromMS(w.StopGraceMS) }

// GangWait returns the time for which a worker lets a task of a gang wait for the
// others.
func (w MemberWork) GangWait() time.Duration { return durationFromMS(w.GangWaitMS) }

// Retention returns the time for which the state of an ended job is kept.
func (w MemberWork) Retention() time.Duration { return durationFromMS(w.RetentionS * 1000) }

// defaultMaxValueBytes is the default of MemberLimits.MaxValueBytes.
const defaultMaxValueBytes = 1 << 20

// defaultGangWaitMS is the default of MemberWork.GangWaitMS.
const defaultGangWaitMS = 3000

func durationFromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// LoadMember reads and validates the settings file of a member. The type of its
// error is Unreadable, Malformed or OutOfRange.
func LoadMember(path string) (MemberSettings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return MemberSettings{}, Unreadable.Wrap(err, "%s", path)
	}
	return ParseMember(content)
}

// ParseMember parses and validates the content of a member's settings file. The
// type of its error is Malformed or OutOfRange.
func ParseMember(content []byte) (MemberSettings, error) {
	m := MemberSettings{
		Limits: MemberLimits{
			MaxValueBytes:  defaultMaxValueBytes,
			MaxHeaderBytes: tanageringress.DefaultHeadBytes,
		},
		Work: MemberWork{
			GangWaitMS:   defaultGangWaitMS,
			RemoteFactor: 1,
		},
		Log: Log{
			Level: "info",
		},
	}
	if err := yaml.UnmarshalWithOptions(content, &m, yaml.Strict()); err != nil {
		return MemberSettings{}, decodeError(err, content)
	}
	if !m.Daemon.PeerListen.IsValid() {
		m.Daemon.PeerListen = m.Daemon.PeerAddress
	}
	if err := m.validate(); err != nil {
		return MemberSettings{}, err
	}
	return m, nil
}

func (m *MemberSettings) validate() error {
	addresses := map[string]netip.AddrPort{
		"daemon.caller_address":    m.Daemon.CallerAddress,
		"daemon.readiness_address": m.Daemon.ReadinessAddress,
		"daemon.peer_address":      m.Daemon.PeerAddress,
		"daemon.metrics_address":   m.Daemon.MetricsAddress,
		"services.store":           m.Services.Store,
	}
	for key, address := range addresses {
		if !address.IsValid() {
			return OutOfRange.New("%s must be an IP address with a port", key)
		}
	}
	mustBePositive := map[string]float64{
		"limits.cpu_share":        m.Limits.CPUCores,
		"limits.memory_mb":        float64(m.Limits.MemoryMB),
		"limits.max_files":        float64(m.Limits.MaxFiles),
		"limits.stop_seconds":     m.Limits.StopSeconds,
		"limits.max_value_bytes":  float64(m.Limits.MaxValueBytes),
		"limits.max_header_bytes": float64(m.Limits.MaxHeaderBytes),
		"work.longest_lease_ms":   m.Work.MaxLeaseMS,
		"work.stop_grace_ms":      m.Work.StopGraceMS,
		"work.gang_wait_ms":       m.Work.GangWaitMS,
		"work.retention_s":        m.Work.RetentionS,
		"work.remote_factor":      m.Work.RemoteFactor,
	}
	for key, value := range mustBePositive {
		if value <= 0 {
			return OutOfRange.New("%s must be greater than 0, it is %v", key, value)
		}
	}
	if m.Daemon.Name == "" || m.Daemon.PeerToken == "" {
		return OutOfRange.New("daemon.name and daemon.peer_token must not be empty")
	}
	return nil
}
