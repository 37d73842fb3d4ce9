package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagershare"
	"tanagersail.example/tanagerd/tanagermessage"
)

// withdrawnTime is how long a withdrawn attempt is remembered, so that an offer
// of it that arrives late is refused.
const withdrawnTime = time.Minute

// offerTables hold the offers that wait for room on this daemon's workers.
type offerTables struct {
	backlog *tanagershare.Backlog[*offerRow]
	rows    map[string]*offerRow
	order   []*offerRow
	// withdrawn are attempts that must not be started any more.
	withdrawn map[string]time.Time
	// epochs are the highest epochs of job shards that were seen.
	epochs map[tanagershard.Shard]uint64
}

// offerRow is the table row of one offer.
type offerRow struct {
	offer tanagermessage.TaskOffer
	from  string
	due   time.Time
	entry *tanagershare.Entry[*offerRow]
}

func newOfferTables() *offerTables {
	return &offerTables{
		backlog:   tanagershare.New[*offerRow](tanagerresource.Vector{}),
		rows:      make(map[string]*offerRow),
		withdrawn: make(map[string]time.Time),
		epochs:    make(map[tanagershard.Shard]uint64),
	}
}

// taskOffered takes an offer from the owner of a job.
func (c *Control) taskOffered(from string, o tanagermessage.TaskOffer, now time.Time) {
	id := o.Ref.String()
	offers := c.workers.offers
	_, withdrawn := offers.withdrawn[id]
	switch {
	case o.Epoch < c.jobEpoch(o.Shard) || withdrawn || !c.mayAct(now):
		c.refuseOffer(o, from)
	case offers.rows[id] != nil:
		offers.rows[id].from = from
	case c.workers.tasks[id] != nil:
		c.offerRepeated(c.workers.tasks[id], from)
	case o.Kind == tanagerjob.Gang:
		c.startReserved(o, from, now)
	case !c.workers.fleet.Possible(o.Resources):
		c.send(from, tanagermessage.TopicTaskAnswer, tanagermessage.TaskAnswer{
			Ref:     o.Ref,
			Verdict: tanagermessage.TaskImpossible,
		})
	default:
		row := &offerRow{
			offer: o,
			from:  from,
			due:   now.Add(offerTime),
		}
		row.entry = offers.backlog.Push(o.Branch, o.Class, c.expect(o), row)
		offers.rows[id] = row
		offers.order = append(offers.order, row)
		c.workers.dirty = true
	}
}

// expect returns what a task is expected to use: the larger of what it declares
// and what its family was seen to use, as far as any worker can hold that.
func (c *Control) expect(o tanagermessage.TaskOffer) tanagerresource.Vector {
	learned := c.workers.learner.Expect(tanagerplace.FamilyKey{
		Branch: o.Branch,
		Family: o.Family,
	}, o.Resources)
	if !c.workers.fleet.Possible(learned) {
		return o.Resources
	}
	return learned
}

func (c *Control) offerRepeated(t *taskRow, from string) {
	t.from = from
	if t.started {
		c.sendWord(t)
	}
}

// refuseOffer tells the owner of a job that an attempt certainly was not
// started.
func (c *Control) refuseOffer(o tanagermessage.TaskOffer, to string) {
	c.send(to, tanagermessage.TopicTaskAnswer, tanagermessage.TaskAnswer{
		Ref:     o.Ref,
		Verdict: tanagermessage.TaskRefused,
	})
}

// placeTasks gives room on workers to the offers that wait, in the order of
// fairness.
func (c *Control) placeTasks(now time.Time) {
	if c.workers.dirty && c.mayAct(now) {
		c.workers.dirty = false
		if len(c.workers.offers.rows) > 0 {
			c.workers.offers.backlog.Round(func(e *tanagershare.Entry[*offerRow]) bool {
				return c.placeOffer(e, now)
			})
		}
	}
	c.flushStarts(now)
}

func (c *Control) placeOffer(e *tanagershare.Entry[*offerRow], now time.Time) bool {
	row := e.Value
	policy := tanagerplace.Dense
	if row.offer.Kind == tanagerjob.Service {
		policy = tanagerplace.Spread
	}
	worker, ok := c.workers.fleet.Choose(tanagerplace.Demand{
		Job:       row.offer.Ref.Job,
		Resources: e.Demand,
		Policy:    policy,
	}, now)
	if !ok {
		c.preempt(e, now)
		return false
	}
	delete(c.workers.offers.rows, row.offer.Ref.String())
	row.entry = nil
	c.startOn(worker, row.offer, row.from, e.Demand, now)
	return true
}

// preempt makes room for an urgent task inside its branch's urgent share by
// ending batch tasks of branches that hold more than their part.
func (c *Control) preempt(e *tanagershare.Entry[*offerRow], now time.Time) {
	if e.Class != tanagerqueue.Urgent || !c.workers.offers.backlog.Boosted(e) {
		return
	}
	worker, victims, ok := c.workers.fleet.Victims(e.Demand, now, c.Random, func(h *tanagerplace.Holding) bool {
		t := c.workers.tasks[h.Task]
		return t != nil && t.started && len(t.relieved) == 0 && t.offer.Checkpointable
	})
	if !ok {
		return
	}
	for _, v := range victims {
		c.takeRoom(c.workers.rows[worker], v)
	}
}

// tendOffers gives back the offers that have waited for too long, so that their
// owners can try elsewhere.
func (c *Control) tendOffers(now time.Time) {
	offers := c.workers.offers
	for len(offers.order) > 0 && !now.Before(offers.order[0].due) {
		row := offers.order[0]
		offers.order = offers.order[1:]
		if row.entry != nil {
			c.dropOffer(row)
		}
	}
	for id, until := range offers.withdrawn {
		if now.After(until) {
			delete(offers.withdrawn, id)
		}
	}
}

// dropOffer takes an offer out and tells its owner.
func (c *Control) dropOffer(row *offerRow) {
	offers := c.workers.offers
	offers.backlog.Remove(row.entry)
	row.entry = nil
	delete(offers.rows, row.offer.Ref.String())
	c.refuseOffer(row.offer, row.from)
}

// withdraw makes sure that an attempt is not started.
func (o *offerTables) withdraw(id string, now time.Time) {
	o.withdrawn[id] = now.Add(withdrawnTime)
	if row := o.rows[id]; row != nil {
		o.backlog.Remove(row.entry)
		row.entry = nil
		delete(o.rows, id)
	}
}

// raise notes the epoch of a job shard and drops the offers of earlier owners.
func (o *offerTables) raise(c *Control, s tanagershard.Shard, epoch uint64) {
	if epoch <= o.epochs[s] {
		return
	}
	o.epochs[s] = epoch
	for _, row := range o.rows {
		if row.offer.Shard == s && row.offer.Epoch < epoch {
			c.dropOffer(row)
		}
	}
}
