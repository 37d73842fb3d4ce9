package tanagercheck

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

const (
	// storeTimeout bounds the calls of the daemons to the store.
	storeTimeout = 900 * time.Millisecond
	// pageItems is so small that a listing of a few jobs has several pages.
	pageItems      = 4
	expiryInterval = 25 * time.Millisecond
	maxStoreDelay  = 1200 * time.Millisecond
)

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is a model of the platform's store. The world's mutex guards it.
type store struct {
	world     *world
	revision  int64
	items     map[string]tanagerport.Item
	leaseOf   map[string]int64
	leases    map[int64]*storeLease
	lastLease int64
	history   []tanagerport.Item
	compacted int64
	changed   chan struct{}
}

func newStore(w *world) *store {
	return &store{
		world:    w,
		revision: 10,
		items:    make(map[string]tanagerport.Item),
		leaseOf:  make(map[string]int64),
		leases:   make(map[int64]*storeLease),
		changed:  make(chan struct{}),
	}
}

func (s *store) record(item tanagerport.Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease int64) {
	item := tanagerport.Item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
	}
	s.items[key] = item
	s.leaseOf[key] = lease
	s.record(item)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.leaseOf, key)
	s.record(tanagerport.Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

// set writes a key on behalf of the platform, or removes it without a value. The
// caller holds the lock.
func (s *store) set(key string, value []byte) {
	s.revision++
	if value == nil {
		s.remove(key)
		return
	}
	s.put(key, value, 0)
}

// expire ends the leases that have run out. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, lease := range s.leaseOf {
		if lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.revision++
		s.remove(key)
		s.world.log("store", "", "", "lease %d ends, %s is removed at revision %d", id, key, s.revision)
	}
}

func (s *store) commit(from string, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	conflict := false
	items := make([]tanagerport.Item, 0, len(t.Preconditions))
	for _, p := range t.Preconditions {
		item, ok := s.items[p.Key]
		if !ok {
			item.Key = p.Key
		}
		items = append(items, item)
		conflict = conflict || item.Revision != p.Revision
	}
	if conflict {
		s.logCommit(from, t, "conflict")
		return 0, items, tanagerport.Conflict.New("transaction")
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, nil, tanagerport.NotFound.New("lease %d", w.Lease)
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.put(w.Key, w.Value, w.Lease)
		s.world.rules.stored(w.Key)
		if w.Key == "tanager/lead/holder" {
			var holder struct {
				Member string `json:"member"`
			}
			if tanagerwire.Decode(w.Value, &holder) == nil {
				s.world.elected(holder.Member)
			}
		}
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.logCommit(from, t, "stored")
	return s.revision, nil, nil
}

func (s *store) logCommit(from string, t tanagerport.Transaction, outcome string) {
	var keys []string
	job := ""
	for _, w := range t.Writes {
		keys = append(keys, strings.TrimPrefix(w.Key, "tanager/"))
		job = cmp.Or(job, jobOfKey(w.Key))
	}
	for _, key := range t.Deletes {
		keys = append(keys, "-"+strings.TrimPrefix(key, "tanager/"))
	}
	s.world.log(from, "store", job, "transaction %s: %s, revision %d", strings.Join(keys, " "), outcome, s.revision)
}

func jobOfKey(key string) string {
	for _, prefix := range []string{"tanager/intake/job/", "tanager/intake/cancel/", "tanager/outcome/"} {
		if id, ok := strings.CutPrefix(key, prefix); ok {
			return id
		}
	}
	return ""
}

func (s *store) list(prefix, after string) tanagerport.Page {
	page := tanagerport.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b tanagerport.Item) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items = page.Items[:pageItems]
		page.More = true
	}
	return page
}

func (s *store) changesSince(prefix string, after int64) (tanagerport.Page, error) {
	if after < s.compacted {
		return tanagerport.Page{}, tanagerport.Compacted.New("revision %d", after)
	}
	page := tanagerport.Page{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (s *store) dropHistory() {
	s.history = nil
	s.compacted = s.revision
}

// storePort is the store as one daemon reaches it.
type storePort struct{ process *process }

// storeAnswer is the result of a call.
type storeAnswer struct {
	number int64
	items  []tanagerport.Item
	page   tanagerport.Page
	item   tanagerport.Item
	err    error
}

// fate is what happens to a call.
type fate struct {
	before, after time.Duration
	lost          bool
	// late calls are executed after their time-out.
	late bool
}

func (p storePort) fate(r *rand.Rand) (f fate, refused bool) {
	f = fate{
		before: latency(r),
		after:  latency(r),
	}
	w, m := p.process.machine.world, p.process.machine.index
	if cut := w.active(m, func(f *Fault) bool {
		return f.Kind == StoreDown || f.Kind == CutStore || f.Kind == Partition && !f.Flag
	}); cut != nil {
		refused = cut.Flag && cut.Kind != Partition
		f.lost = !refused
		return f, refused
	}
	if slow := w.active(m, func(f *Fault) bool { return f.Kind == SlowStore }); slow != nil {
		f.before += time.Duration(slow.Rate * r.Float64() * float64(maxStoreDelay))
		f.after += time.Duration(slow.Rate * r.Float64() * float64(maxStoreDelay))
	}
	if lossy := w.active(m, func(f *Fault) bool { return f.Kind == LossyStore }); lossy != nil && r.Float64() < lossy.Rate {
		switch r.IntN(3) {
		case 0:
			f.lost = true
		case 1:
			f.after = maxLateness
		case 2:
			f.before += time.Duration(r.Int64N(int64(maxLateness)))
			f.late = true
		}
	}
	return f, false
}

// call makes a call that is executed with the lock held. A call that waits returns
// a channel to wait for.
func (p storePort) call(ctx context.Context, kind string, wait time.Duration,
	execute func(expired bool) (storeAnswer, <-chan struct{})) storeAnswer {
	m := p.process.machine
	w := m.world
	if !p.process.waitRunning() {
		return storeAnswer{err: tanagerport.Refused.New("process has ended")}
	}
	r := w.random(m.name + " store " + kind)
	f, refused := p.fate(r)
	if refused {
		w.sleep(f.before)
		return storeAnswer{err: tanagerport.Refused.New("%s", kind)}
	}
	answers := make(chan storeAnswer, 1)
	w.spawn(func() {
		if f.lost || !w.sleep(f.before) {
			return
		}
		deadline := time.NewTimer(wait)
		defer deadline.Stop()
		expired := wait == 0
		for {
			w.mu.Lock()
			answer, changed := execute(expired)
			w.mu.Unlock()
			if changed == nil || expired {
				if w.sleep(f.after) && !f.late {
					answers <- answer
				}
				return
			}
			select {
			case <-changed:
			case <-deadline.C:
				expired = true
			case <-w.done:
				return
			}
		}
	})
	answer := storeAnswer{err: tanagerport.OutcomeUnknown.New("%s", kind)}
	timeout := time.NewTimer(storeTimeout + wait)
	defer timeout.Stop()
	select {
	case answer = <-answers:
	case <-timeout.C:
	case <-ctx.Done():
	}
	p.process.waitRunning()
	return answer
}

// Get implements tanagercell.Store.
func (p storePort) Get(ctx context.Context, key string) (tanagerport.Item, error) {
	s := p.process.machine.world.store
	a := p.call(ctx, "get", 0, func(bool) (storeAnswer, <-chan struct{}) {
		item, ok := s.items[key]
		if !ok {
			return storeAnswer{err: tanagerport.NotFound.New("%s", key)}, nil
		}
		return storeAnswer{item: item}, nil
	})
	return a.item, a.err
}

// List implements tanagercell.Store.
func (p storePort) List(ctx context.Context, prefix, after string) (tanagerport.Page, error) {
	s := p.process.machine.world.store
	a := p.call(ctx, "list "+prefix, 0, func(bool) (storeAnswer, <-chan struct{}) {
		return storeAnswer{page: s.list(prefix, after)}, nil
	})
	return a.page, a.err
}

// Watch implements tanagercell.Store.
func (p storePort) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (tanagerport.Page, error) {
	s := p.process.machine.world.store
	a := p.call(ctx, "watch "+prefix, wait, func(bool) (storeAnswer, <-chan struct{}) {
		page, err := s.changesSince(prefix, after)
		answer := storeAnswer{
			page: page,
			err:  err,
		}
		if err != nil || len(page.Items) > 0 {
			return answer, nil
		}
		return answer, s.changed
	})
	return a.page, a.err
}

// Commit implements tanagercell.Store.
func (p storePort) Commit(ctx context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	s := p.process.machine.world.store
	a := p.call(ctx, "commit", 0, func(bool) (storeAnswer, <-chan struct{}) {
		s.expire()
		var a storeAnswer
		a.number, a.items, a.err = s.commit(p.process.machine.name, t)
		return a, nil
	})
	return a.number, a.items, a.err
}

// Grant implements tanagercell.Store.
func (p storePort) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	s := p.process.machine.world.store
	a := p.call(ctx, "grant", 0, func(bool) (storeAnswer, <-chan struct{}) {
		s.lastLease++
		s.leases[s.lastLease] = &storeLease{
			ttl:    ttl,
			expiry: time.Now().Add(ttl),
		}
		return storeAnswer{number: s.lastLease}, nil
	})
	return a.number, a.err
}

// Renew implements tanagercell.Store.
func (p storePort) Renew(ctx context.Context, lease int64) error {
	s := p.process.machine.world.store
	return p.call(ctx, "renew", 0, func(bool) (storeAnswer, <-chan struct{}) {
		s.expire()
		l := s.leases[lease]
		if l == nil {
			return storeAnswer{err: tanagerport.NotFound.New("lease %d", lease)}, nil
		}
		l.expiry = time.Now().Add(l.ttl)
		return storeAnswer{}, nil
	}).err
}

// Revoke implements tanagercell.Store.
func (p storePort) Revoke(ctx context.Context, lease int64) error {
	s := p.process.machine.world.store
	return p.call(ctx, "revoke", 0, func(bool) (storeAnswer, <-chan struct{}) {
		if s.leases[lease] == nil {
			return storeAnswer{err: tanagerport.NotFound.New("lease %d", lease)}, nil
		}
		s.endLease(lease)
		return storeAnswer{}, nil
	}).err
}
