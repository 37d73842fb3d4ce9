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

// plansMeasured is the number of plans in a measurement.
const plansMeasured = 20

// benchConfiguration measures a configuration of all teams, each with an
// exception, and a plan against it in which every team waits for work.
func benchConfiguration(t io.Writer) {
	state := tanagerconfig.New()
	now := time.Unix(1e9, 0)
	var uses []tanagerplan.BranchUsage
	for i := range benchTeams {
		for _, intent := range teamIntents(branchName(i), now) {
			next, failure := state.Apply(intent, now)
			if failure != nil {
				panic(failure)
			}
			state = next
		}
		uses = append(uses, tanagerplan.BranchUsage{
			Branch:    branchName(i),
			Allocated: benThanh.capacity,
			Waiting:   1,
			Slots:     1,
			Queued:    1,
		})
	}
	fmt.Fprintf(t, "configuration snapshot of %d branches with an exception each\t%d B\n", benchTeams, len(state.Snapshot()))
	start := time.Now()
	for range plansMeasured {
		_, failure := tanagerplan.Compute(tanagerplan.Input{
			State:        state,
			Intent:       teamIntents(branchName(0), now)[1],
			Now:          now,
			Total:        benThanh.capacity.Scale(benchTeams),
			Slots:        benchTeams,
			BranchUsages: uses,
		})
		if failure != nil {
			panic(failure)
		}
	}
	fmt.Fprintf(t, "processor time a plan over %d branches that all wait\t%s\n", benchTeams, time.Since(start)/plansMeasured)
}

// teamIntents make a branch and grant it an exception.
func teamIntents(branch string, now time.Time) []tanagerconfig.Intent {
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

// listedWorkers is the number of workers in the list of VMs.
const listedWorkers = 11000

// benchList measures the list of VMs at a daemon that owns none of them.
func benchList(t io.Writer, seed uint64) {
	c := newCell(seed, benchShards, 1)
	c.show(tanagershard.Key, emptyHanded())
	before := heapBytes()
	c.addVMs(listedWorkers, 0)
	fmt.Fprintf(t, "memory a VM in the list that another daemon owns\t%d B\n", (heapBytes()-before)/listedWorkers)
	runtime.KeepAlive(c)
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
	fmt.Fprintf(t, "record of a VM in the list, JSON\t%d B\n", jsonBytes(vm))
}

func jsonBytes(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// benchRemembered measures what a request leaves at its home and owner until
// its id is forgotten.
func benchRemembered(t io.Writer, seed uint64) {
	c := newCell(seed, benchShards, benchTeams)
	c.addVMs(0, 50)
	c.pass(5 * time.Second)
	before := heapBytes()
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
	fmt.Fprintf(t, "memory a remembered request with an empty answer, home and owner\t%d B\n", (heapBytes()-before)/requestsMeasured)
	runtime.KeepAlive(c)
}

// benchTaskCalls prints the bodies that one task costs towards its worker.
func benchTaskCalls(t io.Writer) {
	record := make([]byte, 180)
	id := "j812-14-30211/7/14680067"
	start := jsonBytes(tanagerplatform.StartCall{
		Epoch:     14,
		LeaseBase: 1e18,
		Lease:     benchLease,
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
	report := jsonBytes(tanagerplatform.TaskReport{
		ID:     id,
		State:  tanagerplatform.Running,
		Usage:  benThanh.capacity,
		Record: record,
	})
	fmt.Fprintf(t, "start call of one task and one report of it, JSON bodies\t%d B and %d B\n", start, report)
}

// emptyHanded is a map in which another daemon owns every shard.
func emptyHanded() tanagershard.Map {
	m := tanagershard.New(benchShards, "other")
	m.Roster.Members = nil
	return m
}
