package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// If the store serves all daemons but the scheduler, accepted jobs would stay
// unscheduled until the lease expires. The scheduler therefore hands over, by a
// direct message, to a daemon that the store serves. It also hands over if it
// cannot read the stored state.

// handoverRequest asks a daemon to campaign at once in place of the sender,
// which has stopped scheduling.
type handoverRequest struct {
	Epoch uint64 `json:"epoch"`
	// Members lists the daemons to notify of the result. Those that cannot
	// reach the store have no other way to learn of it.
	Members []string `json:"members"`
	// MinTakeoverTimeout is a lower bound on the successor's time to read the
	// stored state. If every daemon reads slowly, successive handovers with the
	// same timeout would never complete a takeover.
	MinTakeoverTimeout time.Duration `json:"patience"`
}

// leaderAnnouncement carries the stored records of a newly elected scheduler.
type leaderAnnouncement struct {
	Holder         holderRecord `json:"holder"`
	HolderRevision int64        `json:"revision"`
	EpochRevision  int64        `json:"epoch_revision"`
}

// maybeHandOver ends this daemon's term if it cannot serve as the scheduler and
// another daemon can.
func (c *control) maybeHandOver(now time.Time) {
	since, unable := c.unableSince(now)
	if !unable || c.stopping {
		return
	}
	successor := c.handoverTarget(now, since)
	if now.Sub(since) < lighterSuccessorDelay && c.heavierMayFollow(successor, now, since) {
		return
	}
	if !c.requestHandover(successor) {
		return
	}
	c.log.Warn().Str("event", "scheduler_hand_over").Str("successor", successor).Uint64("epoch", c.leader.epoch).
		Bool("loading", c.loading).Dur("unable_ms", now.Sub(since)).
		Dur("successor_store_age_ms", now.Sub(c.members[successor].lastStoreSuccess)).Send()
	c.stepDown("handed over to another daemon")
	// The key still names this daemon until the successor has won.
	c.campaignAt = now.Add(c.settings.LeaderTTL)
}

// requestHandover asks a daemon to campaign at once and reports whether the
// message was queued.
func (c *control) requestHandover(successor string) bool {
	if successor == "" {
		return false
	}
	members := []string{c.member}
	for name := range c.members {
		if name != successor && name != c.member {
			members = append(members, name)
		}
	}
	h := handoverRequest{
		Epoch:   c.leader.epoch,
		Members: members,
	}
	if c.loading {
		h.MinTakeoverTimeout = 2 * c.takeoverTimeout()
	}
	return c.send(successor, topicHandoverRequest, h)
}

// unableSince reports whether this daemon has been unable to act as the
// scheduler for longer than a transient failure lasts, and since when.
func (c *control) unableSince(now time.Time) (time.Time, bool) {
	switch {
	case c.cell == nil:
		return time.Time{}, false
	case c.loading && now.Sub(c.termStartedAt) > c.takeoverTimeout():
		return c.termStartedAt, true
	case !c.storeUp && now.Sub(c.lastStoreSuccess) > handoverThreshold && now.Sub(c.termStartedAt) > c.settings.LeaderTTL:
		return c.storeDownSince, true
	}
	return time.Time{}, false
}

func (c *control) takeoverTimeout() time.Duration {
	return max(c.minTakeoverTimeout, defaultTakeoverTimeout)
}

// handoverTarget returns the daemon of the highest weight whose calls to the
// store have succeeded for at least handoverThreshold, the last one later than
// the given time. It returns "" if there is none, as in an outage that affects
// all daemons, where no call succeeds.
func (c *control) handoverTarget(now, after time.Time) string {
	best := ""
	for name, m := range c.members {
		if !c.mayTakeOver(name, m, now) || !m.lastStoreSuccess.After(after) {
			continue
		}
		if best == "" || m.weight > c.members[best].weight {
			best = name
		}
	}
	return best
}

// heavierMayFollow answers a store that serves all daemons but the scheduler, among
// daemons of unlike size. It reports whether a daemon of a higher weight than the successor
// has not been heard of since the given time, and was served by the store before.
// Heartbeats are spread over their interval, so the first that shows a success is
// as likely that of a daemon that is too small for the cell's state.
func (c *control) heavierMayFollow(successor string, now, since time.Time) bool {
	for name, m := range c.members {
		if c.mayTakeOver(name, m, now) && !m.lastStoreSuccess.After(since) && m.weight > c.members[successor].weight {
			return true
		}
	}
	return false
}

// mayTakeOver reports whether a daemon is alive and was served by the store for at
// least handoverThreshold when last heard of.
func (c *control) mayTakeOver(name string, m member, now time.Time) bool {
	return name != c.member && !m.stopping && now.Sub(m.lastHeartbeat) <= memberTimeout &&
		now.Sub(m.storeUpSince) >= handoverThreshold
}

// acceptHandover starts a campaign in place of the current scheduler. A request
// from another daemon or of another epoch is ignored.
func (c *control) acceptHandover(from string, h handoverRequest) {
	if c.stopping || c.campaigning || !c.storeUp || h.Epoch != c.leader.epoch || from != c.leader.holder.Member {
		c.log.Warn().Str("event", "hand_over_ignored").Str("from", from).Uint64("epoch", h.Epoch).
			Uint64("known_epoch", c.leader.epoch).Bool("store_up", c.storeUp).Send()
		return
	}
	c.announceTo = h.Members
	c.minTakeoverTimeout = h.MinTakeoverTimeout
	c.campaign("handed over by " + from)
}

// announceLeader sends the result of the election to the daemons that the
// handover named.
func (c *control) announceLeader() {
	announcement := leaderAnnouncement{
		Holder:         c.leader.holder,
		HolderRevision: c.leader.holderRevision,
		EpochRevision:  c.leader.epochRevision,
	}
	for _, name := range c.announceTo {
		c.send(name, topicLeaderAnnouncement, announcement)
	}
	c.announceTo = nil
}

// applyAnnouncement applies records that another daemon has read from the
// store. Their revisions order them against the local state.
func (c *control) applyAnnouncement(a leaderAnnouncement) {
	c.applyLeaderItem(tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: a.Holder.Epoch}),
		Revision: a.EpochRevision,
	})
	c.applyLeaderItem(tanagerport.Item{
		Key:      holderKey,
		Value:    tanagerwire.Encode(a.Holder),
		Revision: a.HolderRevision,
	})
}

const (
	// handoverThreshold is the minimum time for which the store must have
	// failed the scheduler and served its successor. It is longer than the
	// interval between two renewals and shorter than the lease.
	handoverThreshold = 700 * time.Millisecond
	// lighterSuccessorDelay is how long a scheduler that cannot serve waits for
	// signs of life from daemons of a higher weight than the successor at hand. In
	// that time each has called the store and then sent a heartbeat.
	lighterSuccessorDelay = time.Second
	// defaultTakeoverTimeout bounds the reading of the stored state: several
	// times the 0.4 s measured for the largest cell.
	defaultTakeoverTimeout = 3 * time.Second
)
