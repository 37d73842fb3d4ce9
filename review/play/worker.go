package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// worker is a stand-in for a minion. It follows the pages: fences, leases, run
// numbers and the list of ends.
type worker struct {
	environment *environment
	id          string
	address     netip.AddrPort
	milliCPU    int64
	machine     string
	labels      []string
	// leavesIn is how long a draining minion goes on, 0 if it does not drain.
	leavesIn time.Duration
	// A task is at work after startup, if that is set.
	startup time.Duration
	// duration returns how long a run works, how how it ends. needsTicket reports
	// whether a task belongs to a queue with advice.
	duration    func(task string) time.Duration
	how         func(task string, run int64) string
	needsTicket func(task string) bool
	// crashes reports whether a task crashes its minion at its end, which is then
	// away for downTime.
	crashes  func(task string) bool
	downTime time.Duration

	mu     sync.Mutex
	server *http.Server
	up     bool
	// born is the start of the present life, where its clock is 0.
	born     time.Time
	seq      int64
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	// lastEnded is the highest run of each task that was stopped or ended here.
	lastEnded map[string]int64
	ends      []end
	lastEnd   int64
	// started counts the runs that were started in all lives.
	started int
	changed chan struct{}
}

// taskRun is a run of a task on a minion.
type taskRun struct {
	task    string
	number  int64
	started time.Time
	timer   *time.Timer
}

// end is an entry of the list of ends.
type end struct {
	number int64
	run    *taskRun
	how    string
}

// order is the body of a call to a minion.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	Ticket       string `json:"ticket"`
}

func (e *environment) newWorker(id string, milliCPU int64) (*worker, error) {
	w := &worker{
		environment: e,
		id:          id,
		milliCPU:    milliCPU,
		machine:     "machine-" + id,
		labels:      []string{"a", "r1-1"},
		duration:    func(string) time.Duration { return 300 * time.Millisecond },
		how:         func(string, int64) string { return "done" },
		needsTicket: func(string) bool { return false },
		crashes:     func(string) bool { return false },
	}
	w.beginLife()
	if err := w.listenAnywhere(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	go w.watchLease()
	return w, nil
}

// beginLife forgets all that the minion knew.
func (w *worker) beginLife() {
	w.up = true
	w.born = time.Now()
	w.seq, w.fence, w.leaseEnd, w.lastEnd = 0, 0, 0, 0
	w.runs = make(map[string]*taskRun)
	w.lastEnded = make(map[string]int64)
	w.ends = nil
	w.changed = make(chan struct{})
}

// listenAnywhere listens on a free port. Another process may take a port that was
// just found to be free, so that a few are tried.
func (w *worker) listenAnywhere() error {
	for range 5 {
		address, err := w.environment.freePort()
		if err != nil {
			return err
		}
		w.address = address
		if w.listen() == nil {
			return nil
		}
	}
	return w.listen()
}

func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tanagersail/run-start", w.serve(w.start))
	mux.HandleFunc("POST /tanagersail/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /tanagersail/pace", w.serve(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /tanagersail/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	return nil
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	_ = w.server.Close()
}

// register writes the minion's entry into the store.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	entry := map[string]any{
		"service":      tanagersite.ServiceName,
		"address":      w.address.String(),
		"zone":         "a",
		"version":      "v1",
		"slots":        8,
		"state":        "ready",
		"cold_left_ms": 0,
		"seq":          w.seq,
		"born":         w.born.UnixMilli(),
		"machine":      w.machine,
		"capacity":     map[string]any{"cpu": w.milliCPU, "mem_mb": 65536, "gpus": 0},
		"labels":       w.labels,
	}
	if w.leavesIn > 0 {
		entry["state"] = "draining"
		entry["remaining_ms"] = w.leavesIn.Milliseconds()
	}
	w.environment.site.WriteKey("servers/"+w.id, tanagerwire.Encode(entry))
}

// leave drains the minion and takes it away, with its entry.
func (w *worker) leave(after time.Duration) error {
	w.environment.note("%s: drains, leaves in %v", w.id, after)
	w.mu.Lock()
	w.leavesIn = after
	w.mu.Unlock()
	w.register()
	time.Sleep(after)
	w.lose()
	_, store := w.environment.site.StoreEndpoint(0)
	response, err := http.Post("http://"+store.String()+"/tanagersail/kv-txn", "application/cbor",
		bytes.NewReader(tanagerwire.Encode(map[string]any{
			"expected_rev": []any{},
			"writes":       []any{},
			"remove":       []string{"servers/" + w.id},
		})))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// lose ends the present life for good: its runs are gone and its port refuses
// connections.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.environment.note("%s: ends with %d runs", w.id, len(w.runs))
	w.up = false
	for _, r := range w.runs {
		r.timer.Stop()
		w.environment.ledger.lost(w.id, r)
	}
	w.runs = make(map[string]*taskRun)
	_ = w.server.Close()
}

// crash ends the present life: its runs are gone and its port refuses
// connections. The minion starts again under its id and address after down, and
// writes its entry after a further delay.
func (w *worker) crash(down, entryDelay time.Duration) error {
	w.lose()
	time.Sleep(down)
	w.mu.Lock()
	w.beginLife()
	err := w.listen()
	w.environment.note("%s: starts again, born %d", w.id, w.born.UnixMilli())
	w.mu.Unlock()
	time.Sleep(entryDelay)
	w.register()
	w.environment.note("%s: entry written", w.id)
	return err
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// watchLease kills everything when the lease expires.
func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.environment.mu.Lock()
		closed := w.environment.closed
		w.environment.mu.Unlock()
		if closed {
			return
		}
		w.mu.Lock()
		if w.up && w.clock() > w.leaseEnd {
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// read decodes an order. It reports whether the call is for this minion.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	content, err := io.ReadAll(r.Body)
	if err == nil {
		err = tanagerwire.Decode(content, &o)
	}
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	case r.Header.Get("Target-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

func (w *worker) serve(execute func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.read(rw, r)
		if !ok {
			return
		}
		w.mu.Lock()
		status, reason := execute(o)
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		body := map[string]any{"clock_ms": clock}
		if reason != "" {
			body["reason"] = reason
		}
		writeResponse(rw, status, body)
	}
}

func (w *worker) extendLease(deadlineMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxHold))
}

// start carries out run-start. The caller holds the lock, as for stop and finish.
func (w *worker) start(o order) (int, string) {
	if o.FencingToken < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.FencingToken
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	w.extendLease(o.DeadlineMS)
	if o.Run <= w.lastEnded[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	if w.needsTicket(o.Task) && o.Ticket != "ticket-"+w.id {
		w.environment.note("%s: start of %s run %d rejected, ticket %q", w.id, o.Task, o.Run, o.Ticket)
		w.environment.ledger.rejected(o.Task)
		return http.StatusConflict, "ticket"
	}
	r := &taskRun{
		task:    o.Task,
		number:  o.Run,
		started: time.Now(),
	}
	w.runs[o.Task] = r
	w.started++
	w.environment.ledger.begun(w.id, r)
	w.environment.note("%s: start of %s run %d, token %d", w.id, o.Task, o.Run, o.FencingToken)
	r.timer = time.AfterFunc(w.duration(o.Task), func() {
		if w.crashes(r.task) && w.isRunning(r) {
			if err := w.crash(w.downTime, 0); err != nil {
				w.environment.note("%s does not return: %v", w.id, err)
			}
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(r, w.how(r.task, r.number))
	})
	return http.StatusOK, ""
}

func (w *worker) stop(o order) (int, string) {
	if o.FencingToken < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.FencingToken
	w.lastEnded[o.Task] = max(w.lastEnded[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.finish(r, "stopped")
	}
	return http.StatusOK, ""
}

func (w *worker) isRunning(r *taskRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[r.task] == r
}

func (w *worker) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// atWork returns the number of runs at work.
func (w *worker) atWork() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runs {
		if time.Since(r.started) >= w.startup {
			n++
		}
	}
	return n
}

// finish ends a run and lists its end, unless it has ended before.
func (w *worker) finish(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastEnded[r.task] = max(w.lastEnded[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{
		number: w.lastEnd,
		run:    r,
		how:    how,
	})
	w.environment.ledger.ended(w.id, r, how)
	w.environment.note("%s: %s run %d ended %s, end %d", w.id, r.task, r.number, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold answers a look at the minion. It waits for an end if asked to.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.fence {
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		writeResponse(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	w.fence = o.FencingToken
	if o.DeadlineMS > 0 {
		w.extendLease(o.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		e := w.ends[0]
		w.environment.ledger.takenNoteOf(w.id, e.run, e.how)
		w.environment.note("%s: last_seen %d forgets end %d, %s run %d %s", w.id, o.LastSeen, e.number, e.run.task, e.run.number, e.how)
		w.ends = w.ends[1:]
	}
	life, changed, waits := w.born, w.changed, len(w.ends) == 0 && o.WaitMS > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if !w.up || w.born != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := w.report()
	w.mu.Unlock()
	writeResponse(rw, http.StatusOK, body)
}

// report returns both lists.
func (w *worker) report() map[string]any {
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		percent := min(99, int(100*time.Since(r.started)/w.duration(r.task)))
		if w.startup > 0 {
			percent = min(100, int(100*time.Since(r.started)/w.startup))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	finished := make([][]any, 0, len(w.ends))
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	return map[string]any{
		"clock_ms": w.clock().Milliseconds(),
		"born":     w.born.UnixMilli(),
		"running":  running,
		"finished": finished[:min(len(finished), 500)],
	}
}

// String returns the minion's id.
func (w *worker) String() string { return fmt.Sprintf("minion %s", w.id) }
