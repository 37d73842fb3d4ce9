package tanagerjournal

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerstore"
)

// memoryStore is an in-memory key-value service with injected faults.
type memoryStore struct {
	revision uint64
	entries  map[string]tanagerstore.Entry
	history  []tanagerstore.Entry
	// loseNextResponse makes the next swap take effect and return Ambiguous.
	loseNextResponse bool
	// unavailable makes every call fail.
	unavailable bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		entries: make(map[string]tanagerstore.Entry),
	}
}

func (m *memoryStore) Read(_ context.Context, prefix string) (tanagerstore.Snapshot, error) {
	if m.unavailable {
		return tanagerstore.Snapshot{}, tanagerstore.Unavailable.New("down")
	}
	s := tanagerstore.Snapshot{
		Revision: m.revision,
	}
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, nil
}

func (m *memoryStore) Swap(_ context.Context, s tanagerstore.Swap) (tanagerstore.Entry, error) {
	if m.unavailable {
		return tanagerstore.Entry{}, tanagerstore.Unavailable.New("down")
	}
	if current := m.entries[s.Key]; current.Revision != s.ExpectedRevision {
		return current, tanagerstore.Conflict.New("%s", s.Key)
	}
	m.revision++
	e := tanagerstore.Entry{
		Key:      s.Key,
		Value:    s.Value,
		Revision: m.revision,
	}
	m.entries[s.Key] = e
	m.history = append(m.history, e)
	if m.loseNextResponse {
		m.loseNextResponse = false
		return tanagerstore.Entry{}, tanagerstore.Ambiguous.New("%s", s.Key)
	}
	return e, nil
}

// recordList is the state of a reader: the payloads of all records in order.
type recordList []string

func (l *recordList) apply(r Recovery) {
	if r.Snapshot != nil {
		*l = strings.Split(string(r.Snapshot), ",")
	}
	for _, record := range r.Records {
		*l = append(*l, string(record.Payload))
	}
}

func (l recordList) snapshot() []byte { return []byte(strings.Join(l, ",")) }

func testSettings(writer string) Settings {
	return Settings{
		Prefix:           "j",
		Writer:           writer,
		MaxWindowRecords: 4,
		MaxWindowBytes:   1000,
	}
}

// TestConcurrentWritersAndFollower runs two concurrent writers with lost responses
// and store outages, and a follower that observes random entries, stale ones
// included. Each successful append must occur exactly once in the journal, and the
// follower's state must be a prefix of the journal that never shrinks.
func TestConcurrentWritersAndFollower(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		ctx := context.Background()
		writers := []*Journal{New(store, testSettings("w0")), New(store, testSettings("w1"))}
		states := []recordList{nil, nil}
		loaded := []bool{false, false}
		acknowledged := make(map[string]bool)
		follower := NewFollower("j")
		var followed recordList
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "writer")
				w := writers[i]
				if !loaded[i] {
					r, err := w.Load(ctx)
					if err != nil {
						return
					}
					states[i] = nil
					states[i].apply(r)
					loaded[i] = true
				}
				record := fmt.Sprintf("r%d", n)
				n++
				var state []byte
				if w.NeedsSnapshot(len(record)) {
					state = states[i].snapshot()
				}
				err := w.Append(ctx, [][]byte{[]byte(record)}, state)
				switch {
				case err == nil:
					acknowledged[record] = true
					states[i] = append(states[i], record)
				case errorx.IsOfType(err, tanagerstore.Unavailable):
				default:
					loaded[i] = false
				}
			},
			"lose response": func(*rapid.T) { store.loseNextResponse = true },
			"outage":        func(t *rapid.T) { store.unavailable = rapid.Bool().Draw(t, "unavailable") },
			"watch event": func(t *rapid.T) {
				if len(store.history) == 0 {
					return
				}
				e := rapid.SampledFrom(store.history).Draw(t, "entry")
				r, ok, err := follower.Observe(e)
				if err != nil {
					t.Fatal(err)
				}
				previousLength := len(followed)
				if ok {
					followed.apply(r)
				}
				if len(followed) < previousLength {
					t.Fatalf("the follower went back from %d to %d records", previousLength, len(followed))
				}
			},
			"": func(t *rapid.T) {
				unavailable := store.unavailable
				store.unavailable = false
				r, err := New(store, testSettings("reader")).Load(ctx)
				store.unavailable = unavailable
				if err != nil {
					t.Fatal(err)
				}
				var all recordList
				all.apply(r)
				occurrences := make(map[string]int)
				for _, record := range all {
					occurrences[record]++
				}
				for record := range acknowledged {
					if occurrences[record] != 1 {
						t.Fatalf("%s occurs %d times", record, occurrences[record])
					}
				}
				if len(followed) > len(all) || strings.Join(followed, ",") != strings.Join(all[:len(followed)], ",") {
					t.Fatalf("the follower has %v, which is not a prefix of the journal %v", followed, all)
				}
			},
		})
	})
}

func TestReplacedWriterCannotAppend(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	previous, successor := New(store, testSettings("previous")), New(store, testSettings("successor"))
	_, err := previous.Load(ctx)
	c.Assert(err, qt.IsNil)
	_, err = successor.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(successor.Append(ctx, [][]byte{[]byte("taken over")}, nil), qt.IsNil)
	err = previous.Append(ctx, [][]byte{[]byte("late")}, nil)
	c.Assert(errorx.IsOfType(err, Replaced), qt.IsTrue)
	c.Assert(successor.Sequence(), qt.Equals, uint64(1))
}

// TestLowerEpochIsFencedOnLoad covers an owner that was paused and loads the
// journal again after its successor has taken it over: the load must fail, and
// the successor must still be able to append.
func TestLowerEpochIsFencedOnLoad(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	epoch := func(writer string, n uint64) Settings {
		s := testSettings(writer)
		s.Epoch = n
		return s
	}
	successor := New(store, epoch("successor", 5))
	_, err := successor.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(successor.Append(ctx, [][]byte{[]byte("taken over")}, nil), qt.IsNil)
	previous := New(store, epoch("previous", 4))
	_, err = previous.Load(ctx)
	c.Assert(errorx.IsOfType(err, Fenced), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(successor.Append(ctx, [][]byte{[]byte("goes on")}, nil), qt.IsNil)
}
