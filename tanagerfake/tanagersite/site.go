package tanagersite

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerwire"
)

// Names in the configuration that the operator writes.
const (
	ServiceName = "pool"
	QueueName   = "queue"
	QueueHost   = "site.example"
	QueuePrefix = "/jobs/"
)

// Defaults of Settings.MaxBodyBytes, in bytes, and of Settings.QueueTimeout.
const (
	defaultMaxBodyBytes = 64 << 10
	defaultQueueTimeout = 3 * time.Second
)

// Settings configures a Site.
type Settings struct {
	// Workers and StoreEndpoints are the numbers of workers and store endpoints.
	Workers, StoreEndpoints int
	// MilliCPU is each worker's capacity at its start, in thousandths of a core.
	MilliCPU         int64
	MeanTaskDuration time.Duration
	// MaxBodyBytes is the limit of request bodies in the configuration. The default
	// is 64 KiB.
	MaxBodyBytes int64
	// QueueTimeout is the timeout of the queue in the configuration. The default is
	// three seconds.
	QueueTimeout time.Duration
	// Seed seeds the random decisions of the faults.
	Seed uint64
	// WorkerLinks gives each worker an address for the daemon of each store endpoint,
	// and checks second starts as the users do.
	WorkerLinks bool
	// Record may be nil.
	Record *Record
}

// Site is a running fake of the platform, on loopback addresses.
type Site struct {
	settings             Settings
	store                *store
	storeEndpoints       []*StoreEndpoint
	servers              []*http.Server
	storeAddresses       []netip.AddrPort
	adviceAddress        netip.AddrPort
	mu                   sync.Mutex
	workers              []*Worker
	observer             *observer
	stop                 chan struct{}
	stopped              sync.WaitGroup
	configurationVersion int64
}

// New starts a site on loopback ports that the operating system chooses.
func New(s Settings) (*Site, error) {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.QueueTimeout == 0 {
		s.QueueTimeout = defaultQueueTimeout
	}
	site := &Site{
		settings: s,
		store:    newStore(),
		observer: newObserver(),
		stop:     make(chan struct{}),
	}
	site.store.notes, site.observer.notes = s.Record, s.Record
	if s.WorkerLinks {
		site.observer.second = newSecondStarts()
	}
	for i := range s.StoreEndpoints {
		endpoint := newStoreEndpoint(site, i, s.Seed+uint64(i))
		address, err := site.serve(endpoint)
		if err != nil {
			return nil, err
		}
		site.storeEndpoints = append(site.storeEndpoints, endpoint)
		site.storeAddresses = append(site.storeAddresses, address)
	}
	var err error
	if site.adviceAddress, err = site.serve(http.HandlerFunc(advise)); err != nil {
		return nil, err
	}
	site.WriteConfiguration()
	for i := range s.Workers {
		w, err := newWorker(site, fmt.Sprintf("w%03d", i), s.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		site.mu.Lock()
		site.workers = append(site.workers, w)
		site.mu.Unlock()
		w.SetCapacity(s.MilliCPU)
	}
	site.stopped.Add(1)
	go site.runExpiry()
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

// runExpiry expires the leases of the store and of the workers until Close.
func (s *Site) runExpiry() {
	defer s.stopped.Done()
	ticks := time.NewTicker(expiryCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			s.store.expireLeases(now)
			for _, w := range s.workers {
				w.expireLease()
			}
		case <-s.stop:
			return
		}
	}
}

// Close stops the site.
func (s *Site) Close() {
	close(s.stop)
	s.stopped.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, w := range s.workers {
		w.close()
	}
}

// WriteConfiguration writes the configuration with a higher version.
func (s *Site) WriteConfiguration() {
	s.configurationVersion += 3
	value := tanagerwire.Encode(map[string]any{
		"version": s.configurationVersion,
		"routes": []map[string]any{{
			"name":              QueueName,
			"host":              QueueHost,
			"prefix":            QueuePrefix,
			"timeout_ms":        s.settings.QueueTimeout.Milliseconds(),
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
		"limits": map[string]any{"max_body_bytes": s.settings.MaxBodyBytes},
	})
	s.WriteKey("op/config", value)
}

// WriteKey sets a key of the store.
func (s *Site) WriteKey(key string, value []byte) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put(key, value, 0)
}

func (s *Site) deleteKey(key string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.deleteKey(key)
}

// CompactStore makes the store drop its history.
func (s *Site) CompactStore() { s.store.compact() }

// StoreEndpoint returns endpoint i of the store and its address.
func (s *Site) StoreEndpoint(i int) (*StoreEndpoint, netip.AddrPort) {
	return s.storeEndpoints[i], s.storeAddresses[i]
}

// AdviceAddress returns the address of the advice service.
func (s *Site) AdviceAddress() netip.AddrPort { return s.adviceAddress }

// Record returns the site's record, which may be nil.
func (s *Site) Record() *Record { return s.settings.Record }

// Worker returns worker i.
func (s *Site) Worker(i int) *Worker { return s.workers[i] }

// workerByID returns the worker with an id, or nil. Workers are named by their
// indices.
func (s *Site) workerByID(id string) *Worker {
	i, err := strconv.Atoi(strings.TrimPrefix(id, "w"))
	if err != nil || i < 0 || i >= s.settings.Workers {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i >= len(s.workers) {
		return nil
	}
	return s.workers[i]
}

// JobSubmitted tells the observer about a job. It has to be called before the
// first attempt to submit the job.
func (s *Site) JobSubmitted(id string, spec JobSpec) {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	s.observer.jobs[id] = spec
}

// JobRefused tells the observer that all attempts to submit a job were refused.
func (s *Site) JobRefused(id string) {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	s.observer.refused[id] = true
}

// JobDone reports whether all tasks of a job are done.
func (s *Site) JobDone(id string) bool {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	for step, count := range s.observer.jobs[id].TasksPerStep {
		for i := range count {
			if !s.observer.done[fmt.Sprintf("%s.0.%d.%d", id, step, i)] {
				return false
			}
		}
	}
	return true
}

// JobMayFail reports whether a job may be shown as failed: so many workers have
// crashed under one of its tasks that it may be given up.
func (s *Site) JobMayFail(id string) bool {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	for task, losses := range s.observer.losses {
		if job, _ := splitTaskName(task); job == id && losses >= minCrashesToFail {
			return true
		}
	}
	return false
}

// JobCrashesWorkers reports whether a job has a task that crashes its workers. Such
// a job need not end.
func (s *Site) JobCrashesWorkers(id string) bool {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.jobs[id].Crashing
}

// RunsStarted returns the number of runs that were started.
func (s *Site) RunsStarted() int {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.startCount
}

// Violations returns descriptions of the violations of the scheduler's invariants
// that the observer recorded.
func (s *Site) Violations() []string {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return slices.Clone(s.observer.violations)
}

// taskDuration returns the duration of a task, 0.5 to 1.5 times the mean. It
// depends on the task's name, or on the step's name for the members of a gang.
func (s *Site) taskDuration(task string) time.Duration {
	h := fnv.New32a()
	if job, step := splitTaskName(task); s.observer.isGang(job) {
		task = step
	}
	_, _ = h.Write([]byte(task))
	mean := s.observer.meanTaskDuration(task)
	if mean == 0 {
		mean = s.settings.MeanTaskDuration
	}
	return mean/2 + mean*time.Duration(h.Sum32()%1000)/1000
}

// advise handles a call for advice. It permits every worker.
func advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Workers []string `json:"workers"`
	}
	if err := readBody(r, &body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	good := make([][]string, 0, len(body.Workers))
	for _, id := range body.Workers {
		good = append(good, []string{id, "ticket-" + id})
	}
	writeResponse(w, http.StatusOK, map[string]any{
		"good":     good,
		"valid_ms": 1500,
	})
}
