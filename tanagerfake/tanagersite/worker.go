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
	server    *http.Server
	listeners []net.Listener
	address   string
	// addresses and links hold one of each for each daemon, if links are set. The first
	// address is also address. They never change.
	addresses []string
	links     []*link
	// storeCuts counts the cuts between the worker and the store.
	storeCuts int
	// clockBack is how far the worker's time of day is behind.
	clockBack time.Duration
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
	// lastSeen is the highest end number acknowledged. Ends up to it are forgotten,
	// also later ones.
	lastSeen int64
	// lapses counts the times that the lease has lapsed, endLapses holds the count at
	// each end.
	lapses    int
	endLapses map[int64]int
	// changed is closed when the next run ends.
	changed chan struct{}
}

type run struct {
	task   string
	number int64
	timer  *time.Timer
	// startedAt and duration tell the run's progress.
	startedAt time.Time
	duration  time.Duration
}

// halfway is the percent that all runs show without links.
const halfway = 50

// percent returns the run's progress.
func (r *run) percent(shows bool) int {
	if !shows || r.duration == 0 {
		return halfway
	}
	return min(int(100*time.Since(r.startedAt)/r.duration), 99)
}

type wireCommand struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	callContext
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
	listeners, err := w.openListeners()
	if err != nil {
		return err
	}
	w.address = listeners[0].Addr().String()
	router := chi.NewRouter()
	router.Post("/tanagersail/run-start", w.commandHandler(w.start))
	router.Post("/tanagersail/run-stop", w.commandHandler(w.stop))
	router.Post("/tanagersail/hold", w.poll)
	server := &http.Server{Handler: router}
	if len(w.links) > 0 {
		server.Handler = w.throughLinks(router)
	}
	w.server, w.listeners = server, listeners
	for _, l := range listeners {
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// openListeners returns a listener, or one for each daemon if there are links.
func (w *Worker) openListeners() ([]net.Listener, error) {
	if !w.site.settings.WorkerLinks {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		return []net.Listener{l}, err
	}
	var listeners []net.Listener
	isNew := len(w.addresses) == 0
	for i := range w.site.settings.StoreEndpoints {
		var l net.Listener
		var err error
		if isNew {
			l, err = listenBelowEphemeral()
		} else {
			l, err = net.Listen("tcp", w.addresses[i])
		}
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		if isNew {
			w.addresses = append(w.addresses, l.Addr().String())
			w.links = append(w.links, &link{})
		}
	}
	return listeners, nil
}

// The ports of links lie below the ephemeral port range, so that no outgoing
// connection takes them while a worker restarts, and above those of the daemons and
// of package scenarios. All have the same number of digits.
const (
	firstLinkPort      = 31000
	linkPorts          = 1700
	maxLinkPortAttempt = 100
)

func listenBelowEphemeral() (l net.Listener, err error) {
	for range maxLinkPortAttempt {
		l, err = net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(firstLinkPort+rand.IntN(linkPorts)))
		if err == nil {
			return l, nil
		}
	}
	return nil, err
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
	w.seq, w.fencingToken, w.lastEndNumber, w.lastSeen, w.leaseExpiry = 0, 0, 0, 0, 0
	w.lapses, w.endLapses = 0, make(map[int64]int)
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
		w.site.deleteKey(entryPrefix + w.id)
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
	w.site.Record().Note("worker_return", Fields{"worker": w.id, "born": w.born()})
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
		c.callContext = callOf(r)
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
		w.site.Record().Note("order", Fields{
			"call": r.URL.Path, "daemon": c.daemon, "late": c.late, "worker": w.id, "task": c.Task, "run": c.Run,
			"token": c.FencingToken, "deadline_ms": c.DeadlineMS, "status": status, "reason": reason,
		})
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
	r.startedAt, r.duration = time.Now(), w.site.taskDuration(r.task)
	r.timer = time.AfterFunc(r.duration, func() { w.endRun(r, reason) })
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
	clock := w.clock()
	if clock > w.leaseExpiry {
		w.lapses++
	}
	expiry := min(time.Duration(deadlineMS)*time.Millisecond, clock+maxLease)
	w.leaseExpiry = max(w.leaseExpiry, expiry)
	if w.site.settings.WorkerLinks {
		w.site.observer.leaseExtended(w.id, w.startTime.Add(w.leaseExpiry))
	}
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
	if w.site.settings.WorkerLinks && w.clock() > w.leaseExpiry {
		reason = "lapsed"
	}
	delete(w.runs, r.task)
	w.lastEndedRun[r.task] = max(w.lastEndedRun[r.task], r.number)
	w.lastEndNumber++
	w.ended = append(w.ended, []any{w.lastEndNumber, r.task, r.number, reason, ""})
	w.site.observer.runEnded(r.task, r.number, w.id, reason)
	w.site.Record().Note("end", Fields{
		"worker": w.id, "number": w.lastEndNumber, "task": r.task, "run": r.number, "how": reason,
	})
	if w.site.settings.WorkerLinks {
		w.endLapses[w.lastEndNumber] = w.lapses
		w.acknowledge(w.lastSeen, true)
	}
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
	c.callContext = callOf(r)
	w.mu.Lock()
	unresponsive := w.fault.Unresponsive || w.crashed
	fenced := c.FencingToken < w.fencingToken
	if !unresponsive && !fenced {
		w.notePoll(c)
		w.fencingToken = c.FencingToken
		w.lastSeen = max(w.lastSeen, c.LastSeen)
		w.acknowledge(c.LastSeen, false)
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
// the lock. forgotten tells that the runs ended after lastSeen had been received.
func (w *Worker) acknowledge(lastSeen int64, forgotten bool) {
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= lastSeen {
		w.endAcknowledged(w.ended[0], forgotten)
		w.ended = w.ended[1:]
	}
}

// endAcknowledged tells the observer about an acknowledged end. With links, an end is
// not taken note of if the lease has lapsed since. The caller holds the lock.
func (w *Worker) endAcknowledged(end []any, forgotten bool) {
	task, reason := end[1].(string), end[3].(string)
	if !w.site.settings.WorkerLinks {
		w.site.observer.endAcknowledged(task, reason)
		return
	}
	number := end[0].(int64)
	lapsed := w.endLapses[number] != w.lapses || w.clock() > w.leaseExpiry
	delete(w.endLapses, number)
	if reason == endDone && !lapsed {
		w.site.observer.endNoted(task, end[2].(int64), w.id, forgotten)
	}
	w.site.Record().Note("end_seen", Fields{
		"worker": w.id, "number": number, "task": task, "run": end[2], "lapsed": lapsed, "forgotten": forgotten,
	})
}

// notePoll records a poll that acknowledges ends or raises the token. The caller
// holds the lock.
func (w *Worker) notePoll(c wireCommand) {
	if c.LastSeen > w.lastSeen || c.FencingToken > w.fencingToken {
		w.site.Record().Note("poll", Fields{
			"daemon": c.daemon, "late": c.late, "worker": w.id, "token": c.FencingToken, "last_seen": c.LastSeen,
			"born": w.born(),
		})
	}
}

// endDone is the reason of an end of a run that has done its task.
const endDone = "done"

// born returns the time of day of the incarnation's start by the worker's own clock,
// in milliseconds.
func (w *Worker) born() int64 { return w.startTime.Add(-w.clockBack).UnixMilli() }

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(w.site.settings.WorkerLinks), 0})
	}
	body := map[string]any{
		"born":     w.born(),
		"running":  running,
		"finished": append([][]any{}, w.ended...),
	}
	w.mu.Unlock()
	w.writeResponse(rw, http.StatusOK, body)
}

// register writes the worker's entry in the store. The caller holds the lock, so
// that entries are written in order.
func (w *Worker) register() {
	if w.storeCuts > 0 {
		return
	}
	w.seq++
	w.site.WriteKey(entryPrefix+w.id, tanagerwire.Encode(map[string]any{
		"service":  ServiceName,
		"address":  w.address,
		"zone":     "a",
		"version":  "v1",
		"slots":    8,
		"state":    "ready",
		"seq":      w.seq,
		"born":     w.born(),
		"capacity": map[string]any{"cpu": w.milliCPU, "mem_mb": 1 << 20, "gpus": 0},
		"labels":   []string{"a", "r" + strconv.Itoa(len(w.id)%4)},
	}))
}

// splitTaskName returns the id of a task's job and the name of its step.
func splitTaskName(task string) (job, step string) {
	parts := strings.Split(task, ".")
	return parts[0], strings.Join(parts[:3], ".")
}
