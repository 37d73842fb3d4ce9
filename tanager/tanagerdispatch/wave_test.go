package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// A wave never takes down more machines at a time than it allows. It is reported
// as completed only after the maintenance of all its machines has begun.
func TestWaveLimitsUnavailableMachines(t *testing.T) {
	h := newHarness(t, 1)
	var entries []tanagerport.WorkerEntry
	var machines []tanagerport.Machine
	config := tanagerport.Wave{
		Number:         7,
		MaxUnavailable: 2,
		TimeLimit:      time.Minute,
	}
	for i := range 5 {
		id := fmt.Sprintf("w%d", i)
		entries = append(entries, testWorker(id, 1))
		machines = append(machines, tanagerport.Machine{
			Name:     "m" + id,
			State:    tanagerport.MachineUp,
			WorkerID: id,
		})
		config.Machines = append(config.Machines, "m"+id)
	}
	h.setWorkers(entries...)
	h.sync()
	h.cell.AddWave(h.now, config)
	h.cell.SetMachines(h.now, machines)
	acceptedAt := map[string]time.Time{}
	completed := false
	for range 400 {
		h.tick(100 * time.Millisecond)
		h.respondToPolls(tanagerport.Report{})
		for _, o := range h.orders.Maintenance {
			acceptedAt[o.Machine] = h.now
			h.cell.HandleMaintenanceResponse(h.now, o, true)
		}
		down := 0
		for i := range machines {
			machines[i].State = tanagerport.MachineUp
			if at, ok := acceptedAt[machines[i].Name]; ok && h.now.Sub(at) < 2*time.Second {
				machines[i].State = tanagerport.MachineMaintenance
				down++
			}
		}
		h.c.Assert(down <= config.MaxUnavailable, qt.IsTrue)
		h.cell.SetMachines(h.now, machines)
		for _, s := range h.orders.WaveStatus {
			completed = s.Completed
			h.c.Assert(!s.Completed || len(acceptedAt) == len(machines), qt.IsTrue)
		}
	}
	h.c.Assert(completed, qt.IsTrue)
}

// No task of a long-running step is stopped for maintenance while as many of the
// others are unavailable as the disruption budget allows.
func TestMaintenanceKeepsDisruptionBudget(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	s := testStep(2, 100)
	s.LongRunning = true
	s.DisruptionBudget = 1
	starts := h.submit(testRecord("01", s))
	h.c.Assert(starts, qt.HasLen, 2)
	h.accept(starts[0])
	h.accept(starts[1])
	step := h.cell.jobs[starts[0].Start.Task.Job].steps[0]
	step.tasks[0].attempt.progressPercent = 100
	step.tasks[1].attempt.progressPercent = 100
	h.c.Assert(h.cell.withinDisruptionBudget(step.tasks[0].attempt), qt.IsTrue)
	step.tasks[1].attempt.progressPercent = 40
	h.c.Assert(h.cell.withinDisruptionBudget(step.tasks[0].attempt), qt.IsFalse)
}

// A wave of a machine that had joined after the last list was reported as completed
// at once, and its maintenance was never ordered.
func TestWaveAwaitsListWithNewMachine(t *testing.T) {
	h := newHarness(t, 1)
	h.setWorkers(testWorker("a", 1))
	h.sync()
	list := func(names ...string) []tanagerport.Machine {
		var machines []tanagerport.Machine
		for _, name := range names {
			machines = append(machines, tanagerport.Machine{
				Name:  name,
				State: tanagerport.MachineUp,
			})
		}
		return machines
	}
	h.cell.SetMachines(h.now, list("old"))
	h.tick(time.Minute)
	h.cell.AddWave(h.now, tanagerport.Wave{
		Number:         2,
		Machines:       []string{"new"},
		MaxUnavailable: 1,
	})
	h.tick(time.Second)
	h.c.Assert(h.orders.WaveStatus, qt.DeepEquals, []WaveStatus{{Number: 2}})
	// The first list of the wave may lag behind.
	h.cell.SetMachines(h.now, list("old"))
	h.tick(time.Second)
	h.c.Assert(h.orders.WaveStatus, qt.HasLen, 0)
	h.cell.SetMachines(h.now, list("old", "new"))
	h.tick(time.Second)
	h.c.Assert(h.orders.Maintenance, qt.HasLen, 1)
	h.c.Assert(h.orders.Maintenance[0].Machine, qt.Equals, "new")
	h.cell.HandleMaintenanceResponse(h.now, h.orders.Maintenance[0], true)
	h.tick(time.Second)
	h.c.Assert(h.orders.WaveStatus, qt.DeepEquals, []WaveStatus{{
		Number:    2,
		Completed: true,
	}})
}

// Machines that are gone for good do not keep a wave from completing.
func TestWaveCompletesWithoutMissingMachines(t *testing.T) {
	h := newHarness(t, 1)
	h.cell.AddWave(h.now, tanagerport.Wave{
		Number:         1,
		Machines:       []string{"gone"},
		MaxUnavailable: 1,
	})
	for range 20 {
		h.cell.SetMachines(h.now, nil)
		for _, s := range h.tick(time.Second).WaveStatus {
			if s.Completed {
				return
			}
		}
	}
	h.c.Fatal("the wave is not reported as completed")
}
