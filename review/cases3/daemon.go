package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// settingsTemplate is deploy/settings.yaml with the figures of DEPLOY.md.
const settingsTemplate = `daemon:
  name: "%s"
  failure_domain: "%s"
  caller_address: "%s"
  readiness_address: "%s"
  peer_address: "%s"
  metrics_address: "%s"
  peer_token: "cell"
services:
  store: "%s"
  advice: ""
  machines: "%s"
limits:
  cpu_share: 0.4
  memory_mb: 284
  max_files: 4100
  stop_seconds: 6
work:
  longest_lease_ms: 10000
  stop_grace_ms: 900
  retention_s: 120
  remote_factor: 1.5
log:
  level: info
`

// binary is the program that the build of the deploy file makes.
const binary = "target/tanagerd"

// daemon is a process of the cell.
type daemon struct {
	name      string
	settings  string
	log       string
	caller    string
	readiness string
	peer      string
	command   *exec.Cmd
	exited    chan struct{}
}

// Each process takes ports from one of several ranges below the ephemeral ports, so that
// cases that run at the same time rarely want the same one.
const (
	firstPort     = 16000
	portRanges    = 20
	portsPerRange = 800
)

// addressMu protects the sets of taken addresses.
var addressMu sync.Mutex

// freeAddress returns a loopback address below the ephemeral ports that is free now.
func freeAddress(taken map[string]bool) (string, error) {
	for range 2000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRanges*portsPerRange+rand.IntN(portsPerRange))
		addressMu.Lock()
		known := taken[address]
		taken[address] = true
		addressMu.Unlock()
		if known {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port")
}

func newDaemon(dir, name, store, machines string, taken map[string]bool) (*daemon, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(taken); err != nil {
			return nil, err
		}
	}
	d := &daemon{
		name:      name,
		settings:  filepath.Join(dir, name+".yaml"),
		log:       filepath.Join(dir, name+".log"),
		caller:    addresses[0],
		readiness: addresses[1],
		peer:      addresses[2],
	}
	content := fmt.Sprintf(settingsTemplate, name, "a", addresses[0], addresses[1], addresses[2], addresses[3],
		store, machines)
	return d, os.WriteFile(d.settings, []byte(content), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(binary, "cell", "--settings", d.settings, "--gang-wait=3000ms", "--max-value-bytes=1048576")
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(d.command, d.exited)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// end ends the process, whatever state it is in.
func (d *daemon) end() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	d.signal(syscall.SIGCONT)
	<-d.exited
}

func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readiness + "/tanagersail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// cell is a running cell with its platform.
type cell struct {
	record  *record
	site    *tanagersite.Site
	store   string
	dir     string
	daemons []*daemon
	taken   map[string]bool
	gangs   gangs
	// quiet keeps the orders to minions out of the record.
	quiet   bool
	watcher watcher
}

// newCell starts the platform's store, writes the configuration and prepares daemons.
// The address of the machine interface may be empty.
func newCell(r *record, daemons int, machines string) (*cell, error) {
	site, err := tanagersite.New(tanagersite.Settings{
		StoreEndpoints:   1,
		MeanTaskDuration: time.Second,
	})
	if err != nil {
		return nil, err
	}
	_, address := site.StoreEndpoint(0)
	c := &cell{
		record: r,
		site:   site,
		store:  address.String(),
	}
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	c.taken = make(map[string]bool)
	for i := range daemons {
		d, err := newDaemon(c.dir, fmt.Sprintf("edge-%d", i+1), c.store, machines, c.taken)
		if err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, d)
	}
	return c, nil
}

// startDaemons starts all daemons and waits until they are ready and one of them is
// the scheduler.
func (c *cell) startDaemons() error {
	for _, d := range c.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := c.scheduler() != nil
		for _, d := range c.daemons {
			ready = ready && d.ready()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready after 15 s")
}

// scheduler returns the daemon that the store names as the scheduler, or nil.
func (c *cell) scheduler() *daemon {
	value, exists := c.site.Value("tanager/lead/holder")
	var holder struct {
		Member string `json:"member"`
	}
	if !exists || tanagerwire.Decode(value, &holder) != nil {
		return nil
	}
	address, _, _ := strings.Cut(holder.Member, "/")
	for _, d := range c.daemons {
		if d.peer == address {
			return d
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder. It keeps the folder if
// KEEP is set.
func (c *cell) close() {
	for _, d := range c.daemons {
		d.end()
	}
	c.site.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// route is a queue of the configuration.
type route struct {
	Name, Prefix string
}

const (
	host    = "hall.example"
	service = "ladder"
)

// configure writes the operator's configuration.
func (c *cell) configure(version int, routes ...route) {
	rows := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.Name, "host": host, "prefix": r.Prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 4, "stretch": 4.0,
		})
	}
	c.site.WriteKey("op/config", tanagerwire.Encode(map[string]any{
		"version": version,
		"routes":  rows,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}))
	c.record.note("operator writes op/config version %d with %d routes", version, len(routes))
}
