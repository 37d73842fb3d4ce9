package tanagerdispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
)

// No more machines of a wave are down at a time than it allows, and the wave is reported as
// completed only after the maintenance of all its machines has acceptedAt.
func TestWaveLimitsUnavailableMachines(t *testing.T) {
	b := newHarness(t, 1)
	var entries []tanagerport.WorkerEntry
	var machines []tanagerport.Machine
	config := tanagerport.Wave{
		Number: 7,
		Cap:    2,
		Within: time.Minute,
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
	b.setWorkers(entries...)
	b.sync()
	b.cell.AddWave(b.now, config)
	b.cell.SetMachines(machines)
	acceptedAt := map[string]time.Time{}
	completed := false
	for range 400 {
		b.tick(100 * time.Millisecond)
		b.answerPolls(tanagerport.Report{})
		for _, o := range b.orders.Upkeeps {
			acceptedAt[o.Machine] = b.now
			b.cell.UpkeepAnswered(b.now, o, true)
		}
		down := 0
		for i := range machines {
			machines[i].State = tanagerport.MachineUp
			if at, ok := acceptedAt[machines[i].Name]; ok && b.now.Sub(at) < 2*time.Second {
				machines[i].State = tanagerport.MachineMaintenance
				down++
			}
		}
		b.c.Assert(down <= config.Cap, qt.IsTrue)
		b.cell.SetMachines(machines)
		for _, s := range b.orders.WaveStatus {
			completed = s.Completed
			b.c.Assert(!s.Completed || len(acceptedAt) == len(machines), qt.IsTrue)
		}
	}
	b.c.Assert(completed, qt.IsTrue)
}

// A long-running task is not stopped while as many other tasks of its step as the
// disruption budget allows are unavailable.
func TestMaintenanceKeepsDisruptionBudget(t *testing.T) {
	b := newHarness(t, 1)
	b.setWorkers(testWorker("a", 1))
	b.sync()
	s := testStep(2, 100)
	s.Lasting = true
	s.DisruptionBudget = 1
	starts := b.submit(testRecord("01", s))
	b.c.Assert(starts, qt.HasLen, 2)
	b.accept(starts[0])
	b.accept(starts[1])
	step := b.cell.jobs[starts[0].Start.Task.Job].steps[0]
	step.tasks[0].attempt.progressPercent = 100
	step.tasks[1].attempt.progressPercent = 100
	b.c.Assert(b.cell.withinDisruptionBudget(step.tasks[0].attempt), qt.IsTrue)
	step.tasks[1].attempt.progressPercent = 40
	b.c.Assert(b.cell.withinDisruptionBudget(step.tasks[0].attempt), qt.IsFalse)
}
