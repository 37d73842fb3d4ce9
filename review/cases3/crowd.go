package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	// memoryLimit is memory_mb, in KiB.
	memoryLimit = 284 << 10
	// restartDelay is the short delay after which a process that was killed is started.
	restartDelay = time.Second
	// crowdBodies is the number of large bodies that come at once. Each is a job of
	// crowdSteps steps of crowdWidth tasks.
	crowdBodies = 20
	crowdSteps  = 64
	crowdWidth  = 60
	// crowdTime is how long the cell is watched after the crowd, lookTime how long a
	// caller waits for the state of a job.
	crowdTime = 45 * time.Second
	lookTime  = time.Second
	// scriptTime is when the watch ends at the latest, counted from the start of the script.
	scriptTime = 95 * time.Second
)

// residentKiB returns the resident memory of the daemon's process.
func (d *daemon) residentKiB() (kib int) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if n, _ := fmt.Sscanf(line, "VmRSS: %d", &kib); n == 1 {
			return kib
		}
	}
	return 0
}

// memoryGuard does to each process over its memory limit what the platform does: it
// kills it and starts it again.
type memoryGuard struct {
	cell *cell
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	peaks map[string]int
	kills map[string]int
}

func newMemoryGuard(c *cell) *memoryGuard {
	g := &memoryGuard{
		cell:  c,
		stop:  make(chan struct{}),
		peaks: make(map[string]int),
		kills: make(map[string]int),
	}
	for _, d := range c.daemons {
		g.done.Add(1)
		go g.watch(d)
	}
	return g
}

func (g *memoryGuard) watch(d *daemon) {
	defer g.done.Done()
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kib := d.residentKiB()
		g.mu.Lock()
		g.peaks[d.name] = max(g.peaks[d.name], kib)
		g.mu.Unlock()
		if kib <= memoryLimit {
			continue
		}
		g.cell.record.note("%s has %d MiB of 284 and is killed", d.name, kib>>10)
		d.signal(syscall.SIGKILL)
		<-d.exited
		g.mu.Lock()
		g.kills[d.name]++
		g.mu.Unlock()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			g.cell.record.note("%s not started: %v", d.name, err)
			return
		}
	}
}

// judge ends the guard and checks how often processes were killed.
func (g *memoryGuard) judge(r *record) {
	close(g.stop)
	g.done.Wait()
	often := 0
	for _, d := range g.cell.daemons {
		r.note("%s: peak %d MiB of 284, killed %d times", d.name, g.peaks[d.name]>>10, g.kills[d.name])
		if g.kills[d.name] >= 3 {
			often++
		}
	}
	if often >= 2 {
		r.violation("Fault", "%d processes were over the limit of their memory three times or more: %v", often, g.kills)
	}
}

// largeJob is a job of legal size with long names, of about 100 kB.
func largeJob() []byte {
	var steps []map[string]any
	for range crowdSteps {
		steps = append(steps, map[string]any{
			"count": crowdWidth, "cpu": 10, "mem_mb": 10, "estimate_ms": 1000, "image": strings.Repeat("x", 1500),
		})
	}
	return job("1000 done"+strings.Repeat(" ", 3900), steps...)
}

// runCrowd shows whether the processes stay within their memory when clients hand in
// large bodies at once, and whether ordinary callers are served.
func runCrowd(r *record, trouble bool) error {
	c, err := newCell(r, 3, "")
	if err != nil {
		return err
	}
	defer c.close()
	c.quiet = true
	c.configure(10, route{Name: "old", Prefix: "/old/"})
	for i := range 24 {
		m, err := newMinion(c, fmt.Sprintf("i-%03d", i), fmt.Sprintf("m-%03d", i), "a", "r0")
		if err != nil {
			return err
		}
		defer m.leave()
	}
	if err := c.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	guard := newMemoryGuard(c)
	before := c.ordinary(r, 9)
	if trouble {
		c.sendCrowd(r)
	}
	after := c.ordinary(r, 9)
	deadline := time.Now().Add(crowdTime)
	if last := r.start.Add(scriptTime); deadline.After(last) {
		deadline = last
	}
	for time.Now().Before(deadline) && !c.completed(r, append(before, after...), false) {
		time.Sleep(2 * time.Second)
	}
	if !c.completed(r, append(before, after...), true) {
		r.note("accepted jobs of ordinary callers are not done %v later", crowdTime)
	}
	guard.judge(r)
	return nil
}

// sendCrowd sends the large bodies at once, each over a connection of its own.
func (c *cell) sendCrowd(r *record) {
	body := largeJob()
	r.note("%d bodies of %d bytes at once", crowdBodies, len(body))
	var all sync.WaitGroup
	for i := range crowdBodies {
		all.Add(1)
		go func() {
			defer all.Done()
			client := newClient(1)
			defer client.CloseIdleConnections()
			id := jobID()
			status, _, err := call(client, http.MethodPost, c.daemons[i%len(c.daemons)].caller, "/old/"+id, body, callTimeout)
			r.note("POST /old/%s (%d bytes) -> %d %v", id, len(body), status, err)
		}()
	}
	all.Wait()
}

// ordinary hands in small jobs, one after the other, and returns those accepted.
func (c *cell) ordinary(r *record, count int) []string {
	var accepted []string
	client := newClient(1)
	defer client.CloseIdleConnections()
	for i := range count {
		id := jobID()
		d := c.daemons[i%len(c.daemons)]
		status, _, err := call(client, http.MethodPost, d.caller, "/old/"+id,
			job("300 done", map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}), callTimeout)
		r.note("POST /old/%s at %s -> %d %v", id, d.name, status, err)
		if status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return accepted
}

// completed reports whether all jobs are shown as completed.
func (c *cell) completed(r *record, ids []string, log bool) bool {
	client := newClient(1)
	defer client.CloseIdleConnections()
	all := true
	for i, id := range ids {
		status, content, err := call(client, http.MethodGet, c.daemons[i%len(c.daemons)].caller, "/old/"+id, nil, lookTime)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK {
			_ = tanagerwire.Decode(content, &body)
		}
		if log {
			r.note("GET /old/%s -> %d %s %v", id, status, body.State, err)
		}
		all = all && body.State == "completed"
		if !all && !log {
			return false
		}
	}
	return all
}
