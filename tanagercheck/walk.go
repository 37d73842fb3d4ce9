package tanagercheck

import (
	"testing/synctest"
	"time"
)

const (
	// minAway is the least time that a worker takes to restart, and minQuickAway that in
	// walks with quick restarts.
	minAway      = time.Second
	minQuickAway = 300 * time.Millisecond
	// endCheckInterval is the interval at which a healed walk looks whether all jobs
	// have ended.
	endCheckInterval = 500 * time.Millisecond
	// settleTime is how long a walk goes on after its last job has ended.
	settleTime = 2 * time.Second
)

// Run runs a walk. It has to be called in a bubble of testing/synctest. With verbose
// set the trace has the logs of the daemons.
func Run(p Plan, verbose bool) Result {
	w := newWorld(p, verbose)
	w.mu.Lock()
	w.store.set(configKey, []byte("configuration"))
	for _, k := range w.workers {
		k.begin(false)
		k.publish()
	}
	w.mu.Unlock()
	for _, m := range w.machines {
		m.start()
	}
	w.spawn(w.expireLeases)
	for i := range p.Faults {
		w.spawn(func() { w.runFault(i) })
	}
	for i := range p.jobs {
		w.spawn(func() { w.runCaller(&p.jobs[i]) })
	}
	w.awaitEnd()
	w.mu.Lock()
	if len(w.rules.violations) == 0 {
		w.rules.finish()
	}
	result := Result{
		Plan:       p,
		Violations: w.rules.violations,
		Entries:    w.entries,
		Starts:     w.rules.starts,
		Elections:  w.elections,
		Virtual:    w.now(),
	}
	w.mu.Unlock()
	for _, m := range w.machines {
		m.stop()
	}
	close(w.done)
	w.ongoing.Wait()
	synctest.Wait()
	return result
}

// awaitEnd waits until the walk has healed and all jobs have ended, at most until
// walkEnd. A violation ends the walk.
func (w *world) awaitEnd() {
	for w.now() < walkEnd && w.sleep(endCheckInterval) {
		w.mu.Lock()
		broken, open := len(w.rules.violations) > 0, w.rules.open()
		w.mu.Unlock()
		if broken {
			return
		}
		if w.now() > healedAt && open == 0 {
			w.sleep(settleTime)
			return
		}
	}
}

// expireLeases ends the leases of the store and of the workers.
func (w *world) expireLeases() {
	for w.sleep(expiryInterval) {
		w.mu.Lock()
		w.store.expire()
		for _, k := range w.workers {
			k.expire()
		}
		w.mu.Unlock()
	}
}

// away returns how long a worker takes to restart.
func (p *Plan) away(f *Fault) time.Duration {
	if p.QuickRestarts {
		return max(f.Length/10, minQuickAway)
	}
	return max(f.Length/2, minAway)
}

// runFault carries out what a fault does beside the calls.
func (w *world) runFault(index int) {
	f := &w.plan.Faults[index]
	if !w.sleep(f.At) {
		return
	}
	w.mu.Lock()
	target := w.target(index)
	m := w.machines[target]
	w.log("fault", m.name, "", "%s", f)
	w.mu.Unlock()
	switch f.Kind {
	case RestartWorker:
		w.workers[f.Worker].restart(w.plan.away(f), f.Flag)
	case HideWorker:
		w.hide(f)
	case KillDaemon:
		m.stop()
		w.sleep(f.Length / 2)
		m.start()
	case StopDaemon:
		w.stopOrderly(m)
		w.sleep(f.Length / 4)
		m.start()
	case DropHistory:
		w.mu.Lock()
		w.store.dropHistory()
		w.mu.Unlock()
	}
	if w.sleep(max(f.end()-w.now(), time.Nanosecond)) {
		w.mu.Lock()
		w.log("fault", m.name, "", "%s is over", f.Kind)
		w.mu.Unlock()
	}
}

func (w *world) hide(f *Fault) {
	k := w.workers[f.Worker]
	set := func(hidden bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		k.hidden = hidden
		k.publish()
	}
	set(true)
	w.sleep(f.Length)
	set(false)
}

// stopOrderly lets a daemon hand over before it ends.
func (w *world) stopOrderly(m *machine) {
	p := m.current()
	if p == nil {
		return
	}
	resigned := make(chan struct{})
	w.spawn(func() {
		p.daemon.Resign()
		close(resigned)
	})
	limit := time.NewTimer(drainTime)
	defer limit.Stop()
	select {
	case <-resigned:
	case <-limit.C:
	case <-w.done:
		return
	}
	m.stop()
}

// drainTime is how long a daemon that stops may take to hand over.
const drainTime = 4 * time.Second
