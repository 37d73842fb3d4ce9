package tanagerkv

import (
	"sort"
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
)

// maxHistoryEntries is the number of changes that a watch can go back.
const maxHistoryEntries = 10000

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// table holds the entries, the history of changes and the leases. It is safe for
// concurrent use.
type table struct {
	mu       sync.Mutex
	timer    tanagertimer.Service
	revision uint64
	entries  map[string]tanagerstore.Entry
	history  []tanagerstore.Entry
	// compactedRevision is the revision of the newest change dropped from history.
	compactedRevision uint64
	leases            map[tanagerstore.LeaseID]*lease
	nextLease         tanagerstore.LeaseID
	// changed is closed at the next change.
	changed chan struct{}
}

func newTable(timer tanagertimer.Service) *table {
	return &table{
		timer:   timer,
		entries: make(map[string]tanagerstore.Entry),
		leases:  make(map[tanagerstore.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

func (t *table) read(prefix string) tanagerstore.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readLocked(prefix)
}

func (t *table) readLocked(prefix string) tanagerstore.Snapshot {
	snapshot := tanagerstore.Snapshot{
		Revision: t.revision,
	}
	for key, e := range t.entries {
		if strings.HasPrefix(key, prefix) {
			snapshot.Entries = append(snapshot.Entries, e)
		}
	}
	sort.Slice(snapshot.Entries, func(i, j int) bool {
		return snapshot.Entries[i].Key < snapshot.Entries[j].Key
	})
	return snapshot
}

// swap applies s and reports whether it took effect. It returns the current entry
// of the key.
func (t *table) swap(s tanagerstore.Swap) (tanagerstore.Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.entries[s.Key]
	if current.Revision != s.ExpectedRevision {
		return current, false
	}
	if s.Lease != 0 && t.leases[s.Lease] == nil {
		return current, false
	}
	entry := tanagerstore.Entry{
		Key:     s.Key,
		Value:   s.Value,
		Lease:   s.Lease,
		Deleted: s.Delete,
	}
	return t.put(entry), true
}

// put stores an entry or a deletion under the next revision. The caller holds the
// lock.
func (t *table) put(e tanagerstore.Entry) tanagerstore.Entry {
	t.revision++
	e.Revision = t.revision
	if e.Deleted {
		delete(t.entries, e.Key)
	} else {
		t.entries[e.Key] = e
	}
	t.history = append(t.history, e)
	if len(t.history) > maxHistoryEntries {
		t.compactedRevision = t.history[0].Revision
		t.history = t.history[1:]
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return e
}

// changes returns the changes below prefix after a revision, and a channel that
// is closed at the next change. If the history does not cover the revision, it
// returns all entries below prefix, with Reset set.
func (t *table) changes(prefix string, after uint64) (tanagerstore.Snapshot, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compactedRevision || after > t.revision {
		snapshot := t.readLocked(prefix)
		snapshot.Reset = true
		return snapshot, t.changed
	}
	snapshot := tanagerstore.Snapshot{
		Revision: t.revision,
	}
	first := sort.Search(len(t.history), func(i int) bool {
		return t.history[i].Revision > after
	})
	for _, e := range t.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			snapshot.Entries = append(snapshot.Entries, e)
		}
	}
	return snapshot, t.changed
}

func (t *table) grant(ttl time.Duration) tanagerstore.LeaseID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextLease++
	t.leases[t.nextLease] = &lease{
		ttl:    ttl,
		expiry: t.timer.Now().Add(ttl),
	}
	return t.nextLease
}

func (t *table) renew(id tanagerstore.LeaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[id]
	if l == nil {
		return false
	}
	l.expiry = t.timer.Now().Add(l.ttl)
	return true
}

func (t *table) revoke(id tanagerstore.LeaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLease(id)
}

// removeLease removes a lease and deletes its keys. The caller holds the lock.
func (t *table) removeLease(id tanagerstore.LeaseID) {
	delete(t.leases, id)
	for key, e := range t.entries {
		if e.Lease == id {
			t.put(tanagerstore.Entry{
				Key:     key,
				Deleted: true,
			})
		}
	}
}

func (t *table) expireLeases() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for id, l := range t.leases {
		if now.After(l.expiry) {
			t.removeLease(id)
		}
	}
}

// renewAllLeases extends every lease by its full length, as the service does after
// an outage.
func (t *table) renewAllLeases() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for _, l := range t.leases {
		l.expiry = now.Add(l.ttl)
	}
}
