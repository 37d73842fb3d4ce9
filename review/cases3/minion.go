package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

const (
	// maxHold is max_hold_ms, startup the time until a task that lasts is at work.
	maxHold = 10 * time.Second
	startup = 300 * time.Millisecond
	// heartbeat is heartbeat_ms.
	heartbeat = 1500 * time.Millisecond
	// maxEnds is the number of ends in one answer.
	maxEnds = 500
)

// minion is a stand-in for a worker: one life of a machine. Tasks whose spec is
// "lasting" run until they are stopped, those whose spec is a number end after so many
// milliseconds, as done or as the word behind the number says.
type minion struct {
	cell    *cell
	id      string
	machine string
	labels  []string
	address string
	server  *http.Server
	born    time.Time

	mu       sync.Mutex
	token    int64
	lease    time.Duration
	runs     map[string]*run
	ended    map[string]int64
	finished [][]any
	lastEnd  int64
	lastSeen int64
	nextBeat time.Time
	changed  chan struct{}
	seq      int64
	gone     bool
	// watcher, if set, is told of what runs.
	watcher watcher
	// down is set while the minion has crashed, storeDown while the store takes no writes.
	down, storeDown bool
	// cuts counts the cuts between the minion and the daemons. While there is one, calls
	// don't reach the minion and answers don't leave it.
	cuts int
	// leaseOver is set while the lease has expired.
	leaseOver atomic.Bool
}

// watcher is told of what runs on the minions. Its methods are called with the lock of
// the minion held.
type watcher interface {
	started(m *minion, o order)
	ended(m *minion, r *run, how string)
	noted(m *minion, task string, number int64, how string)
	lost(m *minion, r *run)
}

type run struct {
	task    string
	number  int64
	lasting bool
	since   time.Time
	timer   *time.Timer
	// gang is nil unless the task is a member of a gang.
	gang *gangRun
}

func (r *run) percent() int {
	if r.gang != nil {
		return r.gang.percent()
	}
	if !r.lasting {
		return 50
	}
	return min(int(100*time.Since(r.since)/startup), 100)
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

// newMinion starts a minion and registers it.
func newMinion(c *cell, id, machine string, labels ...string) (*minion, error) {
	address, err := freeAddress(c.taken)
	if err != nil {
		return nil, err
	}
	m := &minion{
		cell:    c,
		id:      id,
		machine: machine,
		labels:  labels,
		address: address,
		watcher: c.watcher,
		changed: make(chan struct{}),
	}
	m.reset()
	if err := m.listen(); err != nil {
		return nil, err
	}
	go m.beat()
	return m, nil
}

// reset begins a new life, which knows nothing of before.
func (m *minion) reset() {
	m.born = time.Now()
	m.token, m.lease, m.lastEnd, m.lastSeen, m.seq = 0, 0, 0, 0, 0
	m.runs = make(map[string]*run)
	m.ended = make(map[string]int64)
	m.finished = nil
	m.nextBeat = m.born
}

// listen serves at the minion's address.
func (m *minion) listen() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tanagersail/run-start", m.handle(m.start))
	mux.HandleFunc("POST /tanagersail/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /tanagersail/pace", m.handle(m.pace))
	mux.HandleFunc("POST /tanagersail/hold", m.hold)
	m.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	return nil
}

// crash ends the minion's process and what runs on it. It is back under its id and at
// its address after a time, with other labels if there are any.
func (m *minion) crash(away time.Duration, labels ...string) { m.fall(true, away, labels...) }

// crashSilently is crash, but connections stay open and silent while the minion is away.
func (m *minion) crashSilently(away time.Duration) { m.fall(false, away) }

func (m *minion) fall(closes bool, away time.Duration, labels ...string) {
	m.mu.Lock()
	if m.down || m.gone {
		m.mu.Unlock()
		return
	}
	m.down = true
	m.cell.record.note("minion %s crashes, away %v", m.id, away)
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		if m.watcher != nil {
			m.watcher.lost(m, r)
		}
	}
	clear(m.runs)
	server := m.server
	m.mu.Unlock()
	if closes {
		_ = server.Close()
	}
	time.AfterFunc(away, func() {
		_ = server.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.gone {
			return
		}
		m.reset()
		if len(labels) > 0 {
			m.labels = labels
		}
		if err := m.listen(); err != nil {
			m.cell.record.note("minion %s does not return: %v", m.id, err)
			return
		}
		m.down = false
		m.cell.record.note("minion %s is back, born %d, labels %v", m.id, m.born.UnixMilli(), m.labels)
	})
}

// beat writes the entry about every heartbeat and ends runs whose lease has expired.
func (m *minion) beat() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		if !time.Now().Before(m.nextBeat) && !m.down && !m.storeDown {
			m.nextBeat = time.Now().Add(heartbeat)
			m.register()
		}
		var lapsed []*run
		m.leaseOver.Store(m.clock() > m.lease)
		if m.clock() > m.lease {
			for _, r := range m.runs {
				lapsed = append(lapsed, r)
			}
		}
		m.mu.Unlock()
		for _, r := range lapsed {
			m.end(r, "lapsed")
		}
	}
}

// register writes the entry. The caller holds the lock.
func (m *minion) register() {
	m.seq++
	m.cell.site.WriteKey("servers/"+m.id, tanagerwire.Encode(map[string]any{
		"service": service, "address": m.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]any{"cpu": 64000, "mem_mb": 262144, "gpus": 0},
		"labels": m.labels, "machine": m.machine, "clock_ms": m.clock().Milliseconds(), "seq": m.seq,
		"born": m.born.UnixMilli(),
	}))
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

// leave ends the minion and everything that runs on it, at once.
func (m *minion) leave() []*run {
	m.mu.Lock()
	m.gone = true
	var killed []*run
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		killed = append(killed, r)
	}
	clear(m.runs)
	m.mu.Unlock()
	_ = m.server.Close()
	m.cell.removeKey("servers/" + m.id)
	return killed
}

func (m *minion) handle(f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if !m.read(w, r, &o) {
			return
		}
		status, reason := f(o)
		m.cell.noteOrder("minion %s: %s %s run %d token %d -> %d %s", m.id, r.URL.Path, o.Task, o.Run,
			o.FencingToken, status, reason)
		body := map[string]any{"clock_ms": m.clock().Milliseconds()}
		if reason != "" {
			body["reason"] = reason
		}
		m.write(w, r, status, body)
	}
}

// read decodes an order for this minion.
func (m *minion) read(w http.ResponseWriter, r *http.Request, o *order) bool {
	content, err := io.ReadAll(r.Body)
	if err != nil || tanagerwire.Decode(content, o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if m.isCut() {
		<-r.Context().Done()
		return false
	}
	if id := r.Header.Get("Target-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// isCut reports whether the minion is cut off from the daemons.
func (m *minion) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cuts > 0
}

// write writes an answer. What a cut holds up is lost, as the caller gives up.
func (m *minion) write(w http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	if m.isCut() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(tanagerwire.Encode(body))
}

// fenced checks the token. The caller holds the lock.
func (m *minion) fenced(o order) bool {
	if o.FencingToken < m.token {
		return true
	}
	m.token = o.FencingToken
	return false
}

func (m *minion) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, m.clock()+maxHold)
	m.lease = max(m.lease, deadline)
	m.leaseOver.Store(m.clock() > m.lease)
}

func (m *minion) start(o order) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o) {
		return http.StatusConflict, "fence"
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.DeadlineMS)
	if o.Run <= m.ended[o.Task] || m.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	r := &run{
		task:    o.Task,
		number:  o.Run,
		lasting: strings.HasPrefix(o.Spec, "lasting"),
		since:   time.Now(),
	}
	m.runs[o.Task] = r
	if m.watcher != nil {
		m.watcher.started(m, o)
	}
	if strings.HasPrefix(o.Spec, "gang") {
		m.cell.joinGang(m, r)
		return http.StatusOK, ""
	}
	var ms int
	how := "done"
	if n, _ := fmt.Sscanf(o.Spec, "%d %s", &ms, &how); n > 0 {
		r.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { m.end(r, how) })
	}
	return http.StatusOK, ""
}

func (m *minion) stop(o order) (int, string) {
	m.mu.Lock()
	if m.fenced(o) {
		m.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	m.ended[o.Task] = max(m.ended[o.Task], o.Run)
	r := m.runs[o.Task]
	m.mu.Unlock()
	if r != nil && r.number <= o.Run {
		m.end(r, "stopped")
	}
	return http.StatusOK, ""
}

func (m *minion) pace(order) (int, string) { return http.StatusOK, "" }

// end ends a run and lists its end.
func (m *minion) end(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	if r.gang != nil {
		go r.gang.left(r, how)
	}
	m.ended[r.task] = max(m.ended[r.task], r.number)
	m.lastEnd++
	m.finished = append(m.finished, []any{m.lastEnd, r.task, r.number, how, ""})
	if m.watcher != nil {
		m.watcher.ended(m, r, how)
	}
	m.cell.noteOrder("minion %s: end %d of %s run %d: %s", m.id, m.lastEnd, r.task, r.number, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !m.read(w, r, &o) {
		return
	}
	m.mu.Lock()
	if m.fenced(o) {
		m.mu.Unlock()
		m.write(w, r, http.StatusConflict, map[string]any{"clock_ms": m.clock().Milliseconds(), "reason": "fence"})
		return
	}
	m.lastSeen = max(m.lastSeen, o.LastSeen)
	for len(m.finished) > 0 && m.finished[0][0].(int64) <= m.lastSeen {
		end := m.finished[0]
		if m.watcher != nil {
			m.watcher.noted(m, end[1].(string), end[2].(int64), end[3].(string))
		}
		m.finished = m.finished[1:]
	}
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	nothing, changed := len(m.finished) == 0, m.changed
	m.mu.Unlock()
	if nothing && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	running := make([][]any, 0, len(m.runs))
	for _, a := range m.runs {
		running = append(running, []any{a.task, a.number, "", a.percent(), 0})
	}
	body := map[string]any{
		"clock_ms": m.clock().Milliseconds(),
		"born":     m.born.UnixMilli(),
		"running":  running,
		"finished": append([][]any{}, m.finished[:min(len(m.finished), maxEnds)]...),
	}
	m.mu.Unlock()
	m.write(w, r, http.StatusOK, body)
}

// atWork returns the lasting tasks that are at work on the minion.
func (m *minion) atWork() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	tasks := make(map[string]bool)
	for task, r := range m.runs {
		if r.lasting && r.percent() == 100 {
			tasks[task] = true
		}
	}
	return tasks
}

// stepOf returns the name of a task's step.
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	return strings.Join(parts[:min(3, len(parts))], ".")
}

// removeKey removes a key of the store, as the platform does with an entry.
func (c *cell) removeKey(key string) {
	client := newClient(1)
	body := tanagerwire.Encode(map[string]any{"remove": []string{key}})
	if status, _, err := call(client, http.MethodPost, c.store, "/tanagersail/kv-txn", body, callTimeout); status != http.StatusOK {
		c.record.note("key %s not removed: status %d, %v", key, status, fmt.Sprint(err))
	}
	client.CloseIdleConnections()
}

// noteOrder records an order or an end, unless there are too many.
func (c *cell) noteOrder(format string, args ...any) {
	if !c.quiet {
		c.record.note(format, args...)
	}
}
