package tanagersoak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// callers hand jobs in and ask for them, over connections that stay open.
type callers struct {
	site    *tanagersite.Site
	daemons []*daemon
	client  *http.Client

	mu        sync.Mutex
	accepted  []string
	cancelled map[string]bool
	refused   int
	unsure    int
	broken    []string
}

func newCallers(site *tanagersite.Site, daemons []*daemon) *callers {
	return &callers{
		site:      site,
		daemons:   daemons,
		client:    &http.Client{Timeout: 4 * time.Second},
		cancelled: make(map[string]bool),
	}
}

// handIn sends one job, to another daemon after each try that did not succeed.
func (c *callers) handIn(r *rand.Rand) {
	id := fmt.Sprintf("%016x", r.Uint64())
	shape := tanagersite.JobSpec{MilliCPU: 500 + 500*r.Int64N(5)}
	body := map[string]any{"spec": "soak"}
	var steps []map[string]any
	shape.Gang = r.Float64() < 0.3
	for i := range 1 + r.IntN(2) {
		count := 1 + r.IntN(4)
		shape.TasksPerStep = append(shape.TasksPerStep, count)
		step := map[string]any{"count": count, "cpu": shape.MilliCPU, "estimate_ms": 300, "gang": shape.Gang}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	body["steps"] = steps
	content := tanagerwire.Encode(body)
	c.site.JobSubmitted(id, shape)
	certain := true
	for range 4 {
		status := c.call(c.pick(r), http.MethodPost, id, content)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			certain = false
		}
		time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if certain {
		c.refused++
		c.site.JobRefused(id)
		return
	}
	c.unsure++
}

func (c *callers) pick(r *rand.Rand) *daemon { return c.daemons[r.IntN(len(c.daemons))] }

// call returns the status of the answer, 0 without one.
func (c *callers) call(d *daemon, method, id string, body []byte) int {
	status, _ := c.ask(d, method, id, body)
	return status
}

func (c *callers) ask(d *daemon, method, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.callers.String()+tanagersite.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = tanagersite.QueueHost
	request.Header.Set("Content-Type", "application/cbor")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	// A state that cannot be read is an empty one, which no check takes for an end.
	if answered, err := io.ReadAll(response.Body); err == nil {
		_ = tanagerwire.Decode(answered, &answer)
	}
	return response.StatusCode, answer.State
}

// look asks any daemon for a job that was accepted.
func (c *callers) look(r *rand.Rand) {
	c.mu.Lock()
	if len(c.accepted) == 0 {
		c.mu.Unlock()
		return
	}
	id := c.accepted[r.IntN(len(c.accepted))]
	c.mu.Unlock()
	status, state := c.ask(c.pick(r), http.MethodGet, id, nil)
	c.check(id, status, state)
}

// check judges what a daemon said of an accepted job. Whether somebody cancels it
// is noted before the cancellation is sent, so it is asked for after the answer.
func (c *callers) check(id string, status int, state string) {
	c.mu.Lock()
	cancelled := c.cancelled[id]
	c.mu.Unlock()
	switch {
	case status == http.StatusGone:
		c.note("job %s was accepted and is not known", id)
	case state == "failed":
		c.note("job %s failed, and no worker failed that often", id)
	case state == "cancelled" && !cancelled:
		c.note("job %s is cancelled, and nobody did", id)
	case state == "completed" && !c.site.JobDone(id):
		c.note("job %s is completed, and not all its tasks are done", id)
	}
}

func (c *callers) cancel(r *rand.Rand) {
	c.mu.Lock()
	if len(c.accepted) == 0 {
		c.mu.Unlock()
		return
	}
	id := c.accepted[r.IntN(len(c.accepted))]
	c.cancelled[id] = true
	c.mu.Unlock()
	c.call(c.pick(r), http.MethodDelete, id, nil)
}

func (c *callers) note(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, a...))
}

// run hands jobs in until stop is closed.
func (c *callers) run(seed uint64, stop chan struct{}) {
	var wait sync.WaitGroup
	for i := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := rand.New(rand.NewPCG(seed, uint64(100+i)))
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+r.IntN(120)) * time.Millisecond):
				}
				switch n := r.IntN(20); {
				case n < 11:
					c.handIn(r)
				case n < 19:
					c.look(r)
				default:
					c.cancel(r)
				}
			}
		}()
	}
	wait.Wait()
}

// unfinished returns the accepted jobs that no daemon shows as ended.
func (c *callers) unfinished(r *rand.Rand) []string {
	c.mu.Lock()
	accepted := append([]string(nil), c.accepted...)
	c.mu.Unlock()
	var open []string
	for _, id := range accepted {
		status, state := c.ask(c.pick(r), http.MethodGet, id, nil)
		c.check(id, status, state)
		c.mu.Lock()
		cancelled := c.cancelled[id]
		c.mu.Unlock()
		if state != "completed" && !(state == "cancelled" && cancelled) {
			open = append(open, strings.TrimSpace(id+" "+state))
		}
	}
	return open
}
