package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	// gangWait is gang_wait_ms, gangTime how long a gang works.
	gangWait = 3 * time.Second
	gangTime = 10 * time.Second
	// gangMinions and gangWidth are the sizes of the fleet and of the gang.
	gangMinions = 24
	gangWidth   = 20
	// cutDelay after the start of a gang's run, cutCount of the minions are cut off for
	// cutTime.
	cutDelay = 100 * time.Millisecond
	cutTime  = 5500 * time.Millisecond
	cutCount = gangMinions / 10
)

// gangs holds the runs of gangs by step and run number.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
	// onComplete, if set, is told of each run whose members are all present.
	onComplete func()
}

// gangRun is one run of a gang. Its members work from the moment at which all are
// present, and end as done together.
type gangRun struct {
	mu      sync.Mutex
	members []member
	since   time.Time
	over    bool
}

type member struct {
	minion *minion
	run    *run
}

// joinGang adds a member to its gang's run. The caller holds the lock of the minion.
func (c *cell) joinGang(m *minion, r *run) {
	c.gangs.mu.Lock()
	if c.gangs.runs == nil {
		c.gangs.runs = make(map[string]*gangRun)
	}
	key := fmt.Sprintf("%s/%d", stepOf(r.task), r.number)
	g := c.gangs.runs[key]
	if g == nil {
		g = &gangRun{}
		c.gangs.runs[key] = g
	}
	c.gangs.mu.Unlock()
	r.gang = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, member{
		minion: m,
		run:    r,
	})
	if len(g.members) == gangWidth && !g.over {
		g.since = time.Now()
		c.record.note("gang %s is complete", key)
		time.AfterFunc(gangTime, func() { g.end("done") })
		if c.gangs.onComplete != nil {
			go c.gangs.onComplete()
		}
	}
	time.AfterFunc(gangWait, func() {
		if g.percent() == 0 {
			m.end(r, "alone")
		}
	})
}

// percent returns the progress of the gang, 0 while members are missing.
func (g *gangRun) percent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		return 0
	}
	return max(min(int(100*time.Since(g.since)/gangTime), 99), 1)
}

// end ends all members.
func (g *gangRun) end(how string) {
	g.mu.Lock()
	if g.over {
		g.mu.Unlock()
		return
	}
	g.over = true
	members := g.members
	g.mu.Unlock()
	for _, m := range members {
		m.minion.end(m.run, how)
	}
}

// left breaks a working gang that a member has left.
func (g *gangRun) left(_ *run, how string) {
	g.mu.Lock()
	working := !g.since.IsZero()
	g.mu.Unlock()
	if how != "done" && working {
		g.end("broken")
	}
}

// endCheck counts the ends and the crashes.
type endCheck struct {
	mu      sync.Mutex
	ends    map[string]int
	crashes int
}

func (*endCheck) started(*minion, order) {}

func (e *endCheck) ended(_ *minion, _ *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends[how]++
}

func (*endCheck) noted(*minion, string, int64, string) {}

func (e *endCheck) lost(*minion, *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
}

// cut cuts minions off from all daemons. They run on, and their entries stay in the
// store.
func cut(r *record, minions []*minion) {
	for _, m := range minions {
		r.note("minion %s is cut off for %v", m.id, cutTime)
		m.cutOff(1)
		time.AfterFunc(cutTime, func() { m.cutOff(-1) })
	}
}

// cutOff changes the number of cuts in force.
func (m *minion) cutOff(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts += change
}

// runGang shows whether a job is given up because minions are cut off again and again,
// though none has crashed and no task has failed.
func runGang(r *record, trouble bool) error {
	c, err := newCell(r, 3, "")
	if err != nil {
		return err
	}
	defer c.close()
	check := &endCheck{ends: make(map[string]int)}
	c.watcher = check
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	var minions []*minion
	for i := range gangMinions {
		m, err := newMinion(c, fmt.Sprintf("i-%03d", i), fmt.Sprintf("m-%03d", i), "a", "r0")
		if err != nil {
			return err
		}
		defer m.leave()
		minions = append(minions, m)
	}
	if err := c.startDaemons(); err != nil {
		return err
	}
	client := newClient(1)
	for range 2 {
		status, _, err := call(client, http.MethodPost, c.daemons[0].caller, "/old/"+jobID(), job("300 done", map[string]any{
			"count": gangMinions, "cpu": 500, "mem_mb": 256, "estimate_ms": 300, "anti_affinity": 1,
		}), callTimeout)
		r.note("POST of a job for all minions -> %d %v", status, err)
		time.Sleep(time.Second)
	}
	if trouble {
		turns := rand.Perm(len(minions))
		c.gangs.onComplete = func() {
			time.Sleep(cutDelay)
			var turn []*minion
			for _, j := range turns[:min(cutCount, len(turns))] {
				turn = append(turn, minions[j])
			}
			turns = turns[len(turn):]
			cut(r, turn)
		}
	}
	id := jobID()
	status, _, err := call(client, http.MethodPost, c.daemons[0].caller, "/old/"+id, job("gang", map[string]any{
		"count": gangWidth, "cpu": 40000, "mem_mb": 52000, "estimate_ms": gangTime.Milliseconds(), "gang": true,
	}), callTimeout)
	r.note("POST /old/%s -> %d %v", id, status, err)
	if status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d, %v", status, err)
	}
	for deadline := time.Now().Add(70 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		status, content, _ := call(client, http.MethodGet, c.daemons[1].caller, "/old/"+id, nil, callTimeout)
		var body struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || tanagerwire.Decode(content, &body) != nil {
			continue
		}
		if body.State == "failed" || body.State == "completed" {
			check.mu.Lock()
			defer check.mu.Unlock()
			r.note("job %s is shown as %s; ends %v, crashes %d", id, body.State, check.ends, check.crashes)
			if body.State == "failed" && check.ends["failed"] == 0 && check.crashes == 0 {
				r.violation("LOST", "job %s is shown as failed, and no run has ended as failed and no minion has crashed", id)
			}
			return nil
		}
	}
	r.note("job %s has not ended", id)
	return nil
}
