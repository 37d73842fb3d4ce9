package tanagersite

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

// The names of the configuration that the operator writes.
const (
	ServiceName = "pool"
	QueueName   = "queue"
	QueueHost   = "site.example"
	QueuePrefix = "/jobs/"
)

// Settings of a Site.
type Settings struct {
	// Workers and Stores are the numbers of workers and of doors to the store.
	Workers, Stores int
	// MilliCPU is each worker's capacity.
	MilliCPU int64
	// TaskTime is the mean duration of a task.
	TaskTime time.Duration
	Seed     uint64
}

// Site is a stand-in of the platform.
type Site struct {
	settings Settings
	store    *store
	doors    []*Door
	servers  []*http.Server
	addrs    []netip.AddrPort
	advice   netip.AddrPort
	workers  []*Worker
	observer *observer
	stop     chan struct{}
	stopped  sync.WaitGroup
	version  int64
}

// New starts a site on loopback ports.
func New(s Settings) (*Site, error) {
	site := &Site{
		settings: s,
		store:    newStore(),
		observer: newObserver(s.MilliCPU),
		stop:     make(chan struct{}),
	}
	for i := range s.Stores {
		door := newDoor(site.store, s.Seed+uint64(i))
		address, err := site.serve(door)
		if err != nil {
			return nil, err
		}
		site.doors = append(site.doors, door)
		site.addrs = append(site.addrs, address)
	}
	var err error
	if site.advice, err = site.serve(http.HandlerFunc(advise)); err != nil {
		return nil, err
	}
	site.Configure()
	for i := range s.Workers {
		w, err := newWorker(site, fmt.Sprintf("w%03d", i), s.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		site.workers = append(site.workers, w)
		site.register(w)
	}
	site.stopped.Add(1)
	go site.sweep()
	return site, nil
}

func (s *Site) serve(h http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (s *Site) sweep() {
	defer s.stopped.Done()
	ticks := time.NewTicker(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			s.store.sweep(now)
			for _, w := range s.workers {
				w.lapse()
			}
		case <-s.stop:
			return
		}
	}
}

// Close ends the site.
func (s *Site) Close() {
	close(s.stop)
	s.stopped.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, w := range s.workers {
		_ = w.server.Close()
	}
}

// Configure writes a configuration with the next version.
func (s *Site) Configure() {
	s.version += 3
	value := tanagerwire.Encode(map[string]any{
		"version": s.version,
		"routes": []map[string]any{{
			"name":              QueueName,
			"host":              QueueHost,
			"prefix":            QueuePrefix,
			"timeout_ms":        3000,
			"target_latency_ms": 60000,
			"priority":          0,
			"service":           ServiceName,
			"max_attempts":      50,
			"stretch":           4,
			"advice":            map[string]any{"decision_ms": 5, "period_ms": 0.1, "valid_ms": 1500},
		}},
		"services": []map[string]any{{
			"name":               ServiceName,
			"enforces_capacity":  false,
			"unknown_new_field":  []int{1},
			"standby":            false,
			"max_conns":          64,
			"health_path":        "/health",
			"unknown_other_name": nil,
		}},
		"limits": map[string]any{"max_body_bytes": 65536},
	})
	s.Write("op/config", value)
}

// Write sets a key as an outside writer does.
func (s *Site) Write(key string, value []byte) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put(key, value, 0)
}

// Compact makes the store forget its history.
func (s *Site) Compact() { s.store.compact() }

func (s *Site) register(w *Worker) { s.Write("servers/"+w.id, w.entry()) }

// Store returns a door of the store and where it listens.
func (s *Site) Store(i int) (*Door, netip.AddrPort) { return s.doors[i], s.addrs[i] }

// AdviceAddress returns where the advice service listens.
func (s *Site) AdviceAddress() netip.AddrPort { return s.advice }

// Worker returns a worker.
func (s *Site) Worker(i int) *Worker { return s.workers[i] }

// HandIn tells the observer of a job before it is sent.
func (s *Site) HandIn(id string, shape JobShape) {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	s.observer.jobs[id] = shape
}

// Refused tells the observer that all tries to hand a job in were refused.
func (s *Site) Refused(id string) {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	s.observer.refused[id] = true
}

// Done reports whether all tasks of a job have ended as done.
func (s *Site) Done(id string) bool {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	for step, count := range s.observer.jobs[id].Steps {
		for i := range count {
			if !s.observer.done[fmt.Sprintf("%s.0.%d.%d", id, step, i)] {
				return false
			}
		}
	}
	return true
}

// Starts returns how many runs were started.
func (s *Site) Starts() int {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.starts
}

// Violations returns what must never happen and did.
func (s *Site) Violations() []string {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return slices.Clone(s.observer.violations)
}

// duration is how long a task works: half to one and a half times the mean, by
// its name, or by its step's for the members of a gang.
func (s *Site) duration(task string) time.Duration {
	h := fnv.New32a()
	if job, step := jobOf(task); s.observer.isGang(job) {
		task = step
	}
	_, _ = h.Write([]byte(task))
	return s.settings.TaskTime/2 + s.settings.TaskTime*time.Duration(h.Sum32()%1000)/1000
}

// advise allows every worker that is asked about.
func advise(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Workers []string `json:"workers"`
	}
	if err := readBody(r, &asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	good := make([][]string, 0, len(asked.Workers))
	for _, id := range asked.Workers {
		good = append(good, []string{id, "ticket-" + id})
	}
	reply(w, http.StatusOK, map[string]any{
		"good":     good,
		"valid_ms": 1500,
	})
}
