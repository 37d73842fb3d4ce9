package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

const (
	// maintenance is how long a machine is down for its upkeep.
	maintenance = 2 * time.Second
	// listTime is the time that the list of machines takes.
	listTime = 30 * time.Millisecond
)

// machines is a stand-in for the interface to the machines. Each minion is one
// life of the machine of that name.
type machines struct {
	environment *environment

	mu     sync.Mutex
	order  []string
	worker map[string]*worker
	state  map[string]string
	// begun holds when a machine's upkeep began.
	begun map[string]time.Time
}

func (e *environment) newMachines() (*machines, error) {
	m := &machines{
		environment: e,
		worker:      make(map[string]*worker),
		state:       make(map[string]string),
		begun:       make(map[string]time.Time),
	}
	address, err := e.freePort()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tanagersail/machines", m.list)
	mux.HandleFunc("POST /tanagersail/machine-upkeep", m.upkeep)
	go func() { _ = http.Serve(listener, mux) }()
	e.machines = address.String()
	return m, nil
}

// add adds a machine with a running minion.
func (m *machines) add(w *worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order = append(m.order, w.machine)
	m.worker[w.machine] = w
	m.state[w.machine] = "up"
	m.environment.note("machine %s is up with %s", w.machine, w.id)
}

func (m *machines) list(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(listTime)
	m.mu.Lock()
	rows := make([]map[string]any, 0, len(m.order))
	for _, name := range m.order {
		w := m.worker[name]
		rows = append(rows, map[string]any{
			"machine":  name,
			"pool":     tanagersite.ServiceName,
			"state":    m.state[name],
			"zone":     "a",
			"labels":   []string{"a", "r1-1"},
			"capacity": map[string]any{"cpu": w.milliCPU, "mem_mb": 65536, "gpus": 0},
			"id":       w.id,
		})
	}
	m.environment.note("machines: %d listed", len(rows))
	m.mu.Unlock()
	writeResponse(rw, http.StatusOK, map[string]any{"machines": rows, "next_page_token": ""})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	content, err := io.ReadAll(r.Body)
	if err == nil {
		err = tanagerwire.Decode(content, &body)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.worker[body.Machine]
	m.environment.note("machines: upkeep of %s, wave %d, token %s", body.Machine, body.Wave, r.Header.Get("Fencing-Token"))
	switch {
	case err != nil || w == nil:
		rw.WriteHeader(http.StatusBadRequest)
	case !m.begun[body.Machine].IsZero():
		writeResponse(rw, http.StatusOK, map[string]any{})
	default:
		m.begun[body.Machine] = time.Now()
		m.state[body.Machine] = "upkeep"
		w.lose()
		time.AfterFunc(maintenance, func() { m.complete(body.Machine) })
		writeResponse(rw, http.StatusOK, map[string]any{})
	}
}

// complete ends an upkeep: a new minion joins the pool.
func (m *machines) complete(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.worker[name]
	w, err := m.environment.newWorker(old.id+"-next", old.milliCPU)
	if err == nil {
		w.duration, w.startup, w.labels = old.duration, old.startup, old.labels
	}
	if err != nil {
		m.environment.note("machines: %s does not return: %v", name, err)
		return
	}
	w.machine = name
	m.worker[name] = w
	m.state[name] = "up"
	w.register()
	m.environment.note("machines: %s is up with %s", name, w.id)
}

func (m *machines) hasBegun(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.begun[name].IsZero()
}

// writeWave has the operator ask for the upkeep of machines.
func (e *environment) writeWave(number int, limit time.Duration, most int, names ...string) {
	e.site.WriteKey(fmt.Sprintf("op/wave/%d", number), tanagerwire.Encode(map[string]any{
		"wave":     number,
		"machines": names,
		"within_s": limit.Seconds(),
		"cap":      most,
	}))
	e.note("operator: wave %d of %v, cap %d", number, names, most)
}

// waveState returns what the operator reads of a wave.
func (e *environment) waveState(number int) string {
	_, store := e.site.StoreEndpoint(0)
	response, err := http.Get(fmt.Sprintf("http://%s/tanagersail/kv-key?key=status/wave/%d", store, number))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	var item struct {
		Value string `json:"value"`
	}
	if err != nil || response.StatusCode != http.StatusOK || tanagerwire.Decode(content, &item) != nil {
		return ""
	}
	var status struct {
		State string `json:"state"`
	}
	value, err := base64.StdEncoding.DecodeString(item.Value)
	if err != nil || tanagerwire.Decode(value, &status) != nil {
		return ""
	}
	return status.State
}

// The case wave-completed: two waves of one machine each. Between them one machine
// of waveMachines leaves at short notice and another comes, as in scale_in with spot.
const (
	waveMachines = 16
	waveLimit    = 30 * time.Second
	waveCap      = 1
	spotNotice   = 2 * time.Second
	spotReturn   = 4 * time.Second
)

// playWaveCompleted has a wave done on one machine, and asks for one of the machine
// that has come since. Without the trouble no machine leaves or comes, and the second
// wave is of a machine that was there before.
func playWaveCompleted(e *environment, trouble bool) ([]string, error) {
	m, err := e.newMachines()
	if err != nil {
		return nil, err
	}
	e.writeConfiguration(10, route("pairings", 4, false))
	if err := e.startWorkers(waveMachines, 4000); err != nil {
		return nil, err
	}
	for _, w := range e.workers {
		m.add(w)
	}
	if err := e.startCell(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	first, second := e.workers[0].machine, e.workers[1].machine
	e.writeWave(1, waveLimit, waveCap, first)
	if !await(waveLimit, func() bool { return e.waveState(1) == "completed" }) || !m.hasBegun(first) {
		return nil, errWaveNotDone
	}
	e.note("operator: wave 1 is said to be completed")
	time.Sleep(2 * maintenance)
	if trouble {
		if second, err = m.replace(e.workers[waveMachines-1]); err != nil {
			return nil, err
		}
	}
	e.writeWave(2, waveLimit, waveCap, second)
	if !await(waveLimit, func() bool { return e.waveState(2) == "completed" }) {
		return nil, errWaveNotDone
	}
	begun := m.hasBegun(second)
	e.note("operator: wave 2 is said to be completed, upkeep of %s begun: %v", second, begun)
	if begun {
		return nil, nil
	}
	time.Sleep(waveLimit)
	e.note("%v later: upkeep of %s begun: %v", waveLimit, second, m.hasBegun(second))
	return []string{fmt.Sprintf("MIXED: wave 2 is said to be completed, and the upkeep of %s has not begun", second)}, nil
}

// replace has a machine leave and another one come. It returns the new one's name
// after it has been there for a while.
func (m *machines) replace(w *worker) (string, error) {
	if err := w.leave(spotNotice); err != nil {
		return "", err
	}
	m.mu.Lock()
	m.order = slices.DeleteFunc(m.order, func(name string) bool { return name == w.machine })
	m.environment.note("machine %s has left", w.machine)
	m.mu.Unlock()
	time.Sleep(spotReturn)
	next, err := m.environment.newWorker("minion-new", w.milliCPU)
	if err != nil {
		return "", err
	}
	next.register()
	m.add(next)
	time.Sleep(spotReturn)
	return next.machine, nil
}
