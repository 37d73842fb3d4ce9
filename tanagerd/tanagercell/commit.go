package tanagercell

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// outcome is what became of an attempt to accept a job.
type outcome uint8

const (
	// accepted: the job is in the store.
	accepted outcome = iota
	// refused: it is certainly not, and never will be by this attempt.
	refused
	// unsure: it may be.
	unsure
)

// submission is a job on its way into the store.
type submission struct {
	record tanagerwork.Record
	ctx    context.Context
	done   chan outcome
	// open tells that a transaction with the job was not answered.
	open bool
}

// committer writes accepted jobs, several in one transaction. A transaction that
// was not answered is sent again: its conditions make that harmless.
type committer struct {
	store Store
	queue chan *submission
	slots chan struct{}
	// lead returns the present epoch and the revision of its key.
	lead func() (uint64, int64)
	// learned receives a newer state of the epoch's key.
	learned func(item tanagerport.Item)
	// stored receives each job that is new in the store.
	stored func(record tanagerwork.Record)
	// failed is told of each transaction that had no usable answer.
	failed func(jobs int, err error)
	// unreadable is told of a stored job that cannot be decoded. The scheduler
	// finds it in the store, and says so again, when it takes over.
	unreadable func(id tanagerwork.JobID, err error)
}

func newCommitter(s Store) *committer {
	return &committer{
		store: s,
		queue: make(chan *submission, eventQueue),
		slots: make(chan struct{}, commitsInFlight),
	}
}

// submit writes a job and returns what became of it, at the latest when the
// context ends.
func (c *committer) submit(ctx context.Context, record tanagerwork.Record) outcome {
	s := &submission{
		record: record,
		ctx:    ctx,
		done:   make(chan outcome, 1),
	}
	select {
	case c.queue <- s:
	default:
		return refused
	}
	select {
	case o := <-s.done:
		return o
	case <-ctx.Done():
		return unsure
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
			batch := c.gather(first)
			go func() {
				defer func() { <-c.slots }()
				c.commit(batch)
			}()
		case <-ctx.Done():
			return
		}
	}
}

func (c *committer) gather(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < pairsPerWrite {
		select {
		case s := <-c.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// commit settles all submissions of a batch.
func (c *committer) commit(batch []*submission) {
	for len(batch) > 0 {
		batch = live(batch)
		if len(batch) == 0 {
			return
		}
		epoch, revision := c.lead()
		_, items, err := c.store.Commit(batch[0].ctx, c.transaction(batch, epoch, revision))
		switch {
		case err == nil:
			c.settleStored(batch)
			return
		case errorx.IsOfType(err, tanagerport.Conflict):
			batch = c.settleExisting(batch, items)
		case errorx.IsOfType(err, tanagerport.Refused):
			c.failed(len(batch), err)
			if !anyOpen(batch) {
				settleAll(batch, refused)
				return
			}
			batch = settleSure(batch)
			time.Sleep(storePause)
		default:
			// No answer, or none that can be read: the write may be done.
			c.failed(len(batch), err)
			for _, s := range batch {
				s.open = true
			}
			time.Sleep(storePause)
		}
	}
}

// live drops submissions whose caller has gone or whose time is up.
func live(batch []*submission) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.ctx.Err() == nil {
			left = append(left, s)
			continue
		}
		s.done <- unsure
	}
	return left
}

func anyOpen(batch []*submission) bool {
	for _, s := range batch {
		if s.open {
			return true
		}
	}
	return false
}

// settleSure refuses the submissions that no unanswered transaction holds.
func settleSure(batch []*submission) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.open {
			left = append(left, s)
			continue
		}
		s.done <- refused
	}
	return left
}

func settleAll(batch []*submission, o outcome) {
	for _, s := range batch {
		s.done <- o
	}
}

func (c *committer) settleStored(batch []*submission) {
	for _, s := range batch {
		c.stored(s.record)
	}
	settleAll(batch, accepted)
}

// settleExisting accepts what is in the store already, as it was stored, and
// returns the rest.
func (c *committer) settleExisting(batch []*submission, items []tanagerport.Item) []*submission {
	present := make(map[string]tanagerport.Item, len(items))
	for _, i := range items {
		if i.Key == epochKey {
			c.learned(i)
		}
		if i.Revision != 0 {
			present[i.Key] = i
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
			c.unreadable(s.record.ID, err)
		} else {
			c.stored(record)
		}
		s.done <- accepted
	}
	if len(left) == len(batch) {
		time.Sleep(conflictPause)
	}
	return left
}

// conflictPause is left to the store between two transactions when a conflict
// told nothing new but the epoch.
const conflictPause = 5 * time.Millisecond

func (c *committer) transaction(batch []*submission, epoch uint64, revision int64) tanagerport.Transaction {
	t := tanagerport.Transaction{
		Expect: []tanagerport.Expectation{{
			Key:      epochKey,
			Revision: revision,
		}},
	}
	present := make(map[string]bool, len(batch))
	for _, s := range batch {
		s.record.Epoch = epoch
		key := jobPrefix + string(s.record.ID)
		if present[key] {
			continue
		}
		present[key] = true
		t.Expect = append(t.Expect, tanagerport.Expectation{Key: key})
		t.Writes = append(t.Writes, tanagerport.Write{
			Key:   key,
			Value: tanagerwire.Encode(s.record),
		})
	}
	return t
}
