package tanagercontrol

import (
	"maps"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanagerd/tanagermessage"
)

// The timing of a gang's reservations.
const (
	gangReserveTimeout  = 500 * time.Millisecond
	gangRetryDelay      = 200 * time.Millisecond
	gangAccumulateAfter = 5 * time.Second
	reservationTTL      = 2 * time.Second
)

// gangState is the progress of a gang towards its start.
type gangState uint8

const (
	// gangWaiting gangs wait for their next reservation round.
	gangWaiting gangState = iota
	// gangReserving gangs request reservations from one owner of workers after
	// the other.
	gangReserving
	// gangStarted gangs have reservations for all their tasks, which are being
	// started.
	gangStarted
)

// gangRow is the state of one gang.
type gangRow struct {
	job   *tanagerjob.Job
	state gangState
	// round numbers the reservation rounds. Responses of earlier rounds are
	// ignored.
	round int
	// since is when this owner first scheduled or recovered the gang.
	since   time.Time
	retryAt time.Time
	// reserved is the number of tasks that each owner has reserved capacity for.
	reserved map[string]int
	// remaining are the owners to which this round has sent no request yet.
	remaining      []string
	requestedOwner string
	requestedAt    time.Time
}

// scheduleGang makes a new gang wait for reservations. If it is not idempotent,
// an attempt of each of its tasks is recorded in the journal first.
func (c *Control) scheduleGang(js *jobShard, j *tanagerjob.Job, now time.Time) {
	recorded := true
	for _, t := range j.Tasks {
		if t.PendingSince.IsZero() {
			t.PendingSince = now
		}
		if j.Spec.Idempotent || t.AttemptLogged {
			continue
		}
		recorded = false
		js.queueEntry(tanagerjob.Entry{
			Attempt: &tanagerjob.AttemptEntry{
				Job:   j.ID,
				Index: t.Index,
			},
		})
	}
	if recorded {
		c.ensureGang(js, j).state = gangWaiting
	}
}

// gangAttemptsRecorded makes a gang wait for reservations once the attempts of
// all its tasks are in the journal.
func (c *Control) gangAttemptsRecorded(js *jobShard, j *tanagerjob.Job) {
	for _, t := range j.Tasks {
		if !t.AttemptLogged {
			return
		}
	}
	if js.gangs[j.ID] == nil {
		c.ensureGang(js, j).state = gangWaiting
	}
}

// ensureGang returns the row of a gang. If there is none, it adds one in the
// state gangStarted.
func (c *Control) ensureGang(js *jobShard, j *tanagerjob.Job) *gangRow {
	g := js.gangs[j.ID]
	if g == nil {
		g = &gangRow{
			job:      j,
			state:    gangStarted,
			since:    c.Timer.Now(),
			reserved: make(map[string]int),
		}
		js.gangs[j.ID] = g
	}
	return g
}

// advanceGangs continues the reservation rounds of all gangs.
func (c *Control) advanceGangs(now time.Time) {
	if !c.holdsLease(now) {
		return
	}
	for _, js := range c.jobs.shards {
		for _, g := range js.gangs {
			c.advanceGang(js, g, now)
		}
	}
}

func (c *Control) advanceGang(js *jobShard, g *gangRow, now time.Time) {
	switch {
	case g.job.Cancelled || g.state == gangStarted:
	case g.state == gangWaiting && !now.Before(g.retryAt):
		c.beginRound(js, g, now)
	case g.state == gangReserving && now.Sub(g.requestedAt) > gangReserveTimeout:
		c.reserveNext(js, g, now)
	}
}

// beginRound starts a reservation round over all owners of workers, ordered by
// increasing load.
func (c *Control) beginRound(js *jobShard, g *gangRow, now time.Time) {
	rules, ok := c.config.Effective(g.job.Branch, c.WallClock())
	need := g.job.Spec.Resources.Scale(int64(len(g.job.Tasks)))
	if ok && !withinQuota(js.allocated[g.job.Branch].Add(need), rules.Quota) {
		g.retryAt = now.Add(c.jitter(gangRetryDelay))
		return
	}
	g.round++
	g.state = gangReserving
	g.remaining = slices.Clone(c.fleet.workerOwners)
	slices.SortStableFunc(g.remaining, func(a, b string) int {
		if c.offerLoad(a, g.job) < c.offerLoad(b, g.job) {
			return -1
		}
		return 1
	})
	c.reserveNext(js, g, now)
}

// reserveNext requests the missing reservations from the next owner. It starts
// the gang when there are enough, and ends the round when no owner remains.
func (c *Control) reserveNext(js *jobShard, g *gangRow, now time.Time) {
	missing := len(g.job.Tasks) - g.reservedTasks()
	if missing <= 0 {
		c.startGang(js, g, now)
		return
	}
	for len(g.remaining) > 0 {
		g.requestedOwner = g.remaining[0]
		g.remaining = g.remaining[1:]
		g.requestedAt = now
		if c.send(g.requestedOwner, tanagermessage.TopicGangReservationRequest, tanagermessage.GangReservationRequest{
			Shard:     js.shard,
			Epoch:     js.epoch,
			Job:       g.job.ID,
			Round:     g.round,
			Branch:    g.job.Branch,
			Class:     g.job.Spec.Class,
			Resources: g.job.Spec.Resources,
			Count:     missing + g.reserved[g.requestedOwner],
			Accepted:  g.job.Accepted,
		}) {
			return
		}
		delete(g.reserved, g.requestedOwner)
	}
	c.endRound(js, g, now)
}

// reservedTasks returns the number of tasks with a reservation.
func (g *gangRow) reservedTasks() int {
	n := 0
	for _, count := range g.reserved {
		n += count
	}
	return n
}

// endRound releases the reservations and schedules the next round. A gang that
// has waited longer than gangAccumulateAfter keeps its reservations and adds to
// them round by round. Among such gangs capacity goes to the one that was
// accepted first, so no gang waits forever.
func (c *Control) endRound(js *jobShard, g *gangRow, now time.Time) {
	g.state = gangWaiting
	g.retryAt = now.Add(c.jitter(gangRetryDelay))
	if now.Sub(g.since) < gangAccumulateAfter {
		c.releaseGang(js, g)
	}
}

func (c *Control) releaseGang(_ *jobShard, g *gangRow) {
	for owner := range g.reserved {
		c.send(owner, tanagermessage.TopicGangRelease, tanagermessage.GangRelease{
			Job: g.job.ID,
		})
	}
	clear(g.reserved)
}

// handleGangReservation records how many tasks an owner has reserved capacity
// for.
func (c *Control) handleGangReservation(from string, m tanagermessage.GangReservation, now time.Time) {
	shard, _ := tanagerjob.ShardOf(m.Job)
	js := c.jobs.shards[tanagershard.Shard(shard)]
	if js == nil || js.gangs[m.Job] == nil {
		return
	}
	g := js.gangs[m.Job]
	if g.state == gangStarted || g.round != m.Round {
		return
	}
	g.reserved[from] = m.Count
	if g.state == gangReserving && g.requestedOwner == from {
		c.reserveNext(js, g, now)
	}
}

// startGang offers each task to an owner that has reserved capacity for it.
func (c *Control) startGang(js *jobShard, g *gangRow, now time.Time) {
	g.state = gangStarted
	owners := slices.Sorted(maps.Keys(g.reserved))
	for _, t := range g.job.Tasks {
		for g.reserved[owners[0]] == 0 {
			owners = owners[1:]
		}
		g.reserved[owners[0]]--
		c.offerTo(js, g.job, t, owners[0], now)
	}
	clear(g.reserved)
}

// gangInterrupted handles a task of a gang that is not running. The other tasks
// are stopped, and the gang waits for reservations again, or fails if one of
// its tasks has already ended.
func (c *Control) gangInterrupted(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	js.setTaskState(j, t, tanagerjob.Pending)
	t.Stopping = false
	g := c.ensureGang(js, j)
	if j.Cancelled {
		c.endTask(js, j, t, tanagerfailure.NotRun)
		return
	}
	if slices.ContainsFunc(j.Tasks, hasEnded) {
		c.endTask(js, j, t, tanagerfailure.Failed)
		c.stopGangTasks(j)
		return
	}
	c.stopGangTasks(j)
	if slices.ContainsFunc(j.Tasks, func(t *tanagerjob.Task) bool { return t.State != tanagerjob.Pending }) {
		return
	}
	g.state = gangWaiting
	g.retryAt = now.Add(c.jitter(gangRetryDelay))
	for _, t := range j.Tasks {
		if t.NotBefore.After(g.retryAt) {
			g.retryAt = t.NotBefore
		}
	}
}

func hasEnded(t *tanagerjob.Task) bool { return t.State == tanagerjob.Ended || t.EndPending }

// stopGangTasks stops the tasks of a gang that run or may run.
func (c *Control) stopGangTasks(j *tanagerjob.Job) {
	for _, t := range j.Tasks {
		if t.Stopping || t.EndPending {
			continue
		}
		if t.State == tanagerjob.Offered || t.State == tanagerjob.Running {
			c.stopTask(j, t)
		}
	}
}
