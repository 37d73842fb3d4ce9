package tanagerstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerstore")

// The types of error that a Store returns.
var (
	// Unavailable means that the call certainly took no effect.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// OutcomeUnknown means that a call other than Swap got no response and may
	// have taken effect.
	OutcomeUnknown = Errors.NewType("unanswered", errorx.Timeout())
	// Conflict means that the key did not have the expected revision.
	Conflict = Errors.NewType("conflict")
	// Ambiguous means that the swap may have taken effect and was then
	// overwritten, or may never have taken effect.
	Ambiguous = Errors.NewType("ambiguous")
	// LeaseGone means that the lease has expired or was revoked.
	LeaseGone = Errors.NewType("lease_gone")
	// RateLimited means that the client's rate limit was exceeded and no call was
	// sent.
	RateLimited = Errors.NewType("over_budget", errorx.Temporary())
)

// MaxValueBytes is the largest size of a value that the service accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Entry is a key with its value, the revision of its last change and its lease.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value,omitempty"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
	Deleted  bool    `json:"deleted,omitempty"`
}

// Snapshot is the state of a prefix at a revision, or the changes to it since
// an earlier one.
type Snapshot struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
	// Reset is set by Watch if Entries holds all entries of the prefix instead of
	// the changes.
	Reset bool `json:"reset,omitempty"`
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// ExpectedRevision is the revision that the key must have; 0 means that it must
	// be absent.
	ExpectedRevision uint64  `json:"expected"`
	Lease            LeaseID `json:"lease,omitempty"`
	Delete           bool    `json:"delete,omitempty"`
}

// Store is the interface of the platform's key-value service.
type Store interface {
	// Read returns all entries whose key begins with prefix.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// Swap changes one key if it has the expected revision and returns the entry
	// as written. Otherwise it returns Conflict with the current entry,
	// Unavailable, Ambiguous or RateLimited.
	Swap(ctx context.Context, s Swap) (Entry, error)
	// GrantLease returns a new lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease. It returns LeaseGone if the lease has expired or
	// was revoked.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits, for at most wait, until an entry with the prefix has a revision
	// above after, and returns the changes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Snapshot, error)
}
