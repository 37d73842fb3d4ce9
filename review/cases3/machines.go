package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	// maintenance is maintenance_s, notice is notice_ms.
	maintenance = 2 * time.Second
	notice      = 4500 * time.Millisecond
)

// machines is a stand-in for the platform's machine interface with one wave. It checks
// the cap of the wave, and that upkeeps and stops leave enough tasks that last at work.
type machines struct {
	cell    *cell
	address string
	server  *http.Server
	// budget is max_unavailable of the lasting step, 0 for none.
	budget int
	// onBegin is told of each upkeep that begins, with the caller's name.
	onBegin func(machine, holder string)
	// delay is how long each answer to an order takes after it was executed.
	delay time.Duration

	mu       sync.Mutex
	rows     []*machine
	wave     map[string]bool
	cap      int
	lives    int
	tasks    map[string]*taskState
	stopping bool
}

type machine struct {
	name   string
	labels []string
	// minion is nil while the machine is down for its upkeep.
	minion *minion
	done   bool
}

// taskState is what the checks know of a lasting task.
type taskState struct {
	atWork bool
	// since is when the task was last seen at work; ordered is set if a stop or an upkeep
	// has ended it since.
	since   time.Time
	ordered bool
}

func newMachines() (*machines, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &machines{
		address: l.Addr().String(),
		tasks:   make(map[string]*taskState),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tanagersail/machines", p.list)
	mux.HandleFunc("POST /tanagersail/machine-upkeep", p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// add adds machines, each with a minion.
func (p *machines) add(c *cell, count int, labels func(i int) []string) error {
	p.cell = c
	for i := range count {
		m := &machine{
			name:   fmt.Sprintf("m-%03d", i),
			labels: labels(i),
		}
		if err := p.join(m); err != nil {
			return err
		}
		p.rows = append(p.rows, m)
	}
	go p.watch()
	return nil
}

// join starts a minion on a machine.
func (p *machines) join(m *machine) error {
	id := "i-" + m.name[2:]
	if m.done {
		id += fmt.Sprintf("-%d", p.lives)
	}
	p.lives++
	var err error
	m.minion, err = newMinion(p.cell, id, m.name, m.labels...)
	return err
}

// request makes the operator write a wave.
func (p *machines) request(number, limit int, names ...string) {
	p.mu.Lock()
	p.cap = limit
	p.wave = make(map[string]bool)
	for _, n := range names {
		p.wave[n] = true
	}
	p.mu.Unlock()
	p.cell.site.WriteKey(fmt.Sprintf("op/wave/%d", number), tanagerwire.Encode(map[string]any{
		"wave": number, "machines": names, "within_s": 30, "cap": limit,
	}))
	p.cell.record.note("operator writes op/wave/%d: machines %v, cap %d", number, names, limit)
}

func (p *machines) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := make([]map[string]any, 0, len(p.rows))
	for _, m := range p.rows {
		row := map[string]any{
			"machine": m.name, "pool": service, "state": "up", "zone": "a", "labels": m.labels,
			"capacity": map[string]any{"cpu": 64000, "mem_mb": 262144, "gpus": 0}, "id": "",
		}
		if m.minion == nil {
			row["state"] = "upkeep"
		} else {
			row["id"] = m.minion.id
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (p *machines) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	content, err := io.ReadAll(r.Body)
	if err != nil || tanagerwire.Decode(content, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token")
	status, reason := p.begin(body.Machine, holder)
	p.cell.record.note("upkeep of %s ordered by %s, token %s -> %d %s", body.Machine, holder, token, status, reason)
	time.Sleep(p.delay)
	answer(w, status, map[string]any{"reason": reason})
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(tanagerwire.Encode(body))
}

// begin begins the upkeep of a machine.
func (p *machines) begin(name, holder string) (int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.rows {
		if m.name != name {
			continue
		}
		switch {
		case !p.wave[name]:
			return http.StatusConflict, "wave"
		case m.done:
			return http.StatusOK, ""
		case m.minion == nil:
			return http.StatusConflict, "busy"
		}
		p.checkCap(name)
		p.take(m)
		if p.onBegin != nil {
			go p.onBegin(name, holder)
		}
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// checkCap checks that fewer machines than the cap are down. The caller holds the lock.
func (p *machines) checkCap(name string) {
	var down []string
	for _, m := range p.rows {
		if p.wave[m.name] && m.minion == nil {
			down = append(down, m.name)
		}
	}
	if len(down) >= p.cap {
		p.cell.record.violation("LIMIT", "the upkeep of %s begins while %v of its wave are down for theirs, cap %d",
			name, down, p.cap)
	}
}

// take ends everything on a machine; a new minion joins later. The caller holds the
// lock.
func (p *machines) take(m *machine) {
	old := m.minion
	p.observe()
	for task := range old.atWork() {
		p.checkBudget(task, "an upkeep of "+m.name)
	}
	m.minion, m.done = nil, true
	p.cell.record.note("upkeep of %s begins", m.name)
	go func() {
		for _, r := range old.leave() {
			p.cell.record.note("minion %s: %s run %d is ended by the upkeep", old.id, r.task, r.number)
		}
	}()
	time.AfterFunc(maintenance, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.stopping {
			return
		}
		if err := p.join(m); err != nil {
			p.cell.record.note("machine %s does not return: %v", m.name, err)
			return
		}
		p.cell.record.note("upkeep of %s is over, minion %s joins", m.name, m.minion.id)
	})
}

// checkBudget checks that an order may end a task that is at work. The caller holds the
// lock.
func (p *machines) checkBudget(task, order string) {
	if p.budget == 0 {
		return
	}
	var away []string
	for other, s := range p.tasks {
		if other != task && stepOf(other) == stepOf(task) && !s.atWork && (s.ordered || time.Since(s.since) > notice) {
			away = append(away, other)
		}
	}
	if len(away) >= p.budget {
		p.cell.record.violation("AVAIL", "%s ends %s, which is at work, while %v of its step are away, max_unavailable %d",
			order, task, away, p.budget)
	}
	if s := p.tasks[task]; s != nil {
		s.atWork, s.ordered = false, true
	}
}

// stopped checks a stop of a lasting task.
func (p *machines) stopped(m *minion, r *run) {
	if !r.lasting || r.percent() < 100 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe()
	p.checkBudget(r.task, "a stop on "+m.id)
}

// watch observes the lasting tasks until the end.
func (p *machines) watch() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		if p.stopping {
			p.mu.Unlock()
			return
		}
		p.observe()
		p.mu.Unlock()
	}
}

// observe notes which lasting tasks are at work. The caller holds the lock.
func (p *machines) observe() {
	if p.budget == 0 {
		return
	}
	now := make(map[string]bool)
	for _, m := range p.rows {
		if m.minion != nil {
			for task := range m.minion.atWork() {
				now[task] = true
			}
		}
	}
	for task := range now {
		s := p.tasks[task]
		if s == nil {
			s = &taskState{}
			p.tasks[task] = s
		}
		s.since, s.ordered = time.Now(), false
		if !s.atWork {
			p.cell.record.note("%s is at work", task)
		}
		s.atWork = true
	}
	for task, s := range p.tasks {
		if s.atWork && !now[task] {
			s.atWork = false
			p.cell.record.note("%s is away", task)
		}
	}
}

func (p *machines) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	_ = p.server.Close()
	for _, m := range p.rows {
		if m.minion != nil {
			go m.minion.leave()
		}
	}
}

// allDone reports whether each machine of the wave has had its upkeep.
func (p *machines) allDone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.rows {
		if p.wave[m.name] && (!m.done || m.minion == nil) {
			return false
		}
	}
	return true
}
