package tanagerscenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Tokens of the operator and the callers of a scenario's cell.
const (
	operatorToken = "scenario-operator-token"
	redToken      = "scenario-red-caller-token"
	blueToken     = "scenario-blue-caller-token"
)

// process is a running process of a cell.
type process struct {
	name    string
	program string
	args    []string
	command *exec.Cmd
	logFile *os.File
	exited  chan error
}

// cell holds the processes of one scenario.
type cell struct {
	ts            *testscript.TestScript
	dir           string
	storeAddress  string
	fleetAddress  string
	daemons       []string
	httpAddresses map[string]string
	// relayControls maps each daemon to the fault control address of the relay in
	// front of its peer address.
	relayControls map[string]string

	mu        sync.Mutex
	processes map[string]*process
	workloads []*workload
}

// workload is a tanagerctl play command that runs in the background.
type workload struct {
	command *exec.Cmd
	output  bytes.Buffer
	exited  chan error
}

// The ports of scenarios lie below the ephemeral port range. Concurrent test
// processes start at different ports.
const (
	firstPort    = 18000
	lastPort     = 31000
	portsPerTest = 150
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress(ts *testscript.TestScript) string {
	portCount := int64(lastPort - firstPort)
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portsPerTest+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			ts.Check(l.Close())
			return address
		}
	}
	ts.Fatalf("no free port")
	return ""
}

// newCell starts the fake platform and the daemons, waits until all of them are
// ready and creates the callers' branches.
func newCell(ts *testscript.TestScript, daemonCount int) *cell {
	c := &cell{
		ts:            ts,
		dir:           ts.MkAbs("."),
		storeAddress:  freeAddress(ts),
		fleetAddress:  freeAddress(ts),
		httpAddresses: make(map[string]string),
		relayControls: make(map[string]string),
		processes:     make(map[string]*process),
	}
	ts.Defer(c.killAll)
	c.start("store", "tanagerfake", "store", "--address", c.storeAddress)
	c.start("fleet", "tanagerfake", "fleet", "--address", c.fleetAddress, "--file", ts.MkAbs("fleet.yaml"))
	c.awaitPort(c.storeAddress)
	c.awaitPort(c.fleetAddress)
	for i := 1; i <= daemonCount; i++ {
		name := fmt.Sprintf("d%d", i)
		c.daemons = append(c.daemons, name)
		c.startRelay(name, c.writeSettings(name, i))
		c.startDaemon(name)
	}
	c.await("all daemons to be ready", func() bool {
		for _, d := range c.daemons {
			if !c.isReady(d) {
				return false
			}
		}
		return true
	})
	c.createBranches()
	return c
}

// peerAddresses holds the address that a daemon's peers connect to, which is its
// relay's, and the address on which the daemon listens.
type peerAddresses struct {
	advertised string
	listen     string
}

// startRelay starts a relay in front of a daemon's peer address, so that a
// scenario can cut the connections of its peers.
func (c *cell) startRelay(name string, p peerAddresses) {
	c.relayControls[name] = freeAddress(c.ts)
	c.start(name+"-relay", "tanagerfake", "relay",
		"--address", p.advertised, "--to", p.listen, "--control", c.relayControls[name])
}

// writeSettings writes the settings file of a daemon and returns its peer
// addresses.
func (c *cell) writeSettings(name string, number int) peerAddresses {
	c.httpAddresses[name] = freeAddress(c.ts)
	peer := peerAddresses{
		advertised: freeAddress(c.ts),
		listen:     freeAddress(c.ts),
	}
	text := fmt.Sprintf(`daemon:
  name: %s
  failure_domain: %s
  region: south
  http_address: %s
  peer_address: %s
  peer_listen: %s
  peer_token: scenario-peer-token
platform:
  store: %s
  vm_list: %s
store:
  lease: 1500ms
  call_timeout: 400ms
cell:
  shards: 16
  task_lease: 3s
  list_lag: 500ms
  longest_request: 10s
callers:
  - {token: %s, branch: red}
  - {token: %s, branch: blue}
operators:
  - {token: %s, name: centre}
`, name, string(rune('a'+(number-1)%3)), c.httpAddresses[name], peer.advertised, peer.listen,
		c.storeAddress, c.fleetAddress, redToken, blueToken, operatorToken)
	c.ts.Check(os.WriteFile(filepath.Join(c.dir, name+".yaml"), []byte(text), 0o600))
	return peer
}

func (c *cell) startDaemon(name string) {
	c.start(name, "tanagerd", "run", "--settings", filepath.Join(c.dir, name+".yaml"))
}

func (c *cell) start(name, program string, args ...string) {
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.ts.Check(err)
	p := &process{
		name:    name,
		program: program,
		args:    args,
		command: exec.Command(filepath.Join(binaryDir, program), args...),
		logFile: log,
		exited:  make(chan error, 1),
	}
	p.command.Stdout = log
	p.command.Stderr = log
	c.ts.Check(p.command.Start())
	go func() { p.exited <- p.command.Wait() }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
}

func (c *cell) signal(name string, s syscall.Signal) {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		c.ts.Fatalf("no process %s", name)
	}
	c.ts.Check(p.command.Process.Signal(s))
}

// awaitExit waits until a process has exited and returns the error of its exit.
func (c *cell) awaitExit(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	defer p.logFile.Close()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(awaitTimeout):
		c.ts.Fatalf("%s did not exit", name)
	}
	return nil
}

func (c *cell) killAll() {
	for _, w := range c.workloads {
		_ = w.command.Process.Kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
		_ = p.logFile.Close()
	}
}

// awaitTimeout limits every wait of a scenario. It is far above the time that any
// condition takes, so that a busy machine does not fail a scenario.
const awaitTimeout = 90 * time.Second

// await waits until a condition holds. The description of the condition completes
// "timed out waiting for".
func (c *cell) await(description string, condition func() bool) {
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.ts.Fatalf("timed out waiting for %s", description)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cell) awaitPort(address string) {
	c.await("a listener on "+address, func() bool {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return connection.Close() == nil
	})
}

func (c *cell) isReady(daemon string) bool {
	response, err := http.Get("http://" + c.httpAddresses[daemon] + "/health/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// createBranches creates the branches of the two callers and waits until they are
// in force at all daemons.
func (c *cell) createBranches() {
	intents := `- {kind: set_branch, branch: red, rules: {weight: 1, urgent_share: 0.2}}
- {kind: set_branch, branch: blue, rules: {weight: 1, urgent_share: 0.2}}
`
	c.ts.Check(os.WriteFile(filepath.Join(c.dir, "branches.yaml"), []byte(intents), 0o600))
	out, err := c.ctl(operatorToken, "apply", filepath.Join(c.dir, "branches.yaml"))
	if err != nil {
		c.ts.Fatalf("tanagerctl apply: %v\n%s", err, out)
	}
	c.awaitStatus("the branches to be in force and the roster to be complete", func(s status) bool {
		return s.ConfigRevision >= 2 && len(s.Roster) == len(c.daemons)
	})
}

// ctl runs tanagerctl with a token and the addresses of all daemons. It returns
// the combined output.
func (c *cell) ctl(token string, args ...string) (string, error) {
	command := c.ctlCommand(token, args...)
	out, err := command.CombinedOutput()
	return string(out), err
}

func (c *cell) ctlCommand(token string, args ...string) *exec.Cmd {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, c.httpAddresses[d])
	}
	command := exec.Command(filepath.Join(binaryDir, "tanagerctl"), args...)
	command.Dir = c.dir
	command.Env = append(os.Environ(), "TANAGER_DAEMONS="+strings.Join(addresses, ","), "TANAGER_TOKEN="+token)
	return command
}

// status is the part of a daemon's status that scenarios check.
type status struct {
	Self                    string     `json:"self"`
	ConfigRevision          int        `json:"config_revision"`
	Roster                  []string   `json:"roster"`
	StoreLeaseValid         bool       `json:"store_right"`
	QuorumLeaseValid        bool       `json:"grace"`
	Shards                  []struct{} `json:"shards"`
	Members                 []struct{} `json:"members"`
	TargetsAwaitingTakeover int        `json:"gated_targets"`
	Recovering              int        `json:"recovering"`
	Tasks                   int        `json:"tasks"`
	KnownWorkers            int        `json:"known_workers"`
	Counters                struct {
		Takeovers uint64 `json:"take_overs"`
		Isolated  uint64 `json:"workers_isolated"`
	} `json:"counters"`
}

func (c *cell) status(daemon string) (status, bool) {
	var s status
	request, err := http.NewRequest(http.MethodGet, "http://"+c.httpAddresses[daemon]+"/v1/status", nil)
	c.ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	client := http.Client{
		Timeout: 2 * time.Second,
	}
	response, err := client.Do(request)
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&s) == nil
}

// awaitStatus waits until a condition holds for the status of each of the given
// daemons, or of all daemons if none is given.
func (c *cell) awaitStatus(description string, condition func(status) bool, daemons ...string) {
	if len(daemons) == 0 {
		daemons = c.daemons
	}
	c.await(description, func() bool {
		for _, d := range daemons {
			s, ok := c.status(d)
			if !ok || !condition(s) {
				return false
			}
		}
		return true
	})
}

// post sends a JSON body to a fake service.
func (c *cell) post(url, body string) {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	c.ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.ts.Fatalf("%s: status %d", url, response.StatusCode)
	}
}

// observations are the counts and violations that the fake platform's observer
// reports.
type observations struct {
	TaskStarts  int `json:"task_starts"`
	RequestRuns int `json:"request_runs"`
	RunsByID    []struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	} `json:"runs_by_id"`
	Violations []struct {
		Kind string `json:"kind"`
		VM   string `json:"vm"`
		ID   string `json:"id"`
		Note string `json:"note"`
	} `json:"violations"`
}

func (c *cell) observations() observations {
	response, err := http.Get("http://" + c.fleetAddress + "/control/observations")
	c.ts.Check(err)
	defer response.Body.Close()
	var reported observations
	c.ts.Check(json.NewDecoder(response.Body).Decode(&reported))
	return reported
}
