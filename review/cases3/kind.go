package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagersail.example/tanagerfake/tanagersite"
)

// labelCheck checks that each start of a job is on a minion with the label that the job
// requires.
type labelCheck struct {
	record *record
	label  string

	mu     sync.Mutex
	starts int
}

func (l *labelCheck) started(m *minion, o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if !slices.Contains(m.labels, l.label) {
		l.record.violation("ROUTE", "%s run %d is started on minion %s, labels %v, without the label %q in requirements",
			o.Task, o.Run, m.id, m.labels, l.label)
	}
}

func (*labelCheck) ended(*minion, *run, string)          {}
func (*labelCheck) noted(*minion, string, int64, string) {}
func (*labelCheck) lost(*minion, *run)                   {}

// setStore takes the store down or brings it back, for the daemons and the minions.
func (c *cell) setStore(down bool, minions []*minion) {
	e, _ := c.site.StoreEndpoint(0)
	e.SetFault(tanagersite.StoreFault{Unavailable: down})
	for _, m := range minions {
		m.mu.Lock()
		m.storeDown = down
		m.mu.Unlock()
	}
	c.record.note("store down: %v", down)
}

// runKind shows whether a task is started on a minion of another kind that is back under
// the id of the one that crashed.
func runKind(r *record, trouble bool) error {
	c, err := newCell(r, 3, "")
	if err != nil {
		return err
	}
	defer c.close()
	check := &labelCheck{
		record: r,
		label:  "a",
	}
	c.watcher = check
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	var minions []*minion
	for i := range 8 {
		kind := "b"
		if i < 2 {
			kind = "a"
		}
		m, err := newMinion(c, fmt.Sprintf("i-%03d", i), fmt.Sprintf("m-%03d", i), kind, "r0")
		if err != nil {
			return err
		}
		defer m.leave()
		minions = append(minions, m)
	}
	if err := c.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	client := newClient(1)
	id := jobID()
	status, _, err := call(client, http.MethodPost, c.daemons[0].caller, "/old/"+id, job("lasting", map[string]any{
		"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 60000, "persistent": true, "requirements": "a",
	}), callTimeout)
	r.note("POST /old/%s -> %d %v", id, status, err)
	if status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d, %v", status, err)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.setStore(true, minions)
		time.Sleep(500 * time.Millisecond)
		for _, m := range minions {
			if len(m.atWork()) > 0 {
				m.crash(2*time.Second, "b", "r0")
			}
		}
		time.Sleep(4 * time.Second)
		c.setStore(false, minions)
	}
	time.Sleep(6 * time.Second)
	running := 0
	for _, m := range minions {
		running += len(m.atWork())
	}
	r.note("%d starts, %d at work", check.starts, running)
	return nil
}
