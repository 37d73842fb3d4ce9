package tanagersettings

import (
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanageringress"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagersettings")

// Types of the errors of Load and LoadMember.
var (
	// Unreadable means that the file could not be read.
	Unreadable = Errors.NewType("unreadable")
	// Malformed means that the file is not YAML, or has unknown keys or values that
	// cannot be parsed.
	Malformed = Errors.NewType("malformed")
	// OutOfRange means that values are outside their ranges.
	OutOfRange = Errors.NewType("out_of_range")
)

// Settings holds the settings of a daemon.
type Settings struct {
	Daemon    Daemon     `yaml:"daemon"`
	Platform  Platform   `yaml:"platform"`
	Store     Store      `yaml:"store"`
	Cell      Cell       `yaml:"cell"`
	Queue     Queue      `yaml:"queue"`
	Limits    Limits     `yaml:"limits"`
	Callers   []Caller   `yaml:"callers"`
	Operators []Operator `yaml:"operators"`
	Log       Log        `yaml:"log"`
}

// Daemon holds the identity and the addresses of the daemon.
type Daemon struct {
	Name          string         `yaml:"name"`
	FailureDomain string         `yaml:"failure_domain"`
	Region        string         `yaml:"region"`
	HTTPAddress   netip.AddrPort `yaml:"http_address"`
	// PeerAddress is the address at which other daemons reach this one.
	PeerAddress netip.AddrPort `yaml:"peer_address"`
	// PeerListen is the address on which the daemon listens for other daemons. It
	// is PeerAddress by default.
	PeerListen netip.AddrPort `yaml:"peer_listen"`
	// PeerToken is shared by all daemons of a cell.
	PeerToken string `yaml:"peer_token"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store  netip.AddrPort `yaml:"store"`
	VMList netip.AddrPort `yaml:"vm_list"`
}

// Store configures the daemon's lease in the platform's key-value store and
// limits its calls to the store.
type Store struct {
	// LeaseTTL is the time to live of the daemon's lease.
	LeaseTTL    time.Duration `yaml:"lease"`
	CallTimeout time.Duration `yaml:"call_timeout"`
	// WritesPerSecond and ReadsPerSecond are the rate limits of calls.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
}

// Cell holds the settings that must be the same at all daemons of a cell.
type Cell struct {
	// Shards is the number of shards of a new shard map.
	Shards int `yaml:"shards"`
	// TaskLeaseTTL is how long a worker continues its tasks without a renewal from
	// its owner.
	TaskLeaseTTL time.Duration `yaml:"task_lease"`
	// PromiseDuration is the duration of a promise, with which an owner remains
	// an owner while the store is unavailable.
	PromiseDuration time.Duration `yaml:"promise"`
	// ClockDrift is the largest relative drift between two clocks. Every wait that
	// depends on another machine's clock is extended by it.
	ClockDrift float64 `yaml:"clock_drift"`
	// MaxListLag is the longest time by which one daemon's list of VMs may be
	// behind another's.
	MaxListLag time.Duration `yaml:"list_lag"`
	// MaxRequestTimeout is the longest timeout that a request may have, and so the
	// longest time that it may occupy a slot after its owner has failed.
	MaxRequestTimeout time.Duration `yaml:"longest_request"`
	// RequestIDWindow is how long after its issue a request ID may be used and
	// repeated.
	RequestIDWindow time.Duration `yaml:"request_window"`
}

// Queue configures the request queue of each service.
type Queue struct {
	// MaxClassLength is the maximum number of queued requests of one class of one
	// branch, MaxLength that of all queued requests.
	MaxClassLength int `yaml:"branch_length"`
	MaxLength      int `yaml:"total_length"`
	// InitialCost is the expected slot time of a request before any has ended.
	InitialCost time.Duration `yaml:"first_cost"`
	// MinRetryAfter and MaxRetryAfter limit the retry-after time of rejected
	// requests.
	MinRetryAfter time.Duration `yaml:"retry_floor"`
	MaxRetryAfter time.Duration `yaml:"retry_ceiling"`
}

// Limits holds the resource limits of the daemon.
type Limits struct {
	// MemoryMB is the memory in MiB that the daemon may use, and MaxFiles the number
	// of open file descriptors, connections included.
	MemoryMB int64 `yaml:"memory_mb"`
	MaxFiles int   `yaml:"max_files"`
	// MaxHeaderBytes is the limit of a request's line and header fields.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
}

// Caller maps a token to the branch for which it authorizes requests and jobs.
type Caller struct {
	Token  string `yaml:"token"`
	Branch string `yaml:"branch"`
}

// Operator maps a token to the name of an operator, who may plan and confirm
// changes of the configuration.
type Operator struct {
	Token string `yaml:"token"`
	Name  string `yaml:"name"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns the defaults of settings that a file omits.
func Default() Settings {
	return Settings{
		Store: Store{
			LeaseTTL:        2400 * time.Millisecond,
			CallTimeout:     800 * time.Millisecond,
			WritesPerSecond: 40,
			ReadsPerSecond:  100,
		},
		Cell: Cell{
			Shards:            64,
			TaskLeaseTTL:      15 * time.Second,
			PromiseDuration:   time.Second,
			ClockDrift:        0.01,
			MaxListLag:        2 * time.Second,
			MaxRequestTimeout: 30 * time.Second,
			RequestIDWindow:   time.Minute,
		},
		Queue: Queue{
			MaxClassLength: 2000,
			MaxLength:      20000,
			InitialCost:    20 * time.Millisecond,
			MinRetryAfter:  250 * time.Millisecond,
			MaxRetryAfter:  30 * time.Second,
		},
		Limits: Limits{
			MemoryMB:       256,
			MaxFiles:       4096,
			MaxHeaderBytes: tanageringress.DefaultHeadBytes,
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Load reads and validates a settings file. The type of its error is Unreadable,
// Malformed or OutOfRange.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Unreadable.Wrap(err, "%s", path)
	}
	return Parse(content)
}

// Parse parses and validates the content of a settings file. The type of its
// error is Malformed or OutOfRange.
func Parse(content []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(content, &s, yaml.Strict()); err != nil {
		return Settings{}, decodeError(err, content)
	}
	if !s.Daemon.PeerListen.IsValid() {
		s.Daemon.PeerListen = s.Daemon.PeerAddress
	}
	if err := validate(s, content); err != nil {
		return Settings{}, err
	}
	return s, nil
}
