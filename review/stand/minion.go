package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	// heartbeat is the interval at which a minion writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is max_hold_ms of the sites, stopGrace is less than stop_grace_ms.
	maxHold   = 10 * time.Second
	stopGrace = 50 * time.Millisecond
	// maxListed is the largest number of ends in an answer.
	maxListed = 500
	// olderClock is the reading of the clock of a machine that has run for a while.
	olderClock = 10 * time.Minute
)

// taskSpec is what a client asks of a task, as far as the minions need it.
type taskSpec struct {
	duration time.Duration
	cpu      int64
}

// run is a task that a minion has begun on an order.
type run struct {
	task    string
	number  int64
	spec    taskSpec
	began   time.Time
	timer   *time.Timer
	minion  *minion
	life    int
	endedAt time.Time
	how     string
}

func (r *run) percent(now time.Time) int {
	return min(int(100*now.Sub(r.began)/r.spec.duration), 99)
}

// minion is one machine with the minion that lives on it.
type minion struct {
	world   *world
	machine string
	address string

	mu       sync.Mutex
	server   *http.Server
	life     int
	id       string
	bornAt   time.Time
	clockAt  time.Duration
	labels   []string
	cpu      int64
	state    string
	up       bool
	cut      chan struct{}
	seq      int64
	token    int64
	lease    time.Duration
	lastSeen int64
	lastEnd  int64
	// lookedAt is when the last hold came, answeredAt when one was last answered.
	lookedAt   time.Time
	answeredAt time.Time
	runs       map[string]*run
	highest    map[string]int64
	ends       [][]any
	changed    chan struct{}
}

func newMinion(w *world, number int, kind string, cpu int64) (*minion, error) {
	m := &minion{
		world:   w,
		machine: fmt.Sprintf("machine-%03d", number),
		labels:  []string{kind, fmt.Sprintf("rack-%d", number/4)},
		cpu:     cpu,
		state:   "up",
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = listener.Addr().String()
	m.begin(fmt.Sprintf("i-%03d", number), olderClock, listener)
	m.register()
	return m, nil
}

// begin starts a life of the minion that holds and knows nothing.
func (m *minion) begin(id string, clock time.Duration, listener net.Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.id = id
	m.bornAt = time.Now()
	m.clockAt = clock
	m.up = true
	m.seq, m.token, m.lease, m.lastSeen, m.lastEnd = 0, 0, 0, 0, 0
	m.runs = make(map[string]*run)
	m.highest = make(map[string]int64)
	m.ends = nil
	m.changed = make(chan struct{})
	m.server = &http.Server{Handler: m.handler(m.life)}
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	m.world.rec.note("minion %s on %s lives, kind %s, %d thousandths of a core", id, m.machine, m.labels[0], m.cpu)
}

// die ends the life: all runs are lost and the port refuses connections.
func (m *minion) die(why string) {
	m.mu.Lock()
	m.up = false
	for _, r := range m.runs {
		r.timer.Stop()
		m.world.ended(r, why)
	}
	clear(m.runs)
	server, id := m.server, m.id
	m.mu.Unlock()
	_ = server.Close()
	m.world.rec.note("minion %s on %s is gone: %s", id, m.machine, why)
}

// rise begins a new life at the same address.
func (m *minion) rise(id string) error {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			m.begin(id, 0, listener)
			time.AfterFunc(registerDelay, m.register)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// setCut cuts the minion off from all daemons, or heals the cut. It runs on.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cut {
		m.cut = make(chan struct{})
	} else {
		close(m.cut)
		m.cut = nil
	}
	m.world.rec.note("minion %s on %s cut off: %v", m.id, m.machine, cut)
}

func (m *minion) clock() time.Duration { return m.clockAt + time.Since(m.bornAt) }

func (m *minion) born() int64 { return m.bornAt.UnixMilli() }

// register writes the minion's entry into the store.
func (m *minion) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.seq++
	m.world.site.WriteKey("servers/"+m.id, tanagerwire.Encode(map[string]any{
		"service":  serviceName,
		"address":  m.address,
		"zone":     "a",
		"version":  "v1",
		"slots":    8,
		"state":    "ready",
		"seq":      m.seq,
		"born":     m.born(),
		"machine":  m.machine,
		"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 1 << 18, "gpus": 0},
		"labels":   m.labels,
	}))
}

type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// handler returns the handler of the calls of one life.
func (m *minion) handler(life int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		var o order
		if err == nil && len(content) > 0 {
			err = tanagerwire.Decode(content, &o)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		cut, id := m.cut, m.id
		m.mu.Unlock()
		if cut != nil {
			// The call is lost with the cut.
			<-r.Context().Done()
			return
		}
		if r.Header.Get("Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := 0, map[string]any(nil)
		switch {
		case strings.HasSuffix(r.URL.Path, "/run-start"):
			status, body = m.start(o)
		case strings.HasSuffix(r.URL.Path, "/run-stop"):
			status, body = m.stop(o)
		case strings.HasSuffix(r.URL.Path, "/pace"):
			status, body = http.StatusOK, map[string]any{}
		case strings.HasSuffix(r.URL.Path, "/hold"):
			status, body = m.hold(o, r)
		default:
			status = http.StatusNotFound
		}
		m.mu.Lock()
		cut, gone := m.cut, m.life != life || !m.up
		clock := m.clock().Milliseconds()
		m.mu.Unlock()
		if cut != nil {
			// The answer waits until the cut has healed.
			select {
			case <-cut:
			case <-r.Context().Done():
				return
			}
		}
		if gone || status == 0 {
			panic(http.ErrAbortHandler)
		}
		if body == nil {
			w.WriteHeader(status)
			return
		}
		body["clock_ms"] = clock
		writeBody(w, status, body)
	})
}

func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(tanagerwire.Encode(body))
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// raiseToken takes an order's token. It reports whether the order is fenced off. The
// caller holds the lock.
func (m *minion) raiseToken(token int64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// extend extends the lease of everything that runs. The caller holds the lock.
func (m *minion) extend(deadlineMS int64) {
	end := min(time.Duration(deadlineMS)*time.Millisecond, m.clock()+maxHold)
	m.lease = max(m.lease, end)
}

func (m *minion) start(o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return 0, nil
	}
	if m.raiseToken(o.FencingToken) {
		return refusal("fence")
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	m.extend(o.DeadlineMS)
	if o.Run <= m.highest[o.Task] || m.runs[o.Task] != nil {
		return refusal("old")
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= m.clock() {
		return refusal("late")
	}
	r := &run{
		task:   o.Task,
		number: o.Run,
		spec:   m.world.specOf(o.Task),
		began:  time.Now(),
		minion: m,
		life:   m.life,
	}
	m.runs[o.Task] = r
	r.timer = time.AfterFunc(r.spec.duration, func() { m.end(r, "done") })
	m.world.began(r, o, m.lease-m.clock())
	return http.StatusOK, map[string]any{}
}

func (m *minion) stop(o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return 0, nil
	}
	if m.raiseToken(o.FencingToken) {
		return refusal("fence")
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number <= o.Run {
		m.world.rec.note("minion %s told to stop %s run %d", m.id, o.Task, o.Run)
		time.AfterFunc(stopGrace, func() { m.end(r, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run and lists its end.
func (m *minion) end(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, []any{m.lastEnd, r.task, r.number, how, ""})
	m.world.ended(r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// expire kills everything if the lease has run out.
func (m *minion) expire() {
	m.mu.Lock()
	var lapsed []*run
	if m.up && m.clock() > m.lease {
		for _, r := range m.runs {
			lapsed = append(lapsed, r)
		}
	}
	m.mu.Unlock()
	for _, r := range lapsed {
		m.end(r, "lapsed")
	}
}

func (m *minion) hold(o order, r *http.Request) (int, map[string]any) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return 0, nil
	}
	if m.raiseToken(o.FencingToken) {
		m.mu.Unlock()
		return refusal("fence")
	}
	m.lookedAt = time.Now()
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	m.lastSeen = max(m.lastSeen, o.LastSeen)
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= m.lastSeen {
		m.world.noted(m.id, m.ends[0])
		m.ends = m.ends[1:]
	}
	waits, changed := len(m.ends) == 0 && o.WaitMS > 0, m.changed
	m.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return 0, nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.answeredAt = now
	running := make([][]any, 0, len(m.runs))
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), 0})
	}
	return http.StatusOK, map[string]any{
		"born":     m.born(),
		"running":  running,
		"finished": append([][]any{}, m.ends[:min(len(m.ends), maxListed)]...),
	}
}

// awaitAnswer waits until a hold has just been answered.
func (m *minion) awaitAnswer(timeout time.Duration) bool {
	before := time.Now()
	return awaitEvery(timeout, time.Millisecond, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.answeredAt.After(before)
	})
}

// awaitLook waits until the last hold came a given time ago.
func (m *minion) awaitLook(timeout, ago time.Duration) bool {
	return awaitEvery(timeout, time.Millisecond, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		since := time.Since(m.lookedAt)
		return since >= ago && since < ago+100*time.Millisecond
	})
}
