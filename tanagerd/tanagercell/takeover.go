package tanagercell

import (
	"strings"
	"sync"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// storedState is what a new scheduler reads from the store.
type storedState struct {
	jobs           []tanagerwork.Record
	progress       map[tanagerwork.JobID]*tanagerwork.Progress
	revisions      map[tanagerwork.JobID]int64
	cancelled      []tanagerwork.JobID
	roster         []string
	daemons        []string
	rosterRevision int64
	// intakeRevision is the store's revision from which the intake was read.
	intakeRevision int64
	// workers is the listing of the workers' entries.
	workers tanagerport.Page
	// leader holds the items of the scheduler's keys, and requestedAt is when the
	// listing that they are from was requested.
	leader      []tanagerport.Item
	requestedAt time.Time
	// listings describes what was read, by prefix.
	listings []listing
}

// listing describes the keys that were read under a prefix, for the log.
type listing struct {
	prefix string
	items  int
	// revision is the store's revision at the first page, newest the highest
	// revision of an item.
	revision, newest int64
}

func newListing(prefix string, page tanagerport.Page) listing {
	l := listing{
		prefix:   prefix,
		items:    len(page.Items),
		revision: page.Revision,
	}
	for _, item := range page.Items {
		l.newest = max(l.newest, item.Revision)
	}
	return l
}

// takeOver starts a term as the scheduler. It reads the stored state first;
// jobs and cancellations that arrive meanwhile are deferred.
func (c *control) takeOver() {
	c.term++
	c.lastTermEpoch = c.leader.epoch
	c.termStartedAt = c.timer.Now()
	c.loading = true
	c.writer = newStoreWriter()
	c.authority = newAuthority(c.termStartedAt)
	c.laterJobs = nil
	c.members = make(map[string]member)
	c.cell = tanagerdispatch.New(c.settings.Dispatch, c.leader.epoch, c.timer.Now())
	c.log.Info().Str("event", "scheduler_start").Uint64("epoch", c.leader.epoch).Send()
	go c.loadStoredState(c.term)
}

// loadStoredState retries until the read succeeds or the daemon closes.
func (c *control) loadStoredState(term uint64) {
	for c.ctx.Err() == nil {
		state, err := c.readStoredState()
		if err == nil {
			c.post(storedStateLoaded{
				term:  term,
				state: state,
			})
			return
		}
		c.log.Warn().Str("event", "takeover_read_failed").Err(err).Send()
		sleepContext(c.ctx, storeRetryDelay)
	}
}

func (c *control) readStoredState() (*storedState, error) {
	state := &storedState{
		progress:  make(map[tanagerwork.JobID]*tanagerwork.Progress),
		revisions: make(map[tanagerwork.JobID]int64),

		requestedAt: c.timer.Now(),
	}
	prefixes := []string{intakePrefix, outcomePrefix, leaderPrefix, c.ports.Decoder.WorkerPrefix()}
	pages := make([]tanagerport.Page, len(prefixes))
	errs := make([]error, len(prefixes))
	var wg sync.WaitGroup
	for i, prefix := range prefixes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			pages[i], errs[i] = listAll(c.ctx, c.ports.Store, prefix)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	for i, page := range pages {
		state.listings = append(state.listings, newListing(prefixes[i], page))
	}
	state.intakeRevision = pages[0].Revision
	state.workers = pages[len(pages)-1]
	for _, page := range pages[:len(pages)-1] {
		for _, item := range page.Items {
			if err := state.addItem(item); err != nil {
				c.log.Error().Str("event", "record_decode_failed").Str("key", item.Key).Err(err).Send()
			}
		}
	}
	return state, nil
}

func (s *storedState) addItem(item tanagerport.Item) error {
	switch {
	case strings.HasPrefix(item.Key, jobPrefix):
		var record tanagerwork.Record
		if err := tanagerwire.Decode(item.Value, &record); err != nil {
			return err
		}
		s.jobs = append(s.jobs, record)
	case strings.HasPrefix(item.Key, cancelPrefix):
		s.cancelled = append(s.cancelled, tanagerwork.JobID(item.Key[len(cancelPrefix):]))
	case strings.HasPrefix(item.Key, outcomePrefix):
		id := tanagerwork.JobID(item.Key[len(outcomePrefix):])
		s.revisions[id] = item.Revision
		var progress tanagerwork.Progress
		if err := tanagerwire.Decode(item.Value, &progress); err != nil {
			return err
		}
		s.progress[id] = &progress
	case item.Key == holderKey || item.Key == epochKey:
		s.leader = append(s.leader, item)
	case item.Key == rosterKey:
		var roster rosterRecord
		if err := tanagerwire.Decode(item.Value, &roster); err != nil {
			return err
		}
		s.roster = roster.Workers
		s.daemons = roster.Daemons
		s.rosterRevision = item.Revision
	}
	return nil
}

type storedStateLoaded struct {
	term  uint64
	state *storedState
}

func (e storedStateLoaded) apply(c *control) {
	if !c.isCurrentTerm(e.term) {
		return
	}
	now := c.timer.Now()
	for _, item := range e.state.leader {
		c.applyLeaderItem(item)
	}
	if !c.isCurrentTerm(e.term) {
		// Another daemon was elected before the listing.
		return
	}
	if c.isLeader() {
		c.confirmAuthority(e.state.requestedAt)
	}
	c.authority.addElectorate(e.state.daemons, c.member, now)
	c.writer.storedDaemons = e.state.daemons
	workerUpdate{
		page:     e.state.workers,
		snapshot: true,
	}.apply(c)
	c.writer.revisions = e.state.revisions
	c.writer.rosterRevision = e.state.rosterRevision
	c.writer.intakeRevision = e.state.intakeRevision
	if c.configuration != nil {
		c.cell.Configure(*c.configuration)
	}
	if c.leader.epoch > 1 {
		c.cell.AddPredecessorWorkers(now, append(e.state.roster, workerIDs(c.workers)...))
	}
	for _, w := range c.waves {
		c.cell.AddWave(now, w)
	}
	for _, record := range e.state.jobs {
		if err := record.Spec.CheckStructure(); err != nil {
			c.log.Error().Str("event", "job_record_invalid").Str("job", string(record.ID)).Err(err).Send()
			continue
		}
		c.cell.AddJob(now, record, e.state.progress[record.ID])
	}
	for _, id := range e.state.cancelled {
		c.cell.CancelJob(id)
	}
	c.loading = false
	c.minTakeoverTimeout = 0
	c.logTakeover(e.state)
	for _, d := range c.deferred {
		d.apply(c)
	}
	c.deferred = nil
}

// logTakeover logs what the scheduler's term begins with.
func (c *control) logTakeover(state *storedState) {
	for _, l := range state.listings {
		c.log.Info().Str("event", "takeover_read").Uint64("epoch", c.leader.epoch).Str("prefix", l.prefix).
			Int("items", l.items).Int64("revision", l.revision).Int64("newest", l.newest).Send()
	}
	started, ended := 0, 0
	for _, record := range state.jobs {
		switch p := state.progress[record.ID]; {
		case p == nil:
		case p.State.Final():
			ended++
		default:
			started++
		}
	}
	c.log.Info().Str("event", "takeover_done").Uint64("epoch", c.leader.epoch).
		Int64("epoch_revision", c.leader.epochRevision).Int("jobs", len(state.jobs)).
		Int("with_progress", started).Int("ended", ended).Int("cancelled", len(state.cancelled)).
		Int("workers", len(c.workers)).Int("roster", len(state.roster)).
		Dur("took_ms", c.timer.Now().Sub(c.termStartedAt)).Send()
}

func workerIDs(workers map[string]tanagerport.WorkerEntry) []string {
	ids := make([]string, 0, len(workers))
	for id := range workers {
		ids = append(ids, id)
	}
	return ids
}

// jobAdded adds an accepted job to the cell, or defers it until the stored
// state has been read.
type jobAdded struct{ record tanagerwork.Record }

func (e jobAdded) apply(c *control) {
	if err := e.record.Spec.CheckStructure(); err != nil {
		c.log.Error().Str("event", "job_record_invalid").Str("job", string(e.record.ID)).Err(err).Send()
		return
	}
	switch {
	case c.cell == nil:
	case c.loading:
		c.deferred = append(c.deferred, e)
	case e.record.Epoch > c.cell.Epoch():
		// The election that this daemon has not heard of yet may be its own.
		c.laterJobs = append(c.laterJobs, e)
	default:
		c.cell.AddJob(c.timer.Now(), e.record, nil)
	}
}

type cancelAdded struct{ id tanagerwork.JobID }

func (e cancelAdded) apply(c *control) {
	switch {
	case c.cell == nil:
	case c.loading:
		c.deferred = append(c.deferred, e)
	case !c.cell.CancelJob(e.id):
		c.log.Warn().Str("event", "cancel_of_unknown_job").Str("job", string(e.id)).Send()
	}
}

// intakeRead reports that all jobs that were accepted before a time have been
// applied, since a watch or a listing that began then has been.
type intakeRead struct{ seenUntil time.Time }

func (e intakeRead) apply(c *control) {
	if c.cell != nil && !c.loading {
		c.cell.JobsKnown(e.seenUntil)
	}
}

// intakeUpdate applies the intake keys that a watch returned. It makes up for
// lost messages about jobs and cancellations.
type intakeUpdate struct{ page tanagerport.Page }

func (e intakeUpdate) apply(c *control) {
	switch {
	case c.cell == nil:
		return
	case c.loading:
		c.deferred = append(c.deferred, e)
		return
	}
	var state storedState
	for _, item := range e.page.Items {
		if item.Deleted || c.writer.predatesRemoval(item) {
			continue
		}
		if err := state.addItem(item); err != nil {
			c.log.Error().Str("event", "record_decode_failed").Str("key", item.Key).Err(err).Send()
		}
	}
	for _, record := range state.jobs {
		jobAdded{record: record}.apply(c)
	}
	for _, id := range state.cancelled {
		cancelAdded{id: id}.apply(c)
	}
	c.writer.forgetRemovals(e.page.Revision)
}
