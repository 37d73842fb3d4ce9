package tanagermember

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// Prefix is the prefix of all keys that daemons watch.
const Prefix = "tanager/"

// Inbox takes messages for the control goroutine.
type Inbox interface {
	// Deliver waits while the inbox is full.
	Deliver(topic string, m *message.Message)
}

// Settings of a Keeper. All fields are required.
type Settings struct {
	Self tanagermessage.Member
	// TTL is the length of the lease, renewed three times as often.
	TTL time.Duration
	// WatchWait is how long one watch waits.
	WatchWait time.Duration
	// List is where the platform's list of VMs is.
	List netip.AddrPort
}

// Dependencies are the parts that a Keeper works with.
type Dependencies struct {
	Timer    tanagertimer.Service
	Store    tanagerstore.Store
	Platform *tanagerplatform.Client
	Inbox    Inbox
	Log      zerolog.Logger
}

// Keeper keeps the membership of one daemon.
type Keeper struct {
	Dependencies
	settings Settings

	mu       sync.Mutex
	lease    tanagerstore.LeaseID
	watched  time.Time
	revision uint64
}

// New returns a keeper that has not joined.
func New(s Settings, d Dependencies) *Keeper {
	return &Keeper{
		Dependencies: d,
		settings:     s,
	}
}

func (k *Keeper) deliver(topic string, value any) {
	k.Inbox.Deliver(topic, tanagermessage.Local(value))
}

// renewals is the number of renewals in the length of a lease.
const renewals = 3

// KeepLease joins and renews the lease until ctx ends.
func (k *Keeper) KeepLease(ctx context.Context) {
	ticks := k.Timer.Every(k.settings.TTL / renewals)
	defer ticks.Stop()
	for {
		k.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (k *Keeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.TTL/renewals)
	defer cancel()
	id := k.currentLease()
	if id == 0 {
		k.join(ctx)
		return
	}
	if !k.watching() {
		return
	}
	sent := k.Timer.Now()
	err := k.Store.RenewLease(ctx, id)
	switch {
	case err == nil:
		k.deliver(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
			Sent: sent,
		})
	case errorx.IsOfType(err, tanagerstore.LeaseGone):
		k.setLease(0)
		k.deliver(tanagermessage.TopicLeaseLost, struct{}{})
	default:
		k.Log.Warn().Str("event", "lease_renewal_failed").Err(err).Send()
	}
}

// join gets a lease, reads the whole state and then shows this daemon as a
// member. The order matters: a daemon that joins anew must know that its shards
// were given away before it holds a right again.
func (k *Keeper) join(ctx context.Context) {
	sent := k.Timer.Now()
	id, err := k.Store.GrantLease(ctx, k.settings.TTL)
	if err != nil {
		k.Log.Warn().Str("event", "join_failed").Err(err).Send()
		return
	}
	key := tanagermessage.MemberPrefix + k.settings.Self.ID
	state, err := k.Store.Read(ctx, Prefix)
	if err != nil {
		k.Log.Warn().Str("event", "join_failed").Err(err).Send()
		return
	}
	state.Reset = true
	k.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: state,
	})
	entry, err := k.Store.Swap(ctx, tanagerstore.Swap{
		Key:      key,
		Value:    tanagerwire.Encode(k.settings.Self),
		Expected: revisionOf(state, key),
		Lease:    id,
	})
	if err != nil {
		k.Log.Warn().Str("event", "join_failed").Err(err).Send()
		return
	}
	k.setLease(id)
	k.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Entries: []tanagerstore.Entry{entry},
		},
	})
	k.deliver(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		Sent: sent,
	})
	k.Log.Info().Str("event", "joined").Uint64("lease", uint64(id)).Send()
}

func revisionOf(s tanagerstore.Snapshot, key string) uint64 {
	for _, e := range s.Entries {
		if e.Key == key {
			return e.Revision
		}
	}
	return 0
}

func (k *Keeper) currentLease() tanagerstore.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease
}

func (k *Keeper) setLease(id tanagerstore.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = id
}

// watching reports whether the watch was answered within the last lease.
func (k *Keeper) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Timer.Now().Sub(k.watched) < k.settings.TTL
}

// Leave ends the lease, so that the other daemons see this one gone at once.
func (k *Keeper) Leave(ctx context.Context) {
	if id := k.currentLease(); id != 0 {
		if err := k.Store.RevokeLease(ctx, id); err != nil {
			k.Log.Warn().Str("event", "leave_failed").Err(err).Send()
		}
	}
}

// watchRetry is the pause after a watch that failed.
const watchRetry = 250 * time.Millisecond

// WatchStore delivers the changes of the store until ctx ends.
func (k *Keeper) WatchStore(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, err := k.Store.Watch(ctx, Prefix, k.revision, k.settings.WatchWait)
		if err != nil {
			k.pause(ctx, watchRetry)
			continue
		}
		k.mu.Lock()
		k.watched = k.Timer.Now()
		k.mu.Unlock()
		k.revision = snapshot.Revision
		k.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
			Snapshot: snapshot,
		})
	}
}

// listWait is how long one call for the list of VMs waits.
const listWait = time.Second

// WatchVMs delivers the changes of the platform's list until ctx ends.
func (k *Keeper) WatchVMs(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		list, err := k.Platform.VMs(ctx, k.settings.List, after, listWait)
		if err != nil {
			k.pause(ctx, watchRetry)
			continue
		}
		after = list.Revision
		k.deliver(tanagermessage.TopicVMsChanged, tanagermessage.VMsChanged{
			List:     list,
			Received: k.Timer.Now(),
		})
	}
}

func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	wait := k.Timer.After(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}
