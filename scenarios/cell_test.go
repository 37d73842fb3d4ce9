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

// The tokens of the cells that scenarios start.
const (
	operatorToken = "scenario-operator-token"
	redToken      = "scenario-red-caller-token"
	blueToken     = "scenario-blue-caller-token"
)

// process is one process of a cell.
type process struct {
	name    string
	program string
	args    []string
	command *exec.Cmd
	log     *os.File
	done    chan error
}

// cell is the processes of one scenario.
type cell struct {
	ts      *testscript.TestScript
	dir     string
	store   string
	fleet   string
	daemons []string
	http    map[string]string
	// relays are the controls of the relays in front of the daemons' peer
	// addresses.
	relays map[string]string

	mu        sync.Mutex
	processes map[string]*process
	plays     []*play
}

// play is example work that runs in the background.
type play struct {
	command *exec.Cmd
	output  bytes.Buffer
	done    chan error
}

// The ports that scenarios use lie below those that the operating system gives
// to outgoing connections. Runs of the tests beside each other begin at
// different ports.
const (
	firstPort    = 18000
	lastPort     = 31000
	portsPerTest = 150
)

var nextPort atomic.Int64

// freeAddress returns an address that nobody listens on.
func freeAddress(ts *testscript.TestScript) string {
	span := int64(lastPort - firstPort)
	for range span {
		port := firstPort + (int64(os.Getpid())*portsPerTest+nextPort.Add(1))%span
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

// newCell starts the stand-ins and the daemons and waits until all are ready.
func newCell(ts *testscript.TestScript, count int) *cell {
	c := &cell{
		ts:        ts,
		dir:       ts.MkAbs("."),
		store:     freeAddress(ts),
		fleet:     freeAddress(ts),
		http:      make(map[string]string),
		relays:    make(map[string]string),
		processes: make(map[string]*process),
	}
	ts.Defer(c.end)
	c.start("store", "tanagerfake", "store", "--address", c.store)
	c.start("fleet", "tanagerfake", "fleet", "--address", c.fleet, "--file", ts.MkAbs("fleet.yaml"))
	c.awaitPort(c.store)
	c.awaitPort(c.fleet)
	for i := 1; i <= count; i++ {
		name := fmt.Sprintf("d%d", i)
		c.daemons = append(c.daemons, name)
		c.startRelay(name, c.writeSettings(name, i))
		c.startDaemon(name)
	}
	c.await("all daemons ready", func() bool {
		for _, d := range c.daemons {
			if !c.ready(d) {
				return false
			}
		}
		return true
	})
	c.configure()
	return c
}

// peerAddresses are where a daemon's peers reach it and where it listens.
type peerAddresses struct {
	reached string
	listens string
}

// startRelay puts a relay in front of a daemon's peer address, so that a
// scenario can make the daemon deaf.
func (c *cell) startRelay(name string, p peerAddresses) {
	c.relays[name] = freeAddress(c.ts)
	c.start(name+"-relay", "tanagerfake", "relay", "--address", p.reached, "--to", p.listens, "--control", c.relays[name])
}

func (c *cell) writeSettings(name string, number int) peerAddresses {
	c.http[name] = freeAddress(c.ts)
	peer := peerAddresses{
		reached: freeAddress(c.ts),
		listens: freeAddress(c.ts),
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
`, name, string(rune('a'+(number-1)%3)), c.http[name], peer.reached, peer.listens, c.store, c.fleet, redToken, blueToken, operatorToken)
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
		command: exec.Command(filepath.Join(binaries, program), args...),
		log:     log,
		done:    make(chan error, 1),
	}
	p.command.Stdout = log
	p.command.Stderr = log
	c.ts.Check(p.command.Start())
	go func() { p.done <- p.command.Wait() }()
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

// wait waits until a process has ended.
func (c *cell) wait(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	defer p.log.Close()
	select {
	case err := <-p.done:
		return err
	case <-time.After(awaitLimit):
		c.ts.Fatalf("%s did not end", name)
	}
	return nil
}

// end kills every process of the cell.
func (c *cell) end() {
	for _, p := range c.plays {
		_ = p.command.Process.Kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

// awaitLimit bounds every wait of a scenario. It is far above the time that
// anything takes, so that a busy machine changes no verdict.
const awaitLimit = 90 * time.Second

// await waits until a condition holds.
func (c *cell) await(what string, condition func() bool) {
	deadline := time.Now().Add(awaitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			c.ts.Fatalf("gave up waiting for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cell) awaitPort(address string) {
	c.await("port "+address, func() bool {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return connection.Close() == nil
	})
}

func (c *cell) ready(daemon string) bool {
	response, err := http.Get("http://" + c.http[daemon] + "/health/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configure makes the two branches and waits until they are in force.
func (c *cell) configure() {
	intents := `- {kind: set_branch, branch: red, rules: {weight: 1, urgent_share: 0.2}}
- {kind: set_branch, branch: blue, rules: {weight: 1, urgent_share: 0.2}}
`
	c.ts.Check(os.WriteFile(filepath.Join(c.dir, "branches.yaml"), []byte(intents), 0o600))
	out, err := c.ctl(operatorToken, "apply", filepath.Join(c.dir, "branches.yaml"))
	if err != nil {
		c.ts.Fatalf("apply: %v\n%s", err, out)
	}
	c.awaitStatus("the branches in force and every daemon in the roster", func(s status) bool {
		return s.ConfigRevision >= 2 && len(s.Roster) == len(c.daemons)
	})
}

// ctl runs tanagerctl against all daemons.
func (c *cell) ctl(token string, args ...string) (string, error) {
	command := c.ctlCommand(token, args...)
	out, err := command.CombinedOutput()
	return string(out), err
}

func (c *cell) ctlCommand(token string, args ...string) *exec.Cmd {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, c.http[d])
	}
	command := exec.Command(filepath.Join(binaries, "tanagerctl"), args...)
	command.Dir = c.dir
	command.Env = append(os.Environ(), "TANAGER_DAEMONS="+strings.Join(addresses, ","), "TANAGER_TOKEN="+token)
	return command
}

// status is the part of a daemon's state that scenarios look at.
type status struct {
	Self           string     `json:"self"`
	ConfigRevision int        `json:"config_revision"`
	Roster         []string   `json:"roster"`
	StoreRight     bool       `json:"store_right"`
	Grace          bool       `json:"grace"`
	Shards         []struct{} `json:"shards"`
	Members        []struct{} `json:"members"`
	GatedTargets   int        `json:"gated_targets"`
	Recovering     int        `json:"recovering"`
	Tasks          int        `json:"tasks"`
	KnownWorkers   int        `json:"known_workers"`
	Counters       struct {
		TakeOvers uint64 `json:"take_overs"`
		Isolated  uint64 `json:"workers_isolated"`
	} `json:"counters"`
}

func (c *cell) status(daemon string) (status, bool) {
	var s status
	request, err := http.NewRequest(http.MethodGet, "http://"+c.http[daemon]+"/v1/status", nil)
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

// awaitStatus waits until a condition holds at each of the named daemons, or at
// all of them.
func (c *cell) awaitStatus(what string, condition func(status) bool, daemons ...string) {
	if len(daemons) == 0 {
		daemons = c.daemons
	}
	c.await(what, func() bool {
		for _, d := range daemons {
			s, ok := c.status(d)
			if !ok || !condition(s) {
				return false
			}
		}
		return true
	})
}

// post sends a JSON body to a stand-in.
func (c *cell) post(url, body string) {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	c.ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.ts.Fatalf("%s: status %d", url, response.StatusCode)
	}
}

// observations is what the observer has seen.
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
	response, err := http.Get("http://" + c.fleet + "/control/observations")
	c.ts.Check(err)
	defer response.Body.Close()
	var seen observations
	c.ts.Check(json.NewDecoder(response.Body).Decode(&seen))
	return seen
}
