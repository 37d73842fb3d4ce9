package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// restore applies stored progress.
func (c *Cell) restore(j *job, p *tanagerwork.Progress) {
	for _, sp := range p.Steps {
		s := j.step(sp.Occurrence, sp.Step)
		if s == nil {
			continue
		}
		s.restore(&sp)
		if sp.AllDone {
			for i := range s.tasks {
				c.taskDone(s, i)
			}
		}
		for _, i := range sp.Done {
			if i < len(s.tasks) {
				c.taskDone(s, i)
			}
		}
	}
	j.written = j.version
	delete(c.changed, j.record.ID)
}

// touch notes that a job's progress has changed.
func (c *Cell) touch(j *job) {
	j.version++
	c.changed[j.record.ID] = j
}

func (s *step) restore(sp *tanagerwork.StepProgress) {
	if s.spec.Gang {
		s.gang.failures = sp.Failures[0]
		s.gang.saved = sp.Saved[0]
		return
	}
	for i, n := range sp.Failures {
		if i < len(s.tasks) {
			s.tasks[i].failures = n
		}
	}
	for i, saved := range sp.Saved {
		if i < len(s.tasks) {
			s.tasks[i].saved = saved
		}
	}
}

// Snapshot is the progress of a job to be stored.
type Snapshot struct {
	Job      tanagerwork.JobID
	Version  int64
	Progress tanagerwork.Progress
}

// Unwritten returns up to limit snapshots of jobs whose progress has changed and
// is not on its way to the store. Jobs that have ended come first: their callers
// wait for the word.
func (c *Cell) Unwritten(limit int) []Snapshot {
	out := c.unwritten(nil, limit, true)
	return c.unwritten(out, limit, false)
}

func (c *Cell) unwritten(out []Snapshot, limit int, final bool) []Snapshot {
	for id, j := range c.changed {
		if len(out) == limit {
			return out
		}
		if j.writing != 0 || j.state.Final() != final {
			continue
		}
		delete(c.changed, id)
		if j.version <= j.written {
			continue
		}
		j.writing = j.version
		out = append(out, Snapshot{
			Job:      id,
			Version:  j.version,
			Progress: j.progress(),
		})
	}
	return out
}

// Written tells that a snapshot is in the store, or with ok false that it is
// not known to be.
func (c *Cell) Written(id tanagerwork.JobID, version int64, ok bool) {
	j, known := c.jobs[id]
	if !known {
		return
	}
	if ok {
		j.written = max(j.written, version)
	}
	if j.writing == version {
		j.writing = 0
	}
	if j.version > j.written {
		c.changed[id] = j
	}
}

func (j *job) progress() tanagerwork.Progress {
	p := tanagerwork.Progress{
		State: j.state,
		Begun: j.begun,
	}
	if j.state.Final() {
		return p
	}
	for _, s := range j.steps {
		if sp, some := s.progress(); some {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

func (s *step) progress() (tanagerwork.StepProgress, bool) {
	sp := tanagerwork.StepProgress{
		Occurrence: s.name.Occurrence,
		Step:       s.name.Step,
		AllDone:    s.left == 0,
		Failures:   make(map[int]tanagerwork.FailedRuns),
		Saved:      make(map[int]string),
	}
	if sp.AllDone {
		return sp, true
	}
	if len(s.gang.failures) > 0 {
		sp.Failures[0] = s.gang.failures
	}
	if s.gang.saved != "" {
		sp.Saved[0] = s.gang.saved
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			sp.Done = append(sp.Done, i)
			continue
		}
		if len(t.failures) > 0 {
			sp.Failures[i] = t.failures
		}
		if t.saved != "" {
			sp.Saved[i] = t.saved
		}
	}
	return sp, len(sp.Done)+len(sp.Failures)+len(sp.Saved) > 0
}

// Expired returns ended jobs whose state need not be kept any more.
func (c *Cell) Expired(now time.Time, limit int) []tanagerwork.JobID {
	var out []tanagerwork.JobID
	for id, j := range c.jobs {
		if len(out) == limit {
			break
		}
		if j.state.Final() && j.written >= j.version && now.Sub(j.ended) > c.settings.Retention && !j.holdsRoom() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (j *job) holdsRoom() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.active > 0 })
}

// Forget drops a job whose keys have been removed from the store.
func (c *Cell) Forget(id tanagerwork.JobID) {
	if j, known := c.jobs[id]; known {
		j.queue.jobs--
		delete(c.jobs, id)
		delete(c.changed, id)
	}
}
