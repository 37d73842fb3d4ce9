package tanagercontrol

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// journalRetryDelay is the delay before a retry after the store has failed.
const journalRetryDelay = 500 * time.Millisecond

// jobShard is the state of a job shard that this daemon owns.
type jobShard struct {
	shard tanagershard.Shard
	epoch uint64
	table *tanagerjob.Table
	// loaded is set once the journal has been replayed under this epoch.
	loaded bool
	// unrecovered are the worker shards whose tasks are not all known yet.
	unrecovered map[tanagershard.Shard]bool
	// queue holds the tasks that wait to be offered.
	queue *taskQueue
	gangs map[string]*gangRow
	// allocated are the resources that are or may be allocated to the
	// tasks of each branch.
	allocated map[string]tanagerresource.Vector
	// lastJob is the number of the last job accepted in this epoch.
	lastJob uint64

	// pending are the entries that wait to be written, writing those that are
	// being written.
	pending     []pendingEntry
	writing     []pendingEntry
	journalBusy bool
	retryAt     time.Time
	// flushNow is set while an entry waits that must not be delayed. batchSince
	// is since when other entries have been delayed to be written in one batch.
	flushNow   bool
	batchSince time.Time
	// journalRecords and journalBytes measure the journal since its last
	// snapshot.
	journalRecords int
	journalBytes   int
}

// pendingEntry is a journal entry that is not written yet, with the callers
// that wait for it.
type pendingEntry struct {
	entry   tanagerjob.Entry
	waiters []waiter
}

// openJournal starts to load the journal of a shard that this daemon has
// gained.
func (c *Control) openJournal(s tanagershard.Shard, epoch uint64) {
	js := &jobShard{
		shard:       s,
		epoch:       epoch,
		table:       tanagerjob.NewTable(),
		unrecovered: make(map[tanagershard.Shard]bool),
		queue:       newTaskQueue(),
		gangs:       make(map[string]*gangRow),
		allocated:   make(map[string]tanagerresource.Vector),
		journalBusy: true,
	}
	c.jobs.shards[s] = js
	c.Effects.LoadJournal(s, epoch)
}

// closeJournal removes a shard that this daemon no longer owns.
func (c *Control) closeJournal(s tanagershard.Shard) {
	js := c.jobs.shards[s]
	if js == nil {
		return
	}
	delete(c.jobs.shards, s)
	c.jobs.forgetOfferCounts(js)
	for _, p := range append(js.writing, js.pending...) {
		c.failMovedEntry(p)
	}
}

// failMovedEntry tells the waiters of an entry that the shard has moved. An
// entry that was being written may still be accepted; the job's key makes a
// repeat safe.
func (c *Control) failMovedEntry(p pendingEntry) {
	for _, w := range p.waiters {
		c.respondToJobCall(w, tanagermessage.JobResponse{
			Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown,
				"the branch has moved to another daemon: submit again with the same key").
				WithRetryAfter(c.jitter(journalRetryDelay)),
		})
	}
}

// handleJournalLoaded replays the journal of a shard and starts its recovery.
func (c *Control) handleJournalLoaded(_ string, m tanagermessage.JournalLoaded, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch {
		return
	}
	js.journalBusy = false
	if m.Err != nil {
		c.Log.Warn().Str("event", "journal_load_failed").Int("shard", int(m.Shard)).Err(m.Err).Send()
		js.retryAt = now.Add(journalRetryDelay)
		if errorx.IsOfType(m.Err, tanagerjournal.Fenced) {
			// The newer map that names the successor will arrive.
			c.closeJournal(m.Shard)
		}
		return
	}
	if err := replayJobs(js.table, m.Recovery); err != nil {
		c.Log.Error().Str("event", "journal_malformed").Int("shard", int(m.Shard)).Err(err).Send()
		js.retryAt = now.Add(journalRetryDelay)
		return
	}
	js.loaded = true
	js.journalRecords = len(m.Recovery.Records) + 1
	for _, r := range m.Recovery.Records {
		js.journalBytes += len(r.Payload)
	}
	c.resolveUncertainWrites(js)
	c.startRecovery(js, now)
}

func replayJobs(t *tanagerjob.Table, r tanagerjournal.Recovery) error {
	if err := t.Restore(r.Snapshot); err != nil {
		return err
	}
	for _, record := range r.Records {
		var entries []tanagerjob.Entry
		if err := tanagerwire.Decode(record.Payload, &entries); err != nil {
			return err
		}
		for _, e := range entries {
			t.Apply(e)
		}
	}
	return nil
}

// resolveUncertainWrites handles the entries whose write was ambiguous, after
// the journal has been read again.
func (c *Control) resolveUncertainWrites(js *jobShard) {
	uncertain := js.writing
	js.writing = nil
	for _, p := range uncertain {
		switch {
		case p.entry.Accept != nil:
			c.resolveAccept(js, p)
		case p.entry.End != nil, p.entry.Cancel != nil:
			// These entries are idempotent.
			js.pending = append(js.pending, p)
		}
	}
}

func (c *Control) resolveAccept(js *jobShard, p pendingEntry) {
	j := js.table.ByKey(p.entry.Accept.Branch, p.entry.Accept.Spec.Key)
	response := tanagermessage.JobResponse{
		Failure: c.storeUnavailable(),
	}
	if j != nil {
		response = tanagermessage.JobResponse{
			Jobs: []tanagermessage.JobStatus{c.jobStatus(j)},
		}
	}
	for _, w := range p.waiters {
		c.respondToJobCall(w, response)
	}
}

func (c *Control) storeUnavailable() *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.StoreUnavailable,
		"the platform's store does not take the job").WithRetryAfter(c.jitter(time.Second))
}

// queueEntry queues an entry to be written to the journal. Outcomes are batched
// for a short time, so that a peak of ending tasks causes few writes to the
// store. Every other entry is written at once, together with the outcomes that
// wait.
func (js *jobShard) queueEntry(e tanagerjob.Entry, waiters ...waiter) {
	js.flushNow = js.flushNow || e.End == nil
	js.pending = append(js.pending, pendingEntry{
		entry:   e,
		waiters: waiters,
	})
}

// writeJournals starts the writes that are due, one at a time per shard, each
// with all pending entries up to maxJournalBatch.
func (c *Control) writeJournals(now time.Time) {
	for _, js := range c.jobs.shards {
		if js.journalBusy || now.Before(js.retryAt) {
			continue
		}
		if !js.loaded {
			js.journalBusy = true
			c.Effects.LoadJournal(js.shard, js.epoch)
			continue
		}
		if js.writeDue(now) {
			c.writeJournal(js)
		}
	}
}

// writeDue reports whether the pending entries are to be written now.
func (js *jobShard) writeDue(now time.Time) bool {
	if len(js.pending) == 0 {
		return false
	}
	if js.batchSince.IsZero() {
		js.batchSince = now
	}
	return js.flushNow || len(js.pending) >= outcomeBatchSize || now.Sub(js.batchSince) >= outcomeBatchDelay
}

func (c *Control) writeJournal(js *jobShard) {
	n := min(len(js.pending), maxJournalBatch)
	js.flushNow = n < len(js.pending)
	js.batchSince = time.Time{}
	js.writing = js.pending[:n:n]
	js.pending = append([]pendingEntry(nil), js.pending[n:]...)
	entries := make([]tanagerjob.Entry, n)
	for i, p := range js.writing {
		entries[i] = p.entry
	}
	payload := tanagerwire.Encode(entries)
	var state []byte
	if js.journalRecords >= snapshotAfterRecords || js.journalBytes+len(payload) > snapshotAfterBytes {
		js.table.DropExpired(c.WallClock())
		state = js.table.Snapshot(c.WallClock())
		js.journalRecords = 0
		js.journalBytes = 0
	}
	js.journalRecords++
	js.journalBytes += len(payload)
	js.journalBusy = true
	c.Effects.AppendJournal(js.shard, js.epoch, payload, state)
}

func (c *Control) handleJournalWritten(_ string, m tanagermessage.JournalWritten, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch {
		return
	}
	js.journalBusy = false
	switch {
	case m.Err == nil:
		written := js.writing
		js.writing = nil
		for _, p := range written {
			js.applyEntry(p.entry)
			c.entryWritten(js, p, now)
		}
	case errorx.IsOfType(m.Err, tanagerstore.Unavailable), errorx.IsOfType(m.Err, tanagerstore.RateLimited):
		c.requeueFailedWrite(js, now)
	default:
		c.Log.Warn().Str("event", "journal_write_uncertain").Int("shard", int(m.Shard)).Err(m.Err).Send()
		c.reloadJournal(js)
	}
}

// applyEntry applies an entry that is now in the journal.
func (js *jobShard) applyEntry(e tanagerjob.Entry) {
	if e.End != nil {
		if j, t := js.table.Task(e.End.Job, e.End.Index); t != nil && t.State != tanagerjob.Ended {
			js.setTaskState(j, t, tanagerjob.Pending)
		}
	}
	js.table.Apply(e)
}

// requeueFailedWrite requeues entries that certainly were not written.
// Submissions are rejected at once, all other entries are retried after
// journalRetryDelay.
func (c *Control) requeueFailedWrite(js *jobShard, now time.Time) {
	js.retryAt = now.Add(journalRetryDelay)
	js.journalRecords = snapshotAfterRecords
	var kept []pendingEntry
	for _, p := range append(js.writing, js.pending...) {
		if p.entry.Accept == nil {
			kept = append(kept, p)
			continue
		}
		for _, w := range p.waiters {
			c.respondToJobCall(w, tanagermessage.JobResponse{
				Failure: c.storeUnavailable(),
			})
		}
	}
	js.writing = nil
	js.pending = kept
	js.flushNow = true
}

// reloadJournal reads the journal again after a write with an unknown result.
// The tasks are recovering until the owners of the workers have reported them.
func (c *Control) reloadJournal(js *jobShard) {
	c.jobs.forgetOfferCounts(js)
	js.table = tanagerjob.NewTable()
	js.queue = newTaskQueue()
	js.gangs = make(map[string]*gangRow)
	js.allocated = make(map[string]tanagerresource.Vector)
	js.loaded = false
	js.journalBytes = 0
	js.journalBusy = true
	c.Effects.LoadJournal(js.shard, js.epoch)
}
