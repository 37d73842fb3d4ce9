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

// WorkerFault is how a worker misbehaves.
type WorkerFault struct {
	// LateShare of the starts and stops get no answer and are carried out LateBy
	// later.
	LateShare float64
	LateBy    time.Duration
	// Silent workers answer nothing and run on.
	Silent bool
	// FailShare of the runs fail.
	FailShare float64
}

// maxHold is the longest lease.
const maxHold = 6 * time.Second

// Worker is a stand-in of one worker.
type Worker struct {
	site   *Site
	id     string
	server *http.Server
	addr   string

	mu       sync.Mutex
	born     time.Time
	fault    WorkerFault
	random   *rand.Rand
	fence    int64
	deadline time.Duration
	runs     map[string]*run
	dead     map[string]int64
	ended    [][]any
	number   int64
	changed  chan struct{}
}

type run struct {
	task   string
	number int64
	timer  *time.Timer
}

type wireOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func newWorker(s *Site, id string, seed uint64) (*Worker, error) {
	w := &Worker{
		site:   s,
		id:     id,
		random: rand.New(rand.NewPCG(seed, 11)),
	}
	w.reset()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = listener.Addr().String()
	router := chi.NewRouter()
	router.Post("/tanagersail/run-start", w.order(w.start))
	router.Post("/tanagersail/run-stop", w.order(w.stop))
	router.Post("/tanagersail/hold", w.hold)
	w.server = &http.Server{Handler: router}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *Worker) reset() {
	w.born = time.Now()
	w.fence, w.number, w.deadline = 0, 0, 0
	w.runs = make(map[string]*run)
	w.dead = make(map[string]int64)
	w.ended = nil
	w.changed = make(chan struct{})
}

// SetFault changes how the worker misbehaves.
func (w *Worker) SetFault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Restart begins a new life under the same id: what ran is gone and unlisted.
func (w *Worker) Restart() {
	w.mu.Lock()
	for task, r := range w.runs {
		r.timer.Stop()
		w.site.observer.left(task, w.id)
	}
	w.reset()
	w.mu.Unlock()
	w.site.register(w)
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// order wraps an order with the faults that leave it unanswered.
func (w *Worker) order(carryOut func(wireOrder) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o wireOrder
		if err := readBody(r, &o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		f := w.fault
		late := w.random.Float64() < f.LateShare
		born := w.born
		w.mu.Unlock()
		if f.Silent {
			<-r.Context().Done()
			return
		}
		if late {
			time.AfterFunc(f.LateBy, func() {
				if w.sameLife(born) {
					carryOut(o)
				}
			})
			<-r.Context().Done()
			return
		}
		status, reason := carryOut(o)
		w.answer(rw, status, map[string]any{"reason": reason})
	}
}

func (w *Worker) sameLife(born time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born.Equal(born)
}

func (w *Worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	w.mu.Lock()
	body["clock_ms"] = w.clock().Milliseconds()
	w.mu.Unlock()
	reply(rw, status, body)
}

func (w *Worker) start(o wireOrder) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	w.extend(o.DeadlineMS)
	if o.Run <= w.dead[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.site.observer.started(o, w.id, w.runningNames())
	length := w.site.duration(o.Task)
	fails := w.random.Float64() < w.fault.FailShare
	r := &run{
		task:   o.Task,
		number: o.Run,
	}
	r.timer = time.AfterFunc(length, func() {
		how := "done"
		if fails {
			how = "failed"
		}
		w.end(r, how)
	})
	w.runs[o.Task] = r
	return http.StatusOK, ""
}

func (w *Worker) runningNames() []string {
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	return names
}

// extend moves the lease's end, which never moves back. The caller holds the
// lock.
func (w *Worker) extend(deadlineMS int64) {
	end := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, end)
}

func (w *Worker) stop(o wireOrder) (int, string) {
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	w.dead[o.Task] = max(w.dead[o.Task], o.Run)
	r := w.runs[o.Task]
	w.mu.Unlock()
	if r != nil && r.number <= o.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, ""
}

// end lists the end of a run, unless it has ended already.
func (w *Worker) end(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.dead[r.task] = max(w.dead[r.task], r.number)
	w.number++
	w.ended = append(w.ended, []any{w.number, r.task, r.number, how, ""})
	w.site.observer.ended(r.task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// lapse ends everything once the lease has run out.
func (w *Worker) lapse() {
	w.mu.Lock()
	var over []*run
	if w.clock() > w.deadline {
		for _, r := range w.runs {
			over = append(over, r)
		}
	}
	w.mu.Unlock()
	for _, r := range over {
		w.end(r, "lapsed")
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if err := readBody(r, &o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	silent := w.fault.Silent
	fenced := o.Fence < w.fence
	if !silent && !fenced {
		w.fence = o.Fence
		w.acknowledge(o.LastSeen)
		if o.DeadlineMS > 0 {
			w.extend(o.DeadlineMS)
		}
	}
	waiting, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if fenced {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if waiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.report(rw)
}

func (w *Worker) acknowledge(seen int64) {
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= seen {
		w.site.observer.acknowledged(w.ended[0][1].(string), w.ended[0][3].(string))
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
		"born":     w.born.UnixMilli(),
		"running":  running,
		"finished": append([][]any{}, w.ended...),
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, body)
}

// entry is what the worker writes into the list.
func (w *Worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	value := tanagerwire.Encode(map[string]any{
		"service":  ServiceName,
		"address":  w.addr,
		"zone":     "a",
		"version":  "v1",
		"slots":    8,
		"state":    "ready",
		"seq":      1,
		"born":     w.born.UnixMilli(),
		"capacity": map[string]any{"cpu": w.site.settings.MilliCPU, "mem_mb": 1 << 20, "gpus": 0},
		"labels":   []string{"a", "r" + strconv.Itoa(len(w.id)%4)},
	})
	return value
}

// jobOf returns the job and the step of a task's name.
func jobOf(task string) (job, step string) {
	parts := strings.Split(task, ".")
	return parts[0], strings.Join(parts[:3], ".")
}
