package tanagerdispatch

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// A predecessor that does not know yet that it has been replaced may start a job
// that was accepted after its successor had read the store. Ends of unknown jobs are
// therefore neither applied nor acknowledged until the jobs accepted before are
// known.

// earlyEnd is an end that was reported before its job was known.
type earlyEnd struct {
	worker      *worker
	incarnation int64
	ended       tanagerport.EndedRun
	reportedAt  time.Time
	// released is set once the end may be acknowledged without its job.
	released bool
}

// holdEarlyEnd keeps an end of an unknown job.
func (c *Cell) holdEarlyEnd(w *worker, ended tanagerport.EndedRun) {
	e := &earlyEnd{
		worker:      w,
		incarnation: w.incarnation,
		ended:       ended,
		reportedAt:  c.now,
	}
	c.earlyEnds[ended.Task.Job] = append(c.earlyEnds[ended.Task.Job], e)
	w.addPendingAck(pendingAck{
		sequenceNumber: ended.SequenceNumber,
		early:          e,
	})
	c.logEvent(LogEvent{
		Name:   "run_ended_early",
		Job:    ended.Task.Job,
		Task:   ended.Task,
		Run:    ended.Run,
		Worker: w.id,
		Reason: string(ended.Reason),

		Incarnation:    w.incarnation,
		SequenceNumber: ended.SequenceNumber,
	})
}

// applyEarlyEnds applies the ends that were reported before a job was added.
func (c *Cell) applyEarlyEnds(j *job) {
	held := c.earlyEnds[j.record.ID]
	delete(c.earlyEnds, j.record.ID)
	for _, e := range held {
		c.handleEnd(e.worker, e.ended)
		e.released = true
		if e.worker.incarnation != e.incarnation {
			continue
		}
		for i := range e.worker.pendingAcks {
			if p := &e.worker.pendingAcks[i]; p.early == e {
				p.job = j
				p.progressVersion = j.progressVersion
			}
		}
	}
}

// JobsKnown reports that all jobs that were accepted before the given time have
// been added. Ends of unknown jobs that were reported before then belong to no job,
// and are acknowledged.
func (c *Cell) JobsKnown(asOf time.Time) {
	for id, held := range c.earlyEnds {
		held = slices.DeleteFunc(held, func(e *earlyEnd) bool {
			e.released = e.reportedAt.Before(asOf)
			return e.released
		})
		if len(held) == 0 {
			delete(c.earlyEnds, id)
		} else {
			c.earlyEnds[id] = held
		}
	}
}
