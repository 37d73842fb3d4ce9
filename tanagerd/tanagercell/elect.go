package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerport"
)

// leading reports whether the store names this daemon as the scheduler.
func (c *control) leading() bool { return c.lead.holder.Member == c.member }

func (c *control) renew(now time.Time) {
	if now.Sub(c.lastRenew) < c.settings.LeaderTTL/renewals {
		return
	}
	c.lastRenew = now
	lease := c.lead.holder.Lease
	go func() {
		ended, err := c.candidate.renew(c.ctx, lease)
		c.post(renewed{
			lease: lease,
			ended: ended,
			err:   err,
		})
	}()
}

type renewed struct {
	lease int64
	ended bool
	err   error
}

// considerStanding stands for election once nobody holds the key for a time.
func (c *control) considerStanding(now time.Time) {
	vacant := c.lead.holder.Member == "" || c.lead.holder.Member == c.gone
	if !c.lead.known || c.stopping || c.standing || !vacant {
		return
	}
	if c.standAt.IsZero() {
		c.standAt = now.Add(standDelay(c.settings.Weight, c.random))
		if c.cell == nil && c.gone == "" && now.Sub(c.hintsAt) < memberTimeout {
			c.standAt = c.standAt.Add(incumbentHeadStart)
		}
	}
	if now.Before(c.standAt) {
		return
	}
	c.stand("nobody leads")
}

func (c *control) stand(reason string) {
	c.standing = true
	c.standAt = time.Time{}
	present := c.lead
	c.log.Info().Str("event", "election_stand").Str("reason", reason).Uint64("epoch", present.epoch).Send()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, candidacyTimeout)
		defer cancel()
		won, items, err := c.candidate.stand(ctx, present)
		c.post(stood{
			won:   won,
			items: items,
			err:   err,
		})
	}()
}

type stood struct {
	won   elected
	items []tanagerport.Item
	err   error
}

// learnLead applies an item of the lead prefix.
func (c *control) learnLead(item tanagerport.Item) {
	before := c.lead
	if err := c.lead.apply(item); err != nil {
		c.log.Error().Str("event", "lead_unreadable").Str("key", item.Key).Err(err).Send()
		return
	}
	if before != c.lead {
		c.leadChanged()
	}
}

// leadChanged begins or ends this daemon's own term.
func (c *control) leadChanged() {
	c.log.Info().Str("event", "lead_changed").Str("scheduler", c.lead.holder.Member).
		Uint64("epoch", c.lead.epoch).Int64("revision", c.lead.epochRevision).Send()
	if c.lead.holder.Member != "" && c.lead.holder.Member != c.gone {
		c.standAt = time.Time{}
		c.gone = ""
	}
	switch {
	case c.cell != nil && c.lead.epoch > c.cell.Epoch() && c.leading() && c.lead.epoch == c.cell.Epoch()+1 && !c.loading:
		c.cell.Reelected(c.lead.epoch)
	case c.cell != nil && c.lead.epoch > c.cell.Epoch():
		c.depose("a higher epoch was stored")
		if c.leading() {
			c.takeOver()
		}
	case c.cell == nil && c.leading() && c.lead.holder.Epoch == c.lead.epoch:
		c.takeOver()
	}
}

func (c *control) depose(reason string) {
	c.log.Warn().Str("event", "scheduler_stop").Str("reason", reason).Uint64("epoch", c.lead.epoch).Send()
	c.cell = nil
	c.loading = false
	c.waiting = nil
	if c.leading() {
		c.lead.vacate()
	}
}

type leadRead struct {
	page  tanagerport.Page
	whole bool
}

// holderRemoved applies that the scheduler's key was removed at a revision. One
// that was set since stays.
func (c *control) holderRemoved(revision int64) {
	if c.lead.holder.Member == "" || revision < c.lead.holderRevision {
		return
	}
	c.log.Info().Str("event", "lead_vacant").Str("was", c.lead.holder.Member).Int64("revision", revision).Send()
	c.lead.vacate()
}
