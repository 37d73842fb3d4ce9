package tanagersoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

const (
	// loadCallers callers submit loadJobsPerSecond jobs together.
	loadCallers       = 48
	loadJobsPerSecond = 45
	// Of the jobs, a share of mediumJobShare has 6 to 10 tasks and wideJobShare has
	// wideJobTasks; the others have shortJobTasks.
	mediumJobShare = 0.1
	wideJobShare   = 0.02
	gangShare      = 0.2
	shortJobTasks  = 2
	wideJobTasks   = 13
	// shortTaskDuration is the mean duration of the tasks of small jobs, those of others
	// take minLongTask to maxLongTask.
	shortTaskDuration = 800 * time.Millisecond
	minLongTask       = 2 * time.Second
	maxLongTask       = 4 * time.Second
	loadAttempts      = 8
	// A caller asks for a job's state maxQueries times at most.
	maxQueries = 8
)

// loadCaller submits jobs over one connection, which it keeps until it breaks.
type loadCaller struct {
	*callerPool
	connection *http.Client
	random     *rand.Rand
	daemon     *daemon
	// queries waits for the goroutines that ask for the states of jobs.
	queries *sync.WaitGroup
}

// runLoad submits the jobs of a large site until stop is closed.
func (c *callerPool) runLoad(seed uint64, stop chan struct{}) {
	var wait, queries sync.WaitGroup
	for i := range loadCallers {
		l := &loadCaller{
			callerPool: c,
			connection: &http.Client{
				Transport: &http.Transport{},
				Timeout:   c.client.Timeout,
			},
			random:  rand.New(rand.NewPCG(seed, uint64(1000+i))),
			daemon:  c.daemons[i%len(c.daemons)],
			queries: &queries,
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.run(stop)
		}()
	}
	wait.Wait()
	queries.Wait()
}

func (l *loadCaller) run(stop chan struct{}) {
	const meanPause = loadCallers * time.Second / loadJobsPerSecond
	next := time.Now()
	for {
		next = next.Add(rand.N(2 * meanPause))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		id, spec, content := l.drawJob()
		l.site.JobSubmitted(id, spec)
		if l.submitJob(id, content) {
			l.queries.Add(1)
			go func(d *daemon) {
				defer l.queries.Done()
				l.watch(d, id, spec)
			}(l.daemon)
		}
		if time.Until(next) < -maxLongTask {
			next = time.Now()
		}
	}
}

// drawJob draws a job of the users' mix.
func (l *loadCaller) drawJob() (id string, spec tanagersite.JobSpec, content []byte) {
	r := l.random
	id = fmt.Sprintf("%016x", r.Uint64())
	count := shortJobTasks
	spec = tanagersite.JobSpec{
		MilliCPU:     500 + 500*r.Int64N(5),
		Gang:         r.Float64() < gangShare,
		TaskDuration: shortTaskDuration,
	}
	if kind := r.Float64(); kind < wideJobShare+mediumJobShare {
		spec.TaskDuration = minLongTask + time.Duration(r.Int64N(int64(maxLongTask-minLongTask)))
		count = wideJobTasks
		if kind >= wideJobShare {
			count = 6 + r.IntN(5)
		}
	}
	spec.TasksPerStep = []int{count}
	content = tanagerwire.Encode(map[string]any{
		"spec": "soak",
		"steps": []map[string]any{{
			"count":       count,
			"cpu":         spec.MilliCPU,
			"estimate_ms": spec.TaskDuration.Milliseconds(),
			"gang":        spec.Gang,
		}},
	})
	return id, spec, content
}

// submitJob submits a job until it is accepted, and reports whether it was.
func (l *loadCaller) submitJob(id string, content []byte) bool {
	outcomeKnown := true
	for range loadAttempts {
		d := l.daemon
		status, _ := sendWith(l.connection, d, http.MethodPost, id, content)
		l.site.Record().Note("submit", tanagersite.Fields{"job": id, "daemon": d.name, "status": status})
		switch status {
		case http.StatusOK:
			l.mu.Lock()
			l.acceptedJobs = append(l.acceptedJobs, id)
			l.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			outcomeKnown = false
			l.daemon = l.randomDaemon(l.random)
		}
		time.Sleep(time.Duration(100+l.random.IntN(400)) * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcomeKnown {
		l.refusedCount++
		l.site.JobRefused(id)
	} else {
		l.unknownCount++
	}
	return false
}

// watch asks a daemon for the state of a job until it is shown as completed.
func (l *loadCaller) watch(d *daemon, id string, spec tanagersite.JobSpec) {
	time.Sleep(spec.TaskDuration + rand.N(shortTaskDuration))
	for range maxQueries {
		status, state := sendWith(l.connection, d, http.MethodGet, id, nil)
		l.checkState(id, status, state)
		if state == "completed" {
			return
		}
		time.Sleep(rand.N(2 * time.Second))
	}
}
