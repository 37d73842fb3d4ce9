package tanagerdispatch

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

type pendingAck struct {
	endNumber       int64
	job             *job
	progressVersion int64
}

// pollWorkers orders the polls that are due. Load pattern: a new scheduler of
// thousands of workers, whose first polls would keep its processor from renewing
// its lease; so few first contacts are under way at a time.
func (c *Cell) pollWorkers() {
	contacts := 0
	for _, w := range c.workers {
		if w.pollInFlight && !w.synced && w.missedPolls == 0 {
			contacts++
		}
	}
	for id, w := range c.workers {
		if w.pollInFlight || c.now.Before(w.nextPollAt) || c.awaitsProgressWrite(w) {
			continue
		}
		if !w.synced && w.missedPolls == 0 {
			if contacts >= maxFirstPolls {
				continue
			}
			contacts++
		}
		_, awaited := c.predecessorLeases[id]
		if !w.listed && len(w.attempts) == 0 && !awaited {
			continue
		}
		w.pollInFlight = true
		w.pollSentAt = c.now
		c.counters.Polls++
		c.orders.Polls = append(c.orders.Polls, PollOrder{
			Worker: w.ref(),
			Poll:   c.buildPoll(w),
		})
	}
}

// awaitsProgressWrite reports whether a worker's last ends are still on their way to the
// store: a poll that cannot acknowledge them would be answered with them at once.
func (c *Cell) awaitsProgressWrite(w *worker) bool {
	n := len(w.pendingAcks)
	return n > 0 && w.pendingAcks[n-1].job.storedVersion < w.pendingAcks[n-1].progressVersion && c.now.Sub(w.lastResponse) < maxProgressWriteWait
}

// buildPoll makes the next buildPoll of a worker. The first one of a life or an epoch asks
// for an answer at once. A worker that left the last one unanswered gets no
// longer lease: each would move the time at which its runs are given up.
func (c *Cell) buildPoll(w *worker) tanagerport.Poll {
	p := tanagerport.Poll{
		Epoch:        c.epoch,
		Acknowledged: c.advanceAcknowledged(w),
	}
	if w.clock > 0 && w.missedPolls == 0 {
		p.Deadline = w.extendLease(c.now, c.settings.Lease)
	}
	if w.synced && w.missedPolls == 0 {
		p.Wait = pollWait
	}
	return p
}

// advanceAcknowledged returns the highest end up to which all ends are stored.
func (c *Cell) advanceAcknowledged(w *worker) int64 {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].job.storedVersion >= w.pendingAcks[n].progressVersion {
		w.acknowledgedEnd = w.pendingAcks[n].endNumber
		n++
	}
	w.pendingAcks = slices.Delete(w.pendingAcks, 0, n)
	if len(w.pendingAcks) == 0 {
		w.acknowledgedEnd = w.lastAppliedEnd
	}
	return w.acknowledgedEnd
}

// PollAnswered applies the answer to a poll.
func (c *Cell) PollAnswered(now time.Time, order PollOrder, sent time.Time, r tanagerport.Report, err error) {
	c.now = now
	w := c.workers[order.Worker.ID]
	if w == nil || w.incarnation != order.Worker.Life {
		return
	}
	w.pollInFlight = false
	if err != nil || r.Verdict != tanagerport.Accepted {
		c.handlePollFailure(w, order.Poll.Epoch, r.Verdict, err)
		return
	}
	w.missedPolls = 0
	w.lastResponse = now
	w.nextPollAt = now.Add(minPollInterval)
	if len(w.attempts) == 0 && len(r.Running) == 0 && len(r.Ended) == 0 {
		w.nextPollAt = now.Add(max(c.idlePollPause, minPollInterval))
	}
	if r.Life > w.incarnation {
		c.replaceIncarnation(w, r.Life, "it reports a later life")
	}
	w.recordClock(r.Clock, now)
	if !w.synced {
		c.markSynced(w)
	}
	c.applyEndedRuns(w, r.Ended)
	c.reconcileRunning(w, r, sent)
}

// updateIdlePollPause sets the pause between the polls of workers that run nothing, so
// that their number a second does not grow with the fleet.
func (c *Cell) updateIdlePollPause() {
	idle := 0
	for _, w := range c.workers {
		if w.synced && len(w.attempts) == 0 {
			idle++
		}
	}
	pause := time.Duration(idle)*time.Second/maxIdlePollRate - pollWait
	c.idlePollPause = min(max(pause, 0), maxIdlePollPause)
}

func (c *Cell) handlePollFailure(w *worker, epoch uint64, v tanagerport.Verdict, err error) {
	w.missedPolls++
	w.nextPollAt = c.now.Add(pollRetryDelay * time.Duration(min(w.missedPolls, 4)))
	switch {
	case v == tanagerport.Fenced:
		c.handleFenced(epoch)
	case v == tanagerport.OtherLife:
		c.loseAttempts(w, "another incarnation answers at its address")
		w.synced = false
	case w.missedPolls == 1:
		c.logEvent(Note{
			Event:  "worker_silent",
			Worker: w.id,
			Reason: errorKind(err),
			Age:    c.now.Sub(w.lastResponse),
		})
	}
}

// handleFenced notes that a worker refused an order's epoch. An order of an earlier
// term of this scheduler proves nothing.
func (c *Cell) handleFenced(epoch uint64) {
	c.fenced = c.fenced || epoch == c.epoch
}

func errorKind(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName()
	}
	return "refused by the worker"
}

// markSynced notes that a worker has seen this epoch. A predecessor may have sent it
// deadlines that this scheduler does not know.
func (c *Cell) markSynced(w *worker) {
	w.synced = true
	w.attemptsExpireAt = time.Time{}
	w.leaseEnd = max(w.leaseEnd, w.clock+c.settings.Lease)
	w.nextPollAt = c.now
	c.capacityVersion++
	delete(c.predecessorLeases, w.id)
	c.logEvent(Note{
		Event:  "worker_synced",
		Worker: w.id,
	})
}

func (c *Cell) applyEndedRuns(w *worker, ends []tanagerport.EndedRow) {
	for _, row := range ends {
		if row.Number <= w.lastAppliedEnd {
			continue
		}
		w.lastAppliedEnd = row.Number
		c.handleEnd(w, row)
		if j := c.jobs[row.Task.Job]; j != nil {
			w.pendingAcks = append(w.pendingAcks, pendingAck{
				endNumber:       row.Number,
				job:             j,
				progressVersion: j.progressVersion,
			})
		}
	}
}
