package tanagerjournal

import (
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
)

// Follower applies a journal that others write, from the entries that a watch
// delivers in any order and any number of times. Its sequence only rises. It is
// not safe for concurrent use.
type Follower struct {
	prefix   string
	sequence uint64
	head     tanagerstore.Entry
	snapshot tanagerstore.Entry
}

// NewFollower returns a follower of the journal below a prefix.
func NewFollower(prefix string) *Follower {
	return &Follower{
		prefix: prefix,
	}
}

// Sequence returns the sequence of the last record that was returned.
func (f *Follower) Sequence() uint64 { return f.sequence }

// Entries returns the newest known entries, for a follower that lags behind.
func (f *Follower) Entries() []tanagerstore.Entry {
	var entries []tanagerstore.Entry
	for _, e := range []tanagerstore.Entry{f.snapshot, f.head} {
		if e.Revision > 0 {
			entries = append(entries, e)
		}
	}
	return entries
}

// Observe takes an entry of the journal; other keys are ignored. It returns
// what has to be applied, and whether there is anything.
func (f *Follower) Observe(e tanagerstore.Entry) (Recovery, bool, error) {
	switch {
	case e.Deleted:
		return Recovery{}, false, nil
	case e.Key == f.prefix+headSuffix && e.Revision > f.head.Revision:
		f.head = e
	case e.Key == f.prefix+snapshotSuffix && e.Revision > f.snapshot.Revision:
		f.snapshot = e
	default:
		return Recovery{}, false, nil
	}
	return f.advance()
}

func (f *Follower) advance() (Recovery, bool, error) {
	var current head
	if f.head.Revision == 0 {
		return Recovery{}, false, nil
	}
	if err := tanagerwire.Decode(f.head.Value, &current); err != nil {
		return Recovery{}, false, err
	}
	if current.Sequence <= f.sequence {
		return Recovery{}, false, nil
	}
	if current.Base <= f.sequence {
		return f.take(nil, after(current.Records, f.sequence), current.Sequence)
	}
	var saved snapshot
	if f.snapshot.Revision == 0 {
		return Recovery{}, false, nil
	}
	if err := tanagerwire.Decode(f.snapshot.Value, &saved); err != nil {
		return Recovery{}, false, err
	}
	if saved.Sequence < current.Base {
		return Recovery{}, false, nil
	}
	return f.take(saved.State, after(current.Records, saved.Sequence), max(current.Sequence, saved.Sequence))
}

func (f *Follower) take(state []byte, records []Record, sequence uint64) (Recovery, bool, error) {
	f.sequence = sequence
	return Recovery{
		Snapshot: state,
		Records:  records,
		Sequence: sequence,
	}, true, nil
}
