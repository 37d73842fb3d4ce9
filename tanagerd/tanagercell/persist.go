package tanagercell

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// recorder writes the progress of jobs. Each key is written on the condition of
// its last known revision, so that a transaction that is carried out late cannot
// undo a newer one, and of the epoch's, so that a replaced scheduler writes
// nothing.
type recorder struct {
	revisions map[tanagerwork.JobID]int64
	inFlight  int
	last      time.Time
	notBefore time.Time
	// roster is the state of the roster's key.
	rosterRevision int64
	rosterInFlight bool
}

func newRecorder() *recorder {
	return &recorder{revisions: make(map[tanagerwork.JobID]int64)}
}

// flush sends the progress that is not stored.
func (c *control) flush(now time.Time) {
	r := c.recorder
	if now.Before(r.notBefore) || now.Sub(r.last) < writeGap {
		return
	}
	for r.inFlight < writesInFlight {
		snapshots := c.cell.Unwritten(pairsPerWrite)
		if len(snapshots) == 0 {
			return
		}
		r.last = now
		r.inFlight++
		t := c.progressWrite(snapshots)
		term := c.term
		go func() {
			revision, items, err := c.ports.Store.Commit(c.ctx, t)
			c.metrics.OrderAnswered(c.ctx, "progress", c.timer.Now().Sub(now))
			c.post(progressWritten{
				took:      c.timer.Now().Sub(now),
				term:      term,
				snapshots: snapshots,
				revision:  revision,
				items:     items,
				err:       err,
			})
		}()
	}
}

func (c *control) progressWrite(snapshots []tanagerdispatch.Snapshot) tanagerport.Transaction {
	t := tanagerport.Transaction{Expect: []tanagerport.Expectation{c.epochExpectation()}}
	for _, s := range snapshots {
		key := outcomeKeys + string(s.Job)
		t.Expect = append(t.Expect, tanagerport.Expectation{
			Key:      key,
			Revision: c.recorder.revisions[s.Job],
		})
		t.Writes = append(t.Writes, tanagerport.Write{
			Key:   key,
			Value: tanagerwire.Encode(s.Progress),
		})
	}
	return t
}

func (c *control) epochExpectation() tanagerport.Expectation {
	return tanagerport.Expectation{
		Key:      epochKey,
		Revision: c.lead.epochRevision,
	}
}

type progressWritten struct {
	term      uint64
	snapshots []tanagerdispatch.Snapshot
	revision  int64
	items     []tanagerport.Item
	took      time.Duration
	err       error
}

func (e progressWritten) apply(c *control) {
	if !c.inTerm(e.term) {
		return
	}
	c.recorder.inFlight--
	if e.err != nil {
		c.recorder.notBefore = c.timer.Now().Add(storePause)
		c.noteStore(e.err)
		c.log.Warn().Str("event", "progress_not_written").Int("jobs", len(e.snapshots)).Dur("took_ms", e.took).Err(e.err).Send()
	}
	if errorx.IsOfType(e.err, tanagerport.Conflict) {
		c.recorder.notBefore = time.Time{}
		c.learnRevisions(e.items)
	}
	for _, s := range e.snapshots {
		if e.err == nil {
			c.recorder.revisions[s.Job] = e.revision
		}
		if c.cell != nil {
			c.cell.Written(s.Job, s.Version, e.err == nil)
		}
	}
}

// learnRevisions takes the present revisions from a conflict. A newer epoch ends
// this scheduler's term.
func (c *control) learnRevisions(items []tanagerport.Item) {
	for _, i := range items {
		if i.Key == epochKey {
			c.learnLead(i)
			continue
		}
		if len(i.Key) > len(outcomeKeys) && i.Key[:len(outcomeKeys)] == outcomeKeys {
			c.recorder.revisions[tanagerwork.JobID(i.Key[len(outcomeKeys):])] = i.Revision
		}
	}
}

// storeRoster writes the workers that a successor has to account for, before the
// first of them gets work.
func (c *control) storeRoster() {
	r := c.recorder
	if r.rosterInFlight || c.timer.Now().Before(r.notBefore) {
		return
	}
	if !c.cell.RosterChanged() {
		return
	}
	ids := c.cell.Roster()
	r.rosterInFlight = true
	t := tanagerport.Transaction{
		Expect: []tanagerport.Expectation{
			c.epochExpectation(),
			{
				Key:      rosterKey,
				Revision: r.rosterRevision,
			},
		},
		Writes: []tanagerport.Write{{
			Key:   rosterKey,
			Value: tanagerwire.Encode(rosterRecord{Workers: ids}),
		}},
	}
	term := c.term
	go func() {
		revision, items, err := c.ports.Store.Commit(c.ctx, t)
		c.post(rosterWritten{
			term:     term,
			ids:      ids,
			revision: revision,
			items:    items,
			err:      err,
		})
	}()
}

type rosterWritten struct {
	term     uint64
	ids      []string
	revision int64
	items    []tanagerport.Item
	err      error
}

func (e rosterWritten) apply(c *control) {
	if !c.inTerm(e.term) {
		return
	}
	c.recorder.rosterInFlight = false
	if e.err == nil {
		c.recorder.rosterRevision = e.revision
		c.cell.RosterStored(e.ids)
		return
	}
	c.log.Warn().Str("event", "roster_not_written").Int("workers", len(e.ids)).Err(e.err).Send()
	c.noteStore(e.err)
	c.recorder.notBefore = c.timer.Now().Add(storePause)
	for _, i := range e.items {
		switch i.Key {
		case rosterKey:
			c.recorder.rosterRevision = i.Revision
		case epochKey:
			c.learnLead(i)
		}
	}
}

// removeExpired removes the keys of jobs whose state need not be kept.
func (c *control) removeExpired(ctx context.Context, now time.Time) {
	if now.Sub(c.lastRemoval) < removalInterval {
		return
	}
	c.lastRemoval = now
	ids := c.cell.Expired(now, jobsPerRemoval)
	if len(ids) == 0 {
		return
	}
	t := tanagerport.Transaction{Expect: []tanagerport.Expectation{c.epochExpectation()}}
	for _, id := range ids {
		t.Remove = append(t.Remove, jobPrefix+string(id), cancelPrefix+string(id), outcomeKeys+string(id))
	}
	term := c.term
	go func() {
		_, _, err := c.ports.Store.Commit(ctx, t)
		c.post(jobsRemoved{
			term: term,
			ids:  ids,
			err:  err,
		})
	}()
}

const (
	// removalInterval spaces the removals of expired jobs, and jobsPerRemoval
	// fills one transaction: together more than the target's rate of jobs.
	removalInterval = 200 * time.Millisecond
	jobsPerRemoval  = 10
)

type jobsRemoved struct {
	term uint64
	ids  []tanagerwork.JobID
	err  error
}

func (e jobsRemoved) apply(c *control) {
	if !c.inTerm(e.term) {
		return
	}
	if e.err != nil {
		c.log.Warn().Str("event", "jobs_not_removed").Int("jobs", len(e.ids)).Err(e.err).Send()
		return
	}
	for _, id := range e.ids {
		c.cell.Forget(id)
		delete(c.recorder.revisions, id)
	}
}
