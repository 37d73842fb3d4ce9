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

// journalRetry is the time between two tries after the store has failed.
const journalRetry = 500 * time.Millisecond

// jobShard is the table row of a job shard that this daemon owns.
type jobShard struct {
	shard tanagershard.Shard
	epoch uint64
	table *tanagerjob.Table
	// loaded is set once the journal is loaded and taken over.
	loaded bool
	// missing are the worker shards whose tasks are not all known yet.
	missing map[tanagershard.Shard]bool
	// queue holds the tasks that wait to be offered.
	queue *taskQueue
	gangs map[string]*gangRow
	// held is what the tasks of each branch hold or may hold.
	held map[string]tanagerresource.Vector
	// number counts the jobs accepted in this epoch.
	number uint64

	// pending are changes that wait to be written, writing those under way.
	pending []change
	writing []change
	busy    bool
	retryAt time.Time
	// urgent is set while a change waits that somebody waits for, oldest is
	// since when others gather.
	urgent bool
	oldest time.Time
	// records and bytes measure the journal's window.
	records int
	bytes   int
}

// change is an entry for the journal with those who wait for it.
type change struct {
	entry   tanagerjob.Entry
	waiters []waiter
}

// openJournal begins to take over the journal of a shard.
func (c *Control) openJournal(s tanagershard.Shard, epoch uint64) {
	js := &jobShard{
		shard:   s,
		epoch:   epoch,
		table:   tanagerjob.NewTable(),
		missing: make(map[tanagershard.Shard]bool),
		queue:   newTaskQueue(),
		gangs:   make(map[string]*gangRow),
		held:    make(map[string]tanagerresource.Vector),
		busy:    true,
	}
	c.jobs.shards[s] = js
	c.Effects.LoadJournal(s, epoch)
}

// closeJournal forgets a shard that this daemon owns no longer.
func (c *Control) closeJournal(s tanagershard.Shard) {
	js := c.jobs.shards[s]
	if js == nil {
		return
	}
	delete(c.jobs.shards, s)
	c.jobs.forgetOffers(js)
	for _, ch := range append(js.writing, js.pending...) {
		c.answerMoved(ch)
	}
}

// answerMoved tells submitters that the shard has moved. What was being written
// may be accepted all the same; the job's key makes a repeat safe.
func (c *Control) answerMoved(ch change) {
	for _, w := range ch.waiters {
		c.answerJob(w, tanagermessage.JobAnswer{
			Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, "the branch has moved to another daemon: submit again with the same key").After(c.jitter(journalRetry)),
		})
	}
}

// journalLoaded fills the table of a shard and begins its recovery.
func (c *Control) journalLoaded(_ string, m tanagermessage.JournalLoaded, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch {
		return
	}
	js.busy = false
	if m.Err != nil {
		c.Log.Warn().Str("event", "journal_load_failed").Int("shard", int(m.Shard)).Err(m.Err).Send()
		js.retryAt = now.Add(journalRetry)
		if errorx.IsOfType(m.Err, tanagerjournal.Fenced) {
			// The newer map that names the successor is on its way.
			c.closeJournal(m.Shard)
		}
		return
	}
	if err := replayJobs(js.table, m.Recovery); err != nil {
		c.Log.Error().Str("event", "journal_malformed").Int("shard", int(m.Shard)).Err(err).Send()
		js.retryAt = now.Add(journalRetry)
		return
	}
	js.loaded = true
	js.records = len(m.Recovery.Records) + 1
	for _, r := range m.Recovery.Records {
		js.bytes += len(r.Payload)
	}
	c.resubmit(js)
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

// resubmit settles the changes whose write was ambiguous, now that the journal
// was read again.
func (c *Control) resubmit(js *jobShard) {
	uncertain := js.writing
	js.writing = nil
	for _, ch := range uncertain {
		switch {
		case ch.entry.Accept != nil:
			c.settleAccept(js, ch)
		case ch.entry.End != nil, ch.entry.Cancel != nil:
			// Applying these twice changes nothing.
			js.pending = append(js.pending, ch)
		}
	}
}

func (c *Control) settleAccept(js *jobShard, ch change) {
	j := js.table.ByKey(ch.entry.Accept.Branch, ch.entry.Accept.Spec.Key)
	answer := tanagermessage.JobAnswer{
		Failure: c.storeUnavailable(),
	}
	if j != nil {
		answer = tanagermessage.JobAnswer{
			Jobs: []tanagermessage.JobStatus{c.jobStatus(j)},
		}
	}
	for _, w := range ch.waiters {
		c.answerJob(w, answer)
	}
}

func (c *Control) storeUnavailable() *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.StoreUnavailable, "the platform's store does not take the job").After(c.jitter(time.Second))
}

// write queues a change for the journal. Outcomes gather for a short time, so
// that a peak of ends costs the store few writes; everything else is written at
// once, with the outcomes that wait.
func (js *jobShard) write(e tanagerjob.Entry, waiters ...waiter) {
	js.urgent = js.urgent || e.End == nil
	js.pending = append(js.pending, change{
		entry:   e,
		waiters: waiters,
	})
}

// writeJournals starts the writes that are due: one at a time for each shard,
// each with all changes that wait.
func (c *Control) writeJournals(now time.Time) {
	for _, js := range c.jobs.shards {
		if js.busy || now.Before(js.retryAt) {
			continue
		}
		if !js.loaded {
			js.busy = true
			c.Effects.LoadJournal(js.shard, js.epoch)
			continue
		}
		if js.due(now) {
			c.writeJournal(js)
		}
	}
}

// due reports whether the changes that wait are to be written now.
func (js *jobShard) due(now time.Time) bool {
	if len(js.pending) == 0 {
		return false
	}
	if js.oldest.IsZero() {
		js.oldest = now
	}
	return js.urgent || len(js.pending) >= endsBatch || now.Sub(js.oldest) >= endsGather
}

func (c *Control) writeJournal(js *jobShard) {
	n := min(len(js.pending), journalBatch)
	js.urgent = n < len(js.pending)
	js.oldest = time.Time{}
	js.writing = js.pending[:n:n]
	js.pending = append([]change(nil), js.pending[n:]...)
	entries := make([]tanagerjob.Entry, n)
	for i, ch := range js.writing {
		entries[i] = ch.entry
	}
	payload := tanagerwire.Encode(entries)
	var state []byte
	if js.records >= journalWindow || js.bytes+len(payload) > journalBytes {
		js.table.Forget(c.Wall())
		state = js.table.Snapshot(c.Wall())
		js.records = 0
		js.bytes = 0
	}
	js.records++
	js.bytes += len(payload)
	js.busy = true
	c.Effects.AppendJournal(js.shard, js.epoch, payload, state)
}

// journalWritten takes the result of a write.
func (c *Control) journalWritten(_ string, m tanagermessage.JournalWritten, now time.Time) {
	js := c.jobs.shards[m.Shard]
	if js == nil || js.epoch != m.Epoch {
		return
	}
	js.busy = false
	switch {
	case m.Err == nil:
		written := js.writing
		js.writing = nil
		for _, ch := range written {
			js.apply(ch.entry)
			c.changed(js, ch, now)
		}
	case errorx.IsOfType(m.Err, tanagerstore.Unavailable), errorx.IsOfType(m.Err, tanagerstore.OverBudget):
		c.writeRefused(js, now)
	default:
		c.Log.Warn().Str("event", "journal_write_uncertain").Int("shard", int(m.Shard)).Err(m.Err).Send()
		c.reloadJournal(js)
	}
}

// apply makes the change of an entry that is now in the journal.
func (js *jobShard) apply(e tanagerjob.Entry) {
	if e.End != nil {
		if j, t := js.table.Task(e.End.Job, e.End.Index); t != nil && t.State != tanagerjob.Ended {
			js.set(j, t, tanagerjob.Pending)
		}
	}
	js.table.Apply(e)
}

// writeRefused puts back what certainly was not written. Jobs are refused at
// once; everything else is written when the store is back.
func (c *Control) writeRefused(js *jobShard, now time.Time) {
	js.retryAt = now.Add(journalRetry)
	js.records = journalWindow
	var kept []change
	for _, ch := range append(js.writing, js.pending...) {
		if ch.entry.Accept == nil {
			kept = append(kept, ch)
			continue
		}
		for _, w := range ch.waiters {
			c.answerJob(w, tanagermessage.JobAnswer{
				Failure: c.storeUnavailable(),
			})
		}
	}
	js.writing = nil
	js.pending = kept
	js.urgent = true
}

// reloadJournal reads the journal again after a write whose effect is not
// known. The tasks become uncertain until the workers' owners have told of
// them.
func (c *Control) reloadJournal(js *jobShard) {
	c.jobs.forgetOffers(js)
	js.table = tanagerjob.NewTable()
	js.queue = newTaskQueue()
	js.gangs = make(map[string]*gangRow)
	js.held = make(map[string]tanagerresource.Vector)
	js.loaded = false
	js.bytes = 0
	js.busy = true
	c.Effects.LoadJournal(js.shard, js.epoch)
}
