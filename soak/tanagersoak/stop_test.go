package tanagersoak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// A graceful stop must not break requests in flight. Each daemon is stopped in
// turn, the scheduler among them. Callers use their connections until the daemon
// closes them after a response, and then open no new ones, as a load balancer
// directs new connections away from a daemon that is not ready.
func TestGracefulStopCompletesRequests(t *testing.T) {
	c := qt.New(t)
	site, err := tanagersite.New(tanagersite.Settings{
		Workers:          6,
		StoreEndpoints:   3,
		MilliCPU:         workerMilliCPU,
		MeanTaskDuration: meanTaskDuration,
		Seed:             1,
	})
	c.Assert(err, qt.IsNil)
	defer site.Close()
	running := &cell{
		settings: Settings{
			Binary:  buildDaemon(t),
			Daemons: 3,
			Workers: 6,
		},
		site:   site,
		random: rand.New(rand.NewPCG(1, 1)),
	}
	defer running.killDaemons()
	c.Assert(running.start(t.TempDir()), qt.IsNil)
	for _, d := range running.daemons {
		completed, failures := stopUnderLoad(site, d)
		c.Check(failures, qt.HasLen, 0)
		c.Check(completed > 0, qt.IsTrue)
		c.Assert(d.restart(0), qt.IsNil)
		c.Assert(await(startTimeout, d.isReady), qt.IsTrue)
	}
}

// stopUnderLoad stops a daemon while callers submit jobs over open connections. It
// returns the number of requests that completed and the errors of those that
// failed.
func stopUnderLoad(site *tanagersite.Site, d *daemon) (completed int, failures []string) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	underLoad := make(chan struct{}, 4)
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{
				Transport: &http.Transport{},
				Timeout:   10 * time.Second,
			}
			for n := 0; ; n++ {
				closing, err := submitOne(site, client, d, fmt.Sprintf("%015x%x", time.Now().UnixNano()&0xfffffffffffffff, i))
				if n == 5 {
					underLoad <- struct{}{}
				}
				mu.Lock()
				if err == nil {
					completed++
				} else {
					failures = append(failures, err.Error())
				}
				mu.Unlock()
				if err != nil || closing {
					return
				}
			}
		}()
	}
	for range 4 {
		<-underLoad
	}
	d.signal(syscall.SIGTERM)
	wait.Wait()
	return completed, failures
}

// errJobRejected indicates a fault of the test: it submits a malformed job.
var errJobRejected = errors.New("the daemon could not read the job")

// submitOne submits a job and reports whether the daemon closes the connection.
func submitOne(site *tanagersite.Site, client *http.Client, d *daemon, id string) (closing bool, err error) {
	site.JobSubmitted(id, tanagersite.JobSpec{
		TasksPerStep: []int{1},
		MilliCPU:     100,
	})
	body := tanagerwire.Encode(map[string]any{
		"spec":  "s",
		"steps": []map[string]any{{"count": 1, "cpu": 100, "estimate_ms": 300}},
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress.String()+tanagersite.QueuePrefix+id,
		bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Host = tanagersite.QueueHost
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	if response.StatusCode == http.StatusBadRequest {
		return false, errors.Join(errJobRejected, response.Body.Close())
	}
	return response.Close, response.Body.Close()
}
