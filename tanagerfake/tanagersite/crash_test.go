package tanagersite

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const crashTestJob = "0000000000000001"

func newCrashSite(c *qt.C) *Site {
	site, err := New(Settings{
		Workers:          1,
		StoreEndpoints:   1,
		MilliCPU:         4000,
		MeanTaskDuration: time.Hour,
	})
	c.Assert(err, qt.IsNil)
	site.JobSubmitted(crashTestJob, JobSpec{
		TasksPerStep: []int{2},
		MilliCPU:     1000,
		Crashing:     true,
	})
	return site
}

// awaitWorker waits until a condition of a worker holds.
func awaitWorker(c *qt.C, w *Worker, condition func() bool) {
	for deadline := time.Now().Add(2 * maxCrashOutage); ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		holds := condition()
		w.mu.Unlock()
		if holds {
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

// A crashing task takes the worker's other runs with it. The worker returns as a
// new incarnation that knows nothing, with its entry in the store.
func TestCrashedWorkerReturnsAsNewIncarnation(t *testing.T) {
	c := qt.New(t)
	site := newCrashSite(c)
	defer site.Close()
	w := site.Worker(0)
	before := w.startTime
	for _, task := range []string{crashTestJob + ".0.0.1", crashTestJob + ".0.0.0"} {
		status, _ := w.start(wireCommand{
			Task:         task,
			Run:          1,
			DeadlineMS:   5000,
			FencingToken: 3,
		})
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	awaitWorker(c, w, func() bool { return w.crashed })
	status, _ := w.start(wireCommand{Task: crashTestJob + ".0.0.1"})
	c.Check(status, qt.Equals, 0)
	c.Check(site.JobMayFail(crashTestJob), qt.IsFalse)
	awaitWorker(c, w, func() bool { return !w.crashed })
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Check(w.startTime.After(before), qt.IsTrue)
	c.Check(w.runs, qt.HasLen, 0)
	c.Check(w.ended, qt.HasLen, 0)
	c.Check(w.fencingToken, qt.Equals, int64(0))
	site.store.mu.Lock()
	defer site.store.mu.Unlock()
	_, listed := site.store.items["servers/w000"]
	c.Check(listed, qt.IsTrue)
	c.Check(site.observer.running, qt.HasLen, 0)
}

// The third start after the third crash is a violation. A job may fail once two
// workers have crashed under its task.
func TestStartsOfCrashingTaskAreCounted(t *testing.T) {
	c := qt.New(t)
	site := newCrashSite(c)
	defer site.Close()
	task := crashingTask(crashTestJob)
	for starts := 1; starts <= 7; starts++ {
		site.observer.runStarted(wireCommand{Task: task}, "w000", nil)
		expected := 0
		if starts >= maxCrashes+maxFurtherStarts {
			expected = 1
		}
		c.Check(site.Violations(), qt.HasLen, expected, qt.Commentf("%d starts", starts))
		site.observer.runLost(task, "w000")
		site.observer.workerCrashed(task)
		c.Check(site.JobMayFail(crashTestJob), qt.Equals, starts >= minCrashesToFail)
	}
	c.Check(site.JobCrashesWorkers(crashTestJob), qt.IsTrue)
	c.Check(site.JobMayFail("0000000000000002"), qt.IsFalse)
}

// Two workers that restart under a task may be taken for crashed by it; losses of two
// tasks of a job, once each, may not.
func TestJobMayFailAfterTwoRestartsUnderOneTask(t *testing.T) {
	c := qt.New(t)
	site := newCrashSite(c)
	defer site.Close()
	const job = "0000000000000002"
	for _, tc := range []struct {
		task string
		want bool
	}{
		{task: job + ".0.0.0", want: false},
		{task: job + ".0.0.1", want: false},
		{task: job + ".0.0.0", want: true},
	} {
		site.observer.runLost(tc.task, "w000")
		c.Check(site.JobMayFail(job), qt.Equals, tc.want)
	}
	c.Check(site.JobMayFail(crashTestJob), qt.IsFalse)
}
