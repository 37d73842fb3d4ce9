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

// item is a key of the store; a deleted one has no value.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	// pageItems is the most items of one listing.
	pageItems = 500
	// historyEvents is how many changes watches can go back.
	historyEvents = 20000
	// sweepInterval is how often leases are looked at.
	sweepInterval = 20 * time.Millisecond
)

// store is the key-value service, shared by all its doors.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	oldest   int64
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	return &store{
		items:   make(map[string]item),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
	}
}

// put sets a key as the operator or a worker does. The caller holds the lock.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	s.set(key, value, leaseID)
}

// set gives a key a value at the present revision. All changes of a transaction
// have one.
func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{
		Key:      key,
		Value:    base64.StdEncoding.EncodeToString(value),
		Revision: s.revision,
		Created:  s.revision,
		Lease:    leaseID,
	}
	if old, there := s.items[key]; there {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, there := s.items[key]; !there {
		return
	}
	s.revision++
	s.drop(key)
}

func (s *store) drop(key string) {
	if _, there := s.items[key]; !there {
		return
	}
	delete(s.items, key)
	s.record(item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	if len(s.history) > historyEvents {
		s.oldest = s.history[historyEvents/2].Revision
		s.history = append([]item(nil), s.history[historyEvents/2+1:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets the history, so that watches have to read anew.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
}

func (s *store) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// StoreFault is how a door of the store misbehaves.
type StoreFault struct {
	// Down refuses calls: with 503, or by silence.
	Down, Silent bool
	// Delay holds each answer back.
	Delay time.Duration
	// LostShare of the writes are done and not answered; with LateBy they are
	// done that much later.
	LostShare float64
	LateBy    time.Duration
}

// Door is the store as one daemon reaches it.
type Door struct {
	store  *store
	router chi.Router

	mu     sync.Mutex
	fault  StoreFault
	random *rand.Rand
}

func newDoor(s *store, seed uint64) *Door {
	d := &Door{
		store:  s,
		router: chi.NewRouter(),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	d.router.Get("/tanagersail/kv-key", d.key)
	d.router.Get("/tanagersail/kv-range", d.list)
	d.router.Get("/tanagersail/kv-watch", d.watch)
	d.router.Post("/tanagersail/kv-txn", d.transaction)
	d.router.Post("/tanagersail/kv-lease", d.grant)
	d.router.Post("/tanagersail/kv-keep/{id}", d.keep)
	d.router.Delete("/tanagersail/kv-lease-end/{id}", d.endLease)
	return d
}

// SetFault changes how the door misbehaves.
func (d *Door) SetFault(f StoreFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	f := d.fault
	lost := d.random.Float64() < f.LostShare
	d.mu.Unlock()
	switch {
	case f.Silent:
		<-r.Context().Done()
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case lost && strings.HasSuffix(r.URL.Path, "kv-txn"):
		d.lose(r, f.LateBy)
	default:
		time.Sleep(f.Delay)
		d.router.ServeHTTP(w, r)
	}
}

// lose carries a write out, late if wanted, and breaks the connection.
func (d *Door) lose(r *http.Request, late time.Duration) {
	var t wireTransaction
	if readBody(r, &t) == nil {
		if late > 0 {
			time.AfterFunc(late, func() { d.store.commit(t) })
		} else {
			d.store.commit(t)
		}
	}
	panic(http.ErrAbortHandler)
}

func (d *Door) key(w http.ResponseWriter, r *http.Request) {
	d.store.mu.Lock()
	i, there := d.store.items[r.URL.Query().Get("key")]
	d.store.mu.Unlock()
	if !there {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (d *Door) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.store.mu.Lock()
	var found []item
	for key, i := range d.store.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	revision := d.store.revision
	d.store.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{
		"items":          found,
		"has_more":       more,
		"store_revision": revision,
	})
}

func (d *Door) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, revision, gone, changed := d.store.since(q.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{
				"events":         events,
				"store_revision": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{
				"events":         []item{},
				"store_revision": revision,
			})
			return
		}
	}
}

func (s *store) since(prefix string, after int64) (events []item, revision int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
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

func (d *Door) grant(w http.ResponseWriter, r *http.Request) {
	var wanted struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := readBody(r, &wanted); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.store.mu.Lock()
	d.store.nextID++
	id := d.store.nextID
	ttl := time.Duration(wanted.TTL) * time.Millisecond
	d.store.leases[id] = &lease{
		ttl:  ttl,
		ends: time.Now().Add(ttl),
	}
	d.store.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"lease":  id,
		"ttl_ms": wanted.TTL,
	})
}

func (d *Door) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	d.store.mu.Lock()
	l := d.store.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	d.store.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (d *Door) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	d.store.mu.Lock()
	d.store.end(id)
	d.store.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
