package tanagercell

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// storeWriter tracks the writes of a scheduler's term. Progress is written under
// two preconditions: the key's last known revision, so that a delayed transaction
// cannot overwrite a newer one, and the epoch's revision, so that a replaced
// scheduler cannot write.
type storeWriter struct {
	revisions         map[tanagerwork.JobID]int64
	progressInFlight  int
	lastProgressWrite time.Time
	backoffUntil      time.Time
	// rosterRevision is the last known revision of the roster's key.
	rosterRevision int64
	rosterInFlight bool
	// storedDaemons are the daemons in the stored roster.
	storedDaemons []string
	// intakeRevision is the store's revision from which the intake was read at the
	// takeover. removals holds, by key, the revisions at which this scheduler has
	// removed jobs, until a later state of the intake has been read.
	intakeRevision int64
	removals       map[string]int64
}

func newStoreWriter() *storeWriter {
	return &storeWriter{
		revisions: make(map[tanagerwork.JobID]int64),
		removals:  make(map[string]int64),
	}
}

// predatesRemoval reports whether an item of the intake is known to have been read
// before its key was removed, or was in the store at the takeover. The pages of a
// listing may arrive after later removals, and a removed job must not run again.
func (w *storeWriter) predatesRemoval(item tanagerport.Item) bool {
	return item.Revision <= w.intakeRevision || item.Revision < w.removals[item.Key]
}

// forgetRemovals forgets the removals that precede a revision from which the
// intake has been read.
func (w *storeWriter) forgetRemovals(revision int64) {
	for key, removed := range w.removals {
		if removed <= revision {
			delete(w.removals, key)
		}
	}
}

// writeProgress sends the progress that has not been written yet.
func (c *control) writeProgress(now time.Time) {
	w := c.writer
	if now.Before(w.backoffUntil) || now.Sub(w.lastProgressWrite) < progressWriteInterval {
		return
	}
	for w.progressInFlight < maxProgressInFlight {
		snapshots, t := c.progressTransaction(c.cell.TakeSnapshots(maxKeysPerTransaction))
		if len(snapshots) == 0 {
			return
		}
		w.lastProgressWrite = now
		w.progressInFlight++
		term := c.term
		go func() {
			revision, items, err := c.ports.Store.Commit(c.ctx, t)
			c.metrics.ObserveOrder(c.ctx, "progress", c.timer.Now().Sub(now))
			c.post(progressWritten{
				sentAt:    now,
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

// progressTransaction returns the transaction that stores snapshots, and those that it
// contains. A snapshot that the store would refuse for its size fails its job; in the
// transaction it would fail the writes of the others each time.
func (c *control) progressTransaction(
	taken []tanagerdispatch.Snapshot) ([]tanagerdispatch.Snapshot, tanagerport.Transaction) {
	t := tanagerport.Transaction{Preconditions: []tanagerport.Precondition{c.epochPrecondition()}}
	var snapshots []tanagerdispatch.Snapshot
	for _, s := range taken {
		value := tanagerwire.Encode(s.Progress)
		if len(value) > c.settings.MaxValueBytes {
			c.log.Error().Str("event", "progress_too_large").Str("job", string(s.Job)).
				Int("bytes", len(value)).Int("limit_bytes", c.settings.MaxValueBytes).Send()
			c.cell.FailUnstorable(s.Job)
			c.cell.SnapshotWritten(s.Job, s.Version, false)
			continue
		}
		snapshots = append(snapshots, s)
		key := outcomePrefix + string(s.Job)
		t.Preconditions = append(t.Preconditions, tanagerport.Precondition{
			Key:      key,
			Revision: c.writer.revisions[s.Job],
		})
		t.Writes = append(t.Writes, tanagerport.Write{
			Key:   key,
			Value: value,
		})
	}
	return snapshots, t
}

func (c *control) epochPrecondition() tanagerport.Precondition {
	return tanagerport.Precondition{
		Key:      epochKey,
		Revision: c.leader.epochRevision,
	}
}

type progressWritten struct {
	term      uint64
	snapshots []tanagerdispatch.Snapshot
	revision  int64
	items     []tanagerport.Item
	sentAt    time.Time
	took      time.Duration
	err       error
}

func (e progressWritten) apply(c *control) {
	if !c.isCurrentTerm(e.term) {
		return
	}
	c.writer.progressInFlight--
	if e.err == nil {
		storeCallFinished{}.apply(c)
		c.confirmAuthority(e.sentAt)
	} else {
		c.writer.backoffUntil = c.timer.Now().Add(storeRetryDelay)
		c.recordStoreError(e.err)
		c.log.Warn().Str("event", "progress_not_written").
			Int("jobs", len(e.snapshots)).Dur("took_ms", e.took).Err(e.err).Send()
	}
	if errorx.IsOfType(e.err, tanagerport.Conflict) {
		c.writer.backoffUntil = time.Time{}
		c.applyConflict(e.items)
	}
	for _, s := range e.snapshots {
		if e.err == nil {
			c.writer.revisions[s.Job] = e.revision
			c.logStoredState(s, e.revision, e.took)
		}
		if c.cell != nil {
			c.cell.SnapshotWritten(s.Job, s.Version, e.err == nil)
		}
	}
}

// logStoredState logs that the final state of a job has been stored.
func (c *control) logStoredState(s tanagerdispatch.Snapshot, revision int64, took time.Duration) {
	if !s.Progress.State.Final() {
		return
	}
	c.log.Info().Str("event", "state_stored").Str("job", string(s.Job)).Str("state", string(s.Progress.State)).
		Int64("revision", revision).Dur("took_ms", took).Uint64("epoch", c.leader.epoch).Send()
}

// applyConflict takes the current revisions from a conflict. A newer epoch ends
// this scheduler's term.
func (c *control) applyConflict(items []tanagerport.Item) {
	for _, item := range items {
		if item.Key == epochKey {
			c.applyLeaderItem(item)
			continue
		}
		if len(item.Key) > len(outcomePrefix) && item.Key[:len(outcomePrefix)] == outcomePrefix {
			c.writer.revisions[tanagerwork.JobID(item.Key[len(outcomePrefix):])] = item.Revision
		}
	}
}

// writeRoster stores the workers that a successor has to account for, and the daemons
// that may be elected. A worker gets tasks only after it is in the stored roster.
func (c *control) writeRoster() {
	w := c.writer
	if w.rosterInFlight || c.timer.Now().Before(w.backoffUntil) {
		return
	}
	daemons := append(c.authority.electorate(), c.member)
	if !c.cell.RosterChanged() && slices.Equal(daemons, w.storedDaemons) {
		return
	}
	ids := c.cell.Roster()
	w.rosterInFlight = true
	t := tanagerport.Transaction{
		Preconditions: []tanagerport.Precondition{
			c.epochPrecondition(),
			{
				Key:      rosterKey,
				Revision: w.rosterRevision,
			},
		},
		Writes: []tanagerport.Write{{
			Key: rosterKey,
			Value: tanagerwire.Encode(rosterRecord{
				Workers: ids,
				Daemons: daemons,
			}),
		}},
	}
	term := c.term
	go func() {
		revision, items, err := c.ports.Store.Commit(c.ctx, t)
		c.post(rosterWritten{
			term:     term,
			ids:      ids,
			daemons:  daemons,
			revision: revision,
			items:    items,
			err:      err,
		})
	}()
}

type rosterWritten struct {
	term     uint64
	ids      []string
	daemons  []string
	revision int64
	items    []tanagerport.Item
	err      error
}

func (e rosterWritten) apply(c *control) {
	if !c.isCurrentTerm(e.term) {
		return
	}
	c.writer.rosterInFlight = false
	if e.err == nil {
		c.writer.rosterRevision = e.revision
		c.writer.storedDaemons = e.daemons
		c.cell.RosterStored(e.ids)
		return
	}
	c.log.Warn().Str("event", "roster_not_written").Int("workers", len(e.ids)).Err(e.err).Send()
	c.recordStoreError(e.err)
	c.writer.backoffUntil = c.timer.Now().Add(storeRetryDelay)
	for _, item := range e.items {
		switch item.Key {
		case rosterKey:
			c.writer.rosterRevision = item.Revision
		case epochKey:
			c.applyLeaderItem(item)
		}
	}
}

// removeExpired removes the keys of jobs whose retention has ended.
func (c *control) removeExpired(ctx context.Context, now time.Time) {
	if now.Sub(c.lastRemoval) < removalInterval {
		return
	}
	c.lastRemoval = now
	ids := c.cell.ExpiredJobs(now, maxJobsPerRemoval)
	if len(ids) == 0 {
		return
	}
	t := tanagerport.Transaction{Preconditions: []tanagerport.Precondition{c.epochPrecondition()}}
	for _, id := range ids {
		t.Deletes = append(t.Deletes, jobPrefix+string(id), cancelPrefix+string(id), outcomePrefix+string(id))
	}
	term := c.term
	go func() {
		revision, _, err := c.ports.Store.Commit(ctx, t)
		c.post(jobsRemoved{
			term:     term,
			ids:      ids,
			revision: revision,
			err:      err,
		})
	}()
}

const (
	// removalInterval separates two removals of expired jobs. The keys of
	// maxJobsPerRemoval jobs fit one transaction. Together they allow more
	// removals per second than the target rate of jobs.
	removalInterval   = 200 * time.Millisecond
	maxJobsPerRemoval = 10
)

type jobsRemoved struct {
	term uint64
	ids  []tanagerwork.JobID
	// revision is the store's revision after the removal.
	revision int64
	err      error
}

func (e jobsRemoved) apply(c *control) {
	if !c.isCurrentTerm(e.term) {
		return
	}
	if e.err != nil {
		c.log.Warn().Str("event", "jobs_not_removed").Int("jobs", len(e.ids)).Err(e.err).Send()
		return
	}
	for _, id := range e.ids {
		c.cell.RemoveJob(id)
		delete(c.writer.revisions, id)
		c.writer.removals[jobPrefix+string(id)] = e.revision
		c.writer.removals[cancelPrefix+string(id)] = e.revision
	}
}
