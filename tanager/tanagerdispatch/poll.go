package tanagerdispatch

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

type ack struct {
	number  int64
	job     *job
	version int64
}

// pollWorkers orders the polls that are due. Load pattern: a new scheduler of
// thousands of workers, whose first polls would keep its processor from renewing
// its lease; so few first contacts are under way at a time.
func (c *Cell) pollWorkers() {
	contacts := 0
	for _, w := range c.workers {
		if w.polling && !w.synced && w.misses == 0 {
			contacts++
		}
	}
	for id, w := range c.workers {
		if w.polling || c.now.Before(w.pollDue) || c.awaitsStore(w) {
			continue
		}
		if !w.synced && w.misses == 0 {
			if contacts >= maxContacts {
				continue
			}
			contacts++
		}
		_, awaited := c.unaccounted[id]
		if !w.listed && len(w.attempts) == 0 && !awaited {
			continue
		}
		w.polling = true
		w.pollSent = c.now
		c.counters.Polls++
		c.out.Polls = append(c.out.Polls, PollOrder{
			Worker: w.ref(),
			Poll:   c.poll(w),
		})
	}
}

// awaitsStore reports whether a worker's last ends are still on their way to the
// store: a poll that cannot acknowledge them would be answered with them at once.
func (c *Cell) awaitsStore(w *worker) bool {
	n := len(w.acks)
	return n > 0 && w.acks[n-1].job.written < w.acks[n-1].version && c.now.Sub(w.heard) < storeWait
}

// poll makes the next poll of a worker. The first one of a life or an epoch asks
// for an answer at once. A worker that left the last one unanswered gets no
// longer lease: each would move the time at which its runs are given up.
func (c *Cell) poll(w *worker) tanagerport.Poll {
	p := tanagerport.Poll{
		Epoch:        c.epoch,
		Acknowledged: c.acknowledge(w),
	}
	if w.clock > 0 && w.misses == 0 {
		p.Deadline = w.extend(c.now, c.settings.Lease)
	}
	if w.synced && w.misses == 0 {
		p.Wait = pollWait
	}
	return p
}

// acknowledge returns the highest end up to which all ends are stored.
func (c *Cell) acknowledge(w *worker) int64 {
	n := 0
	for n < len(w.acks) && w.acks[n].job.written >= w.acks[n].version {
		w.acknowledged = w.acks[n].number
		n++
	}
	w.acks = slices.Delete(w.acks, 0, n)
	if len(w.acks) == 0 {
		w.acknowledged = w.seen
	}
	return w.acknowledged
}

// PollAnswered applies the answer to a poll.
func (c *Cell) PollAnswered(now time.Time, order PollOrder, sent time.Time, r tanagerport.Report, err error) {
	c.now = now
	w := c.workers[order.Worker.ID]
	if w == nil || w.life != order.Worker.Life {
		return
	}
	w.polling = false
	if err != nil || r.Verdict != tanagerport.Accepted {
		c.pollFailed(w, order.Poll.Epoch, r.Verdict, err)
		return
	}
	w.misses = 0
	w.heard = now
	w.pollDue = now.Add(pollGap)
	if len(w.attempts) == 0 && len(r.Running) == 0 && len(r.Ended) == 0 {
		w.pollDue = now.Add(max(c.idlePause, pollGap))
	}
	if r.Life > w.life {
		c.reborn(w, r.Life, "it reports a later life")
	}
	w.noteClock(r.Clock, now)
	if !w.synced {
		c.sync(w)
	}
	c.applyEnds(w, r.Ended)
	c.applyRunning(w, r, sent)
}

// spreadIdlePolls sets the pause between the polls of workers that run nothing, so
// that their number a second does not grow with the fleet.
func (c *Cell) spreadIdlePolls() {
	idle := 0
	for _, w := range c.workers {
		if w.synced && len(w.attempts) == 0 {
			idle++
		}
	}
	pause := time.Duration(idle)*time.Second/idlePollRate - pollWait
	c.idlePause = min(max(pause, 0), mostIdlePause)
}

func (c *Cell) pollFailed(w *worker, epoch uint64, v tanagerport.Verdict, err error) {
	w.misses++
	w.pollDue = c.now.Add(pollRetry * time.Duration(min(w.misses, 4)))
	switch {
	case v == tanagerport.Fenced:
		c.fenced(epoch)
	case v == tanagerport.OtherLife:
		c.loseRuns(w, "another incarnation answers at its address")
		w.synced = false
	case w.misses == 1:
		c.note(Note{
			Event:  "worker_silent",
			Worker: w.id,
			Reason: kindOf(err),
			Age:    c.now.Sub(w.heard),
		})
	}
}

// fenced notes that a worker refused an order's epoch. An order of an earlier
// term of this scheduler proves nothing.
func (c *Cell) fenced(epoch uint64) {
	c.deposed = c.deposed || epoch == c.epoch
}

func kindOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName()
	}
	return "refused by the worker"
}

// sync notes that a worker has seen this epoch. A predecessor may have sent it
// deadlines that this scheduler does not know.
func (c *Cell) sync(w *worker) {
	w.synced = true
	w.giveUpAt = time.Time{}
	w.leaseEnd = max(w.leaseEnd, w.clock+c.settings.Lease)
	w.pollDue = c.now
	c.roomVersion++
	delete(c.unaccounted, w.id)
	c.note(Note{
		Event:  "worker_synced",
		Worker: w.id,
	})
}

func (c *Cell) applyEnds(w *worker, ends []tanagerport.EndedRow) {
	for _, row := range ends {
		if row.Number <= w.seen {
			continue
		}
		w.seen = row.Number
		c.ended(w, row)
		if j := c.jobs[row.Task.Job]; j != nil {
			w.acks = append(w.acks, ack{
				number:  row.Number,
				job:     j,
				version: j.version,
			})
		}
	}
}
