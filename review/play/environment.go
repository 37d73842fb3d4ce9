package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// errNotReady means that a daemon was not ready in time.
var errNotReady = errors.New("a daemon is not ready")

// errNotAccepted means that a job was not accepted, errNoScheduler that no daemon
// schedules.
var (
	errNotAccepted = errors.New("a job was not accepted")
	errNoScheduler = errors.New("no daemon schedules")
	// errWaveNotDone means that a wave was not done in time.
	errWaveNotDone = errors.New("a wave is not done")
)

// The figures of the deployment that the cases play, as in the settings of a
// small one.
const (
	heartbeat      = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopGrace      = 900 * time.Millisecond
	retention      = 120 * time.Second
	remoteFactor   = 1.5
	shutdownGrace  = 6 * time.Second
	cpuShare       = 0.4
	memoryMB       = 284
	maxFiles       = 4100
	storeEndpoints = 3
)

// environment holds the stand-ins and the daemons of a run.
type environment struct {
	started  time.Time
	dir      string
	binary   string
	template string
	site     *tanagersite.Site
	advice   netip.AddrPort
	// machines is the address of the interface to the machines, empty without one.
	machines string
	ledger   *ledger

	mu      sync.Mutex
	file    *os.File
	record  *bufio.Writer
	daemons []*daemon
	workers []*worker
	taken   map[int]bool
	closed  bool
}

// newEnvironment starts the store and the advice service. The stand-ins for both
// are the project's own.
func newEnvironment(recordPath, binary, template string) (*environment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	site, err := tanagersite.New(tanagersite.Settings{
		StoreEndpoints:   storeEndpoints,
		MeanTaskDuration: time.Second,
	})
	if err != nil {
		return nil, err
	}
	return &environment{
		started:  time.Now(),
		dir:      dir,
		binary:   binary,
		template: template,
		site:     site,
		advice:   site.AdviceAddress(),
		ledger:   newLedger(),
		file:     file,
		record:   bufio.NewWriter(file),
		taken:    make(map[int]bool),
	}, nil
}

// note writes a line to the record.
func (e *environment) note(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, a...))
}

// close kills all daemons, stops the stand-ins and completes the record.
func (e *environment) close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	daemons, workers := e.daemons, e.workers
	e.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, w := range workers {
		w.close()
	}
	e.site.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.record.Flush()
	_ = e.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
}

// writeConfiguration writes the operator's configuration.
func (e *environment) writeConfiguration(version int, routes ...map[string]any) {
	names := make([]any, 0, len(routes))
	for _, r := range routes {
		names = append(names, r["name"])
	}
	e.site.WriteKey("op/config", tanagerwire.Encode(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name":              tanagersite.ServiceName,
			"enforces_capacity": false,
			"standby":           false,
		}},
		"limits": map[string]any{"max_body_bytes": 262144},
	}))
	e.note("operator: version %d acknowledged, routes %v", version, names)
}

// route returns a route of the configuration. Its queue needs advice if advised is
// set.
func route(name string, maxAttempts int, advised bool) map[string]any {
	r := map[string]any{
		"name":              name,
		"host":              callerHost,
		"prefix":            "/" + name + "/",
		"timeout_ms":        3000,
		"target_latency_ms": 3000,
		"priority":          1,
		"service":           tanagersite.ServiceName,
		"max_attempts":      maxAttempts,
		"stretch":           4,
	}
	if advised {
		r["advice"] = map[string]any{"decision_ms": 5, "period_ms": 0.1, "valid_ms": 1500}
	}
	return r
}

// The ports lie below the ephemeral range, so that no outgoing connection takes
// one while its process restarts.
const (
	firstPort = 18000
	lastPort  = 28000
)

// freePort returns a loopback address with a free port.
func (e *environment) freePort() (netip.AddrPort, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if e.taken[port] {
			continue
		}
		e.taken[port] = true
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if l, err := net.Listen("tcp", address.String()); err == nil {
			return address, l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

// startCell starts daemons and waits until all are ready and one schedules.
func (e *environment) startCell(count int) error {
	for i := range count {
		d, err := e.newDaemon(i)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range e.daemons {
		if !await(20*time.Second, d.ready) {
			return fmt.Errorf("%w: %s", errNotReady, d.name)
		}
	}
	return nil
}

// startWorkers starts minions.
func (e *environment) startWorkers(count int, milliCPU int64) error {
	digits := max(2, len(strconv.Itoa(count-1)))
	for i := range count {
		w, err := e.newWorker(fmt.Sprintf("minion-%0*d", digits, i), milliCPU)
		if err != nil {
			return err
		}
		w.register()
	}
	return nil
}

// await polls a condition until it holds or the timeout is over.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// writeResponse writes a response with a body.
func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	// A write fails only if the other side has disconnected.
	_, _ = w.Write(tanagerwire.Encode(body))
}
