package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// plansMeasured is the number of plans that the measured time is averaged over.
const plansMeasured = 20

// benchConfiguration measures the size of a configuration of branchCount branches
// with an exception each, and the CPU time of a plan against it while every branch
// has waiting work.
func benchConfiguration(t io.Writer) {
	state := tanagerconfig.New()
	now := time.Unix(1e9, 0)
	var usages []tanagerplan.BranchUsage
	for i := range branchCount {
		for _, intent := range branchIntents(branchName(i), now) {
			next, failure := state.Apply(intent, now)
			if failure != nil {
				panic(failure)
			}
			state = next
		}
		usages = append(usages, tanagerplan.BranchUsage{
			Branch:    branchName(i),
			Allocated: benThanh.capacity,
			Waiting:   1,
			Slots:     1,
			Queued:    1,
		})
	}
	fmt.Fprintf(t, "configuration snapshot of %d branches with an exception each\t%d B\n",
		branchCount, len(state.Snapshot()))
	start := time.Now()
	for range plansMeasured {
		_, failure := tanagerplan.Compute(tanagerplan.Input{
			State:        state,
			Intent:       branchIntents(branchName(0), now)[1],
			Now:          now,
			Capacity:     benThanh.capacity.Scale(branchCount),
			Slots:        branchCount,
			BranchUsages: usages,
		})
		if failure != nil {
			panic(failure)
		}
	}
	fmt.Fprintf(t, "processor time a plan over %d branches that all wait\t%s\n",
		branchCount, time.Since(start)/plansMeasured)
}

// branchIntents returns intents that create a branch and grant it an exception.
func branchIntents(branch string, now time.Time) []tanagerconfig.Intent {
	return []tanagerconfig.Intent{
		{
			Kind:   tanagerconfig.SetBranch,
			Branch: branch,
			Rules: &tanagerconfig.Rules{
				Weight:      1,
				UrgentShare: 0.1,
				Quota:       benThanh.capacity,
			},
		},
		{
			Kind:   tanagerconfig.GrantException,
			Branch: branch,
			Exception: &tanagerconfig.Exception{
				Name:         "match-night",
				WeightFactor: 2,
				From:         now,
				Until:        now.Add(time.Hour),
			},
		},
	}
}

// listedWorkers is the number of workers in the VM list.
const listedWorkers = 11000

// benchVMList measures the memory of the VM list in a daemon that owns none of the
// VMs, and the size of an entry.
func benchVMList(t io.Writer, seed uint64) {
	d := newSimulatedDaemon(seed, shardCount, 1)
	d.putStoreEntry(tanagershard.Key, foreignShardMap())
	before := heapBytes()
	d.setVMs(listedWorkers, 0)
	fmt.Fprintf(t, "memory a VM in the list that another daemon owns\t%d B\n", (heapBytes()-before)/listedWorkers)
	runtime.KeepAlive(d)
	vm := tanagerplatform.VM{
		Name:          "south-a-rack-41-w7",
		Kind:          tanagerplatform.Worker,
		Address:       netip.MustParseAddrPort("10.120.33.47:7000"),
		Rack:          "south-a-rack-41",
		FailureDomain: "south-a",
		Region:        "south",
		State:         tanagerplatform.Leaving,
		Capacity:      benThanh.capacity,
	}
	fmt.Fprintf(t, "record of a VM in the list, JSON\t%d B\n", jsonSize(vm))
}

func jsonSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// benchRequestRecords measures the memory that the coordinator and the owner keep
// for a completed request until its id expires; one daemon is both.
func benchRequestRecords(t io.Writer, seed uint64) {
	d := newSimulatedDaemon(seed, shardCount, branchCount)
	d.setVMs(0, 50)
	d.advance(5 * time.Second)
	before := heapBytes()
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
	fmt.Fprintf(t, "memory a remembered request with an empty answer, home and owner\t%d B\n",
		(heapBytes()-before)/requestsMeasured)
	runtime.KeepAlive(d)
}

// benchTaskMessages prints the size of the messages that the daemon and the worker
// of a task exchange about it.
func benchTaskMessages(t io.Writer) {
	record := make([]byte, 180)
	id := "j812-14-30211/7/14680067"
	start := jsonSize(tanagerplatform.StartCall{
		Epoch:     14,
		LeaseBase: 1e18,
		Lease:     taskLease,
		Tasks: []tanagerplatform.Task{
			{
				ID: id,
				Resources: tanagerresource.Vector{
					CPU:    1000,
					Memory: 2000,
				},
				RunTime: time.Minute,
				Family:  "family",
				Payload: make([]byte, 100),
				Record:  record,
			},
		},
	})
	report := jsonSize(tanagerplatform.TaskReport{
		ID:     id,
		State:  tanagerplatform.Running,
		Usage:  benThanh.capacity,
		Record: record,
	})
	fmt.Fprintf(t, "start call of one task and one report of it, JSON bodies\t%d B and %d B\n", start, report)
}

// foreignShardMap returns a shard map in which another daemon owns every shard.
func foreignShardMap() tanagershard.Map {
	m := tanagershard.New(shardCount, "other")
	m.Roster.Members = nil
	return m
}
