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
	daemonID  = "d1"
	tick      = 10 * time.Millisecond
	taskLease = 30 * time.Second
)

// heapBytes returns the allocated heap bytes after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// benchControl measures the CPU time and memory of the control loop per worker,
// task and request, and the size of each message.
func benchControl(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nControl goroutine of one daemon\tFIGURE")
	benchWorkersAndTasks(t, seed)
	benchTakeover(t, seed)
	benchRequestPath(t, seed)
	benchRequestRecords(t, seed)
	benchConfiguration(t)
	benchVMList(t, seed)
	benchTaskMessages(t)
	benchMessageSizes(t)
	_ = t.Flush()
}

// The sizes of the measurements. The cost of a worker is the difference between
// fewWorkers and manyWorkers, divided by the difference in number.
const (
	fewWorkers   = 50
	manyWorkers  = 250
	tasksPerJob  = 10
	shardCount   = 16
	branchCount  = 110
	idleTime     = 60 * time.Second
	jobsMeasured = 400
)

// benchWorkersAndTasks measures the CPU time and memory of workers and tasks.
func benchWorkersAndTasks(t io.Writer, seed uint64) {
	idle := make(map[int]time.Duration)
	memory := make(map[int]int64)
	for _, workers := range []int{fewWorkers, manyWorkers} {
		before := heapBytes()
		d := newSimulatedDaemon(seed, shardCount, branchCount)
		d.setVMs(workers, 0)
		d.advance(5 * time.Second)
		memory[workers] = heapBytes() - before
		syncs := d.platform.syncs
		idle[workers] = d.advance(idleTime)
		fmt.Fprintf(t, "idle with %d workers, syncs a second\t%.1f\n",
			workers, float64(d.platform.syncs-syncs)/idleTime.Seconds())
		fmt.Fprintf(t, "idle with %d workers, part of a core\t%.3f%%\n",
			workers, 100*idle[workers].Seconds()/idleTime.Seconds())
		runtime.KeepAlive(d)
	}
	added := manyWorkers - fewWorkers
	fmt.Fprintf(t, "slope: processor time a worker and second\t%s\n",
		(idle[manyWorkers]-idle[fewWorkers])/time.Duration(added)/time.Duration(idleTime/time.Second))
	fmt.Fprintf(t, "slope: memory a worker\t%d B\n", (memory[manyWorkers]-memory[fewWorkers])/int64(added))

	d := newSimulatedDaemon(seed, shardCount, branchCount)
	d.setVMs(fewWorkers*2, 0)
	d.advance(5 * time.Second)
	before := heapBytes()
	for i := range jobsMeasured / 2 {
		d.submit(i%branchCount, fmt.Sprintf("j%d", i), tasksPerJob)
		d.runPending()
	}
	d.advance(time.Second)
	tasks := jobsMeasured / 2 * tasksPerJob
	fmt.Fprintf(t, "memory a running task, with its part of a job\t%d B\n", (heapBytes()-before)/int64(tasks))
	fmt.Fprintf(t, "idle with %d workers and %d tasks, part of a core\t%.3f%%\n",
		fewWorkers*2, tasks, 100*d.advance(idleTime).Seconds()/idleTime.Seconds())
	d.platform.endAllTasks()
	endCPUTime := d.advance(taskLease)
	fmt.Fprintf(t, "processor time a task from submission to start, journal included\t%s\n", taskStartCPUTime(seed))
	fmt.Fprintf(t, "processor time a task from its end to its outcome\t%s\n", endCPUTime/time.Duration(tasks))
	fmt.Fprintf(t, "journal bytes a job of %d tasks\t%d B in %.1f writes\n", tasksPerJob,
		d.platform.journalBytes/(jobsMeasured/2), float64(d.platform.journalWrites)/(jobsMeasured/2))
	runtime.KeepAlive(d)
}

// taskStartCPUTime returns the CPU time of one task from submission to start,
// without the cost of idle ticks.
func taskStartCPUTime(seed uint64) time.Duration {
	d := newSimulatedDaemon(seed, shardCount, branchCount)
	d.setVMs(fewWorkers*2, 0)
	d.advance(5 * time.Second)
	before := d.cpuTime
	for i := range jobsMeasured {
		d.submit(i%branchCount, fmt.Sprintf("j%d", i), tasksPerJob)
		d.step()
		d.step()
	}
	d.runPending()
	return (d.cpuTime - before) / (jobsMeasured * tasksPerJob)
}

// benchTakeover measures the CPU time and memory that a new owner spends on the
// running tasks of the previous owner, which it learns from the workers' reports.
func benchTakeover(t io.Writer, seed uint64) {
	previous := newSimulatedDaemon(seed, shardCount, branchCount)
	previous.setVMs(fewWorkers*2, 0)
	previous.advance(5 * time.Second)
	tasks := jobsMeasured * tasksPerJob
	for i := range jobsMeasured {
		previous.submit(i%branchCount, fmt.Sprintf("j%d", i), tasksPerJob)
		previous.runPending()
	}
	previous.advance(time.Second)
	successor := newSimulatedDaemon(seed, shardCount, branchCount)
	successor.platform.tasks = previous.platform.tasks
	successor.platform.version = previous.platform.version
	cpuBefore, heapBefore := successor.cpuTime, heapBytes()
	successor.setVMs(fewWorkers*2, 0)
	successor.advance(5 * time.Second)
	fmt.Fprintf(t, "processor time a task that is taken over\t%s\n", (successor.cpuTime-cpuBefore)/time.Duration(tasks))
	fmt.Fprintf(t, "memory a task that is taken over\t%d B\n", (heapBytes()-heapBefore)/int64(tasks))
	reportBytes := 0
	for _, workerTasks := range previous.platform.tasks {
		for _, task := range workerTasks {
			b, err := json.Marshal(task.report)
			if err != nil {
				panic(err)
			}
			reportBytes += len(b)
		}
	}
	fmt.Fprintf(t, "report of a task that is taken over, JSON\t%d B\n", reportBytes/tasks)
	runtime.KeepAlive(successor)
}

// requestsMeasured is the number of requests that results are averaged over.
const requestsMeasured = 20000

// benchRequestPath measures the CPU time of a request whose coordinator and owner
// are the same daemon.
func benchRequestPath(t io.Writer, seed uint64) {
	d := newSimulatedDaemon(seed, shardCount, branchCount)
	d.setVMs(0, 50)
	d.advance(5 * time.Second)
	before := d.cpuTime
	for i := range requestsMeasured {
		d.deliver(tanagermessage.TopicRequestArrived, tanagermessage.RequestArrived{
			Waiter: uint64(i + 1),
			Spec: tanagermessage.RequestSpec{
				Branch:  branchName(i % branchCount),
				Service: "ladder",
				Path:    "pairings",
				Class:   tanagerqueue.Normal,
				Timeout: 5 * time.Second,
				Body:    []byte("{}"),
			},
		})
		d.step()
	}
	fmt.Fprintf(t, "processor time a request, home and owner, with 50 targets\t%s\n", (d.cpuTime-before)/requestsMeasured)
}
