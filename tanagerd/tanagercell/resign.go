package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// resignRequested hands over before a planned shutdown. The scheduler continues
// until its successor is in the store, so that a slow store leaves no gap.
type resignRequested struct{ done chan struct{} }

func (e resignRequested) apply(c *control) {
	c.stopping = true
	if !c.isLeader() || c.cell == nil {
		close(e.done)
		return
	}
	successor := c.successor()
	current := c.leader
	c.log.Info().Str("event", "scheduler_resign").Str("successor", successor).Uint64("epoch", current.epoch).Send()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, campaignTimeout)
		defer cancel()
		err := c.candidate.appoint(ctx, current, successor)
		c.post(resignFinished{
			done:  e.done,
			lease: current.holder.Lease,
			err:   err,
		})
	}()
}

// successor returns the daemon to appoint, or "" if there is none. It prefers
// the highest weight, since a small daemon cannot handle the cell's state, and
// then the latest start, since a rolling restart has already passed that
// daemon.
func (c *control) successor() string {
	best := ""
	for name, m := range c.members {
		if name == c.member || c.timer.Now().Sub(m.lastHeartbeat) > memberTimeout || m.stopping {
			continue
		}
		b := c.members[best]
		if best == "" || m.weight > b.weight || m.weight == b.weight && m.startedAt.After(b.startedAt) {
			best = name
		}
	}
	return best
}

// appoint makes another daemon the scheduler. It returns an error of type
// NotFound if successor is empty.
func (c *candidate) appoint(ctx context.Context, l leaderState, successor string) error {
	if successor == "" {
		return tanagerport.NotFound.New("no daemon available as successor")
	}
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return err
	}
	_, _, err = c.store.Commit(ctx, successionTransaction(l, holderRecord{
		Member: successor,
		Epoch:  l.epoch + 1,
		Lease:  lease,
	}))
	return err
}

// successionTransaction returns the transaction that replaces the scheduler in
// l.
func successionTransaction(l leaderState, next holderRecord) tanagerport.Transaction {
	return tanagerport.Transaction{
		Preconditions: []tanagerport.Precondition{
			{
				Key:      holderKey,
				Revision: l.holderRevision,
			},
			{
				Key:      epochKey,
				Revision: l.epochRevision,
			},
		},
		Writes: []tanagerport.Write{
			{
				Key:   holderKey,
				Value: tanagerwire.Encode(next),
				Lease: next.Lease,
			},
			{
				Key:   epochKey,
				Value: tanagerwire.Encode(epochRecord{Epoch: next.Epoch}),
			},
		},
	}
}

type resignFinished struct {
	done  chan struct{}
	lease int64
	err   error
}

func (e resignFinished) apply(c *control) {
	if c.cell != nil {
		if e.err != nil {
			c.requestHandover(c.handoverTarget(c.timer.Now(), c.storeDownSince))
		}
		c.stepDown("planned shutdown")
	}
	if e.err == nil {
		close(e.done)
		return
	}
	c.log.Warn().Str("event", "successor_not_appointed").Err(e.err).Send()
	go func() {
		defer close(e.done)
		ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
		defer cancel()
		if err := c.ports.Store.Revoke(ctx, e.lease); err != nil {
			c.log.Warn().Str("event", "lease_release_failed").Err(err).Send()
		}
	}()
}

// releaseTimeout bounds the release of the lease if no successor could be
// appointed.
const releaseTimeout = 500 * time.Millisecond
