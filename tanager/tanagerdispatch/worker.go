package tanagerdispatch

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// worker is a row of the table of workers.
type worker struct {
	id    string
	life  int64
	entry tanagerport.WorkerEntry
	// listed workers stand in the list of workers; rostered ones are also in
	// the stored roster, so that a successor accounts for them.
	listed, rostered bool
	// synced workers have answered a poll of this epoch in this life, so that
	// all their runs are known and older epochs are refused.
	synced   bool
	free     tanagerwork.Resources
	attempts map[*attempt]struct{}
	// strays is the room of runs that are there but no attempt stands for.
	strays tanagerwork.Resources
	// clock is the worker's clock as it was at clockAt; leaseEnd the latest
	// deadline that was sent, on that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// giveUpAt is when the attempts of a worker in a new life that answers
	// nothing have ended.
	giveUpAt time.Time
	heard    time.Time

	polling  bool
	pollSent time.Time
	pollDue  time.Time
	misses   int

	// seen is the highest end that was applied, acks the ends that wait for
	// their job's progress to be stored.
	seen, acknowledged int64
	acks               []ack
	leavesAt           time.Time
	// cordonedAt is when the worker began to be emptied for the upkeep of its
	// machine.
	cordonedAt time.Time
	// usable is whether the worker may get new work, as of the last tick.
	usable bool
	// side is the worker's place between the end of the fleet that is filled
	// with single tasks first, 0, and the one where gangs are placed first, 1.
	side float64
	// releases is the forecast of the last reckoning of reservations.
	releases []release
	health   health
	// reservedFor is the gang that waits for reservedRoom on this worker, which
	// will be free at reservedUntil.
	reservedFor   *step
	reservedRoom  tanagerwork.Resources
	reservedUntil time.Time
	yieldTo       *step
	yieldUntil    time.Time
}

type ack struct {
	number  int64
	job     *job
	version int64
}

func (w *worker) ref() tanagerport.WorkerRef {
	return tanagerport.WorkerRef{
		ID:      w.id,
		Life:    w.life,
		Address: w.entry.Address,
	}
}

func (w *worker) release(a *attempt) {
	if _, held := w.attempts[a]; held {
		delete(w.attempts, a)
		w.free = w.free.Add(a.step.spec.Held())
	}
}

func (w *worker) hold(a *attempt) {
	w.attempts[a] = struct{}{}
	w.free = w.free.Sub(a.step.spec.Held())
}

// clockNow estimates the worker's clock, never ahead of it by more than the
// drift.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// clockAtLeast returns a time that the worker's clock has certainly reached.
func (w *worker) clockAtLeast(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockDrift))
}

func (w *worker) noteClock(clock time.Duration, at time.Time) {
	if clock > 0 && !at.Before(w.clockAt) {
		w.clock = clock
		w.clockAt = at
	}
}

// extend returns the end of a new lease and remembers that it was sent.
func (w *worker) extend(now time.Time, lease time.Duration) time.Duration {
	end := w.clockNow(now) + lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// SetWorkers replaces the list of workers.
func (c *Cell) SetWorkers(now time.Time, entries []tanagerport.WorkerEntry) {
	c.now = now
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		c.setWorker(e)
	}
	for _, w := range c.workers {
		if w.listed && !present[w.id] {
			w.listed = false
			c.note(Note{
				Event:  "worker_unlisted",
				Worker: w.id,
				Reason: "no entry in the list",
				Age:    now.Sub(w.heard),
			})
		}
	}
}

func (c *Cell) setWorker(e tanagerport.WorkerEntry) {
	w := c.workers[e.ID]
	if w == nil {
		w = c.newWorker(e)
	}
	if e.Life < w.life {
		return
	}
	if e.Life > w.life {
		c.reborn(w, e.Life, "its entry names a later life")
	}
	c.noteEntry(w, e)
	held := w.entry.Capacity.Sub(w.free)
	w.entry = e
	w.free = e.Capacity.Sub(held)
	w.listed = true
}

func (c *Cell) newWorker(e tanagerport.WorkerEntry) *worker {
	w := &worker{
		id:       e.ID,
		life:     e.Life,
		entry:    e,
		free:     e.Capacity,
		attempts: make(map[*attempt]struct{}),
		heard:    c.now,
		pollDue:  c.now,
	}
	c.workers[e.ID] = w
	return w
}

// noteEntry logs what an entry changes.
func (c *Cell) noteEntry(w *worker, e tanagerport.WorkerEntry) {
	switch {
	case !w.listed:
		c.roomVersion++
		c.note(Note{
			Event:  "worker_listed",
			Worker: w.id,
			Reason: e.Service,
		})
	case e.Draining && !w.entry.Draining:
		w.leavesAt = c.now.Add(e.LeavesIn)
		c.note(Note{
			Event:  "worker_draining",
			Worker: w.id,
			Reason: "leaves in " + e.LeavesIn.String(),
		})
	}
}

// reborn applies that another incarnation has taken a worker's place. Nothing of
// the former one runs any more, but orders that were sent before this was known
// may have reached the new one: its first report tells which attempts are left.
func (c *Cell) reborn(w *worker, life int64, reason string) {
	c.note(Note{
		Event:  "worker_reborn",
		Worker: w.id,
		Reason: reason,
		Age:    c.now.Sub(w.heard),
	})
	w.life = life
	w.synced = false
	w.giveUpAt = c.now.Add(2*c.settings.Lease + lapseSlack)
	w.cordonedAt = time.Time{}
	w.setStrays(tanagerwork.Resources{})
	w.clock, w.leaseEnd = 0, 0
	w.seen, w.acknowledged = 0, 0
	w.acks = nil
	w.polling = false
	w.pollDue = c.now
	delete(c.unaccounted, w.id)
}

// loseRuns removes all attempts of a worker whose runs have certainly ended.
func (c *Cell) loseRuns(w *worker, reason string) {
	for a := range w.attempts {
		c.counters.Lost++
		c.note(Note{
			Event:  "run_lost",
			Job:    a.step.job.record.ID,
			Task:   a.name(),
			Run:    a.run,
			Worker: w.id,
			Reason: reason,
		})
		c.lose(a)
	}
}

// lose removes an attempt whose run has certainly ended without being listed.
func (c *Cell) lose(a *attempt) {
	s := a.step
	c.endAttempt(a)
	if s.spec.Gang && a.run == s.gang.run {
		c.breakGang(s, "member lost")
	}
}

// expireLeases removes what ran on workers whose leases have certainly run out,
// and forgets workers that have left.
func (c *Cell) expireLeases() {
	for id, w := range c.workers {
		if c.lapsed(w) {
			c.loseRuns(w, "lease ran out")
			w.synced = false
			w.giveUpAt = time.Time{}
		}
		_, awaited := c.unaccounted[id]
		if !w.listed && len(w.attempts) == 0 && !awaited && c.now.Sub(w.heard) > forgetAfter {
			delete(c.workers, id)
		}
	}
}

// lapsed reports whether a worker's lease has certainly run out. One that has
// begun a new life and not answered since holds no lease of this scheduler, other
// than from orders that were on their way.
func (c *Cell) lapsed(w *worker) bool {
	if w.synced {
		return w.clockAtLeast(c.now) > w.leaseEnd+lapseSlack
	}
	return !w.giveUpAt.IsZero() && c.now.After(w.giveUpAt)
}

// leaseOver reports whether a worker certainly holds no lease of this scheduler.
func (c *Cell) leaseOver(w *worker) bool {
	return !w.synced && w.giveUpAt.IsZero() || c.lapsed(w)
}

// forgetAfter is how long a worker that has left the list keeps its row, longer
// than the platform's list may lag.
const forgetAfter = 10 * time.Second

// pollWorkers orders the polls that are due.
func (c *Cell) pollWorkers() {
	for id, w := range c.workers {
		if w.polling || c.now.Before(w.pollDue) || c.awaitsStore(w) {
			continue
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

// applyRunning compares the runs that a worker shows with the attempts that are
// believed to be there.
func (c *Cell) applyRunning(w *worker, r tanagerport.Report, sent time.Time) {
	shown := make(map[*attempt]bool, len(r.Running))
	var strays tanagerwork.Resources
	for _, row := range r.Running {
		a := c.attemptOf(w, row)
		if a == nil {
			a = c.adopt(w, row)
		}
		if a == nil {
			c.stopStray(w, row)
			strays = strays.Add(c.strayRoom(w, row))
			continue
		}
		shown[a] = true
		c.confirm(a, row)
	}
	w.setStrays(strays)
	if !r.Whole {
		return
	}
	for a := range w.attempts {
		if !shown[a] && a.goneBy(sent) {
			c.note(Note{
				Event:  "run_gone",
				Job:    a.step.job.record.ID,
				Task:   a.name(),
				Run:    a.run,
				Worker: w.id,
				Reason: a.reason,
			})
			c.lose(a)
		}
	}
}

// strayRoom returns the room that a run takes which no attempt stands for: all
// of the worker's if its job is not known.
func (c *Cell) strayRoom(w *worker, row tanagerport.RunningRow) tanagerwork.Resources {
	if s := c.stepOf(row.Task); s != nil {
		return s.spec.Held()
	}
	return w.entry.Capacity
}

func (w *worker) setStrays(r tanagerwork.Resources) {
	w.free = w.free.Add(w.strays).Sub(r)
	w.strays = r
}

// goneBy reports whether a worker that does not show the attempt in a report
// asked for at that time does not have it, and never will.
func (a *attempt) goneBy(asked time.Time) bool {
	switch a.phase {
	case running:
		return !a.started.IsZero() && a.started.Before(asked)
	case stopping:
		return !a.stopAnswered.IsZero() && a.stopAnswered.Before(asked)
	default:
		return false
	}
}

func (c *Cell) attemptOf(w *worker, row tanagerport.RunningRow) *attempt {
	s := c.stepOf(row.Task)
	if s == nil {
		return nil
	}
	if a := s.tasks[row.Task.Index].attempt; a != nil && a.worker == w && a.run == row.Run {
		return a
	}
	return nil
}

func (c *Cell) stepOf(name tanagerwork.TaskName) *step {
	j := c.jobs[name.Job]
	if j == nil {
		return nil
	}
	s := j.step(name.Occurrence, name.Step)
	if s == nil || name.Index < 0 || name.Index >= len(s.tasks) {
		return nil
	}
	return s
}

func (c *Cell) confirm(a *attempt, row tanagerport.RunningRow) {
	if a.phase == starting {
		a.phase = running
		a.since = c.now
	}
	if a.started.IsZero() {
		a.started = c.now
	}
	if row.Percent != a.percent || a.progressAt.IsZero() {
		a.percent = row.Percent
		a.progressAt = c.now
	}
	a.gauge = row.Gauge
	c.noteCheckpoint(a.step, a.index, row.Checkpoint)
}

// adopt takes over a run that a predecessor started. It returns nil if the run
// is not wanted.
func (c *Cell) adopt(w *worker, row tanagerport.RunningRow) *attempt {
	s := c.stepOf(row.Task)
	if s == nil || s.job.state.Final() {
		return nil
	}
	t := &s.tasks[row.Task.Index]
	if t.done || t.attempt != nil || s.spec.Gang && (row.Run < s.gang.run || s.gang.broken) {
		return nil
	}
	a := c.newAttempt(s, row.Task.Index, row.Run, w)
	a.phase = running
	a.started = c.now
	c.note(Note{
		Event:  "run_adopted",
		Job:    row.Task.Job,
		Task:   row.Task,
		Run:    row.Run,
		Worker: w.id,
	})
	c.begin(s.job)
	return a
}
