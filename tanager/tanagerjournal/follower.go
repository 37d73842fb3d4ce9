package tanagerjournal

import (
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
)

// Follower reads a journal that other processes write, from the entries of a
// watch, which may arrive out of order and more than once. Its sequence number
// never decreases. It is not safe for concurrent use.
type Follower struct {
	prefix        string
	sequence      uint64
	headEntry     tanagerstore.Entry
	snapshotEntry tanagerstore.Entry
}

// NewFollower returns a follower of the journal with a prefix.
func NewFollower(prefix string) *Follower {
	return &Follower{
		prefix: prefix,
	}
}

// Sequence returns the sequence number of the last record that was returned.
func (f *Follower) Sequence() uint64 { return f.sequence }

// Entries returns the newest known entries. A follower that lags behind catches
// up by observing them.
func (f *Follower) Entries() []tanagerstore.Entry {
	var entries []tanagerstore.Entry
	for _, e := range []tanagerstore.Entry{f.snapshotEntry, f.headEntry} {
		if e.Revision > 0 {
			entries = append(entries, e)
		}
	}
	return entries
}

// Observe processes an entry; keys that are not the journal's are ignored. It
// returns the changes to apply and whether there are any, or an error of type
// tanagerwire.Malformed if the entry cannot be decoded.
func (f *Follower) Observe(e tanagerstore.Entry) (Recovery, bool, error) {
	switch {
	case e.Deleted:
		return Recovery{}, false, nil
	case e.Key == f.prefix+headSuffix && e.Revision > f.headEntry.Revision:
		f.headEntry = e
	case e.Key == f.prefix+snapshotSuffix && e.Revision > f.snapshotEntry.Revision:
		f.snapshotEntry = e
	default:
		return Recovery{}, false, nil
	}
	return f.advance()
}

// advance returns the changes after the follower's sequence number, if the known
// entries contain all of them.
func (f *Follower) advance() (Recovery, bool, error) {
	var current head
	if f.headEntry.Revision == 0 {
		return Recovery{}, false, nil
	}
	if err := tanagerwire.Decode(f.headEntry.Value, &current); err != nil {
		return Recovery{}, false, err
	}
	if current.Sequence <= f.sequence {
		return Recovery{}, false, nil
	}
	if current.Base <= f.sequence {
		return f.advanceTo(nil, recordsAfter(current.Records, f.sequence), current.Sequence)
	}
	var saved snapshot
	if f.snapshotEntry.Revision == 0 {
		return Recovery{}, false, nil
	}
	if err := tanagerwire.Decode(f.snapshotEntry.Value, &saved); err != nil {
		return Recovery{}, false, err
	}
	if saved.Sequence < current.Base {
		return Recovery{}, false, nil
	}
	return f.advanceTo(saved.State, recordsAfter(current.Records, saved.Sequence), max(current.Sequence, saved.Sequence))
}

// advanceTo sets the sequence number and returns the changes up to it.
func (f *Follower) advanceTo(state []byte, records []Record, sequence uint64) (Recovery, bool, error) {
	f.sequence = sequence
	return Recovery{
		Snapshot: state,
		Records:  records,
		Sequence: sequence,
	}, true, nil
}
