package main

import (
	"fmt"
	"math/rand/v2"
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
		StoreLease: tanagerlease.StoreLeaseSettings{
			TTL:         time.Hour,
			DriftMargin: time.Second,
		},
		Promise: tanagerlease.PromiseSettings{
			Duration:    time.Second,
			DriftMargin: 50 * time.Millisecond,
		},
		Queue: tanagerqueue.Settings{
			MaxClassLength: 2000,
			MaxLength:      20000,
			InitialCost:    requestWork,
			MinRetryAfter:  250 * time.Millisecond,
			MaxRetryAfter:  30 * time.Second,
		},
		TaskLease:         benchLease,
		ClockDrift:        0.01,
		MaxListLag:        2 * time.Second,
		MaxRequestTimeout: 30 * time.Second,
		RequestWindow:     time.Minute,
		Tick:              benchTick,
	}, tanagercontrol.Dependencies{
		Timer:     timer,
		Random:    rand.New(rand.NewPCG(seed, 7)),
		Peers:     nowhere{},
		Effects:   c.io,
		Directory: nowhere{},
		Burn:      tanagerburn.NewRecorder(tanagerburn.DefaultObjectives()),
		Log:       zerolog.Nop(),
		WallClock: timer.Now,
	})
	c.show(tanagermessage.MemberKeyPrefix+benchSelf, tanagermessage.Member{
		ID: benchSelf,
	})
	c.show(tanagershard.Key, tanagershard.New(shards, benchSelf))
	c.show(tanagercontrol.ConfigPrefix+"/head", configHead(branches))
	c.say(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		SentAt: timer.Now(),
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
	c.say(tanagermessage.TopicVMListChanged, tanagermessage.VMListChanged{
		List:       list,
		ReceivedAt: c.timer.Now().Add(time.Nanosecond),
	})
}

// submit submits a job of a number of tasks.
func (c *cell) submit(branch int, key string, tasks int) {
	c.say(tanagermessage.TopicJobCallArrived, tanagermessage.JobCallArrived{
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
