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

// memoryStore is a key-value service in memory that can be made to fail.
type memoryStore struct {
	revision uint64
	entries  map[string]tanagerstore.Entry
	changes  []tanagerstore.Entry
	// ambiguous makes the next swap take effect without saying so.
	ambiguous bool
	// down makes every call fail.
	down bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		entries: make(map[string]tanagerstore.Entry),
	}
}

func (m *memoryStore) Read(_ context.Context, prefix string) (tanagerstore.Snapshot, error) {
	if m.down {
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
	if m.down {
		return tanagerstore.Entry{}, tanagerstore.Unavailable.New("down")
	}
	if current := m.entries[s.Key]; current.Revision != s.Expected {
		return current, tanagerstore.Conflict.New("%s", s.Key)
	}
	m.revision++
	e := tanagerstore.Entry{
		Key:      s.Key,
		Value:    s.Value,
		Revision: m.revision,
	}
	m.entries[s.Key] = e
	m.changes = append(m.changes, e)
	if m.ambiguous {
		m.ambiguous = false
		return tanagerstore.Entry{}, tanagerstore.Ambiguous.New("%s", s.Key)
	}
	return e, nil
}

// log is the state of a reader: all records in order.
type log []string

func (l *log) apply(r Recovery) {
	if r.Snapshot != nil {
		*l = strings.Split(string(r.Snapshot), ",")
	}
	for _, record := range r.Records {
		*l = append(*l, string(record.Payload))
	}
}

func (l log) snapshot() []byte { return []byte(strings.Join(l, ",")) }

func settings(writer string) Settings {
	return Settings{
		Prefix:      "j",
		Writer:      writer,
		Window:      4,
		WindowBytes: 1000,
	}
}

// TestWritersAndFollowers lets two writers race, loses answers, takes the store
// down and shows a follower random entries, old ones too. The records must form
// one sequence in which each successful append occurs once, and the follower's
// state must always be a beginning of it that never gets shorter.
func TestWritersAndFollowers(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		ctx := context.Background()
		writers := []*Journal{New(store, settings("w0")), New(store, settings("w1"))}
		states := []log{nil, nil}
		loaded := []bool{false, false}
		certain := make(map[string]bool)
		follower := NewFollower("j")
		var followed log
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
				if w.Full(len(record)) {
					state = states[i].snapshot()
				}
				err := w.Append(ctx, [][]byte{[]byte(record)}, state)
				switch {
				case err == nil:
					certain[record] = true
					states[i] = append(states[i], record)
				case errorx.IsOfType(err, tanagerstore.Unavailable):
				default:
					loaded[i] = false
				}
			},
			"lose an answer": func(*rapid.T) { store.ambiguous = true },
			"outage":         func(t *rapid.T) { store.down = rapid.Bool().Draw(t, "down") },
			"show": func(t *rapid.T) {
				if len(store.changes) == 0 {
					return
				}
				e := rapid.SampledFrom(store.changes).Draw(t, "entry")
				r, ok, err := follower.Observe(e)
				if err != nil {
					t.Fatal(err)
				}
				before := len(followed)
				if ok {
					followed.apply(r)
				}
				if len(followed) < before {
					t.Fatalf("the follower went back from %d to %d records", before, len(followed))
				}
			},
			"": func(t *rapid.T) {
				down := store.down
				store.down = false
				r, err := New(store, settings("reader")).Load(ctx)
				store.down = down
				if err != nil {
					t.Fatal(err)
				}
				var all log
				all.apply(r)
				seen := make(map[string]int)
				for _, record := range all {
					seen[record]++
				}
				for record := range certain {
					if seen[record] != 1 {
						t.Fatalf("%s occurs %d times", record, seen[record])
					}
				}
				if len(followed) > len(all) || strings.Join(followed, ",") != strings.Join(all[:len(followed)], ",") {
					t.Fatalf("the follower has %v, the journal %v", followed, all)
				}
			},
		})
	})
}

func TestReplacedWriterCannotAppend(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	old, heir := New(store, settings("old")), New(store, settings("heir"))
	_, err := old.Load(ctx)
	c.Assert(err, qt.IsNil)
	_, err = heir.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(heir.Append(ctx, [][]byte{[]byte("taken over")}, nil), qt.IsNil)
	err = old.Append(ctx, [][]byte{[]byte("late")}, nil)
	c.Assert(errorx.IsOfType(err, Replaced), qt.IsTrue)
	c.Assert(heir.Sequence(), qt.Equals, uint64(1))
}

// TestLowerEpochCannotTakeTheJournalBack lets an owner that was paused wake up
// and load the journal again after its successor has taken it over.
func TestLowerEpochCannotTakeTheJournalBack(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	epoch := func(writer string, n uint64) Settings {
		s := settings(writer)
		s.Epoch = n
		return s
	}
	heir := New(store, epoch("heir", 5))
	_, err := heir.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(heir.Append(ctx, [][]byte{[]byte("taken over")}, nil), qt.IsNil)
	old := New(store, epoch("old", 4))
	_, err = old.Load(ctx)
	c.Assert(errorx.IsOfType(err, Fenced), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(heir.Append(ctx, [][]byte{[]byte("goes on")}, nil), qt.IsNil)
}
