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

// callerPool submits, queries and cancels jobs over persistent connections, and
// checks the responses.
type callerPool struct {
	site    *tanagersite.Site
	daemons []*daemon
	client  *http.Client
	// crashingJobShare is the probability, 0 to 1, that a job crashes workers.
	crashingJobShare float64

	mu           sync.Mutex
	acceptedJobs []string
	cancelled    map[string]bool
	refusedCount int
	// unknownCount counts the jobs whose submission has an unknown outcome.
	unknownCount int
	violations   []string
}

func newCallerPool(site *tanagersite.Site, daemons []*daemon) *callerPool {
	return &callerPool{
		site:      site,
		daemons:   daemons,
		client:    &http.Client{Timeout: 4 * time.Second},
		cancelled: make(map[string]bool),
	}
}

// submit submits one job, each attempt to a random daemon until one accepts it.
func (c *callerPool) submit(r *rand.Rand) {
	id := fmt.Sprintf("%016x", r.Uint64())
	spec := tanagersite.JobSpec{MilliCPU: 500 + 500*r.Int64N(5)}
	body := map[string]any{"spec": "soak"}
	var steps []map[string]any
	spec.Gang = r.Float64() < 0.3
	for i := range 1 + r.IntN(2) {
		count := 1 + r.IntN(4)
		spec.TasksPerStep = append(spec.TasksPerStep, count)
		step := map[string]any{"count": count, "cpu": spec.MilliCPU, "estimate_ms": 300, "gang": spec.Gang}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	if c.crashingJobShare > 0 {
		spec.Crashing = r.Float64() < c.crashingJobShare
	}
	body["steps"] = steps
	content := tanagerwire.Encode(body)
	c.site.JobSubmitted(id, spec)
	outcomeKnown := true
	for range 4 {
		status := c.status(c.randomDaemon(r), http.MethodPost, id, content)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.acceptedJobs = append(c.acceptedJobs, id)
			c.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			outcomeKnown = false
		}
		time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcomeKnown {
		c.refusedCount++
		c.site.JobRefused(id)
		return
	}
	c.unknownCount++
}

func (c *callerPool) randomDaemon(r *rand.Rand) *daemon { return c.daemons[r.IntN(len(c.daemons))] }

// status sends a request and returns the status of the response, 0 without one.
func (c *callerPool) status(d *daemon, method, id string, body []byte) int {
	status, _ := c.send(d, method, id, body)
	return status
}

// send sends a request for a job. It returns the status of the response, 0 without
// one, and the job's state, if the body holds one.
func (c *callerPool) send(d *daemon, method, id string, body []byte) (int, string) {
	return sendWith(c.client, d, method, id, body)
}

// sendWith sends a request for a job with a client.
func sendWith(client *http.Client, d *daemon, method, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.callerAddress.String()+tanagersite.QueuePrefix+id,
		bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = tanagersite.QueueHost
	request.Header.Set("Content-Type", "application/cbor")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var decoded struct {
		State string `json:"state"`
	}
	// A body that cannot be decoded gives an empty state, which is not a final one.
	if content, err := io.ReadAll(response.Body); err == nil {
		_ = tanagerwire.Decode(content, &decoded)
	}
	return response.StatusCode, decoded.State
}

// queryState queries a random daemon for the state of a random accepted job.
func (c *callerPool) queryState(r *rand.Rand) {
	c.mu.Lock()
	if len(c.acceptedJobs) == 0 {
		c.mu.Unlock()
		return
	}
	id := c.acceptedJobs[r.IntN(len(c.acceptedJobs))]
	c.mu.Unlock()
	status, state := c.send(c.randomDaemon(r), http.MethodGet, id, nil)
	c.checkState(id, status, state)
}

// checkState checks a response about an accepted job. It reads the map cancelled
// only after the response has arrived, because a cancellation is recorded there
// before it is sent.
func (c *callerPool) checkState(id string, status int, state string) {
	c.mu.Lock()
	cancelled := c.cancelled[id]
	c.mu.Unlock()
	c.site.Record().Note("shown", tanagersite.Fields{"job": id, "status": status, "state": state})
	if state == "completed" {
		c.site.JobShownCompleted(id)
	}
	switch {
	case status == http.StatusGone:
		c.addViolation("job %s was accepted, but is not known", id)
	case state == "failed" && !c.site.JobMayFail(id):
		c.addViolation("job %s failed, although workers never fail a task that often", id)
	case state == "cancelled" && !cancelled:
		c.addViolation("job %s is cancelled, but no caller cancelled it", id)
	case state == "completed" && !c.site.JobDone(id):
		c.addViolation("job %s is completed, but not all of its tasks are done", id)
	}
}

func (c *callerPool) cancel(r *rand.Rand) {
	c.mu.Lock()
	if len(c.acceptedJobs) == 0 {
		c.mu.Unlock()
		return
	}
	id := c.acceptedJobs[r.IntN(len(c.acceptedJobs))]
	c.cancelled[id] = true
	c.mu.Unlock()
	c.status(c.randomDaemon(r), http.MethodDelete, id, nil)
}

func (c *callerPool) addViolation(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// run submits, queries and cancels jobs until stop is closed.
func (c *callerPool) run(seed uint64, stop chan struct{}) {
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
					c.submit(r)
				case n < 19:
					c.queryState(r)
				default:
					c.cancel(r)
				}
			}
		}()
	}
	wait.Wait()
}

// unfinished queries all accepted jobs, each at a random daemon, and returns the
// ids and states of those that have not ended. Jobs that crash workers need not
// end.
func (c *callerPool) unfinished(r *rand.Rand) []string {
	c.mu.Lock()
	accepted := append([]string(nil), c.acceptedJobs...)
	c.mu.Unlock()
	var unfinished []string
	for _, id := range accepted {
		status, state := c.send(c.randomDaemon(r), http.MethodGet, id, nil)
		c.checkState(id, status, state)
		c.mu.Lock()
		cancelled := c.cancelled[id]
		c.mu.Unlock()
		ended := state == "completed" || state == "cancelled" && cancelled || state == "failed" && c.site.JobMayFail(id)
		if !ended && !c.site.JobCrashesWorkers(id) {
			unfinished = append(unfinished, strings.TrimSpace(id+" "+state))
		}
	}
	return unfinished
}
