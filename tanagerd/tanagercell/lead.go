package tanagercell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// holder is the stored record of the present scheduler.
type holder struct {
	Member string `json:"member"`
	Epoch  uint64 `json:"epoch"`
	Lease  int64  `json:"lease"`
}

type epochRecord struct {
	Epoch uint64 `json:"epoch"`
}

type rosterRecord struct {
	Workers []string `json:"workers"`
}

// lead is what a daemon believes of the scheduler, from the store.
type lead struct {
	// known is false until the store has been read once.
	known bool
	// holder is empty while nobody holds the key.
	holder         holder
	holderRevision int64
	epoch          uint64
	epochRevision  int64
}

// apply takes an item of the lead prefix in. A malformed one changes nothing.
func (l *lead) apply(item tanagerport.Item) error {
	switch item.Key {
	case holderKey:
		var h holder
		if err := tanagerwire.Decode(item.Value, &h); err != nil {
			return err
		}
		if item.Revision > l.holderRevision {
			l.holder = h
			l.holderRevision = item.Revision
			l.dropStaleHolder()
		}
	case epochKey:
		var e epochRecord
		if err := tanagerwire.Decode(item.Value, &e); err != nil {
			return err
		}
		if item.Revision > l.epochRevision {
			l.epoch = e.Epoch
			l.epochRevision = item.Revision
			l.dropStaleHolder()
		}
	}
	return nil
}

// dropStaleHolder forgets a holder whose epoch is over: somebody else has been
// elected, whose record is still to come.
func (l *lead) dropStaleHolder() {
	if l.holder.Epoch < l.epoch {
		l.holder = holder{}
	}
}

func (l *lead) vacate() {
	l.holder = holder{}
	l.holderRevision = 0
}

// candidate runs elections and renewals for the control goroutine.
type candidate struct {
	store  Store
	member string
	ttl    time.Duration
}

// elected is the result of a won election.
type elected struct {
	holder         holder
	epochRevision  int64
	holderRevision int64
}

// stand tries to become the scheduler in place of what l shows. An error of type
// Conflict means that somebody else did, and comes with the present state; one of
// type Unanswered means that the store will show who did.
func (c *candidate) stand(ctx context.Context, l lead) (elected, []tanagerport.Item, error) {
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return elected{}, nil, err
	}
	h := holder{
		Member: c.member,
		Epoch:  l.epoch + 1,
		Lease:  lease,
	}
	revision, items, err := c.store.Commit(ctx, succession(l, h))
	if err != nil {
		return elected{}, items, err
	}
	return elected{
		holder:         h,
		epochRevision:  revision,
		holderRevision: revision,
	}, nil, nil
}

// renew keeps a lease alive and reports whether it has certainly ended.
func (c *candidate) renew(ctx context.Context, lease int64) (ended bool, err error) {
	err = c.store.Renew(ctx, lease)
	return errorx.IsOfType(err, tanagerport.NotFound), err
}

// standDelay is how long a daemon waits before it stands: the heavier, the
// shorter.
func standDelay(weight float64, r *rand.Rand) time.Duration {
	light := 1 - min(max(weight, 0), 1)
	return time.Duration(light*float64(heavyDelay)) + time.Duration(r.Int64N(int64(electionJitter)))
}
