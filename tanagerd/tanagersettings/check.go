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

// minTokenLength is the length of the shortest token.
const minTokenLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,40}$`)

// checker collects the values that are out of range.
type checker struct {
	file     *ast.File
	problems []string
}

// check returns an error of type OutOfRange that lists every value outside its
// range.
func check(s Settings, content []byte) error {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Malformed.Wrap(err, "settings")
	}
	c := &checker{
		file: file,
	}
	c.daemon(s.Daemon)
	c.address("platform.store", s.Platform.Store)
	c.address("platform.vm_list", s.Platform.VMList)
	c.store(s.Store)
	c.cell(s)
	c.queue(s.Queue)
	c.tokens(s)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		c.add("log.level", "must be debug, info, warn or error")
	}
	if len(c.problems) == 0 {
		return nil
	}
	return OutOfRange.New("%s", strings.Join(c.problems, "\n"))
}

func (c *checker) daemon(d Daemon) {
	if !namePattern.MatchString(d.Name) {
		c.add("daemon.name", "must be 1 to 41 lower case letters, digits or hyphens")
	}
	if d.FailureDomain == "" {
		c.add("daemon.failure_domain", "must be set")
	}
	c.address("daemon.http_address", d.HTTPAddress)
	c.address("daemon.peer_address", d.PeerAddress)
	c.address("daemon.peer_listen", d.PeerListen)
	if len(d.PeerToken) < minTokenLength {
		c.add("daemon.peer_token", fmt.Sprintf("must have at least %d bytes", minTokenLength))
	}
}

func (c *checker) store(s Store) {
	c.duration("store.lease", s.Lease, time.Second, time.Minute)
	c.duration("store.call_timeout", s.CallTimeout, 50*time.Millisecond, 10*time.Second)
	c.number("store.writes_per_second", s.WritesPerSecond, 2, 1000)
	c.number("store.reads_per_second", s.ReadsPerSecond, 2, 10000)
}

func (c *checker) cell(s Settings) {
	c.number("cell.shards", float64(s.Cell.Shards), 1, 4096)
	c.duration("cell.task_lease", s.Cell.TaskLease, time.Second, 10*time.Minute)
	c.duration("cell.promise", s.Cell.Promise, 200*time.Millisecond, 10*time.Second)
	c.number("cell.clock_drift", s.Cell.ClockDrift, 0.0001, 0.2)
	c.duration("cell.list_lag", s.Cell.ListLag, 100*time.Millisecond, time.Minute)
	c.duration("cell.longest_request", s.Cell.LongestRequest, 100*time.Millisecond, 10*time.Minute)
	c.duration("cell.request_window", s.Cell.RequestWindow, time.Second, time.Hour)
}

func (c *checker) queue(q Queue) {
	c.number("queue.branch_length", float64(q.BranchLength), 1, 1e6)
	c.number("queue.total_length", float64(q.TotalLength), 1, 1e7)
	c.duration("queue.first_cost", q.FirstCost, time.Microsecond, time.Hour)
	c.duration("queue.retry_floor", q.RetryFloor, 10*time.Millisecond, time.Minute)
	c.duration("queue.retry_ceiling", q.RetryCeiling, q.RetryFloor, time.Hour)
}

func (c *checker) tokens(s Settings) {
	seen := make(map[string]bool)
	token := func(key, value string) {
		if len(value) < minTokenLength {
			c.add(key, fmt.Sprintf("must have at least %d bytes", minTokenLength))
		}
		if seen[value] {
			c.add(key, "must be unlike every other token")
		}
		seen[value] = true
	}
	for i, caller := range s.Callers {
		token(fmt.Sprintf("callers[%d].token", i), caller.Token)
		if caller.Branch == "" {
			c.add(fmt.Sprintf("callers[%d].branch", i), "must be set")
		}
	}
	for i, operator := range s.Operators {
		token(fmt.Sprintf("operators[%d].token", i), operator.Token)
		if operator.Name == "" {
			c.add(fmt.Sprintf("operators[%d].name", i), "must be set")
		}
	}
}

func (c *checker) address(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.add(key, "must be an IP number with a port, as in 10.0.0.1:7000")
	}
}

func (c *checker) duration(key string, d, least, most time.Duration) {
	if d < least || d > most {
		c.add(key, fmt.Sprintf("is %s, must be from %s to %s", d, least, most))
	}
}

func (c *checker) number(key string, n, least, most float64) {
	if !(n >= least && n <= most) {
		c.add(key, fmt.Sprintf("is %g, must be from %g to %g", n, least, most))
	}
}

// add notes a problem with the line of its key, or of the nearest key above it
// that the file has.
func (c *checker) add(key, problem string) {
	c.problems = append(c.problems, fmt.Sprintf("line %d: %s %s", c.line(key), key, problem))
}

func (c *checker) line(key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(c.file); err == nil && node.GetToken() != nil {
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
