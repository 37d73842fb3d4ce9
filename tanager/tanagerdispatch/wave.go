package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// wave is the state of a maintenance wave. Which machines are done is not stored:
// an order for such a machine has no effect and is accepted again.
type wave struct {
	config  tanagerport.Wave
	addedAt time.Time
	// acceptedAt holds, by machine, when its maintenance order was accepted;
	// orderInFlight the machines with an order that has no result yet.
	acceptedAt    map[string]time.Time
	orderInFlight map[string]bool
	reported      waveReport
}

// waveReport is the status of a wave that the operator was last sent.
type waveReport uint8

const (
	waveUnreported waveReport = iota
	waveRunning
	waveCompleted
)

// drainGrace is how long runs may continue on a machine that waits for its
// maintenance, so that short ones can end by themselves.
const drainGrace = 3 * time.Second

// MaintenanceOrder asks for the maintenance of a machine. The caller reports its
// result to the cell.
type MaintenanceOrder struct {
	Machine string
	Wave    int
	Epoch   uint64
}

// WaveStatus is a status of a wave that is to be sent to the operator.
type WaveStatus struct {
	Number    int
	Completed bool
}

// AddWave adds a wave that the operator has requested. A wave with a known number
// is ignored.
func (c *Cell) AddWave(now time.Time, w tanagerport.Wave) {
	if _, known := c.waves[w.Number]; known {
		return
	}
	c.waves[w.Number] = &wave{
		config:        w,
		addedAt:       now,
		acceptedAt:    make(map[string]time.Time),
		orderInFlight: make(map[string]bool),
	}
}

// SetMachines replaces the list of machines. It shows them as of requestedAt, when it
// was requested, or later.
func (c *Cell) SetMachines(requestedAt time.Time, machines []tanagerport.Machine) {
	c.machinesAsOf = requestedAt
	c.machines = make(map[string]tanagerport.Machine, len(machines))
	for _, m := range machines {
		c.machines[m.Name] = m
	}
}

// WavesRunning reports whether a wave has not completed, so that SetMachines must
// be called regularly.
func (c *Cell) WavesRunning() bool {
	for _, w := range c.waves {
		if w.reported != waveCompleted {
			return true
		}
	}
	return false
}

// advanceWaves orders the maintenance of further machines. A wave limits how many
// of its machines are drained or down at a time. The order for an idle machine is
// issued at once. On other machines, runs that have not ended after drainGrace
// are stopped first, as far as disruption budgets allow.
func (c *Cell) advanceWaves() {
	for _, w := range c.waves {
		if w.reported != waveCompleted && c.machines != nil {
			c.advanceWave(w)
		}
	}
}

func (c *Cell) advanceWave(w *wave) {
	if c.machinesAsOf.Before(w.addedAt) {
		// The list may lack machines of the wave that have joined since.
		c.reportWave(w, false)
		return
	}
	remaining, available := c.countMachines(w)
	c.reportWave(w, remaining == 0)
	for _, name := range w.config.Machines {
		m, listed := c.machines[name]
		_, accepted := w.acceptedAt[name]
		if !listed || accepted || w.orderInFlight[name] || m.State != tanagerport.MachineUp {
			continue
		}
		if !c.cordoned(m) {
			if available <= 0 {
				continue
			}
			available--
		}
		c.drainForMaintenance(w, m)
	}
}

// countMachines returns the number of a wave's machines whose maintenance has not
// begun, and how many more of its machines may be made unavailable.
func (c *Cell) countMachines(w *wave) (remaining, available int) {
	unlistedAreGone := c.machinesAsOf.Sub(w.addedAt) >= machineListLag
	available = w.config.MaxUnavailable
	for _, name := range w.config.Machines {
		m, listed := c.machines[name]
		if !listed {
			if !unlistedAreGone {
				remaining++
			}
			continue
		}
		if at, accepted := w.acceptedAt[name]; accepted {
			// The list lags behind, so the machine counts as down for at least
			// machineListLag.
			if m.State != tanagerport.MachineUp || c.now.Sub(at) < machineListLag {
				available--
			}
			continue
		}
		remaining++
		if w.orderInFlight[name] || c.cordoned(m) {
			available--
		}
	}
	return remaining, available
}

// machineListLag is the longest time until the list shows that a machine has joined
// or gone down.
const machineListLag = 3 * time.Second

func (c *Cell) cordoned(m tanagerport.Machine) bool {
	w := c.workers[m.WorkerID]
	return w != nil && !w.cordonedAt.IsZero()
}

// drainForMaintenance cordons a machine, and orders its maintenance once it runs
// nothing.
func (c *Cell) drainForMaintenance(wave *wave, m tanagerport.Machine) {
	w := c.workers[m.WorkerID]
	if w == nil || len(w.attempts) == 0 {
		wave.orderInFlight[m.Name] = true
		c.orders.Maintenance = append(c.orders.Maintenance, MaintenanceOrder{
			Machine: m.Name,
			Wave:    wave.config.Number,
			Epoch:   c.epoch,
		})
		c.logEvent(LogEvent{
			Name:   "maintenance_order",
			Worker: m.WorkerID,
			Reason: m.Name,
			Age:    c.now.Sub(wave.addedAt),
		})
		return
	}
	if w.cordonedAt.IsZero() {
		w.cordonedAt = c.now
	}
	if c.now.Sub(w.cordonedAt) < drainGrace {
		return
	}
	for _, a := range w.attempts {
		if c.withinDisruptionBudget(a) {
			c.stopAttempt(a, "machine maintenance")
		}
	}
}

// withinDisruptionBudget reports whether the disruption budget of the step allows
// stopping one more of its tasks.
func (c *Cell) withinDisruptionBudget(a *attempt) bool {
	s := a.step
	if !s.spec.LongRunning || s.spec.DisruptionBudget == 0 {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		t := s.tasks[i].attempt
		if t != a && (t == nil || t.phase != running || t.progressPercent < fullPercent) {
			unavailable++
		}
	}
	return unavailable < s.spec.DisruptionBudget
}

// reportWave sends the operator the status of a wave if it has changed.
func (c *Cell) reportWave(w *wave, completed bool) {
	report := waveRunning
	if completed {
		report = waveCompleted
	}
	if report == w.reported {
		return
	}
	w.reported = report
	c.orders.WaveStatus = append(c.orders.WaveStatus, WaveStatus{
		Number:    w.config.Number,
		Completed: completed,
	})
}

// HandleMaintenanceResponse applies the result of a maintenance order. An order
// that was refused or had no response is issued again, as it is idempotent.
func (c *Cell) HandleMaintenanceResponse(now time.Time, o MaintenanceOrder, accepted bool) {
	c.now = now
	w := c.waves[o.Wave]
	if w == nil {
		return
	}
	delete(w.orderInFlight, o.Machine)
	if accepted {
		w.acceptedAt[o.Machine] = now
	}
}

// RetryWaveStatus reports that a wave's status could not be sent, so that it is
// issued again.
func (c *Cell) RetryWaveStatus(number int) {
	if w := c.waves[number]; w != nil {
		w.reported = waveUnreported
	}
}
