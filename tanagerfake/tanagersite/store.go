package tanagersite

import (
	"encoding/base64"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// item is a key with its value, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	maxPageItems = 500
	// maxHistoryEvents is the largest number of changes kept for watches. When it
	// is exceeded, the older half is dropped.
	maxHistoryEvents = 20000
	// expiryCheckInterval is how often the leases of the store and of the workers
	// are checked for expiry.
	expiryCheckInterval = 20 * time.Millisecond
)

// store is the state of the key-value service, shared by all its endpoints.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// compactedRevision is the revision of the newest change dropped from history.
	compactedRevision int64
	leases            map[int64]*lease
	// leasesPaused counts the reasons why leases do not expire, pausedAt is the time
	// of the first.
	leasesPaused int
	pausedAt     time.Time
	nextID       int64
	// changed is closed at the next change.
	changed chan struct{}
	notes   *Record
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

func newStore() *store {
	return &store{
		items:   make(map[string]item),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
	}
}

// put sets a key outside of a transaction, at the next revision. The caller holds
// the lock.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	s.putAtCurrentRevision(key, value, leaseID)
}

// putAtCurrentRevision sets a key without a new revision, because all changes of a
// transaction have the same one. The caller holds the lock.
func (s *store) putAtCurrentRevision(key string, value []byte, leaseID int64) {
	i := item{
		Key:      key,
		Value:    base64.StdEncoding.EncodeToString(value),
		Revision: s.revision,
		Created:  s.revision,
		Lease:    leaseID,
	}
	if old, exists := s.items[key]; exists {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// deleteKey deletes a key at the next revision, if it exists. The caller holds the
// lock.
func (s *store) deleteKey(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	s.deleteAtCurrentRevision(key)
}

// deleteAtCurrentRevision deletes a key without a new revision, if it exists. The
// caller holds the lock.
func (s *store) deleteAtCurrentRevision(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.record(item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

// record adds a change to the history and wakes the watches. The caller holds the
// lock.
func (s *store) record(i item) {
	s.history = append(s.history, i)
	if len(s.history) > maxHistoryEvents {
		s.compactedRevision = s.history[maxHistoryEvents/2].Revision
		s.history = append([]item(nil), s.history[maxHistoryEvents/2+1:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history, so that watches have to start from a new listing.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
}

func (s *store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leasesPaused > 0 {
		return
	}
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

// PauseLeases keeps the store's leases from running until resume is called.
func (s *Site) PauseLeases() (resume func()) {
	st := s.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leasesPaused == 0 {
		st.pausedAt = time.Now()
	}
	st.leasesPaused++
	return func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.leasesPaused--; st.leasesPaused > 0 {
			return
		}
		for _, l := range st.leases {
			l.expiry = l.expiry.Add(time.Since(st.pausedAt))
		}
	}
}

// Value returns the value of a key of the store.
func (s *Site) Value(key string) (value []byte, exists bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	i, exists := s.store.items[key]
	value, err := base64.StdEncoding.DecodeString(i.Value)
	return value, exists && err == nil
}

// endLease removes a lease and deletes its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.notes.Note("lease_end", Fields{"lease": id, "key": key})
			s.deleteKey(key)
		}
	}
}

// StoreFault is a fault of a store endpoint. The zero value is no fault.
type StoreFault struct {
	// Unavailable endpoints reject each call with status 503, Unresponsive ones
	// send no response.
	Unavailable, Unresponsive bool
	// Delay is added before each call is handled.
	Delay time.Duration
	// LostResponseProbability is the probability, 0 to 1, that a transaction gets no
	// response. It is still committed, after CommitDelay.
	LostResponseProbability float64
	CommitDelay             time.Duration
}

// StoreEndpoint is an HTTP endpoint of the store. Each daemon has its own, so that
// faults can be injected for one daemon. It is safe for concurrent use.
type StoreEndpoint struct {
	site *Site
	// index is the index of the endpoint, and of the daemon that uses it.
	index  int
	store  *store
	router chi.Router

	mu     sync.Mutex
	fault  StoreFault
	random *rand.Rand
}

func newStoreEndpoint(s *Site, index int, seed uint64) *StoreEndpoint {
	e := &StoreEndpoint{
		site:   s,
		index:  index,
		store:  s.store,
		router: chi.NewRouter(),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	e.router.Get("/tanagersail/kv-key", e.get)
	e.router.Get("/tanagersail/kv-range", e.list)
	e.router.Get("/tanagersail/kv-watch", e.watch)
	e.router.Post("/tanagersail/kv-txn", e.transaction)
	e.router.Post("/tanagersail/kv-lease", e.grantLease)
	e.router.Post("/tanagersail/kv-keep/{id}", e.renewLease)
	e.router.Delete("/tanagersail/kv-lease-end/{id}", e.endLease)
	return e
}

// SetFault replaces the fault in force.
func (e *StoreEndpoint) SetFault(f StoreFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// ServeHTTP implements http.Handler.
func (e *StoreEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	f := e.fault
	loseResponse := e.random.Float64() < f.LostResponseProbability
	e.mu.Unlock()
	switch {
	case f.Unresponsive:
		<-r.Context().Done()
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case loseResponse && strings.HasSuffix(r.URL.Path, "kv-txn"):
		e.commitWithoutResponse(r, f.CommitDelay)
	default:
		time.Sleep(f.Delay)
		e.router.ServeHTTP(w, r)
	}
}

// commitWithoutResponse commits a transaction after a delay and aborts the
// connection without waiting for it.
func (e *StoreEndpoint) commitWithoutResponse(r *http.Request, delay time.Duration) {
	var t wireTransaction
	if readBody(r, &t) == nil {
		if delay > 0 {
			time.AfterFunc(delay, func() { e.commit(t, true) })
		} else {
			e.commit(t, true)
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *StoreEndpoint) get(w http.ResponseWriter, r *http.Request) {
	e.store.mu.Lock()
	i, exists := e.store.items[r.URL.Query().Get("key")]
	e.store.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeResponse(w, http.StatusOK, e.localize([]item{i})[0])
}

func (e *StoreEndpoint) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	e.store.mu.Lock()
	var found []item
	for key, i := range e.store.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	revision := e.store.revision
	e.store.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > maxPageItems
	if more {
		found = found[:maxPageItems]
	}
	writeResponse(w, http.StatusOK, map[string]any{
		"items":          e.localize(found),
		"has_more":       more,
		"store_revision": revision,
	})
}

func (e *StoreEndpoint) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, revision, compacted, changed := e.store.changesSince(q.Get("prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeResponse(w, http.StatusOK, map[string]any{
				"events":         e.localize(events),
				"store_revision": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			writeResponse(w, http.StatusOK, map[string]any{
				"events":         []item{},
				"store_revision": revision,
			})
			return
		}
	}
}

// changesSince returns the changes under prefix after a revision, the store's
// revision and a channel that is closed at the next change. compacted is true if
// the history does not cover the revision.
func (s *store) changesSince(prefix string, after int64) (
	events []item, revision int64, compacted bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision {
		return nil, 0, true, nil
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, false, s.changed
}

func (e *StoreEndpoint) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := readBody(r, &body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.store.mu.Lock()
	e.store.nextID++
	id := e.store.nextID
	ttl := time.Duration(body.TTL) * time.Millisecond
	e.store.leases[id] = &lease{
		ttl:    ttl,
		expiry: time.Now().Add(ttl),
	}
	e.store.mu.Unlock()
	writeResponse(w, http.StatusOK, map[string]any{
		"lease":  id,
		"ttl_ms": body.TTL,
	})
}

func (e *StoreEndpoint) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	e.store.mu.Lock()
	l := e.store.leases[id]
	if l != nil {
		l.expiry = time.Now().Add(l.ttl)
	}
	e.store.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeResponse(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (e *StoreEndpoint) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	e.store.mu.Lock()
	e.store.endLease(id)
	e.store.mu.Unlock()
	writeResponse(w, http.StatusOK, map[string]any{})
}
