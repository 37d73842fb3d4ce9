package tanagercell

import (
	"strings"
	"sync"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// inheritance is what a new scheduler finds in the store.
type inheritance struct {
	jobs           []tanagerwork.Record
	progress       map[tanagerwork.JobID]*tanagerwork.Progress
	revisions      map[tanagerwork.JobID]int64
	cancelled      []tanagerwork.JobID
	roster         []string
	rosterRevision int64
	workers        []tanagerport.Item
}

// takeOver begins a term as the scheduler: everything is read from the store
// first, and what daemons send meanwhile waits.
func (c *control) takeOver() {
	c.term++
	c.termBegan = c.timer.Now()
	c.loading = true
	c.recorder = newRecorder()
	c.members = make(map[string]member)
	c.cell = tanagerdispatch.New(c.settings.Dispatch, c.lead.epoch, c.timer.Now())
	c.log.Info().Str("event", "scheduler_start").Uint64("epoch", c.lead.epoch).Send()
	go c.load(c.term)
}

// load reads until it succeeds or the term ends.
func (c *control) load(term uint64) {
	for c.ctx.Err() == nil {
		found, err := c.inherit()
		if err == nil {
			c.post(loaded{
				term:  term,
				found: found,
			})
			return
		}
		c.log.Warn().Str("event", "takeover_read_failed").Err(err).Send()
		sleep(c.ctx, storePause)
	}
}

func (c *control) inherit() (*inheritance, error) {
	found := &inheritance{
		progress:  make(map[tanagerwork.JobID]*tanagerwork.Progress),
		revisions: make(map[tanagerwork.JobID]int64),
	}
	prefixes := []string{intakePrefix, outcomeKeys, leadPrefix, c.ports.Decoder.WorkerPrefix()}
	pages := make([]tanagerport.Page, len(prefixes))
	errs := make([]error, len(prefixes))
	var wait sync.WaitGroup
	for i, prefix := range prefixes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			pages[i], errs[i] = listAll(c.ctx, c.ports.Store, prefix)
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	found.workers = pages[len(pages)-1].Items
	for _, page := range pages[:len(pages)-1] {
		for _, i := range page.Items {
			if err := found.add(i); err != nil {
				c.log.Error().Str("event", "record_unreadable").Str("key", i.Key).Err(err).Send()
			}
		}
	}
	return found, nil
}

func (f *inheritance) add(i tanagerport.Item) error {
	switch {
	case strings.HasPrefix(i.Key, jobPrefix):
		var record tanagerwork.Record
		if err := tanagerwire.Decode(i.Value, &record); err != nil {
			return err
		}
		f.jobs = append(f.jobs, record)
	case strings.HasPrefix(i.Key, cancelPrefix):
		f.cancelled = append(f.cancelled, tanagerwork.JobID(i.Key[len(cancelPrefix):]))
	case strings.HasPrefix(i.Key, outcomeKeys):
		id := tanagerwork.JobID(i.Key[len(outcomeKeys):])
		f.revisions[id] = i.Revision
		var progress tanagerwork.Progress
		if err := tanagerwire.Decode(i.Value, &progress); err != nil {
			return err
		}
		f.progress[id] = &progress
	case i.Key == rosterKey:
		var roster rosterRecord
		if err := tanagerwire.Decode(i.Value, &roster); err != nil {
			return err
		}
		f.roster = roster.Workers
		f.rosterRevision = i.Revision
	}
	return nil
}

type loaded struct {
	term  uint64
	found *inheritance
}

func (e loaded) apply(c *control) {
	if !c.inTerm(e.term) {
		return
	}
	now := c.timer.Now()
	fleetRead{
		page:  tanagerport.Page{Items: e.found.workers},
		whole: true,
	}.apply(c)
	c.recorder.revisions = e.found.revisions
	c.recorder.rosterRevision = e.found.rosterRevision
	if c.configuration != nil {
		c.cell.Configure(*c.configuration)
	}
	if c.lead.epoch > 1 {
		c.cell.Inherit(now, append(e.found.roster, sortedIDs(c.fleet)...))
	}
	for _, w := range c.waves {
		c.cell.AddWave(now, w)
	}
	for _, record := range e.found.jobs {
		c.cell.AddJob(now, record, e.found.progress[record.ID])
	}
	for _, id := range e.found.cancelled {
		c.cell.CancelJob(id)
	}
	c.loading = false
	c.patience = 0
	c.log.Info().Str("event", "takeover_done").Uint64("epoch", c.lead.epoch).
		Int("jobs", len(e.found.jobs)).Int("workers", len(c.fleet)).Send()
	for _, waiting := range c.waiting {
		waiting.apply(c)
	}
	c.waiting = nil
}

func sortedIDs(fleet map[string]tanagerport.WorkerEntry) []string {
	ids := make([]string, 0, len(fleet))
	for id := range fleet {
		ids = append(ids, id)
	}
	return ids
}

// jobKnown adds an accepted job to the tables, or keeps it until they are read.
type jobKnown struct{ record tanagerwork.Record }

func (e jobKnown) apply(c *control) {
	switch {
	case c.cell == nil:
	case c.loading:
		c.waiting = append(c.waiting, e)
	default:
		c.cell.AddJob(c.timer.Now(), e.record, nil)
	}
}

type cancelKnown struct{ id tanagerwork.JobID }

func (e cancelKnown) apply(c *control) {
	switch {
	case c.cell == nil:
	case c.loading:
		c.waiting = append(c.waiting, e)
	case !c.cell.CancelJob(e.id):
		c.log.Warn().Str("event", "cancel_of_unknown_job").Str("job", string(e.id)).Send()
	}
}

// intakeRead backs up the messages that tell of jobs and cancellations.
type intakeRead struct{ page tanagerport.Page }

func (e intakeRead) apply(c *control) {
	if c.cell == nil {
		return
	}
	var found inheritance
	for _, i := range e.page.Items {
		if i.Deleted {
			continue
		}
		if err := found.add(i); err != nil {
			c.log.Error().Str("event", "record_unreadable").Str("key", i.Key).Err(err).Send()
		}
	}
	for _, record := range found.jobs {
		jobKnown{record: record}.apply(c)
	}
	for _, id := range found.cancelled {
		cancelKnown{id: id}.apply(c)
	}
}
