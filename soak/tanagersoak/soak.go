package tanagersoak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagersail.example/tanagerfake/tanagerrelay"
	"tanagersail.example/tanagerfake/tanagersite"
)

// Settings of a run. All fields are required.
type Settings struct {
	// Binary is the daemon's program.
	Binary           string
	Seed             uint64
	Daemons, Workers int
	// Length is how long faults are injected, Settle how long the jobs may take
	// to end after that.
	Length, Settle time.Duration
	// Links adds faults of connections. Without them the schedule of a seed is as
	// it was before there were any.
	Links bool
}

// Report is what a run saw.
type Report struct {
	Seed                                         uint64
	Accepted, Refused, Unsure, Cancelled, Starts int
	Faults                                       map[string]int
	// Broken are the promises that were broken.
	Broken []string
	// Logs is where the daemons' logs are, if a promise was broken.
	Logs string
}

// String returns one line, and one for each broken promise.
func (r Report) String() string {
	line := fmt.Sprintf("seed=%d accepted=%d refused=%d unsure=%d cancelled=%d starts=%d faults=%v broken=%d",
		r.Seed, r.Accepted, r.Refused, r.Unsure, r.Cancelled, r.Starts, r.Faults, len(r.Broken))
	if len(r.Broken) > 0 {
		line += " logs=" + r.Logs + "\n  " + strings.Join(r.Broken, "\n  ")
	}
	return line
}

// cell is a running set of daemons with their platform.
type cell struct {
	settings Settings
	site     *tanagersite.Site
	daemons  []*daemon
	random   *rand.Rand
	faults   map[string]int
	healing  sync.WaitGroup
}

const (
	workerCPU = 8000
	taskTime  = 300 * time.Millisecond
	startTime = 20 * time.Second
)

// Run plays one seed.
func Run(s Settings) (Report, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	c := &cell{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		faults:   make(map[string]int),
	}
	c.site, err = tanagersite.New(tanagersite.Settings{
		Workers:          s.Workers,
		StoreEndpoints:   s.Daemons,
		MilliCPU:         workerCPU,
		MeanTaskDuration: taskTime,
		Seed:             s.Seed,
	})
	if err != nil {
		return Report{}, err
	}
	defer c.site.Close()
	defer c.end()
	if err := c.start(folder); err != nil {
		return Report{}, err
	}
	callers := newCallers(c.site, c.daemons)
	stop := make(chan struct{})
	var calling sync.WaitGroup
	calling.Add(1)
	go func() {
		defer calling.Done()
		callers.run(s.Seed, stop)
	}()
	c.inject()
	c.heal()
	close(stop)
	calling.Wait()
	return c.judge(callers, folder), nil
}

func (c *cell) start(folder string) error {
	for i := range c.settings.Daemons {
		_, address := c.site.StoreEndpoint(i)
		d, err := newDaemon(c.settings.Binary, folder, fmt.Sprintf("d%d", i), address, c.site.AdviceAddress())
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	for _, d := range c.daemons {
		if !await(startTime, d.isReady) {
			return NotStarted.New("%s is not ready, see %s", d.name, d.log)
		}
	}
	return nil
}

// end kills the processes that this run started.
func (c *cell) end() {
	for _, d := range c.daemons {
		if d.command != nil {
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
	}
}

// inject carries faults out until the run's length is over. Each heals after a
// time, so that they overlap.
func (c *cell) inject() {
	kinds := c.kinds()
	for end := time.Now().Add(c.settings.Length); time.Now().Before(end); {
		time.Sleep(time.Duration(200+c.random.IntN(700)) * time.Millisecond)
		k := kinds[c.random.IntN(len(kinds))]
		c.faults[k.name]++
		k.inject(time.Duration(300+c.random.IntN(2500)) * time.Millisecond)
	}
}

type fault struct {
	name   string
	inject func(lasts time.Duration)
}

func (c *cell) kinds() []fault {
	kinds := []fault{
		{name: "kill", inject: func(d time.Duration) { c.stopDaemon(syscall.SIGKILL, d/4) }},
		{name: "kill_all", inject: c.killAll},
		{name: "term", inject: func(d time.Duration) { c.stopDaemon(syscall.SIGTERM, d/4) }},
		{name: "pause", inject: c.pause},
		{name: "hup", inject: func(time.Duration) { c.pick().signal(syscall.SIGHUP) }},
		{name: "store_refuses_one", inject: func(d time.Duration) { c.door(tanagersite.StoreFault{Unavailable: true}, d) }},
		{name: "store_silent_to_one", inject: func(d time.Duration) { c.door(tanagersite.StoreFault{Unresponsive: true}, d) }},
		{name: "store_down", inject: func(d time.Duration) { c.doors(tanagersite.StoreFault{Unavailable: true}, d) }},
		{name: "store_slow", inject: func(d time.Duration) { c.doors(tanagersite.StoreFault{Delay: 200 * time.Millisecond}, d) }},
		{name: "store_loses_answers", inject: func(d time.Duration) { c.doors(tanagersite.StoreFault{LostResponseProbability: 0.3}, d) }},
		{name: "store_writes_late", inject: func(d time.Duration) {
			c.doors(tanagersite.StoreFault{LostResponseProbability: 0.2, CommitDelay: time.Second}, d)
		}},
		{name: "store_compacts", inject: func(time.Duration) { c.site.CompactStore() }},
		{name: "worker_late", inject: func(d time.Duration) {
			c.workers(tanagersite.WorkerFault{DelayProbability: 0.3, CommandDelay: 2 * time.Second}, d)
		}},
		{name: "worker_silent", inject: func(d time.Duration) { c.worker(tanagersite.WorkerFault{Unresponsive: true}, d) }},
		{name: "worker_fails", inject: func(d time.Duration) { c.worker(tanagersite.WorkerFault{FailureProbability: 0.5}, d) }},
		{name: "worker_restarts", inject: func(time.Duration) { c.site.Worker(c.random.IntN(c.settings.Workers)).Restart() }},
		{name: "configuration", inject: func(time.Duration) { c.site.WriteConfiguration() }},
		{name: "foreign_entry", inject: func(time.Duration) { c.site.WriteKey("servers/other", []byte(`{"service":7}`)) }},
	}
	if c.settings.Links {
		kinds = append(kinds, c.linkKinds()...)
	}
	return kinds
}

// linkKinds are the faults of connections, by the relays in front of each daemon
// and between it and the store.
func (c *cell) linkKinds() []fault {
	return []fault{
		{name: "link_slow", inject: func(d time.Duration) { c.link(tanagerrelay.Fault{Delay: 40 * time.Millisecond}, d) }},
		{name: "link_deaf", inject: func(d time.Duration) { c.link(tanagerrelay.Fault{BlockUpstream: true}, d) }},
		{name: "link_mute", inject: func(d time.Duration) { c.link(tanagerrelay.Fault{BlockDownstream: true}, d) }},
		{name: "link_silent", inject: func(d time.Duration) { c.link(tanagerrelay.Fault{BlockUpstream: true, BlockDownstream: true}, d) }},
		{name: "link_reset", inject: func(time.Duration) { c.pick().links.Reset() }},
		{name: "store_link_deaf", inject: func(d time.Duration) { c.storeLink(tanagerrelay.Fault{BlockUpstream: true}, d) }},
		{name: "store_link_mute", inject: func(d time.Duration) { c.storeLink(tanagerrelay.Fault{BlockDownstream: true}, d) }},
		{name: "store_link_reset", inject: func(time.Duration) { c.pick().stores.Reset() }},
	}
}

func (c *cell) pick() *daemon { return c.daemons[c.random.IntN(len(c.daemons))] }

// later heals a fault after a time.
func (c *cell) later(d time.Duration, heal func()) {
	c.healing.Add(1)
	go func() {
		defer c.healing.Done()
		time.Sleep(d)
		heal()
	}()
}

// heal waits until all faults have healed.
func (c *cell) heal() { c.healing.Wait() }

func (c *cell) stopDaemon(s syscall.Signal, pause time.Duration) {
	d := c.pick()
	if !d.claim() {
		return
	}
	d.signal(s)
	c.later(0, func() { d.release(d.restart(pause)) })
}

func (c *cell) killAll(pause time.Duration) {
	for _, d := range c.daemons {
		if d.claim() {
			d.signal(syscall.SIGKILL)
			c.later(0, func() { d.release(d.restart(pause / 4)) })
		}
	}
}

func (c *cell) pause(lasts time.Duration) {
	d := c.pick()
	if !d.claim() {
		return
	}
	d.signal(syscall.SIGSTOP)
	c.later(lasts, func() {
		d.signal(syscall.SIGCONT)
		d.release(nil)
	})
}

// link disturbs what other daemons send to one, and its answers.
func (c *cell) link(f tanagerrelay.Fault, lasts time.Duration) { c.disturb(c.pick().links, f, lasts) }

func (c *cell) storeLink(f tanagerrelay.Fault, lasts time.Duration) {
	c.disturb(c.pick().stores, f, lasts)
}

func (c *cell) disturb(r *tanagerrelay.Relay, f tanagerrelay.Fault, lasts time.Duration) {
	r.SetFault(f)
	c.later(lasts, func() { r.SetFault(tanagerrelay.Fault{}) })
}

func (c *cell) door(f tanagersite.StoreFault, lasts time.Duration) {
	door, _ := c.site.StoreEndpoint(c.random.IntN(c.settings.Daemons))
	door.SetFault(f)
	c.later(lasts, func() { door.SetFault(tanagersite.StoreFault{}) })
}

func (c *cell) doors(f tanagersite.StoreFault, lasts time.Duration) {
	for i := range c.settings.Daemons {
		door, _ := c.site.StoreEndpoint(i)
		door.SetFault(f)
		c.later(lasts, func() { door.SetFault(tanagersite.StoreFault{}) })
	}
}

func (c *cell) worker(f tanagersite.WorkerFault, lasts time.Duration) {
	w := c.site.Worker(c.random.IntN(c.settings.Workers))
	w.SetFault(f)
	c.later(lasts, func() { w.SetFault(tanagersite.WorkerFault{}) })
}

func (c *cell) workers(f tanagersite.WorkerFault, lasts time.Duration) {
	for i := range c.settings.Workers {
		w := c.site.Worker(i)
		w.SetFault(f)
		c.later(lasts, func() { w.SetFault(tanagersite.WorkerFault{}) })
	}
}

// judge waits for the accepted jobs to end and gathers what was broken.
func (c *cell) judge(callers *callers, folder string) Report {
	for _, d := range c.daemons {
		if err := d.failure(); err != nil {
			callers.note("%v", err)
		}
	}
	var open []string
	ended := await(c.settings.Settle, func() bool {
		open = callers.unfinished(c.random)
		return len(open) == 0
	})
	if !ended {
		callers.note("%d accepted jobs have not ended: %v", len(open), open[:min(len(open), 5)])
	}
	broken := append(c.site.Violations(), callers.broken...)
	report := Report{
		Seed:      c.settings.Seed,
		Accepted:  len(callers.accepted),
		Refused:   callers.refused,
		Unsure:    callers.unsure,
		Cancelled: len(callers.cancelled),
		Starts:    c.site.RunsStarted(),
		Faults:    c.faults,
		Broken:    broken,
		Logs:      folder,
	}
	if len(broken) == 0 {
		_ = os.RemoveAll(folder)
	}
	return report
}
