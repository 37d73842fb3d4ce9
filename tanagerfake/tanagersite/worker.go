package tanagersite

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagersail.example/tanager/tanagerwire"
)

// WorkerFault is a fault of a worker. The zero value is no fault.
type WorkerFault struct {
	// DelayProbability is the probability, 0 to 1, that a start or stop command gets
	// no response and is executed CommandDelay later.
	DelayProbability float64
	CommandDelay     time.Duration
	// Unresponsive workers send no responses, but their runs continue.
	Unresponsive bool
	// FailureProbability is the probability, 0 to 1, that a run fails.
	FailureProbability float64
}

// maxLease is the longest time by which a call extends the lease.
const maxLease = 6 * time.Second

// Worker is a fake of one worker. It is safe for concurrent use.
type Worker struct {
	site *Site
	id   string

	mu sync.Mutex
	// server is replaced when the worker returns from a crash in which it refused
	// connections.
	server  *http.Server
	address string
	// crashed workers send no responses. closed ones do not return.
	crashed, closed bool
	// startTime is the start of the worker's incarnation, where its clock is 0.
	startTime time.Time
	fault     WorkerFault
	random    *rand.Rand
	// milliCPU is the capacity in thousandths of a core.
	milliCPU int64
	// seq numbers the writes of the entry in the store.
	seq int64
	// fencingToken is the highest token received.
	fencingToken int64
	// leaseExpiry is a reading of the worker's clock.
	leaseExpiry time.Duration
	runs        map[string]*run
	// lastEndedRun is the highest run number of each task that ended or was
	// stopped. Starts with that number or a lower one are rejected.
	lastEndedRun map[string]int64
	// ended holds a report row for each ended run that is not yet acknowledged.
	ended         [][]any
	lastEndNumber int64
	// changed is closed when the next run ends.
	changed chan struct{}
}

type run struct {
	task   string
	number int64
	timer  *time.Timer
}

type wireCommand struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

func newWorker(s *Site, id string, seed uint64) (*Worker, error) {
	w := &Worker{
		site:   s,
		id:     id,
		random: rand.New(rand.NewPCG(seed, 11)),
	}
	w.reset()
	return w, w.listen()
}

// listen starts a server at a new address. The caller holds the lock or is the only
// user.
func (w *Worker) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	router := chi.NewRouter()
	router.Post("/tanagersail/run-start", w.commandHandler(w.start))
	router.Post("/tanagersail/run-stop", w.commandHandler(w.stop))
	router.Post("/tanagersail/hold", w.poll)
	server := &http.Server{Handler: router}
	w.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// close stops the worker for good.
func (w *Worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.server.Close()
}

// reset starts a new incarnation without any state.
func (w *Worker) reset() {
	w.startTime = time.Now()
	w.seq, w.fencingToken, w.lastEndNumber, w.leaseExpiry = 0, 0, 0, 0
	w.runs = make(map[string]*run)
	w.lastEndedRun = make(map[string]int64)
	w.ended = nil
	w.changed = make(chan struct{})
}

// SetFault replaces the fault in force.
func (w *Worker) SetFault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Restart starts a new incarnation with the same id. Its runs are lost, without
// being reported as ended.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	w.loseRuns()
	w.reset()
	w.register()
}

// loseRuns ends all runs without reporting their ends. The caller holds the lock.
func (w *Worker) loseRuns() {
	for task, r := range w.runs {
		r.timer.Stop()
		w.site.observer.runLost(task, w.id)
	}
	clear(w.runs)
}

const (
	// crashDelay is the time from the start of a crashing task to the crash.
	crashDelay = 50 * time.Millisecond
	// A crashed worker is away for minCrashOutage to maxCrashOutage.
	minCrashOutage = time.Second
	maxCrashOutage = 4 * time.Second
	// entryExpiry is how long after a crash the worker's entry is removed.
	entryExpiry = 1500 * time.Millisecond
)

// crash ends the incarnation by a run that has not ended. The worker refuses
// connections or is silent, and returns as a new incarnation.
func (w *Worker) crash(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.runs[r.task] != r {
		return
	}
	w.site.observer.workerCrashed(r.task)
	w.loseRuns()
	w.crashed = true
	refuses := w.random.IntN(2) == 0
	if refuses {
		_ = w.server.Close()
	}
	outage := minCrashOutage + time.Duration(w.random.Int64N(int64(maxCrashOutage-minCrashOutage)))
	startTime := w.startTime
	time.AfterFunc(entryExpiry, func() { w.expireEntry(startTime) })
	time.AfterFunc(outage, func() { w.returnFromCrash(refuses) })
}

// expireEntry removes the entry of a worker whose incarnation has crashed and that
// has not returned.
func (w *Worker) expireEntry(startTime time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed && w.startTime.Equal(startTime) {
		w.site.deleteKey("servers/" + w.id)
	}
}

func (w *Worker) returnFromCrash(listens bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if listens {
		if err := w.listen(); err != nil {
			w.site.observer.workerNotReturned(w.id, err)
			return
		}
	}
	w.crashed = false
	w.reset()
	w.register()
}

func (w *Worker) hasCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// SetCapacity changes the capacity, in thousandths of a core, and the entry in the
// store. Runs go on. The worker starts whatever it is told to.
func (w *Worker) SetCapacity(milliCPU int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.milliCPU = milliCPU
	if !w.crashed {
		w.register()
	}
	w.site.observer.capacityChanged(w.id, milliCPU)
}

// clock returns the time since the start of the incarnation.
func (w *Worker) clock() time.Duration { return time.Since(w.startTime) }

// commandHandler returns the HTTP handler of a command and applies the worker's
// fault to it. execute returns the status and reason of the response, or 0 without
// one.
func (w *Worker) commandHandler(execute func(wireCommand) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c wireCommand
		if err := readBody(r, &c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		f := w.fault
		delayed := w.random.Float64() < f.DelayProbability
		startTime := w.startTime
		silent := f.Unresponsive || w.crashed
		w.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if delayed {
			time.AfterFunc(f.CommandDelay, func() {
				if w.isSameIncarnation(startTime) {
					execute(c)
				}
			})
			<-r.Context().Done()
			return
		}
		status, reason := execute(c)
		if status == 0 {
			<-r.Context().Done()
			return
		}
		w.writeResponse(rw, status, map[string]any{"reason": reason})
	}
}

func (w *Worker) isSameIncarnation(startTime time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startTime.Equal(startTime)
}

// writeResponse adds the worker's clock to a response body and writes it.
func (w *Worker) writeResponse(rw http.ResponseWriter, status int, body map[string]any) {
	w.mu.Lock()
	body["clock_ms"] = w.clock().Milliseconds()
	w.mu.Unlock()
	writeResponse(rw, status, body)
}

func (w *Worker) start(c wireCommand) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return 0, ""
	}
	if c.FencingToken < w.fencingToken {
		return http.StatusConflict, "fence"
	}
	w.fencingToken = c.FencingToken
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		return http.StatusOK, ""
	}
	w.extendLease(c.DeadlineMS)
	if c.Run <= w.lastEndedRun[c.Task] || w.runs[c.Task] != nil {
		return http.StatusConflict, "old"
	}
	if time.Duration(c.DeadlineMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.site.observer.runStarted(c, w.id, w.runningTasks())
	r := &run{
		task:   c.Task,
		number: c.Run,
	}
	w.runs[c.Task] = r
	w.scheduleEnd(r)
	return http.StatusOK, ""
}

// scheduleEnd starts the timer that ends a run, or that crashes the worker if the
// task does so. The caller holds the lock.
func (w *Worker) scheduleEnd(r *run) {
	reason := "done"
	if w.random.Float64() < w.fault.FailureProbability {
		reason = "failed"
	}
	if w.site.observer.isCrashing(r.task) {
		r.timer = time.AfterFunc(crashDelay, func() { w.crash(r) })
		return
	}
	r.timer = time.AfterFunc(w.site.taskDuration(r.task), func() { w.endRun(r, reason) })
}

// runningTasks returns the names of the running tasks. The caller holds the lock.
func (w *Worker) runningTasks() []string {
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	return names
}

// extendLease extends the lease to a reading of the worker's clock. It never
// shortens the lease. The caller holds the lock.
func (w *Worker) extendLease(deadlineMS int64) {
	expiry := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxLease)
	w.leaseExpiry = max(w.leaseExpiry, expiry)
}

func (w *Worker) stop(c wireCommand) (int, string) {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return 0, ""
	}
	if c.FencingToken < w.fencingToken {
		w.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	w.fencingToken = c.FencingToken
	w.lastEndedRun[c.Task] = max(w.lastEndedRun[c.Task], c.Run)
	r := w.runs[c.Task]
	w.mu.Unlock()
	if r != nil && r.number <= c.Run {
		w.endRun(r, "stopped")
	}
	return http.StatusOK, ""
}

// endRun ends a run and queues its end for the next report, unless it has already
// ended.
func (w *Worker) endRun(r *run, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastEndedRun[r.task] = max(w.lastEndedRun[r.task], r.number)
	w.lastEndNumber++
	w.ended = append(w.ended, []any{w.lastEndNumber, r.task, r.number, reason, ""})
	w.site.observer.runEnded(r.task, r.number, w.id, reason)
	close(w.changed)
	w.changed = make(chan struct{})
}

// expireLease ends all runs if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	var expired []*run
	if w.clock() > w.leaseExpiry {
		for _, r := range w.runs {
			expired = append(expired, r)
		}
	}
	w.mu.Unlock()
	for _, r := range expired {
		w.endRun(r, "lapsed")
	}
}

func (w *Worker) poll(rw http.ResponseWriter, r *http.Request) {
	var c wireCommand
	if err := readBody(r, &c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	unresponsive := w.fault.Unresponsive || w.crashed
	fenced := c.FencingToken < w.fencingToken
	if !unresponsive && !fenced {
		w.fencingToken = c.FencingToken
		w.acknowledge(c.LastSeen)
		if c.DeadlineMS > 0 {
			w.extendLease(c.DeadlineMS)
		}
	}
	nothingEnded, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if fenced {
		w.writeResponse(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if nothingEnded {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if w.hasCrashed() {
		<-r.Context().Done()
		return
	}
	w.report(rw)
}

// acknowledge drops the ended runs up to the end number lastSeen. The caller holds
// the lock.
func (w *Worker) acknowledge(lastSeen int64) {
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= lastSeen {
		w.site.observer.endAcknowledged(w.ended[0][1].(string), w.ended[0][3].(string))
		w.ended = w.ended[1:]
	}
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", 50, 0})
	}
	body := map[string]any{
		"born":     w.startTime.UnixMilli(),
		"running":  running,
		"finished": append([][]any{}, w.ended...),
	}
	w.mu.Unlock()
	w.writeResponse(rw, http.StatusOK, body)
}

// register writes the worker's entry in the store. The caller holds the lock, so
// that entries are written in order.
func (w *Worker) register() {
	w.seq++
	w.site.WriteKey("servers/"+w.id, tanagerwire.Encode(map[string]any{
		"service":  ServiceName,
		"address":  w.address,
		"zone":     "a",
		"version":  "v1",
		"slots":    8,
		"state":    "ready",
		"seq":      w.seq,
		"born":     w.startTime.UnixMilli(),
		"capacity": map[string]any{"cpu": w.milliCPU, "mem_mb": 1 << 20, "gpus": 0},
		"labels":   []string{"a", "r" + strconv.Itoa(len(w.id)%4)},
	}))
}

// splitTaskName returns the id of a task's job and the name of its step.
func splitTaskName(task string) (job, step string) {
	parts := strings.Split(task, ".")
	return parts[0], strings.Join(parts[:3], ".")
}
