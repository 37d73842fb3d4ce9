package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanagerd/tanagermessage"
)

const (
	benchSelf  = "d1"
	benchTick  = 10 * time.Millisecond
	benchLease = 30 * time.Second
)

// heapBytes returns the bytes in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// benchControl measures processor time and memory of the control tables as
// slopes, and the size of each message.
func benchControl(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nControl goroutine of one daemon\tFIGURE")
	benchTables(t, seed)
	benchAdoption(t, seed)
	benchRequestPath(t, seed)
	benchRemembered(t, seed)
	benchConfiguration(t)
	benchList(t, seed)
	benchTaskCalls(t)
	benchSizes(t)
	_ = t.Flush()
}

// The sizes between which slopes are taken.
const (
	fewWorkers   = 50
	manyWorkers  = 250
	tasksPerJob  = 10
	benchShards  = 16
	benchTeams   = 110
	idleTime     = 60 * time.Second
	jobsMeasured = 400
)

// benchTables measures workers and tasks.
func benchTables(t io.Writer, seed uint64) {
	idle := make(map[int]time.Duration)
	memory := make(map[int]int64)
	for _, workers := range []int{fewWorkers, manyWorkers} {
		before := heapBytes()
		c := newCell(seed, benchShards, benchTeams)
		c.addVMs(workers, 0)
		c.pass(5 * time.Second)
		memory[workers] = heapBytes() - before
		syncs := c.io.syncs
		idle[workers] = c.pass(idleTime)
		fmt.Fprintf(t, "idle with %d workers, syncs a second\t%.1f\n", workers, float64(c.io.syncs-syncs)/idleTime.Seconds())
		fmt.Fprintf(t, "idle with %d workers, part of a core\t%.3f%%\n", workers, 100*idle[workers].Seconds()/idleTime.Seconds())
		runtime.KeepAlive(c)
	}
	more := manyWorkers - fewWorkers
	fmt.Fprintf(t, "slope: processor time a worker and second\t%s\n", (idle[manyWorkers]-idle[fewWorkers])/time.Duration(more)/time.Duration(idleTime/time.Second))
	fmt.Fprintf(t, "slope: memory a worker\t%d B\n", (memory[manyWorkers]-memory[fewWorkers])/int64(more))

	c := newCell(seed, benchShards, benchTeams)
	c.addVMs(fewWorkers*2, 0)
	c.pass(5 * time.Second)
	before := heapBytes()
	for i := range jobsMeasured / 2 {
		c.submit(i%benchTeams, fmt.Sprintf("j%d", i), tasksPerJob)
		c.settle()
	}
	c.pass(time.Second)
	tasks := jobsMeasured / 2 * tasksPerJob
	fmt.Fprintf(t, "memory a running task, with its part of a job\t%d B\n", (heapBytes()-before)/int64(tasks))
	fmt.Fprintf(t, "idle with %d workers and %d tasks, part of a core\t%.3f%%\n", fewWorkers*2, tasks, 100*c.pass(idleTime).Seconds()/idleTime.Seconds())
	c.io.endAll()
	ended := c.pass(benchLease)
	fmt.Fprintf(t, "processor time a task from submission to start, journal included\t%s\n", startCost(seed))
	fmt.Fprintf(t, "processor time a task from its end to its outcome\t%s\n", ended/time.Duration(tasks))
	fmt.Fprintf(t, "journal bytes a job of %d tasks\t%d B in %.1f writes\n", tasksPerJob, c.io.journalBytes/(jobsMeasured/2), float64(c.io.journalWrites)/(jobsMeasured/2))
	runtime.KeepAlive(c)
}

// startCost returns the processor time of one task from submission to start,
// without the cost of idle ticks.
func startCost(seed uint64) time.Duration {
	c := newCell(seed, benchShards, benchTeams)
	c.addVMs(fewWorkers*2, 0)
	c.pass(5 * time.Second)
	before := c.spent
	for i := range jobsMeasured {
		c.submit(i%benchTeams, fmt.Sprintf("j%d", i), tasksPerJob)
		c.step()
		c.step()
	}
	c.settle()
	return (c.spent - before) / (jobsMeasured * tasksPerJob)
}

// benchAdoption measures what a new owner spends on the tasks of its
// predecessor.
func benchAdoption(t io.Writer, seed uint64) {
	old := newCell(seed, benchShards, benchTeams)
	old.addVMs(fewWorkers*2, 0)
	old.pass(5 * time.Second)
	tasks := jobsMeasured * tasksPerJob
	for i := range jobsMeasured {
		old.submit(i%benchTeams, fmt.Sprintf("j%d", i), tasksPerJob)
		old.settle()
	}
	old.pass(time.Second)
	heir := newCell(seed, benchShards, benchTeams)
	heir.io.tasks = old.io.tasks
	heir.io.version = old.io.version
	before, start := heir.spent, heapBytes()
	heir.addVMs(fewWorkers*2, 0)
	heir.pass(5 * time.Second)
	fmt.Fprintf(t, "processor time a task that is taken over\t%s\n", (heir.spent-before)/time.Duration(tasks))
	fmt.Fprintf(t, "memory a task that is taken over\t%d B\n", (heapBytes()-start)/int64(tasks))
	bytes := 0
	for _, held := range old.io.tasks {
		for _, task := range held {
			b, err := json.Marshal(task.report)
			if err != nil {
				panic(err)
			}
			bytes += len(b)
		}
	}
	fmt.Fprintf(t, "report of a task that is taken over, JSON\t%d B\n", bytes/tasks)
	runtime.KeepAlive(heir)
}

// requestsMeasured is the number of requests in a measurement.
const requestsMeasured = 20000

// benchRequestPath measures a request whose home and owner are one daemon.
func benchRequestPath(t io.Writer, seed uint64) {
	c := newCell(seed, benchShards, benchTeams)
	c.addVMs(0, 50)
	c.pass(5 * time.Second)
	before := c.spent
	for i := range requestsMeasured {
		c.say(tanagermessage.TopicRequestArrived, tanagermessage.RequestArrived{
			Waiter: uint64(i + 1),
			Spec: tanagermessage.RequestSpec{
				Branch:  branchName(i % benchTeams),
				Service: "ladder",
				Path:    "pairings",
				Class:   tanagerqueue.Normal,
				Timeout: 5 * time.Second,
				Body:    []byte("{}"),
			},
		})
		c.step()
	}
	fmt.Fprintf(t, "processor time a request, home and owner, with 50 targets\t%s\n", (c.spent-before)/requestsMeasured)
}
