package tanagersoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// The size of a run with Settings.Takeovers.
const (
	TakeoverDaemons  = 8
	TakeoverWorkers  = 48
	TakeoverDuration = 2 * time.Minute
)

const (
	// minWorkerCores and maxWorkerCores bound the sizes of the workers.
	minWorkerCores = 32
	maxWorkerCores = 64
	// holderKey is the key of the present scheduler.
	holderKey      = "tanager/lead/holder"
	holderInterval = 20 * time.Millisecond
	// entryTimes bound how long the entry of a worker cut from the store remains.
	minEntryTime = 1500 * time.Millisecond
	maxEntryTime = 6 * time.Second
	// maxClockBack bounds how far the clock of a restarted worker is put back.
	maxClockBack = 10 * time.Minute
)

// takeovers injects series of faults that make the scheduler change.
type takeovers struct {
	*cell
	draws *rand.Rand
	stop  chan struct{}
}

func newTakeovers(c *cell) *takeovers {
	return &takeovers{
		cell:  c,
		draws: rand.New(rand.NewPCG(c.settings.Seed, 3)),
		stop:  make(chan struct{}),
	}
}

// inject injects faults for the run's fault duration.
func (t *takeovers) inject() {
	var watch sync.WaitGroup
	watch.Add(1)
	go func() {
		defer watch.Done()
		t.countElections()
	}()
	for i := range t.settings.Workers {
		t.site.Worker(i).SetCapacity(1000 * int64(minWorkerCores+t.draws.IntN(maxWorkerCores-minWorkerCores+1)))
	}
	kinds := t.kinds()
	for deadline := time.Now().Add(t.settings.FaultDuration); time.Now().Before(deadline); {
		time.Sleep(t.between(700*time.Millisecond, 3500*time.Millisecond))
		k := kinds[t.draws.IntN(len(kinds))]
		t.faults[k.name]++
		k.inject()
	}
	close(t.stop)
	watch.Wait()
}

type takeoverKind struct {
	name   string
	inject func()
}

func (t *takeovers) kinds() []takeoverKind {
	return []takeoverKind{
		{name: "lead_paused", inject: func() { t.pause(t.scheduler(), t.leadTime()) }},
		{name: "lead_without_store", inject: func() { t.cutFromStore(t.scheduler(), t.leadTime()) }},
		{name: "lead_without_store_and_crash", inject: t.cutAndCrash},
		{name: "lead_killed", inject: func() { t.kill(t.scheduler(), t.between(time.Second, 10*time.Second)) }},
		{name: "lead_without_peers", inject: func() {
			t.cutPeers([]int{t.scheduler()}, t.between(2*time.Second, 8*time.Second))
		}},
		{name: "power_loss", inject: t.losePower},
		{name: "partition", inject: t.partition},
		{name: "partition", inject: t.partition},
		{name: "workers_unreachable", inject: t.loseWorkers},
		{name: "workers_restart", inject: func() { t.restartWorkers(1 + t.draws.IntN(5)) }},
		{name: "workers_restart_cut", inject: t.restartBehindCut},
		{name: "store_slow", inject: func() {
			t.storeFault(tanagersite.StoreFault{Delay: t.between(100*time.Millisecond, 400*time.Millisecond)})
		}},
		{name: "store_down", inject: func() {
			if t.draws.IntN(2) == 0 {
				t.repair(t.leadTime(), "leases_paused", t.site.PauseLeases())
			}
			t.storeFault(tanagersite.StoreFault{Unavailable: true})
		}},
		{name: "store_writes_late", inject: func() {
			t.storeFault(tanagersite.StoreFault{
				LostResponseProbability: 0.2,
				CommitDelay:             t.between(time.Second, 6*time.Second),
			})
		}},
		{name: "store_compacts", inject: t.site.CompactStore},
	}
}

// between draws a duration.
func (t *takeovers) between(least, most time.Duration) time.Duration {
	return least + time.Duration(t.draws.Int64N(int64(most-least)))
}

// leadTime draws how long the scheduler is paused or cut off.
func (t *takeovers) leadTime() time.Duration {
	return t.between(1500*time.Millisecond, 8*time.Second)
}

// term is the stored record of the scheduler.
type term struct {
	Member string `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// holder returns the term that the store names. It is empty if there is none.
func (t *takeovers) holder() (h term) {
	value, exists := t.site.Value(holderKey)
	if !exists || tanagerwire.Decode(value, &h) != nil {
		return term{}
	}
	return h
}

// scheduler returns the index of the present scheduler, or a drawn one if there is
// none.
func (t *takeovers) scheduler() int {
	fallback := t.draws.IntN(len(t.daemons))
	if i := t.daemonOf(t.holder().Member); i >= 0 {
		return i
	}
	return fallback
}

// countElections counts the changes of the scheduler until the faults end.
func (t *takeovers) countElections() {
	previous := t.holder()
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(holderInterval):
		}
		if holder := t.holder(); holder.Epoch > previous.Epoch {
			t.elections++
			previous = holder
			t.record.Note("scheduler", tanagersite.Fields{
				"member": holder.Member,
				"epoch":  holder.Epoch,
				"daemon": t.daemonOf(holder.Member),
			})
		}
	}
}

// daemonOf returns the index of a member's daemon, or -1. A member's name begins with
// the address of its daemon and a slash.
func (t *takeovers) daemonOf(member string) int {
	address, _, _ := strings.Cut(member, "/")
	return slices.IndexFunc(t.daemons, func(d *daemon) bool { return d.peerAddress.String() == address })
}

// begin records the begin of a fault.
func (t *takeovers) begin(name string, duration time.Duration, daemons, workers []int) {
	t.record.Note("fault", tanagersite.Fields{
		"name":    name,
		"ms":      duration.Milliseconds(),
		"daemons": daemons,
		"workers": workers,
	})
}

// repair ends a fault after a duration.
func (t *takeovers) repair(d time.Duration, name string, repairs ...func()) {
	t.repairAfter(d, func() {
		for _, r := range repairs {
			r()
		}
		t.record.Note("repair", tanagersite.Fields{"name": name})
	})
}

func (t *takeovers) pause(i int, duration time.Duration) {
	d := t.daemons[i]
	if !d.claim() {
		return
	}
	t.begin("pause", duration, []int{i}, nil)
	d.signal(syscall.SIGSTOP)
	t.repair(duration, "pause", func() {
		d.signal(syscall.SIGCONT)
		d.release(nil)
	}, t.site.Disrupt(i))
}

func (t *takeovers) kill(i int, away time.Duration) {
	d := t.daemons[i]
	if !d.claim() {
		return
	}
	t.begin("kill", away, []int{i}, nil)
	restore := t.site.Disrupt(i)
	d.signal(syscall.SIGKILL)
	t.repair(0, "kill", func() { d.release(d.restart(away)) }, restore)
}

func (t *takeovers) losePower() {
	for i := range t.daemons {
		t.kill(i, t.between(time.Second, 10*time.Second))
	}
}

func (t *takeovers) cutFromStore(i int, duration time.Duration) {
	t.begin("store_cut", duration, []int{i}, nil)
	t.repair(duration, "store_cut", t.daemons[i].storeRelay.Hold(""), t.site.Disrupt(i))
}

// cutPeers separates some daemons from the others.
func (t *takeovers) cutPeers(side []int, duration time.Duration) {
	t.begin("peers_cut", duration, side, nil)
	repairs := []func(){t.site.Disrupt(side...)}
	for _, i := range side {
		for j, other := range t.daemons {
			if !slices.Contains(side, j) {
				repairs = append(repairs,
					t.daemons[i].peerRelay.Hold(other.peerAddress.String()),
					other.peerRelay.Hold(t.daemons[i].peerAddress.String()))
			}
		}
	}
	t.repair(duration, "peers_cut", repairs...)
}

// cutWorkers cuts the links between daemons and workers.
func (t *takeovers) cutWorkers(daemons, workers []int, duration time.Duration) {
	drop := t.draws.IntN(2) == 0
	t.begin("worker_links_cut", duration, daemons, workers)
	var repairs []func()
	for _, i := range daemons {
		for _, w := range workers {
			repairs = append(repairs, t.site.Worker(w).CutLink(i, drop))
		}
	}
	t.repair(duration, "worker_links_cut", repairs...)
}

// partition puts the scheduler, at times another daemon, and a share of the workers
// on one side, and the store and all others on the other side.
func (t *takeovers) partition() {
	duration := t.between(5*time.Second, 25*time.Second)
	side := []int{t.scheduler()}
	if other := t.draws.IntN(len(t.daemons)); t.draws.IntN(2) == 0 && other != side[0] {
		side = append(side, other)
	}
	inside := t.drawWorkers(t.settings.Workers/8, t.settings.Workers/2)
	t.cutPeers(side, duration)
	for _, i := range side {
		t.cutFromStore(i, duration)
	}
	var otherDaemons, outside []int
	for i := range t.daemons {
		if !slices.Contains(side, i) {
			otherDaemons = append(otherDaemons, i)
		}
	}
	for w := range t.settings.Workers {
		if !slices.Contains(inside, w) {
			outside = append(outside, w)
		}
	}
	t.cutWorkers(side, outside, duration)
	t.cutWorkers(otherDaemons, inside, duration)
	var repairs []func()
	for _, w := range inside {
		repairs = append(repairs, t.site.Worker(w).CutFromStore(t.between(minEntryTime, maxEntryTime)))
	}
	t.repair(duration, "partition", repairs...)
	if t.draws.IntN(2) == 0 {
		t.restartSome(inside, t.between(0, duration))
	}
}

// drawWorkers draws different workers, from least to most of them.
func (t *takeovers) drawWorkers(least, most int) []int {
	return t.draws.Perm(t.settings.Workers)[:least+t.draws.IntN(most-least+1)]
}

func (t *takeovers) loseWorkers() {
	daemons := t.draws.Perm(len(t.daemons))[:1+t.draws.IntN(len(t.daemons)/2)]
	if i := t.scheduler(); t.draws.IntN(2) == 0 && !slices.Contains(daemons, i) {
		daemons = append(daemons, i)
	}
	t.cutWorkers(daemons, t.drawWorkers(2, t.settings.Workers/3), t.between(3*time.Second, 15*time.Second))
}

func (t *takeovers) restartWorkers(count int) {
	for _, w := range t.drawWorkers(count, count) {
		t.restartWorker(w, 0)
	}
}

// restartSome restarts a few of the given workers.
func (t *takeovers) restartSome(workers []int, delay time.Duration) {
	for _, w := range workers[:min(len(workers), 1+t.draws.IntN(5))] {
		t.restartWorker(w, delay)
	}
}

// restartWorker restarts a worker under its id, at once or a little later, at times
// with a clock that is put back.
func (t *takeovers) restartWorker(w int, delay time.Duration) {
	var away, clockBack time.Duration
	if t.draws.IntN(2) == 0 {
		away = t.between(300*time.Millisecond, 3*time.Second)
	}
	if t.draws.IntN(3) == 0 {
		clockBack = t.between(time.Second, maxClockBack)
	}
	t.repairAfter(delay, func() {
		t.begin("worker_restart", away, nil, []int{w})
		t.site.Worker(w).RestartAfter(away, clockBack)
	})
}

// restartBehindCut restarts workers that the scheduler cannot reach.
func (t *takeovers) restartBehindCut() {
	workers := t.drawWorkers(1, 6)
	duration := t.between(2*time.Second, 8*time.Second)
	t.cutWorkers([]int{t.scheduler()}, workers, duration)
	t.restartSome(workers, t.between(0, duration))
}

// cutAndCrash cuts the scheduler from the store and restarts workers right after.
func (t *takeovers) cutAndCrash() {
	t.cutFromStore(t.scheduler(), t.leadTime())
	delay := t.between(300*time.Millisecond, 2500*time.Millisecond)
	for _, w := range t.drawWorkers(2, t.settings.Workers/4) {
		t.restartWorker(w, delay)
	}
}

// storeFault injects a fault of the store for all daemons.
func (t *takeovers) storeFault(f tanagersite.StoreFault) {
	duration := t.leadTime()
	t.begin(fmt.Sprintf("store %+v", f), duration, nil, nil)
	all := make([]int, len(t.daemons))
	for i := range t.daemons {
		all[i] = i
	}
	t.injectStoreFault(f, duration)
	t.repair(duration, "store", t.site.Disrupt(all...))
}

// takeoverNotes returns what a run counts besides the faults.
func (c *cell) takeoverNotes() string {
	return fmt.Sprintf(" elections=%d out_of_touch=%d", c.elections, c.site.StartsOutOfTouch())
}
