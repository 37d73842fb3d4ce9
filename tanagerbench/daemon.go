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

// simulatedDaemon is the control loop of one daemon in virtual time, on a platform
// on which every operation succeeds.
type simulatedDaemon struct {
	control       *tanagercontrol.Control
	platform      *fakePlatform
	timer         *tanagertimer.Manual
	storeRevision uint64
	// cpuTime is the time that the control loop took so far, measured with the
	// wall clock.
	cpuTime time.Duration
}

// newSimulatedDaemon returns a daemon with a valid store lease that owns every
// shard and has a configuration of a number of branches.
func newSimulatedDaemon(seed uint64, shards, branches int) *simulatedDaemon {
	timer := tanagertimer.NewManual(time.Unix(1e9, 0))
	d := &simulatedDaemon{
		platform: newFakePlatform(timer),
		timer:    timer,
	}
	d.control = tanagercontrol.New(tanagercontrol.Settings{
		Self: tanagermessage.Member{
			ID: daemonID,
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
			InitialCost:    meanServiceTime,
			MinRetryAfter:  250 * time.Millisecond,
			MaxRetryAfter:  30 * time.Second,
		},
		TaskLease:         taskLease,
		ClockDrift:        0.01,
		MaxListLag:        2 * time.Second,
		MaxRequestTimeout: 30 * time.Second,
		RequestIDWindow:   time.Minute,
		Tick:              tick,
	}, tanagercontrol.Dependencies{
		Timer:        timer,
		Random:       rand.New(rand.NewPCG(seed, 7)),
		Peers:        noopPeers{},
		Effects:      d.platform,
		Directory:    noopPeers{},
		BurnRecorder: tanagerburn.NewRecorder(tanagerburn.DefaultObjectives()),
		Log:          zerolog.Nop(),
		WallClock:    timer.Now,
	})
	d.putStoreEntry(tanagermessage.MemberKeyPrefix+daemonID, tanagermessage.Member{
		ID: daemonID,
	})
	d.putStoreEntry(tanagershard.Key, tanagershard.New(shards, daemonID))
	d.putStoreEntry(tanagercontrol.ConfigPrefix+"/head", configJournalHead(branches))
	d.deliver(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		SentAt: timer.Now(),
	})
	d.advance(time.Second)
	return d
}

// configJournalHead returns the head of a configuration journal that creates a
// number of branches.
func configJournalHead(branches int) any {
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

// putStoreEntry delivers a change of one store entry at the next store revision.
func (d *simulatedDaemon) putStoreEntry(key string, value any) {
	d.storeRevision++
	d.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Revision: d.storeRevision,
			Entries: []tanagerstore.Entry{
				{
					Key:      key,
					Value:    tanagerwire.Encode(value),
					Revision: d.storeRevision,
				},
			},
		},
	})
}

// deliver hands a local message to the control loop.
func (d *simulatedDaemon) deliver(topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, daemonID)
	start := time.Now()
	d.control.Handle(m)
	d.cpuTime += time.Since(start)
}

// step runs one iteration of the control loop and delivers the platform's
// responses that are due.
func (d *simulatedDaemon) step() {
	start := time.Now()
	d.control.Step()
	d.cpuTime += time.Since(start)
	for _, m := range d.platform.takeDue() {
		start = time.Now()
		d.control.Handle(m)
		d.cpuTime += time.Since(start)
	}
}

// advance advances virtual time by duration in ticks and returns the CPU time that
// the control loop took.
func (d *simulatedDaemon) advance(duration time.Duration) time.Duration {
	before := d.cpuTime
	for remaining := duration; remaining > 0; remaining -= tick {
		d.timer.Advance(tick)
		d.step()
	}
	return d.cpuTime - before
}

// runPending runs 20 steps at the same virtual time, enough for all responses of
// the platform that have no delay, and returns the CPU time that they took.
func (d *simulatedDaemon) runPending() time.Duration {
	before := d.cpuTime
	for range 20 {
		d.step()
	}
	return d.cpuTime - before
}

// setVMs delivers a VM list of a number of workers and of targets of one service.
func (d *simulatedDaemon) setVMs(workers, targets int) {
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
	d.deliver(tanagermessage.TopicVMListChanged, tanagermessage.VMListChanged{
		List:       list,
		ReceivedAt: d.timer.Now().Add(time.Nanosecond),
	})
}

// submit submits a batch job to a branch, given by its number.
func (d *simulatedDaemon) submit(branch int, key string, tasks int) {
	d.deliver(tanagermessage.TopicJobCallArrived, tanagermessage.JobCallArrived{
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
