package tanagercell

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// submitOutcome is the result of an attempt to store a job.
type submitOutcome uint8

const (
	// outcomeAccepted: the job is in the store.
	outcomeAccepted submitOutcome = iota
	// outcomeRejected: the job is not in the store, and no transaction of this
	// attempt can still add it.
	outcomeRejected
	// outcomeUnknown: the job may or may not be in the store.
	outcomeUnknown
)

// submission is a job that waits to be written to the store.
type submission struct {
	record tanagerwork.Record
	ctx    context.Context
	done   chan submitOutcome
	// indeterminate is set once a transaction with the job got no response:
	// it may have been applied.
	indeterminate bool
}

// committer writes accepted jobs to the store in batches. A transaction without
// a response is sent again; its preconditions make it idempotent.
type committer struct {
	store Store
	queue chan *submission
	slots chan struct{}
	// currentEpoch returns the current epoch and the revision of its key.
	currentEpoch func() (uint64, int64)
	// onEpochItem receives the epoch's item that a conflict returned. It
	// returns when currentEpoch reflects it.
	onEpochItem func(item tanagerport.Item)
	// onStored receives each job that is in the store, also one that was there
	// already.
	onStored func(record tanagerwork.Record)
	// onCommitError receives the number of jobs and the error of each failed
	// transaction, except conflicts.
	onCommitError func(jobs int, err error)
	// onEncodeError receives the error of a job that cannot be stored.
	onEncodeError func(id tanagerwork.JobID, err error)
	// onDecodeError receives the error of a stored job that cannot be decoded.
	// The scheduler reports the same record again on takeover.
	onDecodeError func(id tanagerwork.JobID, err error)
}

func newCommitter(s Store) *committer {
	return &committer{
		store: s,
		queue: make(chan *submission, eventQueueLength),
		slots: make(chan struct{}, maxCommitsInFlight),
	}
}

// submit writes a job and returns the outcome, at the latest when the context
// ends. It rejects the job if the queue is full.
func (c *committer) submit(ctx context.Context, record tanagerwork.Record) submitOutcome {
	s := &submission{
		record: record,
		ctx:    ctx,
		done:   make(chan submitOutcome, 1),
	}
	select {
	case c.queue <- s:
	default:
		return outcomeRejected
	}
	select {
	case o := <-s.done:
		return o
	case <-ctx.Done():
		return outcomeUnknown
	}
}

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case c.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		select {
		case first := <-c.queue:
			batch := c.collectBatch(first)
			go func() {
				defer func() { <-c.slots }()
				c.commit(batch)
			}()
		case <-ctx.Done():
			<-c.slots
			return
		}
	}
}

func (c *committer) collectBatch(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxKeysPerTransaction {
		select {
		case s := <-c.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// commit retries until each submission of the batch has an outcome.
func (c *committer) commit(batch []*submission) {
	for len(batch) > 0 {
		var t tanagerport.Transaction
		batch, t = c.transaction(dropExpired(batch))
		if len(batch) == 0 {
			return
		}
		ctx, cancel := sharedContext(batch)
		_, items, err := c.store.Commit(ctx, t)
		cancel()
		switch {
		case err == nil:
			c.resolveStored(batch)
			return
		case errorx.IsOfType(err, tanagerport.Conflict):
			batch = c.resolveExisting(batch, items)
		case errorx.IsOfType(err, tanagerport.Refused):
			c.onCommitError(len(batch), err)
			if !anyIndeterminate(batch) {
				resolveAll(batch, outcomeRejected)
				return
			}
			batch = rejectDeterminate(batch)
			time.Sleep(storeRetryDelay)
		default:
			// No response, or a malformed one: the write may have been applied.
			c.onCommitError(len(batch), err)
			for _, s := range batch {
				s.indeterminate = true
			}
			time.Sleep(storeRetryDelay)
		}
	}
}

// sharedContext returns a context that ends when those of all submissions have
// ended, at the latest after commitTimeout. Calling cancel releases it.
func sharedContext(batch []*submission) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCall := context.WithTimeout(context.Background(), commitTimeout)
	var waiting atomic.Int64
	waiting.Store(int64(len(batch)))
	stops := make([]func() bool, 0, len(batch))
	for _, s := range batch {
		stops = append(stops, context.AfterFunc(s.ctx, func() {
			if waiting.Add(-1) == 0 {
				cancelCall()
			}
		}))
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancelCall()
	}
}

// dropExpired resolves submissions whose context has ended as unknown and
// returns the others.
func dropExpired(batch []*submission) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.ctx.Err() == nil {
			left = append(left, s)
			continue
		}
		s.done <- outcomeUnknown
	}
	return left
}

func anyIndeterminate(batch []*submission) bool {
	for _, s := range batch {
		if s.indeterminate {
			return true
		}
	}
	return false
}

// rejectDeterminate rejects the submissions that are not indeterminate and
// returns the others.
func rejectDeterminate(batch []*submission) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.indeterminate {
			left = append(left, s)
			continue
		}
		s.done <- outcomeRejected
	}
	return left
}

func resolveAll(batch []*submission, o submitOutcome) {
	for _, s := range batch {
		s.done <- o
	}
}

func (c *committer) resolveStored(batch []*submission) {
	for _, s := range batch {
		c.onStored(s.record)
	}
	resolveAll(batch, outcomeAccepted)
}

// resolveExisting accepts the submissions that the store already holds, reports
// the stored records, and returns the other submissions.
func (c *committer) resolveExisting(batch []*submission, items []tanagerport.Item) []*submission {
	present := make(map[string]tanagerport.Item, len(items))
	for _, item := range items {
		if item.Key == epochKey {
			c.onEpochItem(item)
		}
		if item.Revision != 0 {
			present[item.Key] = item
		}
	}
	var left []*submission
	for _, s := range batch {
		item, found := present[jobPrefix+string(s.record.ID)]
		if !found {
			left = append(left, s)
			continue
		}
		var record tanagerwork.Record
		if err := tanagerwire.Decode(item.Value, &record); err != nil {
			c.onDecodeError(s.record.ID, err)
		} else {
			c.onStored(record)
		}
		s.done <- outcomeAccepted
	}
	if len(left) == len(batch) {
		time.Sleep(conflictRetryDelay)
	}
	return left
}

// conflictRetryDelay separates two transactions when a conflict returned
// nothing new except possibly the epoch.
const conflictRetryDelay = 5 * time.Millisecond

// transaction returns the transaction that stores the submissions of a batch, and the
// submissions that it contains. It rejects those whose records cannot be encoded; no
// transaction has ever contained them.
func (c *committer) transaction(batch []*submission) ([]*submission, tanagerport.Transaction) {
	epoch, revision := c.currentEpoch()
	t := tanagerport.Transaction{
		Preconditions: []tanagerport.Precondition{{
			Key:      epochKey,
			Revision: revision,
		}},
	}
	written := make(map[string]bool, len(batch))
	var contained []*submission
	for _, s := range batch {
		s.record.Epoch = epoch
		value, err := tanagerwire.Marshal(s.record)
		if err != nil {
			c.onEncodeError(s.record.ID, err)
			s.done <- outcomeRejected
			continue
		}
		contained = append(contained, s)
		key := jobPrefix + string(s.record.ID)
		if written[key] {
			continue
		}
		written[key] = true
		t.Preconditions = append(t.Preconditions, tanagerport.Precondition{Key: key})
		t.Writes = append(t.Writes, tanagerport.Write{
			Key:   key,
			Value: value,
		})
	}
	return contained, t
}
