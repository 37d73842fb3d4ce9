package tanagersoak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagersail.example/tanagerfake/tanagerrelay"
	"tanagersail.example/tanagerfake/tanagersite"
)

// Settings configures a run. All fields are required.
type Settings struct {
	// Binary is the path of the tanagerd binary.
	Binary           string
	Seed             uint64
	Daemons, Workers int
	// FaultDuration is how long faults are injected, SettleTimeout how long the
	// accepted jobs may take to end after that.
	FaultDuration, SettleTimeout time.Duration
	// ConnectionFaults adds connection faults to the schedule. Without them a seed
	// keeps the schedule that it had before connection faults were introduced.
	ConnectionFaults bool
	// CapacityChanges makes workers shrink and grow again. The other faults of a
	// seed are the same with and without it.
	CapacityChanges bool
	// CrashingJobs adds jobs with a task that crashes each worker that starts it.
	CrashingJobs bool
	// Takeovers replaces the faults and the jobs by series of faults that make the
	// scheduler change again and again, and by the load of a large site. The three
	// settings above do not matter then.
	Takeovers bool
	// Record keeps a record of what workers, callers and the store see, with the logs
	// of a run with violations.
	Record bool
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Accepted, Refused, Unknown and Cancelled count jobs. Unknown ones may have
	// been accepted. RunsStarted counts the started runs of tasks.
	Accepted, Refused, Unknown, Cancelled, RunsStarted int
	// Faults is the number of injected faults by kind.
	Faults map[string]int
	// Violations describes the violated invariants.
	Violations []string
	// Notes tells what a run with Settings.Takeovers counts besides.
	Notes string
	// LogDir is the directory of the daemons' logs, which are kept if there are
	// violations.
	LogDir string
}

// String returns a summary line, followed by a line for each violation.
func (r Report) String() string {
	line := fmt.Sprintf("seed=%d accepted=%d refused=%d unsure=%d cancelled=%d starts=%d faults=%v%s broken=%d",
		r.Seed, r.Accepted, r.Refused, r.Unknown, r.Cancelled, r.RunsStarted, r.Faults, r.Notes, len(r.Violations))
	if len(r.Violations) > 0 {
		line += " logs=" + r.LogDir + "\n  " + strings.Join(r.Violations, "\n  ")
	}
	return line
}

// cell is a set of running daemons with their fake platform.
type cell struct {
	settings       Settings
	site           *tanagersite.Site
	record         *tanagersite.Record
	daemons        []*daemon
	random         *rand.Rand
	faults         map[string]int
	pendingRepairs sync.WaitGroup
	// shrunkWorkers is the number of times that a worker shrank, set before
	// pendingRepairs ends.
	shrunkWorkers int
	// elections counts the changes of the scheduler in a run with Settings.Takeovers.
	elections int
}

const (
	workerMilliCPU   = 8000
	meanTaskDuration = 300 * time.Millisecond
	startTimeout     = 20 * time.Second
	// crashingJobShare is the share of the jobs with a task that crashes workers.
	crashingJobShare = 0.01
	// A worker shrinks for minShrunkTime to maxShrunkTime. Starts may use the former
	// capacity for the first seconds, so that shorter times would test nothing.
	minShrunkTime = 2 * time.Second
	maxShrunkTime = 9 * time.Second
	// A shrunk worker has one to maxShrunkShares shares of its capacity left, of
	// capacityShares.
	capacityShares  = 8
	maxShrunkShares = 4
)

// Run runs one seed. It returns an error if the run could not start; violations
// are in the report.
func Run(s Settings) (Report, error) {
	logDir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	c := &cell{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		faults:   make(map[string]int),
	}
	if s.Record {
		file, err := os.Create(filepath.Join(logDir, "record.jsonl"))
		if err != nil {
			return Report{}, err
		}
		defer file.Close()
		c.record = tanagersite.NewRecord(file)
	}
	c.site, err = tanagersite.New(tanagersite.Settings{
		Workers:          s.Workers,
		StoreEndpoints:   s.Daemons,
		MilliCPU:         workerMilliCPU,
		MeanTaskDuration: meanTaskDuration,
		Seed:             s.Seed,
		WorkerLinks:      s.Takeovers,
		Record:           c.record,
	})
	if err != nil {
		return Report{}, err
	}
	defer c.site.Close()
	defer c.killDaemons()
	if err := c.start(logDir); err != nil {
		return Report{}, err
	}
	callers := newCallerPool(c.site, c.daemons)
	if s.CrashingJobs && !s.Takeovers {
		callers.crashingJobShare = crashingJobShare
	}
	stop := make(chan struct{})
	var callersDone sync.WaitGroup
	callersDone.Add(1)
	go func() {
		defer callersDone.Done()
		if s.Takeovers {
			callers.runLoad(s.Seed, stop)
		} else {
			callers.run(s.Seed, stop)
		}
	}()
	if s.Takeovers {
		newTakeovers(c).inject()
	} else {
		c.injectFaults()
	}
	c.awaitRepairs()
	close(stop)
	callersDone.Wait()
	report := c.report(callers, logDir)
	return report, c.record.Close()
}

// start starts the daemons and waits until all of them are ready.
func (c *cell) start(logDir string) error {
	ports := newPortPool()
	for i := range c.settings.Daemons {
		_, address := c.site.StoreEndpoint(i)
		d, err := newDaemon(c.settings.Binary, logDir, fmt.Sprintf("d%d", i), ports, address, c.site.AdviceAddress())
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	for _, d := range c.daemons {
		if !await(startTimeout, d.isReady) {
			return NotStarted.New("%s is not ready, see %s", d.name, d.logFile)
		}
	}
	return nil
}

// killDaemons kills the daemons and waits for their exit.
func (c *cell) killDaemons() {
	for _, d := range c.daemons {
		if d.command != nil {
			d.signal(syscall.SIGKILL)
			<-d.exited
		}
	}
}

// injectFaults injects faults for the run's fault duration. Each is repaired some
// time later, so that faults overlap.
func (c *cell) injectFaults() {
	if c.settings.CapacityChanges {
		c.repairAfter(0, c.changeCapacities)
	}
	kinds := c.faultKinds()
	for deadline := time.Now().Add(c.settings.FaultDuration); time.Now().Before(deadline); {
		time.Sleep(time.Duration(200+c.random.IntN(700)) * time.Millisecond)
		k := kinds[c.random.IntN(len(kinds))]
		c.faults[k.name]++
		k.inject(time.Duration(300+c.random.IntN(2500)) * time.Millisecond)
	}
}

type faultKind struct {
	name string
	// inject injects a fault and schedules its repair after a duration.
	inject func(duration time.Duration)
}

func (c *cell) faultKinds() []faultKind {
	kinds := []faultKind{
		{name: "kill", inject: func(d time.Duration) { c.restartDaemon(syscall.SIGKILL, d/4) }},
		{name: "kill_all", inject: c.restartAllDaemons},
		{name: "term", inject: func(d time.Duration) { c.restartDaemon(syscall.SIGTERM, d/4) }},
		{name: "pause", inject: c.pauseDaemon},
		{name: "hup", inject: func(time.Duration) { c.randomDaemon().signal(syscall.SIGHUP) }},
		{name: "store_refuses_one", inject: func(d time.Duration) {
			c.injectEndpointFault(tanagersite.StoreFault{Unavailable: true}, d)
		}},
		{name: "store_silent_to_one", inject: func(d time.Duration) {
			c.injectEndpointFault(tanagersite.StoreFault{Unresponsive: true}, d)
		}},
		{name: "store_down", inject: func(d time.Duration) {
			c.injectStoreFault(tanagersite.StoreFault{Unavailable: true}, d)
		}},
		{name: "store_slow", inject: func(d time.Duration) {
			c.injectStoreFault(tanagersite.StoreFault{Delay: 200 * time.Millisecond}, d)
		}},
		{name: "store_loses_answers", inject: func(d time.Duration) {
			c.injectStoreFault(tanagersite.StoreFault{LostResponseProbability: 0.3}, d)
		}},
		{name: "store_writes_late", inject: func(d time.Duration) {
			c.injectStoreFault(tanagersite.StoreFault{LostResponseProbability: 0.2, CommitDelay: time.Second}, d)
		}},
		{name: "store_compacts", inject: func(time.Duration) { c.site.CompactStore() }},
		{name: "worker_late", inject: func(d time.Duration) {
			c.injectWorkersFault(tanagersite.WorkerFault{DelayProbability: 0.3, CommandDelay: 2 * time.Second}, d)
		}},
		{name: "worker_silent", inject: func(d time.Duration) {
			c.injectWorkerFault(tanagersite.WorkerFault{Unresponsive: true}, d)
		}},
		{name: "worker_fails", inject: func(d time.Duration) {
			c.injectWorkerFault(tanagersite.WorkerFault{FailureProbability: 0.5}, d)
		}},
		{name: "worker_restarts", inject: func(time.Duration) {
			c.site.Worker(c.random.IntN(c.settings.Workers)).Restart()
		}},
		{name: "configuration", inject: func(time.Duration) { c.site.WriteConfiguration() }},
		{name: "foreign_entry", inject: func(time.Duration) {
			c.site.WriteKey("servers/other", []byte(`{"service":7}`))
		}},
	}
	if c.settings.ConnectionFaults {
		kinds = append(kinds, c.connectionFaultKinds()...)
	}
	return kinds
}

// connectionFaultKinds returns the faults that the relays inject, those between a
// daemon and its peers and those between a daemon and the store.
func (c *cell) connectionFaultKinds() []faultKind {
	return []faultKind{
		{name: "link_slow", inject: func(d time.Duration) {
			c.injectPeerFault(tanagerrelay.Fault{Delay: 40 * time.Millisecond}, d)
		}},
		{name: "link_deaf", inject: func(d time.Duration) {
			c.injectPeerFault(tanagerrelay.Fault{BlockUpstream: true}, d)
		}},
		{name: "link_mute", inject: func(d time.Duration) {
			c.injectPeerFault(tanagerrelay.Fault{BlockDownstream: true}, d)
		}},
		{name: "link_silent", inject: func(d time.Duration) {
			c.injectPeerFault(tanagerrelay.Fault{BlockUpstream: true, BlockDownstream: true}, d)
		}},
		{name: "link_reset", inject: func(time.Duration) { c.randomDaemon().peerRelay.Reset() }},
		{name: "store_link_deaf", inject: func(d time.Duration) {
			c.injectStoreLinkFault(tanagerrelay.Fault{BlockUpstream: true}, d)
		}},
		{name: "store_link_mute", inject: func(d time.Duration) {
			c.injectStoreLinkFault(tanagerrelay.Fault{BlockDownstream: true}, d)
		}},
		{name: "store_link_reset", inject: func(time.Duration) { c.randomDaemon().storeRelay.Reset() }},
	}
}

func (c *cell) randomDaemon() *daemon { return c.daemons[c.random.IntN(len(c.daemons))] }

// repairAfter calls repair after a duration.
func (c *cell) repairAfter(d time.Duration, repair func()) {
	c.pendingRepairs.Add(1)
	go func() {
		defer c.pendingRepairs.Done()
		time.Sleep(d)
		repair()
	}()
}

func (c *cell) awaitRepairs() { c.pendingRepairs.Wait() }

// restartDaemon sends a signal that ends a daemon, and restarts it after a delay.
func (c *cell) restartDaemon(s syscall.Signal, delay time.Duration) {
	d := c.randomDaemon()
	if !d.claim() {
		return
	}
	d.signal(s)
	c.repairAfter(0, func() { d.release(d.restart(delay)) })
}

func (c *cell) restartAllDaemons(delay time.Duration) {
	for _, d := range c.daemons {
		if d.claim() {
			d.signal(syscall.SIGKILL)
			c.repairAfter(0, func() { d.release(d.restart(delay / 4)) })
		}
	}
}

func (c *cell) pauseDaemon(duration time.Duration) {
	d := c.randomDaemon()
	if !d.claim() {
		return
	}
	d.signal(syscall.SIGSTOP)
	c.repairAfter(duration, func() {
		d.signal(syscall.SIGCONT)
		d.release(nil)
	})
}

// injectPeerFault injects a fault into the connections of other daemons to one
// daemon.
func (c *cell) injectPeerFault(f tanagerrelay.Fault, duration time.Duration) {
	c.injectRelayFault(c.randomDaemon().peerRelay, f, duration)
}

func (c *cell) injectStoreLinkFault(f tanagerrelay.Fault, duration time.Duration) {
	c.injectRelayFault(c.randomDaemon().storeRelay, f, duration)
}

func (c *cell) injectRelayFault(r *tanagerrelay.Relay, f tanagerrelay.Fault, duration time.Duration) {
	r.SetFault(f)
	c.repairAfter(duration, func() { r.SetFault(tanagerrelay.Fault{}) })
}

func (c *cell) injectEndpointFault(f tanagersite.StoreFault, duration time.Duration) {
	endpoint, _ := c.site.StoreEndpoint(c.random.IntN(c.settings.Daemons))
	endpoint.SetFault(f)
	c.repairAfter(duration, func() { endpoint.SetFault(tanagersite.StoreFault{}) })
}

func (c *cell) injectStoreFault(f tanagersite.StoreFault, duration time.Duration) {
	for i := range c.settings.Daemons {
		endpoint, _ := c.site.StoreEndpoint(i)
		endpoint.SetFault(f)
		c.repairAfter(duration, func() { endpoint.SetFault(tanagersite.StoreFault{}) })
	}
}

func (c *cell) injectWorkerFault(f tanagersite.WorkerFault, duration time.Duration) {
	w := c.site.Worker(c.random.IntN(c.settings.Workers))
	w.SetFault(f)
	c.repairAfter(duration, func() { w.SetFault(tanagersite.WorkerFault{}) })
}

func (c *cell) injectWorkersFault(f tanagersite.WorkerFault, duration time.Duration) {
	for i := range c.settings.Workers {
		w := c.site.Worker(i)
		w.SetFault(f)
		c.repairAfter(duration, func() { w.SetFault(tanagersite.WorkerFault{}) })
	}
}

// changeCapacities shrinks workers for the run's fault duration, up to half of them
// at a time. Each grows again some time later. It draws from random numbers of its
// own, so that the schedule of the other faults does not depend on it.
func (c *cell) changeCapacities() {
	r := rand.New(rand.NewPCG(c.settings.Seed, 2))
	for deadline := time.Now().Add(c.settings.FaultDuration); time.Now().Before(deadline); {
		time.Sleep(time.Duration(300+r.IntN(1200)) * time.Millisecond)
		for range 1 + r.IntN(c.settings.Workers/2) {
			w := c.site.Worker(r.IntN(c.settings.Workers))
			w.SetCapacity(workerMilliCPU / capacityShares * int64(1+r.IntN(maxShrunkShares)))
			c.shrunkWorkers++
			duration := minShrunkTime + time.Duration(r.Int64N(int64(maxShrunkTime-minShrunkTime)))
			c.repairAfter(duration, func() { w.SetCapacity(workerMilliCPU) })
		}
	}
}

// report waits for the accepted jobs to end and collects the violations.
func (c *cell) report(callers *callerPool, logDir string) Report {
	for _, d := range c.daemons {
		if err := d.failure(); err != nil {
			callers.addViolation("%v", err)
		}
	}
	var unfinished []string
	allEnded := await(c.settings.SettleTimeout, func() bool {
		unfinished = callers.unfinished(c.random)
		return len(unfinished) == 0
	})
	if !allEnded {
		callers.addViolation("%d accepted jobs have not ended: %v", len(unfinished), unfinished[:min(len(unfinished), 5)])
	}
	if c.settings.CapacityChanges && !c.settings.Takeovers {
		c.faults["worker_shrinks"] = c.shrunkWorkers
	}
	violations := append(c.site.Violations(), callers.violations...)
	report := Report{
		Seed:        c.settings.Seed,
		Accepted:    len(callers.acceptedJobs),
		Refused:     callers.refusedCount,
		Unknown:     callers.unknownCount,
		Cancelled:   len(callers.cancelled),
		RunsStarted: c.site.RunsStarted(),
		Faults:      c.faults,
		Violations:  violations,
		LogDir:      logDir,
	}
	if c.settings.Takeovers {
		report.Notes = c.takeoverNotes()
	}
	if len(violations) == 0 {
		_ = os.RemoveAll(logDir)
	}
	return report
}
