package tanagercell

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// scriptedStore keeps keys and answers each transaction as its script says.
type scriptedStore struct {
	silentStore

	mu       sync.Mutex
	revision int64
	items    map[string]tanagerport.Item
	// script is consumed one entry a transaction; then all are answered.
	script []scripted
}

// scripted is how one transaction is treated.
type scripted struct {
	// skip leaves it undone; err is returned in place of its answer.
	skip bool
	err  error
}

func newScriptedStore(script ...scripted) *scriptedStore {
	return &scriptedStore{
		items:  make(map[string]tanagerport.Item),
		script: script,
	}
}

func (s *scriptedStore) Commit(_ context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next scripted
	if len(s.script) > 0 {
		next = s.script[0]
		s.script = s.script[1:]
	}
	if next.skip {
		return 0, nil, next.err
	}
	revision, items, err := s.apply(t)
	if next.err != nil {
		return 0, nil, next.err
	}
	return revision, items, err
}

func (s *scriptedStore) apply(t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	holds := true
	var present []tanagerport.Item
	for _, e := range t.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		present = append(present, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		return 0, present, tanagerport.Conflict.New("transaction")
	}
	s.revision++
	for _, w := range t.Writes {
		s.items[w.Key] = tanagerport.Item{
			Key:      w.Key,
			Value:    w.Value,
			Revision: s.revision,
		}
	}
	return s.revision, nil, nil
}

// startCommitter runs a committer at an epoch and notes what it told of.
func startCommitter(t *testing.T, s *scriptedStore, epoch uint64, revision int64) (*committer, *[]tanagerwork.Record) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := newCommitter(s)
	var mu sync.Mutex
	var told []tanagerwork.Record
	c.lead = func() (uint64, int64) {
		mu.Lock()
		defer mu.Unlock()
		return epoch, revision
	}
	c.learned = func(i tanagerport.Item) {
		mu.Lock()
		defer mu.Unlock()
		var e epochRecord
		if tanagerwire.Decode(i.Value, &e) == nil {
			epoch, revision = e.Epoch, i.Revision
		}
	}
	c.stored = func(r tanagerwork.Record) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, r)
	}
	c.failed = func(jobs int, err error) { t.Logf("%d jobs: %v", jobs, err) }
	c.unreadable = func(id tanagerwork.JobID, err error) { t.Errorf("job %s: %v", id, err) }
	go c.run(ctx)
	return c, &told
}

func commitRecord(id string) tanagerwork.Record {
	return tanagerwork.Record{ID: tanagerwork.JobID(id)}
}

// submitOnce bounds a submission by a time that only a hanging one reaches.
func submitOnce(c *committer, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return c.submit(ctx, commitRecord(id))
}

func TestRefusedWriteIsARefusal(t *testing.T) {
	s := newScriptedStore(scripted{
		skip: true,
		err:  tanagerport.Refused.New("down"),
	})
	c, told := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, refused)
	q.Assert(s.items, qt.HasLen, 0)
	q.Assert(*told, qt.HasLen, 0)
}

// A write whose answer was lost is sent again and found to be done.
func TestLostAnswerIsAccepted(t *testing.T) {
	s := newScriptedStore(scripted{err: tanagerport.Unanswered.New("lost")})
	c, told := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, accepted)
	q.Assert(s.items, qt.HasLen, 1)
	q.Assert(*told, qt.HasLen, 1)
}

// After a write that was not answered a refusal of the next try proves nothing.
func TestOpenWriteIsNeverRefused(t *testing.T) {
	s := newScriptedStore(
		scripted{err: tanagerport.Unanswered.New("lost")},
		scripted{
			skip: true,
			err:  tanagerport.Refused.New("down"),
		},
	)
	c, _ := startCommitter(t, s, 0, 0)
	qt.New(t).Assert(submitOnce(c, "a"), qt.Equals, accepted)

	silent := newScriptedStore()
	for range 1000 {
		silent.script = append(silent.script, scripted{
			skip: true,
			err:  tanagerport.Unanswered.New("silent"),
		})
	}
	c, _ = startCommitter(t, silent, 0, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 3*storePause)
	defer cancel()
	qt.New(t).Assert(c.submit(ctx, commitRecord("a")), qt.Equals, unsure)
}

// An answer that cannot be read leaves open whether the write was done.
func TestUnreadableAnswerIsNoRefusal(t *testing.T) {
	s := newScriptedStore(scripted{err: tanagerport.Malformed.New("answer 200, cut")})
	c, told := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, accepted)
	q.Assert(s.revision, qt.Equals, int64(1))
	q.Assert(*told, qt.HasLen, 1)
}

// The same job again is one job, told of as it was stored.
func TestSameJobAgain(t *testing.T) {
	s := newScriptedStore()
	c, told := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, accepted)
	q.Assert(submitOnce(c, "a"), qt.Equals, accepted)
	q.Assert(s.revision, qt.Equals, int64(1))
	q.Assert(*told, qt.HasLen, 2)
	q.Assert((*told)[1].Epoch, qt.Equals, (*told)[0].Epoch)
}

// A job is accepted under the epoch that is in force when it is stored.
func TestAcceptanceNamesThePresentEpoch(t *testing.T) {
	s := newScriptedStore()
	s.revision = 9
	s.items[epochKey] = tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: 4}),
		Revision: 9,
	}
	c, told := startCommitter(t, s, 3, 5)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, accepted)
	q.Assert(*told, qt.HasLen, 1)
	q.Assert((*told)[0].Epoch, qt.Equals, uint64(4))
}
