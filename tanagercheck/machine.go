package tanagercheck

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagercell"
)

// The settings of the daemons, as a deployment has them.
const (
	leaderTTL    = 2 * time.Second
	workerLease  = 5 * time.Second
	retention    = 120 * time.Second
	peerPort     = 7000
	peerToken    = "token"
	remoteFactor = 1.5

	maxValueBytes = 1 << 20
)

// machine runs a daemon, one process at a time.
type machine struct {
	world   *world
	index   int
	name    string
	address netip.AddrPort
	// process is nil while no daemon runs. The world's mutex guards it and the fields
	// after it.
	process     *process
	starting    bool
	startedAt   time.Duration
	pausedUntil time.Duration
}

// process is a daemon and its ports.
type process struct {
	machine *machine
	daemon  *tanagercell.Daemon
	server  *http.Server
	ended   chan struct{}
	end     sync.Once
}

func newMachine(w *world, index int) *machine {
	return &machine{
		world:   w,
		index:   index,
		name:    fmt.Sprintf("d%d", index+1),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), peerPort),
	}
}

// start starts a daemon unless one runs.
func (m *machine) start() {
	w := m.world
	p := &process{
		machine: m,
		ended:   make(chan struct{}),
	}
	w.mu.Lock()
	if m.process != nil || m.starting {
		w.mu.Unlock()
		return
	}
	m.starting = true
	w.mu.Unlock()
	r := w.random(m.name + " weight")
	p.daemon = tanagercell.New(tanagercell.Settings{
		Name:        m.name,
		PeerAddress: m.address,
		PeerToken:   peerToken,
		PeerDial:    m.dial,
		Weight:      r.Float64(),
		LeaderTTL:   leaderTTL,
		Dispatch: tanagerdispatch.Settings{
			Lease:        workerLease,
			StopGrace:    stopGrace,
			GangWait:     gangWait,
			Retention:    retention,
			RemoteFactor: remoteFactor,
		},
		MaxValueBytes: maxValueBytes,
	}, tanagercell.Ports{
		Store:   storePort{process: p},
		Workers: workerPort{process: p},
		Decoder: decoder{},
	}, clock{process: p}, discardMetrics{}, w.logger(m.name))
	peers := http.NewServeMux()
	peers.Handle(tanagerpeer.Path, p.daemon.PeerHandler())
	p.server = &http.Server{Handler: peers}
	listener := w.network.listen(m.index)
	w.mu.Lock()
	m.process, m.starting = p, false
	m.startedAt = w.now()
	w.log(m.name, "", "", "starts")
	w.mu.Unlock()
	w.spawn(func() { _ = p.server.Serve(listener) })
	w.spawn(func() { _ = p.daemon.Run() })
}

// stop kills the daemon.
func (m *machine) stop() {
	m.world.mu.Lock()
	p := m.process
	m.process = nil
	if p != nil {
		m.world.log(m.name, "", "", "is killed")
	}
	m.world.mu.Unlock()
	if p == nil {
		return
	}
	p.end.Do(func() { close(p.ended) })
	_ = p.daemon.Close()
	_ = p.server.Close()
	m.world.network.drop(m.index)
}

// current returns the process that runs, or nil.
func (m *machine) current() *process {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.process
}

// pause pauses the machine until a time.
func (m *machine) pause(until time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.pausedUntil = max(m.pausedUntil, until)
	m.world.log(m.name, "", "", "is paused until %v", until.Round(time.Millisecond))
}

// pauseEnd returns the end of a pause that goes on, or 0.
func (m *machine) pauseEnd() time.Duration {
	w := m.world
	var until time.Duration
	if f := w.active(m.index, func(f *Fault) bool { return f.Kind == PauseDaemon }); f != nil {
		until = f.end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if until = max(until, m.pausedUntil); until > w.now() {
		return until
	}
	return 0
}

// waitRunning waits while the machine is paused. It returns false if the process has
// ended.
func (p *process) waitRunning() bool {
	for {
		select {
		case <-p.ended:
			return false
		default:
		}
		until := p.machine.pauseEnd()
		if until == 0 {
			return true
		}
		resume := time.NewTimer(until - p.machine.world.now())
		select {
		case <-resume.C:
		case <-p.ended:
		}
		resume.Stop()
	}
}

// clock is the clock of a process. It stops all that ask for the time while the
// process is paused.
type clock struct{ process *process }

// Now implements tanagertimer.Service.
func (c clock) Now() time.Time {
	c.process.waitRunning()
	return time.Now()
}

// Every implements tanagertimer.Service.
func (clock) Every(interval time.Duration) *tanagertimer.Subscription {
	return tanagertimer.NewReal().Every(interval)
}

// After implements tanagertimer.Service.
func (clock) After(delay time.Duration) *tanagertimer.Subscription {
	return tanagertimer.NewReal().After(delay)
}

// elected notes which machine holds the scheduler's key. The caller holds the lock.
func (w *world) elected(member string) {
	address, _, _ := strings.Cut(member, "/")
	for _, m := range w.machines {
		if m.address.String() == address {
			w.leader = m.index
			w.elections++
			w.log("store", m.name, "", "is the scheduler")
		}
	}
}
