package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// isLeader reports whether the store names this daemon as the scheduler.
func (c *control) isLeader() bool { return c.leader.holder.Member == c.member }

func (c *control) renewLease(now time.Time) {
	if now.Sub(c.lastRenewal) < c.settings.LeaderTTL/renewalsPerTTL {
		return
	}
	c.lastRenewal = now
	lease := c.leader.holder.Lease
	go func() {
		ended, err := c.candidate.renewLease(c.ctx, lease)
		c.post(renewalFinished{
			lease:  lease,
			sentAt: now,
			ended:  ended,
			err:    err,
		})
	}()
}

type renewalFinished struct {
	lease  int64
	sentAt time.Time
	ended  bool
	err    error
}

// maybeCampaign starts a campaign if the scheduler's key has no holder or its
// holder's process has exited. It first waits for this daemon's campaign delay.
func (c *control) maybeCampaign(now time.Time) {
	vacant := c.leader.holder.Member == "" || c.leader.holder.Member == c.exitedScheduler
	if !c.leader.initialized || c.stopping || c.campaigning || !vacant {
		return
	}
	if c.campaignAt.IsZero() {
		c.campaignAt = now.Add(campaignDelay(c.settings.Weight, c.random))
		if c.cell == nil && c.exitedScheduler == "" && now.Sub(c.schedulerHeardAt) < memberTimeout {
			c.campaignAt = c.campaignAt.Add(incumbentHeadStart)
		}
	}
	if now.Before(c.campaignAt) {
		return
	}
	c.campaign("no running daemon holds the scheduler key")
}

func (c *control) campaign(reason string) {
	c.campaigning = true
	c.campaignAt = time.Time{}
	current := c.leader
	c.log.Info().Str("event", "election_stand").Str("reason", reason).Uint64("epoch", current.epoch).Send()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, campaignTimeout)
		defer cancel()
		result, items, err := c.candidate.campaign(ctx, current)
		c.post(campaignFinished{
			result: result,
			items:  items,
			err:    err,
		})
	}()
}

type campaignFinished struct {
	result electionResult
	items  []tanagerport.Item
	err    error
}

// applyLeaderItem applies an item under leaderPrefix. An item that cannot be
// decoded is logged and ignored.
func (c *control) applyLeaderItem(item tanagerport.Item) {
	previous := c.leader
	if err := c.leader.applyItem(item); err != nil {
		c.log.Error().Str("event", "leader_record_decode_failed").Str("key", item.Key).Err(err).Send()
		return
	}
	if c.cell == nil && c.isLeader() && c.leader.holder.Epoch <= c.lastTermEpoch {
		// Nobody fences the orders of a term of the same epoch that has ended.
		c.leader.clearHolder()
	}
	if previous != c.leader {
		c.leaderChanged()
	}
}

// leaderChanged starts or ends this daemon's term after a change of the leader
// state.
func (c *control) leaderChanged() {
	c.log.Info().Str("event", "lead_changed").Str("scheduler", c.leader.holder.Member).
		Uint64("epoch", c.leader.epoch).Int64("revision", c.leader.epochRevision).Send()
	if c.leader.holder.Member != "" && c.leader.holder.Member != c.exitedScheduler {
		c.campaignAt = time.Time{}
		c.exitedScheduler = ""
	}
	switch {
	case c.cell != nil && c.leader.epoch > c.cell.Epoch() && c.isLeader() &&
		c.leader.epoch == c.cell.Epoch()+1 && !c.loading:
		c.raiseEpoch()
	case c.cell != nil && c.leader.epoch > c.cell.Epoch():
		c.stepDown("the store holds a higher epoch")
		if c.isLeader() {
			c.takeOver()
		}
	case c.cell == nil && c.isLeader() && c.leader.holder.Epoch == c.leader.epoch:
		c.takeOver()
	}
}

// raiseEpoch continues the term under the epoch of another election that this daemon
// has won.
func (c *control) raiseEpoch() {
	c.lastTermEpoch = c.leader.epoch
	c.cell.RaiseEpoch(c.leader.epoch)
	later := c.laterJobs
	c.laterJobs = nil
	for _, j := range later {
		j.apply(c)
	}
}

// stepDown ends this daemon's term and discards the cell.
func (c *control) stepDown(reason string) {
	c.log.Warn().Str("event", "scheduler_stop").Str("reason", reason).Uint64("epoch", c.leader.epoch).Send()
	c.stopIncompleteGangs(c.timer.Now())
	c.cell = nil
	c.loading = false
	c.deferred = nil
	if c.isLeader() {
		c.leader.clearHolder()
	}
}

// stopIncompleteGangs sends the last orders of a term. Workers that have seen the
// successor's epoch refuse them.
func (c *control) stopIncompleteGangs(now time.Time) {
	if c.cell == nil {
		return
	}
	c.cell.AbortIncompleteGangs(now)
	orders := c.cell.TakeOrders()
	c.execute(tanagerdispatch.Orders{
		Stops:  orders.Stops,
		Events: orders.Events,
	})
}

type leaderUpdate struct {
	page     tanagerport.Page
	snapshot bool
}

// holderKeyRemoved clears the holder after its key was removed at a revision,
// unless the holder was set at a later one.
func (c *control) holderKeyRemoved(revision int64) {
	if c.leader.holder.Member == "" || revision < c.leader.holderRevision {
		return
	}
	c.log.Info().Str("event", "lead_vacant").Str("was", c.leader.holder.Member).Int64("revision", revision).Send()
	c.leader.clearHolder()
}
