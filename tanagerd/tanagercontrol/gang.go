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

// The times of a gang's search for room.
const (
	gangAskTimeout  = 500 * time.Millisecond
	gangPause       = 200 * time.Millisecond
	gangPatience    = 5 * time.Second
	gangReservation = 2 * time.Second
)

// gangState is how far a gang has come.
type gangState uint8

const (
	// gangWaiting gangs wait to look for room.
	gangWaiting gangState = iota
	// gangAsking gangs ask one owner after the other for room.
	gangAsking
	// gangStarted gangs have room for all their tasks.
	gangStarted
)

// gangRow is the table row of one gang.
type gangRow struct {
	job   *tanagerjob.Job
	state gangState
	// round numbers the searches; answers of earlier rounds are ignored.
	round    int
	since    time.Time
	retryAt  time.Time
	reserved map[string]int
	// left are the owners still to be asked in this round.
	left    []string
	asked   string
	askedAt time.Time
}

// scheduleGang makes a gang look for room. The tasks of a gang that is not
// idempotent are first noted in the journal.
func (c *Control) scheduleGang(js *jobShard, j *tanagerjob.Job, now time.Time) {
	noted := true
	for _, t := range j.Tasks {
		if t.Since.IsZero() {
			t.Since = now
		}
		if j.Spec.Idempotent || t.Attempted {
			continue
		}
		noted = false
		js.write(tanagerjob.Entry{
			Attempt: &tanagerjob.AttemptEntry{
				Job:   j.ID,
				Index: t.Index,
			},
		})
	}
	if noted {
		c.adoptGang(js, j).state = gangWaiting
	}
}

// gangNoted makes a gang look for room once all its tasks are in the journal.
func (c *Control) gangNoted(js *jobShard, j *tanagerjob.Job) {
	for _, t := range j.Tasks {
		if !t.Attempted {
			return
		}
	}
	if js.gangs[j.ID] == nil {
		c.adoptGang(js, j).state = gangWaiting
	}
}

// adoptGang returns the row of a gang, adding it as started if there is none.
func (c *Control) adoptGang(js *jobShard, j *tanagerjob.Job) *gangRow {
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

// tendGangs moves the gangs' searches on.
func (c *Control) tendGangs(now time.Time) {
	if !c.mayAct(now) {
		return
	}
	for _, js := range c.jobs.shards {
		for _, g := range js.gangs {
			c.tendGang(js, g, now)
		}
	}
}

func (c *Control) tendGang(js *jobShard, g *gangRow, now time.Time) {
	switch {
	case g.job.Cancelled || g.state == gangStarted:
	case g.state == gangWaiting && !now.Before(g.retryAt):
		c.beginRound(js, g, now)
	case g.state == gangAsking && now.Sub(g.askedAt) > gangAskTimeout:
		c.askNext(js, g, now)
	}
}

// beginRound asks all owners for room, those with the most free first.
func (c *Control) beginRound(js *jobShard, g *gangRow, now time.Time) {
	rules, ok := c.config.Effective(g.job.Branch, c.Wall())
	need := g.job.Spec.Resources.Times(int64(len(g.job.Tasks)))
	if ok && !withinQuota(js.held[g.job.Branch].Plus(need), rules.Quota) {
		g.retryAt = now.Add(c.jitter(gangPause))
		return
	}
	g.round++
	g.state = gangAsking
	g.left = slices.Clone(c.fleet.workerOwners)
	slices.SortStableFunc(g.left, func(a, b string) int {
		if c.offerLoad(a, g.job) < c.offerLoad(b, g.job) {
			return -1
		}
		return 1
	})
	c.askNext(js, g, now)
}

// askNext asks the next owner for the room that is still missing, starts the
// gang when there is enough, and ends the round when nobody is left.
func (c *Control) askNext(js *jobShard, g *gangRow, now time.Time) {
	missing := len(g.job.Tasks) - g.room()
	if missing <= 0 {
		c.startGang(js, g, now)
		return
	}
	for len(g.left) > 0 {
		g.asked = g.left[0]
		g.left = g.left[1:]
		g.askedAt = now
		if c.send(g.asked, tanagermessage.TopicGangReserve, tanagermessage.GangReserve{
			Shard:     js.shard,
			Epoch:     js.epoch,
			Job:       g.job.ID,
			Round:     g.round,
			Branch:    g.job.Branch,
			Class:     g.job.Spec.Class,
			Resources: g.job.Spec.Resources,
			Count:     missing + g.reserved[g.asked],
			Accepted:  g.job.Accepted,
		}) {
			return
		}
		delete(g.reserved, g.asked)
	}
	c.endRound(js, g, now)
}

// room returns the number of tasks that room is reserved for.
func (g *gangRow) room() int {
	n := 0
	for _, count := range g.reserved {
		n += count
	}
	return n
}

// endRound gives the room back and tries again later. A gang that has waited
// for long keeps its room and adds to it, round by round; among such gangs room
// goes to the one that was accepted first, so none waits for ever.
func (c *Control) endRound(js *jobShard, g *gangRow, now time.Time) {
	g.state = gangWaiting
	g.retryAt = now.Add(c.jitter(gangPause))
	if now.Sub(g.since) < gangPatience {
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

// gangReserved takes an owner's word on the room that it keeps for a gang.
func (c *Control) gangReserved(from string, m tanagermessage.GangReserved, now time.Time) {
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
	if g.state == gangAsking && g.asked == from {
		c.askNext(js, g, now)
	}
}

// startGang offers each task to an owner that keeps room for it.
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

// gangBroken deals with a task of a gang that does not run: the others are
// stopped and the gang looks for room again, or ends as failed if a task of it
// has already ended.
func (c *Control) gangBroken(js *jobShard, j *tanagerjob.Job, t *tanagerjob.Task, now time.Time) {
	js.set(j, t, tanagerjob.Pending)
	t.Stopping = false
	g := c.adoptGang(js, j)
	if j.Cancelled {
		c.endTask(js, j, t, tanagerfailure.NotRun)
		return
	}
	if slices.ContainsFunc(j.Tasks, hasEnded) {
		c.endTask(js, j, t, tanagerfailure.Failed)
		c.stopRest(j)
		return
	}
	c.stopRest(j)
	if slices.ContainsFunc(j.Tasks, func(t *tanagerjob.Task) bool { return t.State != tanagerjob.Pending }) {
		return
	}
	g.state = gangWaiting
	g.retryAt = now.Add(c.jitter(gangPause))
	for _, t := range j.Tasks {
		if t.NotBefore.After(g.retryAt) {
			g.retryAt = t.NotBefore
		}
	}
}

func hasEnded(t *tanagerjob.Task) bool { return t.State == tanagerjob.Ended || t.Ending }

// stopRest stops the tasks of a gang that run or may run.
func (c *Control) stopRest(j *tanagerjob.Job) {
	for _, t := range j.Tasks {
		if t.Stopping || t.Ending {
			continue
		}
		if t.State == tanagerjob.Offered || t.State == tanagerjob.Running {
			c.stopTask(j, t)
		}
	}
}
