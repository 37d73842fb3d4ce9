package tanagersettings

import (
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagersettings")

// The types of error that Load returns.
var (
	// Unreadable means that the file could not be read.
	Unreadable = Errors.NewType("unreadable")
	// Malformed means that the file is not YAML of the documented shape.
	Malformed = Errors.NewType("malformed")
	// OutOfRange means that values are outside their ranges.
	OutOfRange = Errors.NewType("out_of_range")
)

// Settings are the settings of a daemon.
type Settings struct {
	Daemon    Daemon     `yaml:"daemon"`
	Platform  Platform   `yaml:"platform"`
	Store     Store      `yaml:"store"`
	Cell      Cell       `yaml:"cell"`
	Queue     Queue      `yaml:"queue"`
	Callers   []Caller   `yaml:"callers"`
	Operators []Operator `yaml:"operators"`
	Log       Log        `yaml:"log"`
}

// Daemon says who the daemon is and where it listens.
type Daemon struct {
	Name          string         `yaml:"name"`
	FailureDomain string         `yaml:"failure_domain"`
	Region        string         `yaml:"region"`
	HTTPAddress   netip.AddrPort `yaml:"http_address"`
	// PeerAddress is where the other daemons reach this one.
	PeerAddress netip.AddrPort `yaml:"peer_address"`
	// PeerListen is where it listens for them, if that is another address.
	PeerListen netip.AddrPort `yaml:"peer_listen"`
	// PeerToken is shared by all daemons of a cell.
	PeerToken string `yaml:"peer_token"`
}

// Platform says where the platform's services are.
type Platform struct {
	Store  netip.AddrPort `yaml:"store"`
	VMList netip.AddrPort `yaml:"vm_list"`
}

// Store bounds the use of the platform's key-value service by this daemon.
type Store struct {
	Lease           time.Duration `yaml:"lease"`
	CallTimeout     time.Duration `yaml:"call_timeout"`
	WritesPerSecond float64       `yaml:"writes_per_second"`
	ReadsPerSecond  float64       `yaml:"reads_per_second"`
}

// Cell holds what all daemons of a cell must agree on.
type Cell struct {
	Shards         int           `yaml:"shards"`
	TaskLease      time.Duration `yaml:"task_lease"`
	Promise        time.Duration `yaml:"promise"`
	ClockDrift     float64       `yaml:"clock_drift"`
	ListLag        time.Duration `yaml:"list_lag"`
	LongestRequest time.Duration `yaml:"longest_request"`
	RequestWindow  time.Duration `yaml:"request_window"`
}

// Queue bounds the queue of each service.
type Queue struct {
	BranchLength int           `yaml:"branch_length"`
	TotalLength  int           `yaml:"total_length"`
	FirstCost    time.Duration `yaml:"first_cost"`
	RetryFloor   time.Duration `yaml:"retry_floor"`
	RetryCeiling time.Duration `yaml:"retry_ceiling"`
}

// Caller is a token that may act for one branch.
type Caller struct {
	Token  string `yaml:"token"`
	Branch string `yaml:"branch"`
}

// Operator is a token that may plan and confirm.
type Operator struct {
	Token string `yaml:"token"`
	Name  string `yaml:"name"`
}

// Log configures the log.
type Log struct {
	Level string `yaml:"level"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Store: Store{
			Lease:           2400 * time.Millisecond,
			CallTimeout:     800 * time.Millisecond,
			WritesPerSecond: 40,
			ReadsPerSecond:  100,
		},
		Cell: Cell{
			Shards:         64,
			TaskLease:      15 * time.Second,
			Promise:        time.Second,
			ClockDrift:     0.01,
			ListLag:        2 * time.Second,
			LongestRequest: 30 * time.Second,
			RequestWindow:  time.Minute,
		},
		Queue: Queue{
			BranchLength: 2000,
			TotalLength:  20000,
			FirstCost:    20 * time.Millisecond,
			RetryFloor:   250 * time.Millisecond,
			RetryCeiling: 30 * time.Second,
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Unreadable.Wrap(err, "%s", path)
	}
	return Parse(content)
}

// Parse reads and checks the content of a settings file.
func Parse(content []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(content, &s, yaml.Strict()); err != nil {
		return Settings{}, explain(err, content)
	}
	if !s.Daemon.PeerListen.IsValid() {
		s.Daemon.PeerListen = s.Daemon.PeerAddress
	}
	if err := check(s, content); err != nil {
		return Settings{}, err
	}
	return s, nil
}
