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
	// Unanswered means that a call other than Swap got no answer.
	Unanswered = Errors.NewType("unanswered", errorx.Timeout())
	// Conflict means that the key did not have the expected revision.
	Conflict = Errors.NewType("conflict")
	// Ambiguous means that the swap may have taken effect and was then
	// overwritten, or may never have taken effect.
	Ambiguous = Errors.NewType("ambiguous")
	// LeaseGone means that the lease has lapsed or was revoked.
	LeaseGone = Errors.NewType("lease_gone")
	// OverBudget means that the daemon's call budget is used up.
	OverBudget = Errors.NewType("over_budget", errorx.Temporary())
)

// MaxValueBytes is the size of the largest value that the service holds.
const MaxValueBytes = 1 << 20

// LeaseID names a lease. Zero is no lease.
type LeaseID uint64

// Entry is one key with its value.
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
	// Reset is set by Watch when Entries is the whole prefix.
	Reset bool `json:"reset,omitempty"`
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Expected is the revision the key must have; 0 means absent.
	Expected uint64  `json:"expected"`
	Lease    LeaseID `json:"lease,omitempty"`
	Delete   bool    `json:"delete,omitempty"`
}

// Store is what the project needs of the platform's key-value service.
type Store interface {
	// Read returns all entries whose key begins with prefix.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// Swap changes one key if it has the expected revision and returns the
	// entry as written. It returns Conflict, Unavailable, Ambiguous or
	// OverBudget otherwise.
	Swap(ctx context.Context, s Swap) (Entry, error)
	// GrantLease returns a new lease that lapses ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease. It returns LeaseGone if it has lapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits until an entry below prefix has a revision above after, for
	// wait at the most, and returns what changed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Snapshot, error)
}
