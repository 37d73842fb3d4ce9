package tanagercell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// scriptedStore is an in-memory store that fails transactions as its script
// says.
type scriptedStore struct {
	unresponsiveStore

	mu       sync.Mutex
	revision int64
	items    map[string]tanagerport.Item
	// script has one entry for each transaction; after the last one,
	// transactions succeed.
	script []scriptedReply
}

// scriptedReply is how one transaction is handled.
type scriptedReply struct {
	// skip is set if the transaction is not applied. err, if not nil, is
	// returned instead of its result.
	skip bool
	err  error
}

func newScriptedStore(script ...scriptedReply) *scriptedStore {
	return &scriptedStore{
		items:  make(map[string]tanagerport.Item),
		script: script,
	}
}

func (s *scriptedStore) Commit(_ context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next scriptedReply
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
	satisfied := true
	var current []tanagerport.Item
	for _, p := range t.Preconditions {
		item := s.items[p.Key]
		item.Key = p.Key
		current = append(current, item)
		satisfied = satisfied && item.Revision == p.Revision
	}
	if !satisfied {
		return 0, current, tanagerport.Conflict.New("transaction")
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

// startCommitter runs a committer at an epoch and collects the records passed
// to onStored.
func startCommitter(t *testing.T, s *scriptedStore, epoch uint64, revision int64) (*committer, *[]tanagerwork.Record) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := newCommitter(s)
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
		// All slots are free when no transaction is in flight, which could still log.
		for range cap(c.slots) {
			c.slots <- struct{}{}
		}
	})
	var mu sync.Mutex
	var stored []tanagerwork.Record
	c.currentEpoch = func() (uint64, int64) {
		mu.Lock()
		defer mu.Unlock()
		return epoch, revision
	}
	c.onEpochItem = func(item tanagerport.Item) {
		mu.Lock()
		defer mu.Unlock()
		var e epochRecord
		if tanagerwire.Decode(item.Value, &e) == nil {
			epoch, revision = e.Epoch, item.Revision
		}
	}
	c.onStored = func(r tanagerwork.Record) {
		mu.Lock()
		defer mu.Unlock()
		stored = append(stored, r)
	}
	c.onCommitError = func(jobs int, err error) { t.Logf("%d jobs: %v", jobs, err) }
	c.onEncodeError = func(id tanagerwork.JobID, err error) { t.Logf("job %s: %v", id, err) }
	c.onDecodeError = func(id tanagerwork.JobID, err error) { t.Errorf("job %s: %v", id, err) }
	go func() {
		defer close(ended)
		c.run(ctx)
	}()
	return c, &stored
}

func commitRecord(id string) tanagerwork.Record {
	return tanagerwork.Record{ID: tanagerwork.JobID(id)}
}

// submitOnce submits a job with a timeout that only a hanging committer
// reaches.
func submitOnce(c *committer, id string) submitOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return c.submit(ctx, commitRecord(id))
}

func TestRefusedWriteRejectsJob(t *testing.T) {
	s := newScriptedStore(scriptedReply{
		skip: true,
		err:  tanagerport.Refused.New("down"),
	})
	c, stored := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeRejected)
	q.Assert(s.items, qt.HasLen, 0)
	q.Assert(*stored, qt.HasLen, 0)
}

// Guards against a job that ends the process of its daemon, and the other jobs of its
// transaction with it, as its record cannot be encoded.
func TestUnencodableJobIsRejectedAlone(t *testing.T) {
	c := newCommitter(newScriptedStore())
	c.currentEpoch = func() (uint64, int64) { return 0, 0 }
	var failed []tanagerwork.JobID
	c.onEncodeError = func(id tanagerwork.JobID, _ error) { failed = append(failed, id) }
	var stored []tanagerwork.JobID
	c.onStored = func(r tanagerwork.Record) { stored = append(stored, r.ID) }
	var batch []*submission
	for _, id := range []string{"a", "b", "c"} {
		s := &submission{
			record: commitRecord(id),
			ctx:    t.Context(),
			done:   make(chan submitOutcome, 1),
		}
		if id == "b" {
			s.record.Spec.FirstDue = time.UnixMilli(1_700_000_000_000_000)
		}
		batch = append(batch, s)
	}
	c.commit(batch)
	q := qt.New(t)
	q.Check(<-batch[0].done, qt.Equals, outcomeAccepted)
	q.Check(<-batch[1].done, qt.Equals, outcomeRejected)
	q.Check(<-batch[2].done, qt.Equals, outcomeAccepted)
	q.Check(failed, qt.DeepEquals, []tanagerwork.JobID{"b"})
	q.Check(stored, qt.DeepEquals, []tanagerwork.JobID{"a", "c"})
}

// A write whose response was lost is retried and found to be applied.
func TestLostResponseIsRetriedAndAccepted(t *testing.T) {
	s := newScriptedStore(scriptedReply{err: tanagerport.OutcomeUnknown.New("lost")})
	c, stored := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)
	q.Assert(s.items, qt.HasLen, 1)
	q.Assert(*stored, qt.HasLen, 1)
}

// After a write without a response, a refused retry does not prove that the job
// is not stored.
func TestIndeterminateWriteIsNeverRejected(t *testing.T) {
	s := newScriptedStore(
		scriptedReply{err: tanagerport.OutcomeUnknown.New("lost")},
		scriptedReply{
			skip: true,
			err:  tanagerport.Refused.New("down"),
		},
	)
	c, _ := startCommitter(t, s, 0, 0)
	qt.New(t).Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)

	silent := newScriptedStore()
	for range 1000 {
		silent.script = append(silent.script, scriptedReply{
			skip: true,
			err:  tanagerport.OutcomeUnknown.New("silent"),
		})
	}
	c, _ = startCommitter(t, silent, 0, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 3*storeRetryDelay)
	defer cancel()
	qt.New(t).Assert(c.submit(ctx, commitRecord("a")), qt.Equals, outcomeUnknown)
}

// After a malformed response the write may have been applied.
func TestMalformedResponseIsIndeterminate(t *testing.T) {
	s := newScriptedStore(scriptedReply{err: tanagerport.Malformed.New("status 200, body truncated")})
	c, stored := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)
	q.Assert(s.revision, qt.Equals, int64(1))
	q.Assert(*stored, qt.HasLen, 1)
}

// A job submitted twice is written once and reported as it was stored.
func TestDuplicateSubmissionIsStoredOnce(t *testing.T) {
	s := newScriptedStore()
	c, stored := startCommitter(t, s, 0, 0)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)
	q.Assert(s.revision, qt.Equals, int64(1))
	q.Assert(*stored, qt.HasLen, 2)
	q.Assert((*stored)[1].Epoch, qt.Equals, (*stored)[0].Epoch)
}

// A job that is accepted during a change of scheduler carries the epoch at the
// time of the write.
func TestAcceptedJobCarriesCurrentEpoch(t *testing.T) {
	s := newScriptedStore()
	s.revision = 9
	s.items[epochKey] = tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: 4}),
		Revision: 9,
	}
	c, stored := startCommitter(t, s, 3, 5)
	q := qt.New(t)
	q.Assert(submitOnce(c, "a"), qt.Equals, outcomeAccepted)
	q.Assert(*stored, qt.HasLen, 1)
	q.Assert((*stored)[0].Epoch, qt.Equals, uint64(4))
}

// blockedStore reports each transaction and responds to none.
type blockedStore struct {
	unresponsiveStore
	received chan struct{}
}

func (s blockedStore) Commit(ctx context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	s.received <- struct{}{}
	return s.unresponsiveStore.Commit(ctx, t)
}

// A daemon that gets 20 jobs a second from a store of 0.4 s a call has eight
// transactions open. A job must not wait for one of them before it is sent.
func TestSlowStoreGetsEachJobAtOnce(t *testing.T) {
	const openTransactions = 8
	store := blockedStore{received: make(chan struct{})}
	c := newCommitter(store)
	c.currentEpoch = func() (uint64, int64) { return 1, 1 }
	c.onCommitError = func(int, error) {}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	for i := range openTransactions {
		go c.submit(ctx, commitRecord(string(rune('a'+i))))
		select {
		case <-store.received:
		case <-time.After(testTimeout):
			t.Fatalf("job %d of %d waits for another", i+1, openTransactions)
		}
	}
}

// slowStore commits after a delay, unless the call's context ends before.
type slowStore struct {
	unresponsiveStore
	delay time.Duration
}

func (s slowStore) Commit(ctx context.Context, _ tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	select {
	case <-time.After(s.delay):
		return 1, nil, nil
	case <-ctx.Done():
		return 0, nil, tanagerport.OutcomeUnknown.New("commit")
	}
}

// newSlowCommitter returns a committer on a store that takes delay for each
// transaction.
func newSlowCommitter(t *testing.T, delay time.Duration) *committer {
	c := newCommitter(slowStore{delay: delay})
	c.currentEpoch = func() (uint64, int64) { return 1, 1 }
	c.onStored = func(tanagerwork.Record) {}
	c.onCommitError = func(jobs int, err error) { t.Logf("%d jobs: %v", jobs, err) }
	return c
}

// Guards against a transaction that is cancelled for a whole batch when the first
// of its callers gives up.
func TestExpiringSubmissionCancelsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			storeDelay = 300 * time.Millisecond
			// The first two callers wait for less than storeDelay.
			firstTimeout   = 250 * time.Millisecond
			timeoutSpacing = 30 * time.Millisecond
		)
		c := newSlowCommitter(t, storeDelay)
		var batch []*submission
		for i := range maxKeysPerTransaction {
			ctx, cancel := context.WithTimeout(context.Background(), firstTimeout+time.Duration(i)*timeoutSpacing)
			defer cancel()
			batch = append(batch, &submission{
				record: commitRecord(fmt.Sprintf("%016x", i)),
				ctx:    ctx,
				done:   make(chan submitOutcome, 1),
			})
		}
		c.commit(batch)
		accepted := 0
		for _, s := range batch {
			if <-s.done == outcomeAccepted {
				accepted++
			}
		}
		qt.Assert(t, accepted >= maxKeysPerTransaction-2, qt.IsTrue, qt.Commentf("%d accepted", accepted))
	})
}

// A caller whose context ends while the shared transaction is open gets its reply
// at that time, and the others get theirs when the store responds.
func TestCallersOfBatchAreAnsweredInTheirOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			storeDelay = 300 * time.Millisecond
			shortWait  = 100 * time.Millisecond
		)
		c := newSlowCommitter(t, storeDelay)
		start := time.Now()
		submit := func(id string, timeout time.Duration, want submitOutcome, after time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			qt.Check(t, c.submit(ctx, commitRecord(id)), qt.Equals, want)
			qt.Check(t, time.Since(start), qt.Equals, after)
		}
		var callers sync.WaitGroup
		callers.Go(func() { submit("a", shortWait, outcomeUnknown, shortWait) })
		callers.Go(func() { submit("b", storeSubmitTimeout, outcomeAccepted, storeDelay) })
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.run(ctx)
		callers.Wait()
	})
}

// A transaction that nobody waits for any more must not occupy one of the slots.
func TestTransactionEndsWithItsLastCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSlowCommitter(t, time.Hour)
		start := time.Now()
		var batch []*submission
		for i := range 3 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Duration(i+1)*storeRetryDelay, cancel)
			batch = append(batch, &submission{
				record: commitRecord(fmt.Sprintf("%016x", i)),
				ctx:    ctx,
				done:   make(chan submitOutcome, 1),
			})
		}
		c.commit(batch)
		qt.Assert(t, time.Since(start), qt.Equals, 4*storeRetryDelay)
		for _, s := range batch {
			qt.Check(t, <-s.done, qt.Equals, outcomeUnknown)
		}
	})
}

// A caller without a deadline must not keep a transaction open for good.
func TestTransactionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := sharedContext([]*submission{{ctx: context.Background()}})
		defer cancel()
		start := time.Now()
		<-ctx.Done()
		qt.Assert(t, time.Since(start), qt.Equals, commitTimeout)
	})
}
