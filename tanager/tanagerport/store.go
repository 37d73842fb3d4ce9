package tanagerport

import "time"

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the key's last change; 0 means that
	// the key does not exist.
	Revision int64
	// Deleted tells that a watch saw the key removed, at Revision.
	Deleted bool
}

// Page is a part of a listing, or the changes that a watch returned, in the order
// in which they were made.
type Page struct {
	Items []Item
	// Revision is that of the store; a watch continues from it.
	Revision int64
	// More tells that a listing goes on after its last item.
	More bool
}

// Expectation is a condition of a transaction: the key's revision, 0 for a key
// that must not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// Write sets a key. A Lease other than 0 removes the key when it ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Expect []Expectation
	Writes []Write
	Remove []string
}

// Entries returns the number of entries, which the store bounds.
func (t *Transaction) Entries() int { return len(t.Expect) + len(t.Writes) + len(t.Remove) }

// MaxEntries is the store's bound on Entries.
const MaxEntries = 32

// MaxWatchWait is the longest time that the store lets a watch wait.
const MaxWatchWait = 30 * time.Second
