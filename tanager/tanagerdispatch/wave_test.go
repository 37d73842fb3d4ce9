package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// No more machines of a wave are down at a time than it allows, and the wave is
// reported as completed only after the maintenance of all its machines has begun.
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
	h.cell.SetMachines(machines)
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
		h.cell.SetMachines(machines)
		for _, s := range h.orders.WaveStatus {
			completed = s.Completed
			h.c.Assert(!s.Completed || len(acceptedAt) == len(machines), qt.IsTrue)
		}
	}
	h.c.Assert(completed, qt.IsTrue)
}

// A long-running task is not stopped while as many other tasks of its step as the
// disruption budget allows are unavailable.
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
