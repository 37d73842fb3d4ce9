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

// A planned stop of each daemon in turn, the scheduler among them, cuts off no
// request. Callers keep their connections until the daemon closes them after an
// answer; new ones go elsewhere, as the balancer does once a daemon is not ready.
func TestPlannedStopsCutNothing(t *testing.T) {
	c := qt.New(t)
	site, err := tanagersite.New(tanagersite.Settings{
		Workers:          6,
		StoreEndpoints:   3,
		MilliCPU:         workerCPU,
		MeanTaskDuration: taskTime,
		Seed:             1,
	})
	c.Assert(err, qt.IsNil)
	defer site.Close()
	l := &cell{
		settings: Settings{
			Binary:  build(t),
			Daemons: 3,
			Workers: 6,
		},
		site:   site,
		random: rand.New(rand.NewPCG(1, 1)),
	}
	defer l.end()
	c.Assert(l.start(t.TempDir()), qt.IsNil)
	for _, d := range l.daemons {
		answered, cut := stopUnderLoad(site, d)
		c.Check(cut, qt.HasLen, 0)
		c.Check(answered > 0, qt.IsTrue)
		c.Assert(d.restart(0), qt.IsNil)
		c.Assert(await(startTime, d.isReady), qt.IsTrue)
	}
}

// stopUnderLoad stops a daemon while callers send over open connections, and
// returns how many requests were answered and what cut off others.
func stopUnderLoad(site *tanagersite.Site, d *daemon) (answered int, cut []string) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	begun := make(chan struct{}, 4)
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{
				Transport: &http.Transport{},
				Timeout:   10 * time.Second,
			}
			for n := 0; ; n++ {
				closing, err := sendOne(site, client, d, fmt.Sprintf("%015x%x", time.Now().UnixNano()&0xfffffffffffffff, i))
				if n == 5 {
					begun <- struct{}{}
				}
				mu.Lock()
				if err == nil {
					answered++
				} else {
					cut = append(cut, err.Error())
				}
				mu.Unlock()
				if err != nil || closing {
					return
				}
			}
		}()
	}
	for range 4 {
		<-begun
	}
	d.signal(syscall.SIGTERM)
	wait.Wait()
	return answered, cut
}

// errorUnread means that the test sends what no daemon takes.
var errorUnread = errors.New("the job could not be read")

// sendOne hands a job in and reports whether the daemon closes the connection.
func sendOne(site *tanagersite.Site, client *http.Client, d *daemon, id string) (closing bool, err error) {
	site.JobSubmitted(id, tanagersite.JobSpec{
		TasksPerStep: []int{1},
		MilliCPU:     100,
	})
	body := tanagerwire.Encode(map[string]any{
		"spec":  "s",
		"steps": []map[string]any{{"count": 1, "cpu": 100, "estimate_ms": 300}},
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers.String()+tanagersite.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Host = tanagersite.QueueHost
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	if response.StatusCode == http.StatusBadRequest {
		return false, errors.Join(errorUnread, response.Body.Close())
	}
	return response.Close, response.Body.Close()
}
