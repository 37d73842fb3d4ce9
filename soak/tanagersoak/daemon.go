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

// NotStarted means that a daemon could not be started or is not running.
var NotStarted = Errors.NewType("not_started")

const settingsTemplate = `daemon:
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

// daemon is a daemon process that can be restarted with the same addresses.
type daemon struct {
	name             string
	binary           string
	settingsFile     string
	logFile          string
	callerAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	// peerAddress is the address at which other daemons reach this one, and begins the
	// names that it has in the store.
	peerAddress netip.AddrPort
	// peerRelay forwards the connections of other daemons to this one, storeRelay
	// those of this daemon to the store.
	peerRelay, storeRelay *tanagerrelay.Relay
	command               *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}

	mu sync.Mutex
	// claimed tells that a fault is stopping or pausing the process.
	claimed      bool
	restartError error
}

// claim reserves the daemon's process for one fault. It returns false if another
// fault has claimed it.
func (d *daemon) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claimed {
		return false
	}
	d.claimed = true
	return true
}

// release ends a claim. err, if not nil, is the reason why the daemon could not be
// restarted; the run reports it at its end.
func (d *daemon) release(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claimed = false
	if err != nil {
		d.restartError = err
	}
}

// failure returns why the daemon is not running, or nil if it is.
func (d *daemon) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restartError != nil {
		return d.restartError
	}
	select {
	case <-d.exited:
		return NotStarted.New("%s exited unexpectedly", d.name)
	default:
		return nil
	}
}

func newDaemon(binary, dir, name string, ports *portPool, store, advice netip.AddrPort) (*daemon, error) {
	var addresses [6]netip.AddrPort
	for i := range addresses {
		var err error
		if addresses[i], err = ports.take(); err != nil {
			return nil, err
		}
	}
	d := &daemon{
		name:             name,
		binary:           binary,
		settingsFile:     filepath.Join(dir, name+".yaml"),
		logFile:          filepath.Join(dir, name+".log"),
		callerAddress:    addresses[0],
		readinessAddress: addresses[1],
		peerAddress:      addresses[2],
	}
	var err error
	if d.peerRelay, err = startRelay(addresses[2], addresses[3]); err != nil {
		return nil, err
	}
	if d.storeRelay, err = startRelay(addresses[5], store); err != nil {
		return nil, err
	}
	content := fmt.Sprintf(settingsTemplate, name, addresses[0], addresses[1], addresses[2], addresses[3],
		addresses[4], addresses[5], advice)
	return d, os.WriteFile(d.settingsFile, []byte(content), 0o600)
}

// startRelay forwards connections from one address to another until the process
// of the soak test exits.
func startRelay(from, to netip.AddrPort) (*tanagerrelay.Relay, error) {
	listener, err := net.Listen("tcp", from.String())
	if err != nil {
		return nil, err
	}
	r := tanagerrelay.New(to)
	go r.Run(context.Background(), listener)
	return r, nil
}

// The daemons' ports lie below the ephemeral port range. An outgoing connection
// could otherwise take a port while its daemon restarts. They also lie below those
// of package scenarios, whose tests may run at the same time.
const (
	firstPort       = 12000
	portCount       = 6000
	maxPortAttempts = 100
)

// portPool hands out the addresses of one run.
type portPool struct{ taken map[netip.AddrPort]bool }

func newPortPool() *portPool { return &portPool{taken: make(map[netip.AddrPort]bool)} }

// take returns a loopback address with a port that is free at the moment. It
// returns none twice, as the daemon that has it may not listen yet.
func (p *portPool) take() (netip.AddrPort, error) {
	for range maxPortAttempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		if p.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address.String())
		if err == nil {
			p.taken[address] = true
			return address, l.Close()
		}
	}
	return netip.AddrPort{}, NotStarted.New("no free port found in %d attempts", maxPortAttempts)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(d.binary, "cell", "--settings", d.settingsFile)
	d.command.Stdout = log
	d.command.Stderr = log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		// The exit status does not matter: faults kill the process.
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(d.command, d.exited)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// restart waits for the process to exit and starts it again after a delay.
func (d *daemon) restart(delay time.Duration) error {
	<-d.exited
	time.Sleep(delay)
	return d.start()
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readinessAddress.String() + "/tanagersail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await polls a condition until it holds or the timeout is over. It returns
// whether the condition holds.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
