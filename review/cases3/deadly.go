package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyAway is how long a minion is away after a crash.
	deadlyAway = 2 * time.Second
	// deadlyTime is how long the task is watched.
	deadlyTime = 45 * time.Second
	// maxCrashes is the number of minions that may crash under a task, maxStarts the number
	// of starts after that which break the rule.
	maxCrashes = 3
	maxStarts  = 3
)

// deadlyCheck lets a task crash each minion that starts it, and counts the starts after
// the third crash.
type deadlyCheck struct {
	cell   *cell
	record *record
	// delay is the time from the start to the crash. dark minions fall silent, the others
	// refuse connections.
	delay time.Duration
	dark  bool
	// onCrash, if set, is told of each crash with its number.
	onCrash func(number int)

	mu            sync.Mutex
	calmSince     map[*daemon]time.Time
	crashes, more int
	broken        bool
}

func (d *deadlyCheck) started(m *minion, o order) {
	if o.Spec != "deadly" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	lead := d.cell.scheduler()
	inTouch := lead != nil && time.Since(d.calmSince[lead]) > contact
	d.record.note("start of %s run %d on %s after %d crashes, in touch: %v", o.Task, o.Run, m.id, d.crashes, inTouch)
	if d.crashes >= maxCrashes && inTouch {
		d.more++
	}
	if d.more >= maxStarts && !d.broken {
		d.broken = true
		d.record.violation("BUDGET", "%s is started %d times more after %d minions have crashed under it", o.Task, d.more, maxCrashes)
	}
	time.AfterFunc(d.delay, func() { d.crash(m) })
}

func (d *deadlyCheck) crash(m *minion) {
	if d.dark {
		m.cutOff(1)
		time.AfterFunc(deadlyAway, func() { m.cutOff(-1) })
		m.crashSilently(deadlyAway)
	} else {
		m.crash(deadlyAway)
	}
	d.mu.Lock()
	d.crashes++
	number, onCrash := d.crashes, d.onCrash
	d.mu.Unlock()
	if onCrash != nil {
		onCrash(number)
	}
}

func (*deadlyCheck) ended(*minion, *run, string)          {}
func (*deadlyCheck) noted(*minion, string, int64, string) {}
func (*deadlyCheck) lost(*minion, *run)                   {}

// disturb kills a daemon and starts it again.
func (d *deadlyCheck) disturb(victim *daemon) {
	d.mu.Lock()
	d.calmSince[victim] = time.Now().Add(time.Hour)
	d.mu.Unlock()
	d.record.note("SIGKILL to %s", victim.name)
	victim.signal(syscall.SIGKILL)
	<-victim.exited
	time.Sleep(time.Second)
	if err := victim.start(); err != nil {
		d.record.note("%s not started: %v", victim.name, err)
		return
	}
	d.mu.Lock()
	d.calmSince[victim] = time.Now()
	d.mu.Unlock()
}

// runDeadly shows how often a task that crashes its minions is started. With kills, the
// scheduler is killed shortly after each of the first two crashes.
func runDeadly(r *record, trouble, kills bool) error {
	c, err := newCell(r, 4, "")
	if err != nil {
		return err
	}
	defer c.close()
	check := &deadlyCheck{
		cell:      c,
		record:    r,
		delay:     1500 * time.Millisecond,
		calmSince: make(map[*daemon]time.Time),
	}
	if kills {
		check.delay, check.dark = 100*time.Millisecond, true
		if trouble {
			check.onCrash = func(number int) {
				if lead := c.scheduler(); number <= 2 && lead != nil {
					time.Sleep(200 * time.Millisecond)
					check.disturb(lead)
				}
			}
		}
	}
	c.watcher = check
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	for i := range 8 {
		m, err := newMinion(c, fmt.Sprintf("i-%03d", i), fmt.Sprintf("m-%03d", i), "a", "r0")
		if err != nil {
			return err
		}
		defer m.leave()
	}
	if err := c.startDaemons(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	spec := "deadly"
	if !trouble && !kills {
		spec = "1000 done"
	}
	client := newClient(1)
	id := jobID()
	status, _, err := call(client, http.MethodPost, c.daemons[0].caller, "/old/"+id, job(spec, map[string]any{
		"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000,
	}), callTimeout)
	r.note("POST /old/%s -> %d %v", id, status, err)
	if status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d, %v", status, err)
	}
	time.Sleep(deadlyTime)
	check.mu.Lock()
	defer check.mu.Unlock()
	r.note("%d crashes, %d starts after the third", check.crashes, check.more)
	return nil
}
