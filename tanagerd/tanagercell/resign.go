package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// resign hands the scheduler's part over before a planned stop. The scheduler
// goes on until its successor stands in the store, so that a slow store makes no
// gap.
type resign struct{ done chan struct{} }

func (e resign) apply(c *control) {
	c.stopping = true
	if !c.leading() || c.cell == nil {
		close(e.done)
		return
	}
	successor := c.successor()
	present := c.lead
	c.log.Info().Str("event", "scheduler_resign").Str("successor", successor).Uint64("epoch", present.epoch).Send()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, candidacyTimeout)
		defer cancel()
		err := c.candidate.appoint(ctx, present, successor)
		c.post(resigned{
			done:  e.done,
			lease: present.holder.Lease,
			err:   err,
		})
	}()
}

// successor returns the daemon that is to follow, empty if none is known: one of
// the heaviest, since a light one cannot carry the cell's tables; of these the one
// that has run for the shortest time, since a roll of planned stops has been there
// already.
func (c *control) successor() string {
	best := ""
	for name, m := range c.members {
		if name == c.member || c.timer.Now().Sub(m.heard) > memberTimeout || m.stopping {
			continue
		}
		b := c.members[best]
		if best == "" || m.weight > b.weight || m.weight == b.weight && m.started.After(b.started) {
			best = name
		}
	}
	return best
}

// appoint makes another daemon the scheduler.
func (c *candidate) appoint(ctx context.Context, l lead, successor string) error {
	if successor == "" {
		return tanagerport.NotFound.New("no daemon to follow")
	}
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return err
	}
	_, _, err = c.store.Commit(ctx, succession(l, holder{
		Member: successor,
		Epoch:  l.epoch + 1,
		Lease:  lease,
	}))
	return err
}

// succession replaces the scheduler that l shows.
func succession(l lead, next holder) tanagerport.Transaction {
	return tanagerport.Transaction{
		Expect: []tanagerport.Expectation{
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

type resigned struct {
	done  chan struct{}
	lease int64
	err   error
}

func (e resigned) apply(c *control) {
	if c.cell != nil {
		if e.err != nil {
			c.askToFollow(c.served(c.timer.Now(), c.storeLost))
		}
		c.depose("planned stop")
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
		if err := c.ports.Store.Release(ctx, e.lease); err != nil {
			c.log.Warn().Str("event", "resign_unanswered").Err(err).Send()
		}
	}()
}

// releaseTimeout bounds the last call of a scheduler without a successor.
const releaseTimeout = 500 * time.Millisecond
