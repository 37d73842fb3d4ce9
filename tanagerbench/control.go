package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagercontrol"
	"tanagersail.example/tanagerd/tanagermessage"
)

const (
	benchSelf  = "d1"
	benchTick  = 10 * time.Millisecond
	benchLease = 30 * time.Second
)

// cell is one daemon's control with a platform that always answers, in virtual
// time.
type cell struct {
	control *tanagercontrol.Control
	io      *platformIO
	timer   *tanagertimer.Manual
	store   uint64
	spent   time.Duration
}

// newCell returns a daemon that owns every shard, with branches in force.
func newCell(seed uint64, shards, branches int) *cell {
	timer := tanagertimer.NewManual(time.Unix(1e9, 0))
	c := &cell{
		io:    newPlatformIO(timer),
		timer: timer,
	}
	c.control = tanagercontrol.New(tanagercontrol.Settings{
		Self: tanagermessage.Member{
			ID: benchSelf,
		},
		Shards: shards,
		Right: tanagerlease.RightSettings{
			TTL:    time.Hour,
			Margin: time.Second,
		},
		Promise: tanagerlease.PromiseSettings{
			Length: time.Second,
			Margin: 50 * time.Millisecond,
		},
		Queue: tanagerqueue.Settings{
			BranchLength: 2000,
			TotalLength:  20000,
			FirstCost:    requestWork,
			RetryFloor:   250 * time.Millisecond,
			RetryCeiling: 30 * time.Second,
		},
		TaskLease:      benchLease,
		ClockDrift:     0.01,
		ListLag:        2 * time.Second,
		LongestRequest: 30 * time.Second,
		RequestWindow:  time.Minute,
		Tick:           benchTick,
	}, tanagercontrol.Dependencies{
		Timer:     timer,
		Random:    rand.New(rand.NewPCG(seed, 7)),
		Peers:     nowhere{},
		Effects:   c.io,
		Directory: nowhere{},
		Burn:      tanagerburn.NewLedger(tanagerburn.DefaultObjectives()),
		Log:       zerolog.Nop(),
		Wall:      timer.Now,
	})
	c.show(tanagermessage.MemberPrefix+benchSelf, tanagermessage.Member{
		ID: benchSelf,
	})
	c.show(tanagershard.Key, tanagershard.New(shards, benchSelf))
	c.show(tanagercontrol.ConfigPrefix+"/head", configHead(branches))
	c.say(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		Sent: timer.Now(),
	})
	c.pass(time.Second)
	return c
}

// configHead is the head of a configuration journal that makes the branches.
func configHead(branches int) any {
	type record struct {
		Sequence uint64 `json:"sequence"`
		Payload  []byte `json:"payload"`
	}
	var records []record
	for i := range branches {
		records = append(records, record{
			Sequence: uint64(i + 1),
			Payload: tanagerwire.Encode(tanagerconfig.Record{
				Intent: tanagerconfig.Intent{
					Kind:   tanagerconfig.SetBranch,
					Branch: branchName(i),
					Rules: &tanagerconfig.Rules{
						Weight:      1,
						UrgentShare: 0.1,
						Quota: tanagerresource.Vector{
							CPU: 1 << 40,
						},
					},
				},
				At: time.Unix(1e9, 0),
			}),
		})
	}
	return struct {
		Sequence uint64   `json:"sequence"`
		Records  []record `json:"records"`
	}{
		Sequence: uint64(branches),
		Records:  records,
	}
}

func branchName(i int) string { return fmt.Sprintf("branch-%d", i) }

func (c *cell) show(key string, value any) {
	c.store++
	c.say(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Revision: c.store,
			Entries: []tanagerstore.Entry{
				{
					Key:      key,
					Value:    tanagerwire.Encode(value),
					Revision: c.store,
				},
			},
		},
	})
}

func (c *cell) say(topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, benchSelf)
	start := time.Now()
	c.control.Handle(m)
	c.spent += time.Since(start)
}

// step runs the systems once and delivers what the platform has answered.
func (c *cell) step() {
	start := time.Now()
	c.control.Step()
	c.spent += time.Since(start)
	for _, m := range c.io.due() {
		start = time.Now()
		c.control.Handle(m)
		c.spent += time.Since(start)
	}
}

// pass lets virtual time go by and returns the processor time that the control
// goroutine took.
func (c *cell) pass(d time.Duration) time.Duration {
	before := c.spent
	for left := d; left > 0; left -= benchTick {
		c.timer.Advance(benchTick)
		c.step()
	}
	return c.spent - before
}

// settle steps until the platform has nothing more to answer at once.
func (c *cell) settle() time.Duration {
	before := c.spent
	for range 20 {
		c.step()
	}
	return c.spent - before
}

func (c *cell) addVMs(workers, targets int) {
	var list tanagerplatform.VMList
	for i := range workers {
		list.VMs = append(list.VMs, tanagerplatform.VM{
			Name:          fmt.Sprintf("w%d", i),
			Kind:          tanagerplatform.Worker,
			FailureDomain: string(rune('a' + i%6)),
			Rack:          fmt.Sprintf("r%d", i/8),
			State:         tanagerplatform.Live,
			Capacity:      benThanh.capacity,
		})
	}
	for i := range targets {
		list.VMs = append(list.VMs, tanagerplatform.VM{
			Name:    fmt.Sprintf("t%d", i),
			Kind:    tanagerplatform.Target,
			State:   tanagerplatform.Live,
			Service: "ladder",
			Slots:   8,
		})
	}
	c.say(tanagermessage.TopicVMsChanged, tanagermessage.VMsChanged{
		List:     list,
		Received: c.timer.Now().Add(time.Nanosecond),
	})
}

// submit submits a job of a number of tasks.
func (c *cell) submit(branch int, key string, tasks int) {
	c.say(tanagermessage.TopicJobWanted, tanagermessage.JobWanted{
		Call: tanagermessage.JobCall{
			Kind:   tanagermessage.JobSubmit,
			Branch: branchName(branch),
			Spec: &tanagerjob.Spec{
				Key:   key,
				Kind:  tanagerjob.Batch,
				Class: tanagerqueue.Normal,
				Tasks: tasks,
				Resources: tanagerresource.Vector{
					CPU:    1000,
					Memory: 2000,
				},
				Idempotent: true,
				Family:     "family",
				Payload:    make([]byte, 100),
			},
		},
	})
}

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

// benchSizes prints the size of each message at the target's size.
func benchSizes(t io.Writer) {
	ref := tanagerjob.TaskRef{
		Job:     "j812-14-30211",
		Index:   7,
		Attempt: 14<<20 + 3,
	}
	gossip := tanagermessage.Gossip{
		MapRevision:    1 << 30,
		ConfigRevision: 1 << 20,
		Free:           benThanh.capacity,
		Total:          benThanh.capacity,
		Services: []tanagermessage.ServiceHint{
			{
				Service: "ladder",
				Slots:   48,
				Free:    12,
				Queued:  3,
			},
		},
	}
	fmt.Fprintf(t, "gossip, and when nothing has changed\t%d B and %d B\n", len(tanagerwire.Encode(gossip)), len(tanagerwire.Encode(tanagermessage.Gossip{
		Same: true,
	})))
	fmt.Fprintf(t, "what a branch holds, for a plan\t%d B\n", len(tanagerwire.Encode(tanagermessage.BranchUse{
		Branch:  "branch-42",
		CPU:     benThanh.capacity.CPU,
		Memory:  benThanh.capacity.Memory,
		Waiting: 12,
		Slots:   3,
		Queued:  2,
	})))
	m := tanagershard.New(1024, "entry-117-0a1b2c3d")
	m.Roster.Members = nil
	one := len(tanagerwire.Encode(tanagershard.New(1025, "entry-117-0a1b2c3d"))) - len(tanagerwire.Encode(tanagershard.New(1024, "entry-117-0a1b2c3d")))
	fmt.Fprintf(t, "shard map of 1024 shards\t%d B, %d B a shard\n", len(tanagerwire.Encode(m)), one)
	offer := tanagermessage.TaskOffer{
		Shard:     812,
		Epoch:     14,
		Ref:       ref,
		Branch:    "branch-42",
		Kind:      tanagerjob.Batch,
		Resources: benThanh.capacity,
		Family:    "family",
		Payload:   make([]byte, 100),
	}
	fmt.Fprintf(t, "task offer, answer, end, acknowledgement\t%d, %d, %d, %d B\n",
		len(tanagerwire.Encode(offer)),
		len(tanagerwire.Encode(tanagermessage.TaskAnswer{
			Ref:     ref,
			Verdict: tanagermessage.TaskStarted,
			Worker:  "south-a-rack-41-w7",
		})),
		len(tanagerwire.Encode(tanagermessage.TaskWord{
			Shard:  812,
			Ref:    ref,
			Worker: "south-a-rack-41-w7",
			End:    tanagermessage.TaskDone,
		})),
		len(tanagerwire.Encode(tanagermessage.TaskAck{
			Ref: ref,
		})))
	record := tanagerwire.Encode(tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind:   tanagerconfig.GrantException,
			Branch: "branch-42",
			Exception: &tanagerconfig.Exception{
				Name:         "match-night",
				WeightFactor: 2,
				From:         time.Unix(1e9, 0),
				Until:        time.Unix(1e9, 0).Add(time.Hour),
			},
		},
		At:       time.Unix(1e9, 0),
		Operator: "centre",
	})
	fmt.Fprintf(t, "configuration record\t%d B\n", len(record))
	call, answer := syncSizes()
	fmt.Fprintf(t, "worker sync without changes, JSON bodies\t%d B and %d B\n", call, answer)
}

// syncSizes returns the size of the bodies of a sync that reports nothing.
func syncSizes() (call, answer int) {
	encode := func(v any) int {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return len(b)
	}
	return encode(tanagerplatform.SyncCall{
			Epoch:     14,
			LeaseBase: 1e18,
			Lease:     benchLease,
			After:     123456,
			Wait:      benchLease / 3,
		}), encode(tanagerplatform.SyncReport{
			LeaseBase: 1e18,
			Version:   123456,
		})
}
