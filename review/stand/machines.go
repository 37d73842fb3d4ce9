package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

// maintenance is maintenance_s of the sites.
const maintenance = 2 * time.Second

// upkeepStart is the begin of a machine's upkeep.
type upkeepStart struct {
	machine, holder string
	token           uint64
	at, back        time.Time
}

// machineService is the platform's interface to the machines.
type machineService struct {
	world *world

	mu sync.Mutex
	// done holds the machines whose upkeep of the wave has begun.
	done   map[string]bool
	starts []upkeepStart
	// orders are the holders of all orders, in turn.
	orders []string
}

// ServeHTTP implements http.Handler.
func (s *machineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(platformLatency)
	switch r.URL.Path {
	case "/tanagersail/machines":
		s.list(w)
	case "/tanagersail/machine-upkeep":
		s.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *machineService) list(w http.ResponseWriter) {
	rows := make([]map[string]any, 0, len(s.world.minions))
	for _, m := range s.world.minions {
		m.mu.Lock()
		row := map[string]any{
			"machine":  m.machine,
			"pool":     serviceName,
			"state":    m.state,
			"zone":     "a",
			"labels":   m.labels,
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 1 << 18, "gpus": 0},
			"id":       m.id,
		}
		m.mu.Unlock()
		rows = append(rows, row)
	}
	writeBody(w, http.StatusOK, map[string]any{
		"machines":        rows,
		"next_page_token": "",
	})
}

func (s *machineService) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	content, err := io.ReadAll(r.Body)
	if err == nil {
		err = tanagerwire.Decode(content, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Duty-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	var m *minion
	for _, other := range s.world.minions {
		if other.machine == o.Machine {
			m = other
		}
	}
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, holder)
	m.mu.Lock()
	state := m.state
	m.mu.Unlock()
	s.world.rec.note("upkeep of %s ordered by %s, token %d, state %s, done %v", o.Machine, holder, token, state,
		s.done[o.Machine])
	switch {
	case s.done[o.Machine]:
		writeBody(w, http.StatusOK, map[string]any{})
	case state != "up":
		writeBody(w, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		s.done[o.Machine] = true
		s.begin(m, holder, token)
		writeBody(w, http.StatusOK, map[string]any{})
	}
}

// begin takes a machine down. All that runs there ends, and a new minion joins after
// the upkeep.
func (s *machineService) begin(m *minion, holder string, token uint64) {
	now := time.Now()
	s.starts = append(s.starts, upkeepStart{
		machine: m.machine,
		holder:  holder,
		token:   token,
		at:      now,
		back:    now.Add(maintenance),
	})
	m.mu.Lock()
	m.state = "upkeep"
	id := m.id
	m.mu.Unlock()
	m.die("upkeep")
	s.world.removeKey("servers/" + id)
	time.AfterFunc(maintenance, func() {
		m.mu.Lock()
		next := fmt.Sprintf("%s-%d", id, m.life+1)
		m.mu.Unlock()
		if err := m.rise(next); err != nil {
			s.world.rec.note("stand-in failed: %v", err)
			return
		}
		m.mu.Lock()
		m.state = "up"
		m.mu.Unlock()
		m.register()
	})
}

// wave asks for the upkeep of the machines of minions.
func (w *world) wave(number, limitDown int, minions []*minion) {
	names := make([]string, 0, len(minions))
	for _, m := range minions {
		names = append(names, m.machine)
	}
	w.rec.note("operator: wave %d of %d machines, cap %d", number, len(names), limitDown)
	w.site.WriteKey(fmt.Sprintf("op/wave/%d", number), tanagerwire.Encode(map[string]any{
		"wave":     number,
		"machines": names,
		"within_s": 60,
		"cap":      limitDown,
	}))
}

// upkeeps returns the number of upkeeps that have begun.
func (w *world) upkeeps() int {
	w.machines.mu.Lock()
	defer w.machines.mu.Unlock()
	return len(w.machines.starts)
}

// waveState returns the state of a wave that the system has written.
func (w *world) waveState(number int) string {
	value, found := w.site.Value(fmt.Sprintf("status/wave/%d", number))
	var status struct {
		State string `json:"state"`
	}
	if !found || tanagerwire.Decode(value, &status) != nil {
		return ""
	}
	return status.State
}
