package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// wave is a row of the table of upkeep waves. Which machines are done is not
// stored: an order for one that is done has no effect and is accepted again.
type wave struct {
	config  tanagerport.Wave
	addedAt time.Time
	// acceptedAt are the machines whose upkeep was accepted, with the time of it;
	// asked those with an order on its way.
	acceptedAt    map[string]time.Time
	orderInFlight map[string]bool
	reported      waveReport
}

// waveReport is what the operator was told last.
type waveReport uint8

const (
	waveUnreported waveReport = iota
	waveRunning
	waveCompleted
)

// drainGrace is how long work may run on a machine that waits for its upkeep:
// what ends by itself in this time is not thrown away.
const drainGrace = 3 * time.Second

// UpkeepOrder is to be answered by UpkeepAnswered.
type UpkeepOrder struct {
	Machine string
	Wave    int
	Epoch   uint64
}

// WaveStatus is what the operator is to be told of a wave.
type WaveStatus struct {
	Number    int
	Completed bool
}

// AddWave adds a wave that the operator asks for. One that is known stays.
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

// SetMachines replaces what is known of the machines.
func (c *Cell) SetMachines(machines []tanagerport.Machine) {
	c.machines = make(map[string]tanagerport.Machine, len(machines))
	for _, m := range machines {
		c.machines[m.Name] = m
	}
}

// WavesRunning reports whether the list of machines is needed.
func (c *Cell) WavesRunning() bool {
	for _, w := range c.waves {
		if w.reported != waveCompleted {
			return true
		}
	}
	return false
}

// advanceWaves answers waves: at most a wave's cap of its machines is emptied or down
// at once, and a machine is taken down when it runs nothing, or nothing that has
// a claim to stay. Empty machines come first.
func (c *Cell) advanceWaves() {
	for _, w := range c.waves {
		if w.reported != waveCompleted && c.machines != nil {
			c.advanceWave(w)
		}
	}
}

func (c *Cell) advanceWave(w *wave) {
	room := w.config.Cap
	open := 0
	for _, name := range w.config.Machines {
		m, there := c.machines[name]
		if !there {
			continue
		}
		if at, begun := w.acceptedAt[name]; begun {
			// The list lags: a machine counts as down until it is up again.
			if m.State != tanagerport.MachineUp || c.now.Sub(at) < machineListLag {
				room--
			}
			continue
		}
		open++
		if w.orderInFlight[name] || c.cordoned(m) {
			room--
		}
	}
	c.reportWave(w, open == 0)
	for _, name := range w.config.Machines {
		m, there := c.machines[name]
		_, begun := w.acceptedAt[name]
		if !there || begun || w.orderInFlight[name] || m.State != tanagerport.MachineUp {
			continue
		}
		if !c.cordoned(m) {
			if room <= 0 {
				continue
			}
			room--
		}
		c.drainForMaintenance(w, m)
	}
}

// machineListLag is the time within which the list shows that a machine has gone down.
const machineListLag = 3 * time.Second

func (c *Cell) cordoned(m tanagerport.Machine) bool {
	w := c.workers[m.WorkerID]
	return w != nil && !w.cordonedAt.IsZero()
}

// drainForMaintenance keeps new work off a machine and orders its upkeep once it is empty.
func (c *Cell) drainForMaintenance(wv *wave, m tanagerport.Machine) {
	w := c.workers[m.WorkerID]
	if w == nil || len(w.attempts) == 0 {
		wv.orderInFlight[m.Name] = true
		c.orders.Upkeeps = append(c.orders.Upkeeps, UpkeepOrder{
			Machine: m.Name,
			Wave:    wv.config.Number,
			Epoch:   c.epoch,
		})
		c.logEvent(Note{
			Event:  "upkeep_order",
			Worker: m.WorkerID,
			Reason: m.Name,
			Age:    c.now.Sub(wv.addedAt),
		})
		return
	}
	if w.cordonedAt.IsZero() {
		w.cordonedAt = c.now
	}
	if c.now.Sub(w.cordonedAt) < drainGrace {
		return
	}
	for a := range w.attempts {
		if c.withinDisruptionBudget(a) {
			c.stopAttempt(a, "upkeep of its machine")
		}
	}
}

// withinDisruptionBudget reports whether the disruption budget of a lasting step allows that
// one more of its tasks goes away.
func (c *Cell) withinDisruptionBudget(a *attempt) bool {
	s := a.step
	if !s.spec.Lasting || s.spec.DisruptionBudget == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		t := s.tasks[i].attempt
		if t != a && (t == nil || t.phase != running || t.progressPercent < fullPercent) {
			away++
		}
	}
	return away < s.spec.DisruptionBudget
}

func (c *Cell) reportWave(w *wave, completed bool) {
	told := waveRunning
	if completed {
		told = waveCompleted
	}
	if told == w.reported {
		return
	}
	w.reported = told
	c.orders.WaveStatus = append(c.orders.WaveStatus, WaveStatus{
		Number:    w.config.Number,
		Completed: completed,
	})
}

// UpkeepAnswered applies the answer to an order. One that was refused or not
// answered is given again: it has no effect twice.
func (c *Cell) UpkeepAnswered(now time.Time, o UpkeepOrder, accepted bool) {
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

// WaveNotTold makes the operator be told again.
func (c *Cell) WaveNotTold(number int) {
	if w := c.waves[number]; w != nil {
		w.reported = waveUnreported
	}
}
