package tanagerport

import "time"

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; 0 means
	// that the key does not exist.
	Revision int64
	// Deleted is set by a watch if the key was deleted at Revision.
	Deleted bool
}

// Page is a part of a listing, or the changes that a watch returned in the order
// in which they were made.
type Page struct {
	Items []Item
	// Revision is the revision of the store, from which a watch can continue.
	Revision int64
	// More is set if the listing continues after the last item.
	More bool
}

// Precondition is a precondition of a transaction: the key has the given
// revision, or does not exist if that is 0.
type Precondition struct {
	Key      string
	Revision int64
}

// Write sets a key. If Lease is not 0, the key is deleted when that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied atomically, and only if all its preconditions hold.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// Entries returns the number of operations and preconditions, which the store
// limits to MaxEntries.
func (t *Transaction) Entries() int { return len(t.Preconditions) + len(t.Writes) + len(t.Deletes) }

// MaxEntries is the store's limit on Transaction.Entries.
const MaxEntries = 32

// MaxWatchWait is the longest time for which the store lets a watch wait.
const MaxWatchWait = 30 * time.Second
