package tanagerdispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

// pendingAck is a reported end that may be acknowledged to its worker once the
// job's progress is stored with at least progressVersion. The job of an early end
// is nil until it is added.
type pendingAck struct {
	sequenceNumber  int64
	job             *job
	progressVersion int64
	early           *earlyEnd
}

// pollWorkers issues the polls that are due. It bounds the first polls in flight:
// otherwise the responses of thousands of workers would keep a new scheduler from
// renewing its own lease.
func (c *Cell) pollWorkers() {
	firstPolls := 0
	for _, w := range c.workerList {
		if w.pollInFlight && !w.synced && w.missedPolls == 0 {
			firstPolls++
		}
	}
	for _, w := range c.workerList {
		if w.pollInFlight || c.now.Before(w.nextPollAt) || c.awaitsProgressWrite(w) {
			continue
		}
		_, inherited := c.predecessorLeases[w.id]
		if !w.listed && len(w.attempts) == 0 && !inherited {
			continue
		}
		if !w.synced && w.missedPolls == 0 {
			if firstPolls >= maxFirstPolls {
				continue
			}
			firstPolls++
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

// awaitsProgressWrite reports whether the last ends from a worker are still being
// written to the store, for at most maxProgressWriteWait after its response. The
// next poll waits for that, as a worker responds at once to a poll that does not
// acknowledge all its ends.
func (c *Cell) awaitsProgressWrite(w *worker) bool {
	n := len(w.pendingAcks)
	return n > 0 && !w.pendingAcks[n-1].stored() && c.now.Sub(w.lastResponse) < maxProgressWriteWait
}

// stored reports whether the progress that contains the end is in the store.
func (p pendingAck) stored() bool {
	if p.job == nil {
		return p.early.released
	}
	return p.job.storedVersion >= p.progressVersion
}

// hasUnstoredEnds reports whether a worker has reported ends that are not yet in
// the store.
func (w *worker) hasUnstoredEnds() bool {
	return slices.ContainsFunc(w.pendingAcks, func(p pendingAck) bool { return !p.stored() })
}

// buildPoll returns the next poll of a worker. The first poll of an incarnation
// or epoch asks for an immediate response. A worker that did not respond to the
// last poll gets no extended lease, as each extension would postpone the time at
// which its runs are known to have ended, and neither does any worker of a scheduler
// without authority.
func (c *Cell) buildPoll(w *worker) tanagerport.Poll {
	p := tanagerport.Poll{Epoch: c.epoch}
	if acknowledged := c.advanceAcknowledged(w); c.surelySameIncarnation(w) {
		p.Acknowledged = acknowledged
	}
	if w.clock > 0 && w.missedPolls == 0 && c.hasAuthority() {
		p.Deadline = w.extendLease(c.now, c.settings.Lease)
	}
	if w.synced && w.missedPolls == 0 {
		p.Wait = pollWait
	}
	return p
}

// surelySameIncarnation reports whether a worker cannot have restarted and ended
// runs since its last response. The numbers of ends start anew with each
// incarnation, which a poll does not name: an acknowledgement would make the next
// incarnation forget ends that it has not reported yet. A response that has waited to
// be read may be from long before.
func (c *Cell) surelySameIncarnation(w *worker) bool {
	return w.synced && w.missedPolls == 0 && !w.answeredLate &&
		c.now.Sub(w.lastResponse) <= maxAcknowledgementDelay
}

// advanceAcknowledged returns the highest number up to which all ends reported by
// a worker are stored.
func (c *Cell) advanceAcknowledged(w *worker) int64 {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].stored() {
		w.acknowledgedEnd = w.pendingAcks[n].sequenceNumber
		n++
	}
	w.pendingAcks = slices.Delete(w.pendingAcks, 0, n)
	if len(w.pendingAcks) == 0 {
		w.acknowledgedEnd = w.lastAppliedEnd
	}
	return w.acknowledgedEnd
}

// HandlePollResponse applies the result of a poll that was sent at sentAt.
func (c *Cell) HandlePollResponse(now time.Time, order PollOrder, sentAt time.Time, r tanagerport.Report, err error) {
	c.now = now
	w := c.workers[order.Worker.ID]
	if w == nil || w.incarnation != order.Worker.Incarnation {
		return
	}
	w.pollInFlight = false
	if err != nil || r.Status != tanagerport.Accepted {
		c.handlePollFailure(w, order.Poll.Epoch, r.Status, err)
		return
	}
	if w.ended[r.Incarnation] {
		w.nextPollAt = now.Add(minPollInterval)
		if !sentAt.After(w.replacedAt) {
			return
		}
		// The incarnation has answered a poll that was sent when it was taken for ended.
		delete(w.ended, r.Incarnation)
	}
	w.missedPolls = 0
	w.lastResponse = now
	w.answeredLate = r.Late
	w.nextPollAt = now.Add(minPollInterval)
	if len(w.attempts) == 0 && len(r.Running) == 0 && len(r.Ended) == 0 {
		w.nextPollAt = now.Add(max(c.idlePollPause, minPollInterval))
	}
	if w.replacedBy(r.Incarnation) {
		c.replaceIncarnation(w, r.Incarnation, "report of another incarnation")
	}
	c.refuteCrashes(w, sentAt)
	w.recordAlive(now)
	w.recordClock(r.Clock, now)
	if !w.synced {
		c.markSynced(w)
	}
	c.applyEndedRuns(w, r.Ended)
	c.reconcileRunning(w, r, sentAt)
	if r.Complete {
		delete(c.predecessorLeases, w.id)
	}
	w.reportedIdle = r.Complete && len(r.Running) == 0
}

// updateIdlePollPause sets the pause between the polls of an idle worker, so that
// their total rate does not grow with the fleet.
func (c *Cell) updateIdlePollPause() {
	idle := 0
	for _, w := range c.workerList {
		if w.synced && len(w.attempts) == 0 {
			idle++
		}
	}
	pause := time.Duration(idle)*time.Second/maxIdlePollRate - pollWait
	c.idlePollPause = min(max(pause, 0), maxIdlePollPause)
}

func (c *Cell) handlePollFailure(w *worker, epoch uint64, status tanagerport.Status, err error) {
	w.missedPolls++
	if err != nil {
		w.recordSilent(c.now)
	}
	w.nextPollAt = c.now.Add(pollRetryDelay * time.Duration(min(w.missedPolls, 4)))
	switch {
	case status == tanagerport.Fenced:
		c.handleFenced(epoch)
	case status == tanagerport.OtherIncarnation:
		c.loseAttempts(w, "another incarnation responded at its address", true)
		w.synced = false
	case w.missedPolls == 1:
		c.logEvent(LogEvent{
			Name:   "worker_silent",
			Worker: w.id,
			Reason: errorKind(err),
			Age:    c.now.Sub(w.lastResponse),
		})
	}
}

// handleFenced records that a worker refused the epoch of an order. The refusal
// of an epoch that this scheduler had in an earlier term is ignored.
func (c *Cell) handleFenced(epoch uint64) {
	c.fenced = c.fenced || epoch == c.epoch
}

func errorKind(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName()
	}
	return "refused by the worker"
}

// markSynced records that a worker has accepted this epoch. A predecessor may
// have extended its lease to a deadline that is not known here, so a full lease
// is assumed.
func (c *Cell) markSynced(w *worker) {
	w.synced = true
	w.attemptsExpireAt = time.Time{}
	w.leaseEnd = max(w.leaseEnd, w.clock+c.settings.Lease)
	w.nextPollAt = c.now
	c.capacityVersion++
	c.logEvent(LogEvent{
		Name:        "worker_synced",
		Worker:      w.id,
		Incarnation: w.incarnation,
		Clock:       w.clock,
		LeaseEnd:    w.leaseEnd,
	})
}

func (c *Cell) applyEndedRuns(w *worker, ends []tanagerport.EndedRun) {
	for _, ended := range ends {
		if w.hasApplied(ended.SequenceNumber) {
			continue
		}
		w.lastAppliedEnd = max(w.lastAppliedEnd, ended.SequenceNumber)
		j := c.jobs[ended.Task.Job]
		if j == nil {
			c.holdEarlyEnd(w, ended)
			continue
		}
		c.handleEnd(w, ended)
		w.addPendingAck(pendingAck{
			sequenceNumber:  ended.SequenceNumber,
			job:             j,
			progressVersion: j.progressVersion,
		})
	}
}

// hasApplied reports whether the end with a number has been applied. A report may
// show an end before one of a lower number.
func (w *worker) hasApplied(number int64) bool {
	if number <= w.acknowledgedEnd {
		return true
	}
	_, pending := w.findPendingAck(number)
	return pending
}

func (w *worker) addPendingAck(p pendingAck) {
	i, _ := w.findPendingAck(p.sequenceNumber)
	w.pendingAcks = slices.Insert(w.pendingAcks, i, p)
}

// findPendingAck returns the position of an end among the pending ones, which are
// sorted by number, and whether it is there.
func (w *worker) findPendingAck(number int64) (int, bool) {
	return slices.BinarySearchFunc(w.pendingAcks, number, func(p pendingAck, n int64) int {
		return cmp.Compare(p.sequenceNumber, n)
	})
}
