package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// runWave shows whether the cap of a wave holds when the scheduler's daemon is stopped
// and started again during the wave, as in a rolling restart.
func runWave(r *record, trouble bool) error {
	p, err := newMachines()
	if err != nil {
		return err
	}
	c, err := newCell(r, 3, p.address)
	if err != nil {
		return err
	}
	defer c.close()
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	if err := p.add(c, 6, func(int) []string { return []string{"a", "r0"} }); err != nil {
		return err
	}
	defer p.close()
	var once sync.Once
	restarted := make(chan struct{})
	p.onBegin = func(_, holder string) {
		once.Do(func() {
			defer close(restarted)
			if trouble {
				time.Sleep(300 * time.Millisecond)
				c.restart(holder)
			}
		})
	}
	if err := c.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	p.request(1, 1, "m-000", "m-001", "m-002")
	select {
	case <-restarted:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("no upkeep has begun")
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline) && !p.allDone(); {
		time.Sleep(100 * time.Millisecond)
	}
	r.note("each machine of the wave has had its upkeep: %v", p.allDone())
	return nil
}

// restart stops a daemon by its name with SIGTERM, as the platform does, and starts it
// again.
func (c *cell) restart(name string) {
	for _, d := range c.daemons {
		if d.name != name {
			continue
		}
		c.record.note("SIGTERM to %s", name)
		d.signal(syscall.SIGTERM)
		select {
		case <-d.exited:
		case <-time.After(6 * time.Second):
			d.end()
		}
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			c.record.note("%s not started: %v", name, err)
			return
		}
		c.record.note("%s started again", name)
	}
}

// minions is the size of the fleet of runBudget: more than a scheduler polls at once.
const minions = 200

// runBudget shows whether max_unavailable holds when the scheduler's daemon is stopped
// during a wave. The tasks that last are on machines of the wave.
func runBudget(r *record, trouble bool) error {
	p, err := newMachines()
	if err != nil {
		return err
	}
	c, err := newCell(r, 3, p.address)
	if err != nil {
		return err
	}
	defer c.close()
	p.budget = 1
	c.onStop = p.stopped
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	if err := p.add(c, minions, func(i int) []string {
		if i >= minions-8 {
			return []string{"b", "r1"}
		}
		return []string{"a", "r0"}
	}); err != nil {
		return err
	}
	defer p.close()
	if err := c.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	client := newClient(1)
	body := job("lasting", map[string]any{
		"count": 4, "cpu": 40000, "mem_mb": 1024, "estimate_ms": 60000, "persistent": true, "max_unavailable": 1,
		"requirements": "b", "anti_affinity": 1,
	})
	id := jobID()
	status, _, err := call(client, http.MethodPost, c.daemons[0].caller, "/old/"+id, body, callTimeout)
	r.note("POST /old/%s -> %d %v", id, status, err)
	if status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d, %v", status, err)
	}
	time.Sleep(3 * time.Second)
	var names []string
	p.mu.Lock()
	for _, m := range p.rows {
		if m.minion != nil && len(m.minion.atWork()) > 0 {
			names = append(names, m.name)
		}
	}
	p.mu.Unlock()
	p.request(1, 2, names...)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if d := c.scheduler(); d != nil {
			c.restart(d.name)
		}
	}
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline) && !p.allDone(); {
		time.Sleep(100 * time.Millisecond)
	}
	r.note("each machine of the wave has had its upkeep: %v", p.allDone())
	return nil
}
