package tanagersettings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rs/zerolog"
)

// minTokenBytes is the minimum length of a token in bytes.
const minTokenBytes = 16

// namePattern matches the names of daemons.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,40}$`)

// validator collects the invalid values of a settings file.
type validator struct {
	file     *ast.File
	problems []string
}

// validate returns an error of type OutOfRange that lists every value outside
// its range, one per line. The error is Malformed if the content is not YAML.
func validate(s Settings, content []byte) error {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Malformed.Wrap(err, "settings")
	}
	v := &validator{
		file: file,
	}
	v.checkDaemon(s.Daemon)
	v.checkAddress("platform.store", s.Platform.Store)
	v.checkAddress("platform.vm_list", s.Platform.VMList)
	v.checkStore(s.Store)
	v.checkCell(s)
	v.checkQueue(s.Queue)
	v.checkLimits(s.Limits)
	v.checkTokens(s)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		v.addProblem("log.level", "must be debug, info, warn or error")
	}
	if len(v.problems) == 0 {
		return nil
	}
	return OutOfRange.New("%s", strings.Join(v.problems, "\n"))
}

func (v *validator) checkDaemon(d Daemon) {
	if !namePattern.MatchString(d.Name) {
		v.addProblem("daemon.name", "must be 1 to 41 lower case letters, digits or hyphens")
	}
	if d.FailureDomain == "" {
		v.addProblem("daemon.failure_domain", "must be set")
	}
	v.checkAddress("daemon.http_address", d.HTTPAddress)
	v.checkAddress("daemon.peer_address", d.PeerAddress)
	v.checkAddress("daemon.peer_listen", d.PeerListen)
	if len(d.PeerToken) < minTokenBytes {
		v.addProblem("daemon.peer_token", fmt.Sprintf("must have at least %d bytes", minTokenBytes))
	}
}

func (v *validator) checkStore(s Store) {
	v.checkDuration("store.lease", s.LeaseTTL, time.Second, time.Minute)
	v.checkDuration("store.call_timeout", s.CallTimeout, 50*time.Millisecond, 10*time.Second)
	v.checkNumber("store.writes_per_second", s.WritesPerSecond, 2, 1000)
	v.checkNumber("store.reads_per_second", s.ReadsPerSecond, 2, 10000)
}

func (v *validator) checkCell(s Settings) {
	v.checkNumber("cell.shards", float64(s.Cell.Shards), 1, 4096)
	v.checkDuration("cell.task_lease", s.Cell.TaskLeaseTTL, time.Second, 10*time.Minute)
	v.checkDuration("cell.promise", s.Cell.PromiseDuration, 200*time.Millisecond, 10*time.Second)
	v.checkNumber("cell.clock_drift", s.Cell.ClockDrift, 0.0001, 0.2)
	v.checkDuration("cell.list_lag", s.Cell.MaxListLag, 100*time.Millisecond, time.Minute)
	v.checkDuration("cell.longest_request", s.Cell.MaxRequestTimeout, 100*time.Millisecond, 10*time.Minute)
	v.checkDuration("cell.request_window", s.Cell.RequestIDWindow, time.Second, time.Hour)
}

func (v *validator) checkQueue(q Queue) {
	v.checkNumber("queue.branch_length", float64(q.MaxClassLength), 1, 1e6)
	v.checkNumber("queue.total_length", float64(q.MaxLength), 1, 1e7)
	v.checkDuration("queue.first_cost", q.InitialCost, time.Microsecond, time.Hour)
	v.checkDuration("queue.retry_floor", q.MinRetryAfter, 10*time.Millisecond, time.Minute)
	v.checkDuration("queue.retry_ceiling", q.MaxRetryAfter, q.MinRetryAfter, time.Hour)
}

func (v *validator) checkLimits(l Limits) {
	v.checkNumber("limits.memory_mb", float64(l.MemoryMB), 32, 1<<20)
	v.checkNumber("limits.max_files", float64(l.MaxFiles), 64, 1<<20)
	v.checkNumber("limits.max_header_bytes", float64(l.MaxHeaderBytes), 1<<10, 1<<20)
}

func (v *validator) checkTokens(s Settings) {
	seen := make(map[string]bool)
	checkToken := func(key, value string) {
		if len(value) < minTokenBytes {
			v.addProblem(key, fmt.Sprintf("must have at least %d bytes", minTokenBytes))
		}
		if seen[value] {
			v.addProblem(key, "must differ from every other token")
		}
		seen[value] = true
	}
	for i, caller := range s.Callers {
		checkToken(fmt.Sprintf("callers[%d].token", i), caller.Token)
		if caller.Branch == "" {
			v.addProblem(fmt.Sprintf("callers[%d].branch", i), "must be set")
		}
	}
	for i, operator := range s.Operators {
		checkToken(fmt.Sprintf("operators[%d].token", i), operator.Token)
		if operator.Name == "" {
			v.addProblem(fmt.Sprintf("operators[%d].name", i), "must be set")
		}
	}
}

func (v *validator) checkAddress(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		v.addProblem(key, "must be an IP address with a port, as in 10.0.0.1:7000")
	}
}

func (v *validator) checkDuration(key string, d, lowest, highest time.Duration) {
	if d < lowest || d > highest {
		v.addProblem(key, fmt.Sprintf("is %s, must be from %s to %s", d, lowest, highest))
	}
}

// checkNumber adds a problem if a number is outside its range. NaN is too: both
// comparisons are false for it.
func (v *validator) checkNumber(key string, n, lowest, highest float64) {
	if !(n >= lowest && n <= highest) {
		v.addProblem(key, fmt.Sprintf("is %g, must be from %g to %g", n, lowest, highest))
	}
}

// addProblem adds a problem with the line of its key.
func (v *validator) addProblem(key, problem string) {
	v.problems = append(v.problems, fmt.Sprintf("line %d: %s %s", v.lineOf(key), key, problem))
}

// lineOf returns the line of a key, of its closest ancestor in the file if the
// key is missing, or 1 if there is none.
func (v *validator) lineOf(key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(v.file); err == nil && node.GetToken() != nil {
				return node.GetToken().Position.Line
			}
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 1
}
