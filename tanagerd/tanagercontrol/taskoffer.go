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

// withdrawnRetention is how long a withdrawn attempt is remembered, so that a
// late offer of it is rejected.
const withdrawnRetention = time.Minute

// offerTables hold the offers that wait for resources on this daemon's workers.
type offerTables struct {
	backlog  *tanagershare.Backlog[*offerRow]
	rows     map[string]*offerRow
	byExpiry []*offerRow
	// withdrawnUntil holds the attempts that must not be started any more, and
	// until when they are remembered.
	withdrawnUntil map[string]time.Time
	// epochs are the highest known epochs of job shards.
	epochs map[tanagershard.Shard]uint64
}

// offerRow is the state of one offer.
type offerRow struct {
	offer     tanagermessage.TaskOffer
	jobOwner  string
	expiresAt time.Time
	// entry is the offer's place in the backlog, or nil once it has left it.
	entry *tanagershare.Entry[*offerRow]
}

func newOfferTables() *offerTables {
	return &offerTables{
		backlog:        tanagershare.New[*offerRow](tanagerresource.Vector{}),
		rows:           make(map[string]*offerRow),
		withdrawnUntil: make(map[string]time.Time),
		epochs:         make(map[tanagershard.Shard]uint64),
	}
}

func (c *Control) handleTaskOffer(from string, o tanagermessage.TaskOffer, now time.Time) {
	id := o.Ref.String()
	offers := c.workers.offers
	_, withdrawn := offers.withdrawnUntil[id]
	switch {
	case o.Epoch < c.jobEpoch(o.Shard) || withdrawn || !c.holdsLease(now):
		c.rejectOffer(o, from)
	case offers.rows[id] != nil:
		offers.rows[id].jobOwner = from
	case c.workers.tasks[id] != nil:
		c.offerRepeated(c.workers.tasks[id], from)
	case o.Kind == tanagerjob.Gang:
		c.startReserved(o, from, now)
	case !c.workers.fleet.Feasible(o.Resources):
		c.send(from, tanagermessage.TopicOfferResponse, tanagermessage.OfferResponse{
			Ref:    o.Ref,
			Result: tanagermessage.OfferInfeasible,
		})
	default:
		row := &offerRow{
			offer:     o,
			jobOwner:  from,
			expiresAt: now.Add(offerTimeout),
		}
		row.entry = offers.backlog.Push(o.Branch, o.Class, c.expectedUsage(o), row)
		offers.rows[id] = row
		offers.byExpiry = append(offers.byExpiry, row)
		c.workers.placementDue = true
	}
}

// expectedUsage returns the larger of what a task declares and what its family
// was observed to use, or what it declares if no worker has the capacity for
// more.
func (c *Control) expectedUsage(o tanagermessage.TaskOffer) tanagerresource.Vector {
	estimated := c.workers.usageEstimator.Estimate(tanagerplace.FamilyKey{
		Branch: o.Branch,
		Family: o.Family,
	}, o.Resources)
	if !c.workers.fleet.Feasible(estimated) {
		return o.Resources
	}
	return estimated
}

func (c *Control) offerRepeated(t *taskRow, from string) {
	t.jobOwner = from
	if t.started {
		c.sendAttemptStatus(t)
	}
}

// rejectOffer tells the owner of a job that an attempt certainly was not
// started.
func (c *Control) rejectOffer(o tanagermessage.TaskOffer, to string) {
	c.send(to, tanagermessage.TopicOfferResponse, tanagermessage.OfferResponse{
		Ref:    o.Ref,
		Result: tanagermessage.OfferRejected,
	})
}

// placeTasks places waiting offers on workers in the order of fair shares.
func (c *Control) placeTasks(now time.Time) {
	if c.workers.placementDue && c.holdsLease(now) {
		c.workers.placementDue = false
		if len(c.workers.offers.rows) > 0 {
			c.workers.offers.backlog.Round(func(e *tanagershare.Entry[*offerRow]) bool {
				return c.placeOffer(e, now)
			})
		}
	}
	c.sendStarts(now)
}

func (c *Control) placeOffer(e *tanagershare.Entry[*offerRow], now time.Time) bool {
	row := e.Value
	policy := tanagerplace.BinPack
	if row.offer.Kind == tanagerjob.Service {
		policy = tanagerplace.Spread
	}
	worker, ok := c.workers.fleet.SelectWorker(tanagerplace.Demand{
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
	c.startOnWorker(worker, row.offer, row.jobOwner, e.Demand, now)
	return true
}

// preempt reclaims resources for an urgent task that is within the urgent share
// of its branch, by ending checkpointable batch tasks.
func (c *Control) preempt(e *tanagershare.Entry[*offerRow], now time.Time) {
	if e.Class != tanagerqueue.Urgent || !c.workers.offers.backlog.WithinUrgentShare(e) {
		return
	}
	worker, victims, ok := c.workers.fleet.SelectVictims(e.Demand, now, c.Random, func(h *tanagerplace.Allocation) bool {
		t := c.workers.tasks[h.Task]
		return t != nil && t.started && len(t.reclaimedBy) == 0 && t.offer.Checkpointable
	})
	if !ok {
		return
	}
	for _, v := range victims {
		c.reclaimFromTask(c.workers.rows[worker], v)
	}
}

// expireOffers rejects the offers that have waited for offerTimeout, so that
// the job owners can try elsewhere.
func (c *Control) expireOffers(now time.Time) {
	offers := c.workers.offers
	for len(offers.byExpiry) > 0 && !now.Before(offers.byExpiry[0].expiresAt) {
		row := offers.byExpiry[0]
		offers.byExpiry = offers.byExpiry[1:]
		if row.entry != nil {
			c.dropOffer(row)
		}
	}
	for id, until := range offers.withdrawnUntil {
		if now.After(until) {
			delete(offers.withdrawnUntil, id)
		}
	}
}

// dropOffer removes an offer and rejects it to the job's owner.
func (c *Control) dropOffer(row *offerRow) {
	offers := c.workers.offers
	offers.backlog.Remove(row.entry)
	row.entry = nil
	delete(offers.rows, row.offer.Ref.String())
	c.rejectOffer(row.offer, row.jobOwner)
}

// withdraw ensures that an attempt is not started.
func (o *offerTables) withdraw(id string, now time.Time) {
	o.withdrawnUntil[id] = now.Add(withdrawnRetention)
	if row := o.rows[id]; row != nil {
		o.backlog.Remove(row.entry)
		row.entry = nil
		delete(o.rows, id)
	}
}

// raiseEpoch records the epoch of a job shard and drops the offers of previous
// owners.
func (o *offerTables) raiseEpoch(c *Control, s tanagershard.Shard, epoch uint64) {
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
