package tanagercell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
)

// holderRecord is the stored record of the current scheduler.
type holderRecord struct {
	Member string `json:"member"`
	Epoch  uint64 `json:"epoch"`
	Lease  int64  `json:"lease"`
}

type epochRecord struct {
	Epoch uint64 `json:"epoch"`
}

type rosterRecord struct {
	Workers []string `json:"workers"`
	// Daemons are those that may be elected, as far as the scheduler knows.
	Daemons []string `json:"daemons,omitempty"`
}

// leaderState is what a daemon knows about the scheduler from the store.
type leaderState struct {
	// initialized is false until the prefix has been read once.
	initialized bool
	// holder is empty while no daemon holds the key.
	holder         holderRecord
	holderRevision int64
	epoch          uint64
	epochRevision  int64
}

// applyItem applies an item under leaderPrefix. It returns an error and changes
// nothing if the item cannot be decoded.
func (l *leaderState) applyItem(item tanagerport.Item) error {
	switch item.Key {
	case holderKey:
		var h holderRecord
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

// dropStaleHolder clears a holder of an earlier epoch: another daemon has been
// elected and its record has not arrived yet.
func (l *leaderState) dropStaleHolder() {
	if l.holder.Epoch < l.epoch {
		l.holder = holderRecord{}
	}
}

func (l *leaderState) clearHolder() {
	l.holder = holderRecord{}
	l.holderRevision = 0
}

// candidate makes the store calls of elections and renewals.
type candidate struct {
	store  Store
	member string
	ttl    time.Duration
}

// electionResult holds the records written by a successful campaign.
type electionResult struct {
	holder         holderRecord
	epochRevision  int64
	holderRevision int64
}

// campaign tries to replace the scheduler in l. An error of type Conflict means
// that another daemon was elected; the current items come with it. After an
// error of type OutcomeUnknown the election may have succeeded, and a watch
// will show the result.
func (c *candidate) campaign(ctx context.Context, l leaderState) (electionResult, []tanagerport.Item, error) {
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return electionResult{}, nil, err
	}
	h := holderRecord{
		Member: c.member,
		Epoch:  l.epoch + 1,
		Lease:  lease,
	}
	revision, items, err := c.store.Commit(ctx, successionTransaction(l, h))
	if err != nil {
		return electionResult{}, items, err
	}
	return electionResult{
		holder:         h,
		epochRevision:  revision,
		holderRevision: revision,
	}, nil, nil
}

// renewLease renews a lease. ended reports whether the store no longer knows
// the lease.
func (c *candidate) renewLease(ctx context.Context, lease int64) (ended bool, err error) {
	err = c.store.Renew(ctx, lease)
	return errorx.IsOfType(err, tanagerport.NotFound), err
}

// campaignDelay returns how long a daemon waits before it campaigns. A higher
// weight gives a shorter delay.
func campaignDelay(weight float64, r *rand.Rand) time.Duration {
	fraction := 1 - min(max(weight, 0), 1)
	return time.Duration(fraction*float64(maxCampaignDelay)) + time.Duration(r.Int64N(int64(campaignJitter)))
}
