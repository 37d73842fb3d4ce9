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

// StorePrefix is the prefix of all store keys that daemons watch.
const StorePrefix = "tanager/"

// Inbox receives messages for the control goroutine.
type Inbox interface {
	// Deliver adds a message. It blocks while the inbox is full.
	Deliver(topic string, m *message.Message)
}

// Settings configures a Membership. All fields are required.
type Settings struct {
	Self tanagermessage.Member
	// LeaseTTL is the time to live of the store lease, which is renewed three
	// times in this time.
	LeaseTTL time.Duration
	// WatchTimeout is how long one call to watch the store waits for a change.
	WatchTimeout time.Duration
	// VMListAddress is the address of the service with the list of VMs.
	VMListAddress netip.AddrPort
}

// Dependencies holds the services that a Membership uses.
type Dependencies struct {
	Timer    tanagertimer.Service
	Store    tanagerstore.Store
	Platform *tanagerplatform.Client
	Inbox    Inbox
	Log      zerolog.Logger
}

// Membership maintains the membership of one daemon.
type Membership struct {
	Dependencies
	settings Settings

	mu sync.Mutex
	// leaseID is zero while the daemon is not a member.
	leaseID           tanagerstore.LeaseID
	lastWatchResponse time.Time
	// revision is the store revision of the last watch. Only WatchStore uses it.
	revision uint64
}

// New returns a membership that has not joined.
func New(s Settings, d Dependencies) *Membership {
	return &Membership{
		Dependencies: d,
		settings:     s,
	}
}

func (m *Membership) deliver(topic string, value any) {
	m.Inbox.Deliver(topic, tanagermessage.Local(value))
}

// renewalsPerTTL is the number of renewals in the time to live of a lease.
const renewalsPerTTL = 3

// MaintainLease joins the cell and renews the store lease until ctx is done. It
// rejoins after the lease has expired.
func (m *Membership) MaintainLease(ctx context.Context) {
	ticker := m.Timer.Every(m.settings.LeaseTTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.LeaseTTL/renewalsPerTTL)
	defer cancel()
	id := m.currentLeaseID()
	if id == 0 {
		m.join(ctx)
		return
	}
	if !m.watchIsCurrent() {
		return
	}
	sentAt := m.Timer.Now()
	err := m.Store.RenewLease(ctx, id)
	switch {
	case err == nil:
		m.deliver(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
			SentAt: sentAt,
		})
	case errorx.IsOfType(err, tanagerstore.LeaseGone):
		m.setLeaseID(0)
		m.deliver(tanagermessage.TopicLeaseLost, struct{}{})
	default:
		m.Log.Warn().Str("event", "lease_renewal_failed").Err(err).Send()
	}
}

// join obtains a lease, reads the complete state and then writes the member
// entry. In this order a daemon that rejoins learns that its shards were
// reassigned before its lease is valid again.
func (m *Membership) join(ctx context.Context) {
	sentAt := m.Timer.Now()
	id, err := m.Store.GrantLease(ctx, m.settings.LeaseTTL)
	if err != nil {
		m.Log.Warn().Str("event", "join_failed").Err(err).Send()
		return
	}
	key := tanagermessage.MemberKeyPrefix + m.settings.Self.ID
	state, err := m.Store.Read(ctx, StorePrefix)
	if err != nil {
		m.Log.Warn().Str("event", "join_failed").Err(err).Send()
		m.releaseLease(id)
		return
	}
	state.Reset = true
	m.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: state,
	})
	entry, err := m.Store.Swap(ctx, tanagerstore.Swap{
		Key:              key,
		Value:            tanagerwire.Encode(m.settings.Self),
		ExpectedRevision: entryRevision(state, key),
		Lease:            id,
	})
	if err != nil {
		m.Log.Warn().Str("event", "join_failed").Err(err).Send()
		m.releaseLease(id)
		return
	}
	m.setLeaseID(id)
	m.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
		Snapshot: tanagerstore.Snapshot{
			Entries: []tanagerstore.Entry{entry},
		},
	})
	m.deliver(tanagermessage.TopicLeaseRenewed, tanagermessage.LeaseRenewed{
		SentAt: sentAt,
	})
	m.Log.Info().Str("event", "joined").Uint64("lease", uint64(id)).Send()
}

// releaseLease ends a lease that the daemon did not join with.
func (m *Membership) releaseLease(id tanagerstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), m.settings.LeaseTTL/renewalsPerTTL)
	defer cancel()
	if err := m.Store.RevokeLease(ctx, id); err != nil {
		m.Log.Warn().Str("event", "lease_release_failed").Uint64("lease", uint64(id)).Err(err).Send()
	}
}

// entryRevision returns the revision of a key, or 0 if the key is absent.
func entryRevision(s tanagerstore.Snapshot, key string) uint64 {
	for _, e := range s.Entries {
		if e.Key == key {
			return e.Revision
		}
	}
	return 0
}

func (m *Membership) currentLeaseID() tanagerstore.LeaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseID
}

func (m *Membership) setLeaseID(id tanagerstore.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseID = id
}

// watchIsCurrent reports whether the store has responded to the watch within the
// time to live of the lease.
func (m *Membership) watchIsCurrent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Timer.Now().Sub(m.lastWatchResponse) < m.settings.LeaseTTL
}

// Leave revokes the lease, so that the other daemons see at once that this one
// has left.
func (m *Membership) Leave(ctx context.Context) {
	if id := m.currentLeaseID(); id != 0 {
		if err := m.Store.RevokeLease(ctx, id); err != nil {
			m.Log.Warn().Str("event", "leave_failed").Err(err).Send()
		}
	}
}

// watchRetryDelay is the pause after a failed call to watch the store or the
// list of VMs.
const watchRetryDelay = 250 * time.Millisecond

// WatchStore delivers the changes of the store until ctx is done.
func (m *Membership) WatchStore(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, err := m.Store.Watch(ctx, StorePrefix, m.revision, m.settings.WatchTimeout)
		if err != nil {
			m.sleep(ctx, watchRetryDelay)
			continue
		}
		m.mu.Lock()
		m.lastWatchResponse = m.Timer.Now()
		m.mu.Unlock()
		m.revision = snapshot.Revision
		m.deliver(tanagermessage.TopicStoreChanged, tanagermessage.StoreChanged{
			Snapshot: snapshot,
		})
	}
}

// vmListPollTimeout is how long one call for the list of VMs waits for a change.
const vmListPollTimeout = time.Second

// WatchVMs delivers the changes of the platform's list of VMs until ctx is done.
func (m *Membership) WatchVMs(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		list, err := m.Platform.VMs(ctx, m.settings.VMListAddress, revision, vmListPollTimeout)
		if err != nil {
			m.sleep(ctx, watchRetryDelay)
			continue
		}
		revision = list.Revision
		m.deliver(tanagermessage.TopicVMListChanged, tanagermessage.VMListChanged{
			List:       list,
			ReceivedAt: m.Timer.Now(),
		})
	}
}

func (m *Membership) sleep(ctx context.Context, d time.Duration) {
	timer := m.Timer.After(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
