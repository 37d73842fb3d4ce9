package tanagersite

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	secondTestJob  = "0000000000000003"
	secondTestTask = secondTestJob + ".0.0.0"
)

// clockedObserver is an observer with a clock that a test sets.
type clockedObserver struct {
	*observer
	time time.Time
}

func newClockedObserver() *clockedObserver {
	o := &clockedObserver{
		observer: newObserver(),
		time:     time.Unix(1_700_000_000, 0),
	}
	o.now = func() time.Time { return o.time }
	o.second = newSecondStarts()
	o.jobs[secondTestJob] = JobSpec{TasksPerStep: []int{1}}
	for _, w := range []string{"w000", "w001"} {
		o.leaseExtended(w, o.time.Add(time.Hour))
	}
	return o
}

// start starts the task on a worker. late tells that the order was held.
func (o *clockedObserver) start(worker string, run int64, late bool) {
	o.runStarted(wireCommand{
		Task:        secondTestTask,
		Run:         run,
		callContext: callContext{late: late},
	}, worker, nil)
}

func (o *clockedObserver) end(worker string, run int64, how string) {
	o.runEnded(secondTestTask, run, worker, how)
}

func TestSecondStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		play func(o *clockedObserver)
		want []string
	}{
		"two runs at once": {
			play: func(o *clockedObserver) { o.start("w001", 2, false) },
			want: []string{`.*two runs at once: run 2 on w001 by daemon 0, run 1 on w000 goes on`},
		},
		"the first run's lease has lapsed": {
			play: func(o *clockedObserver) {
				o.leaseExtended("w000", o.time)
				o.start("w001", 2, false)
			},
		},
		"the first run's worker has crashed": {
			play: func(o *clockedObserver) {
				o.runLost(secondTestTask, "w000")
				o.start("w001", 2, false)
			},
		},
		"after a failed run": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, "failed")
				o.start("w001", 2, false)
			},
		},
		"after an end that nobody notes": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.start("w001", 2, false)
			},
		},
		"after a noted end": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.endNoted(secondTestTask, 1, "w000", false)
				o.start("w001", 2, true)
			},
			want: []string{`.*run 2 on w001 by daemon 0 started after run 1 ended as done on w000, noted 0s before`},
		},
		"after an end that was never listed": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.endNoted(secondTestTask, 1, "w000", true)
				o.start("w001", 2, false)
			},
			want: []string{`.*after run 1 ended as done on w000, forgotten at once 0s before`},
		},
		"before the end is noted": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.start("w001", 2, false)
				o.time = o.time.Add(time.Minute)
				o.endNoted(secondTestTask, 1, "w000", false)
				o.endNoted(secondTestTask, 1, "w000", false)
			},
			want: []string{`.*run 2 on w001 .* after run 1 ended as done on w000, noted -1m0s before`},
		},
		"just after the job was shown": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.jobShown(secondTestJob)
				o.time = o.time.Add(noticeAllowance)
				o.start("w001", 2, false)
			},
		},
		"after the job was shown": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.jobShown(secondTestJob)
				o.time = o.time.Add(noticeAllowance / 2)
				o.jobShown(secondTestJob)
				o.time = o.time.Add(noticeAllowance/2 + 1)
				o.start("w001", 2, false)
			},
			want: []string{`.*run 2 on w001 by daemon 0 started 1s after its job was shown as completed`},
		},
		"after the job was shown, executed late": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.jobShown(secondTestJob)
				o.time = o.time.Add(time.Minute)
				o.start("w001", 2, true)
			},
		},
		"after the job was shown, by a daemon out of touch": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.jobShown(secondTestJob)
				o.disrupt(0, 1)
				o.time = o.time.Add(time.Minute)
				o.disrupt(0, -1)
				o.time = o.time.Add(contactTime - 1)
				o.start("w001", 2, false)
			},
		},
		"after the job was shown, by a daemon in touch again": {
			play: func(o *clockedObserver) {
				o.end("w000", 1, endDone)
				o.jobShown(secondTestJob)
				o.disrupt(0, 1)
				o.disrupt(0, -1)
				o.time = o.time.Add(contactTime)
				o.start("w001", 2, false)
			},
			want: []string{`.*started 3s after its job was shown as completed`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := newClockedObserver()
			o.start("w000", 1, false)
			tc.play(o)
			c.Assert(o.violations, qt.HasLen, len(tc.want), qt.Commentf("%v", o.violations))
			for i, pattern := range tc.want {
				c.Check(o.violations[i], qt.Matches, pattern)
			}
		})
	}
}

// linkSite returns a site with one worker and two daemons.
func linkSite(c *qt.C) (*Site, *Worker) {
	site, err := New(Settings{
		Workers:          1,
		StoreEndpoints:   2,
		MilliCPU:         4000,
		MeanTaskDuration: time.Hour,
		WorkerLinks:      true,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(site.Close)
	site.JobSubmitted(secondTestJob, JobSpec{TasksPerStep: []int{3}})
	return site, site.Worker(0)
}

// An end is taken note of when last_seen reaches its number, also before the end, but
// not if the lease has lapsed in between.
func TestEndsAreNotedUpToLastSeen(t *testing.T) {
	c := qt.New(t)
	site, w := linkSite(c)
	w.start(wireCommand{Task: secondTestTask, Run: 1, DeadlineMS: 5000})
	w.endRun(w.runs[secondTestTask], endDone)
	w.lastSeen = 2
	w.acknowledge(0, false)
	noted := func(task string) bool { return !site.observer.second.done[task][0].noted.IsZero() }
	c.Check(noted(secondTestTask), qt.IsFalse)
	w.acknowledge(1, false)
	c.Check(noted(secondTestTask), qt.IsTrue)

	w.start(wireCommand{Task: secondTestJob + ".0.0.1", Run: 1, DeadlineMS: 5000})
	w.endRun(w.runs[secondTestJob+".0.0.1"], endDone)
	c.Check(noted(secondTestJob+".0.0.1"), qt.IsTrue)
	c.Check(w.ended, qt.HasLen, 0)

	w.start(wireCommand{Task: secondTestJob + ".0.0.2", Run: 1, DeadlineMS: 5000})
	w.endRun(w.runs[secondTestJob+".0.0.2"], endDone)
	w.startTime = w.startTime.Add(-maxLease)
	w.extendLease(8000)
	w.acknowledge(3, false)
	c.Check(noted(secondTestJob+".0.0.2"), qt.IsFalse)
	c.Check(w.ended, qt.HasLen, 0)
}

// Each daemon reads the address of the worker that is for it.
func TestEntryShowsAddressForDaemon(t *testing.T) {
	c := qt.New(t)
	site, w := linkSite(c)
	for i := range 2 {
		_, address := site.StoreEndpoint(i)
		response, err := http.Get("http://" + address.String() + "/tanagersail/kv-key?key=servers/w000")
		c.Assert(err, qt.IsNil)
		var entry struct {
			Value string `json:"value"`
		}
		c.Assert(readBody(&http.Request{Body: response.Body}, &entry), qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Check(describeValue(entry.Value), qt.Contains, w.addresses[i])
	}
}

// post sends an order to a worker as a daemon does, and returns the status of the
// response, 0 without one.
func post(ctx context.Context, address string, c wireCommand) int {
	content := tanagerwire.Encode(map[string]any{"task": c.Task, "run": c.Run, "deadline_ms": c.DeadlineMS})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/tanagersail/run-start",
		bytes.NewReader(content))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Orders through a cut link are executed after the cut, or lost; the other daemon's
// orders pass.
func TestCutLinkHoldsOrDropsOrders(t *testing.T) {
	c := qt.New(t)
	_, w := linkSite(c)
	running := func(task string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.runs[task] != nil
	}
	order := func(index string) wireCommand {
		return wireCommand{Task: secondTestJob + ".0.0." + index, Run: 1, DeadlineMS: 6000}
	}
	heal := w.CutLink(0, true)
	ctx, cancel := context.WithCancel(context.Background())
	lost := make(chan int)
	go func() { lost <- post(ctx, w.addresses[0], order("0")) }()
	c.Check(post(context.Background(), w.addresses[1], order("1")), qt.Equals, http.StatusOK)
	heal()
	cancel()
	c.Check(<-lost, qt.Equals, 0)
	c.Check(running(order("1").Task), qt.IsTrue)

	heal = w.CutLink(0, false)
	answered := make(chan int)
	go func() { answered <- post(context.Background(), w.addresses[0], order("2")) }()
	c.Check(running(order("2").Task), qt.IsFalse)
	heal()
	c.Check(<-answered, qt.Equals, http.StatusOK)
	c.Check(running(order("2").Task), qt.IsTrue)
}

// A worker that restarts under its id keeps its addresses, and its born may be lower.
func TestRestartWithClockPutBack(t *testing.T) {
	c := qt.New(t)
	_, w := linkSite(c)
	w.start(wireCommand{Task: secondTestTask, Run: 1, FencingToken: 3, DeadlineMS: 5000})
	before := w.born()
	w.RestartAfter(0, time.Hour)
	awaitWorker(c, w, func() bool { return !w.crashed })
	c.Check(w.born() < before, qt.IsTrue)
	status := post(context.Background(), w.addresses[0], wireCommand{Task: secondTestTask, Run: 2, DeadlineMS: 5000})
	c.Check(status, qt.Equals, http.StatusOK)
}
