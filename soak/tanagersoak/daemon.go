package tanagersoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanagerfake/tanagerrelay"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagersoak")

// NotStarted means that the daemons could not be brought up.
var NotStarted = Errors.NewType("not_started")

const settingsForm = `daemon:
  name: "%s"
  failure_domain: "a"
  caller_address: "%s"
  readiness_address: "%s"
  peer_address: "%s"
  peer_listen: "%s"
  metrics_address: "%s"
  peer_token: "soak"
services:
  store: "%s"
  advice: "%s"
  machines: ""
limits:
  cpu_share: 0.5
  memory_mb: 400
  max_files: 1024
  stop_seconds: 6
work:
  longest_lease_ms: 6000
  stop_grace_ms: 400
  retention_s: 600
  remote_factor: 1.5
log:
  level: info
`

// daemon is a process that is started again under the same addresses.
type daemon struct {
	name     string
	binary   string
	settings string
	log      string
	callers  netip.AddrPort
	ready    netip.AddrPort
	// links passes on what other daemons send to this one, stores what it sends to
	// the store.
	links, stores *tanagerrelay.Relay
	command       *exec.Cmd
	ended         chan struct{}

	mu sync.Mutex
	// claimed daemons are being stopped or paused.
	claimed bool
	failed  error
}

// claim reserves the daemon for one fault of its process.
func (d *daemon) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claimed {
		return false
	}
	d.claimed = true
	return true
}

// release ends a claim. A daemon that could not be started again is told of at
// the end of the run.
func (d *daemon) release(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claimed = false
	if err != nil {
		d.failed = err
	}
}

// failure returns why the daemon is not running, or nil.
func (d *daemon) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed != nil {
		return d.failed
	}
	select {
	case <-d.ended:
		return NotStarted.New("%s has ended by itself", d.name)
	default:
		return nil
	}
}

func newDaemon(binary, folder, name string, store, advice netip.AddrPort) (*daemon, error) {
	var a [6]netip.AddrPort
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d := &daemon{
		name:     name,
		binary:   binary,
		settings: filepath.Join(folder, name+".yaml"),
		log:      filepath.Join(folder, name+".log"),
		callers:  a[0],
		ready:    a[1],
	}
	var err error
	if d.links, err = relay(a[2], a[3]); err != nil {
		return nil, err
	}
	if d.stores, err = relay(a[5], store); err != nil {
		return nil, err
	}
	content := fmt.Sprintf(settingsForm, name, a[0], a[1], a[2], a[3], a[4], a[5], advice)
	return d, os.WriteFile(d.settings, []byte(content), 0o600)
}

// relay passes connections on until the soak's process ends.
func relay(at, to netip.AddrPort) (*tanagerrelay.Relay, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	r := tanagerrelay.New(to)
	go r.Run(context.Background(), listener)
	return r, nil
}

// The ports of daemons lie below those that the system gives to outgoing
// connections, which could take one while its daemon is being started again.
const (
	firstPort = 12000
	portCount = 18000
	portTries = 100
)

// freeAddress returns a loopback port that was free a moment ago.
func freeAddress() (netip.AddrPort, error) {
	for range portTries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		l, err := net.Listen("tcp", address.String())
		if err == nil {
			return address, l.Close()
		}
	}
	return netip.AddrPort{}, NotStarted.New("no free port in %d tries", portTries)
}

func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(d.binary, "cell", "--settings", d.settings)
	d.command.Stdout = out
	d.command.Stderr = out
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		// The exit status of a killed process says nothing new.
		_ = c.Wait()
		_ = out.Close()
		close(ended)
	}(d.command, d.ended)
	return nil
}

// signal reaches only the process that this run started.
func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// restart waits for the process to end and starts it again after a pause.
func (d *daemon) restart(pause time.Duration) error {
	<-d.ended
	time.Sleep(pause)
	return d.start()
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready.String() + "/tanagersail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await polls a condition until it holds or a time is over.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
