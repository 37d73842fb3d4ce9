package tanagerjournal

import (
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagerwire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerjournal")

// Fenced means that the journal was written in a higher epoch.
var Fenced = Errors.NewType("fenced")

// Replaced means that another writer has appended since the journal was last
// loaded: the caller must load it again.
var Replaced = Errors.NewType("replaced")

// Store is what a journal needs of the key-value service.
type Store interface {
	Read(ctx context.Context, prefix string) (tanagerstore.Snapshot, error)
	Swap(ctx context.Context, s tanagerstore.Swap) (tanagerstore.Entry, error)
}

// Settings of a Journal. All fields are required.
type Settings struct {
	// Prefix is the common part of the journal's two keys.
	Prefix string
	// Writer names this process uniquely across restarts.
	Writer string
	// Epoch is the writer's epoch. A journal that has been written in a higher
	// epoch cannot be loaded. Journals whose writers need no order have zero.
	Epoch uint64
	// Window is the largest number of records in the head.
	Window int
	// WindowBytes is the largest size of the records in the head.
	WindowBytes int
}

// Record is one entry of a journal.
type Record struct {
	Sequence uint64 `json:"sequence"`
	Payload  []byte `json:"payload"`
}

// Recovery is what a reader has to apply, in this order.
type Recovery struct {
	// Snapshot is nil if there is none newer than the reader's state.
	Snapshot []byte
	Records  []Record
	// Sequence is that of the last record.
	Sequence uint64
}

// The keys of a journal are its prefix with one of these.
const (
	headSuffix     = "/head"
	snapshotSuffix = "/snapshot"
)

type head struct {
	Writer string `json:"writer"`
	Write  uint64 `json:"write"`
	// Epoch is that of the writer.
	Epoch uint64 `json:"epoch,omitempty"`
	// Sequence is that of the last record.
	Sequence uint64 `json:"sequence"`
	// Base is the sequence that the snapshot reaches.
	Base    uint64   `json:"base"`
	Records []Record `json:"records"`
}

type snapshot struct {
	Writer   string `json:"writer"`
	Write    uint64 `json:"write"`
	Sequence uint64 `json:"sequence"`
	State    []byte `json:"state"`
}

// Journal reads and appends records. It is not safe for concurrent use.
type Journal struct {
	store    Store
	settings Settings
	head     head
	revision uint64
	writes   uint64
}

// New returns a journal that has not been loaded.
func New(store Store, s Settings) *Journal {
	return &Journal{
		store:    store,
		settings: s,
	}
}

func (j *Journal) headKey() string { return j.settings.Prefix + headSuffix }

func (j *Journal) snapshotKey() string { return j.settings.Prefix + snapshotSuffix }

// Sequence returns the sequence of the last known record.
func (j *Journal) Sequence() uint64 { return j.head.Sequence }

// Load reads the whole journal. It returns Fenced if the journal was written in
// a higher epoch.
func (j *Journal) Load(ctx context.Context) (Recovery, error) {
	read, err := j.store.Read(ctx, j.settings.Prefix+"/")
	if err != nil {
		return Recovery{}, err
	}
	var saved snapshot
	j.head = head{}
	j.revision = 0
	for _, e := range read.Entries {
		switch e.Key {
		case j.headKey():
			j.revision = e.Revision
			err = tanagerwire.Decode(e.Value, &j.head)
		case j.snapshotKey():
			err = tanagerwire.Decode(e.Value, &saved)
		}
		if err != nil {
			return Recovery{}, err
		}
	}
	if j.head.Epoch > j.settings.Epoch {
		return Recovery{}, Fenced.New("%s is in epoch %d, the writer in %d", j.settings.Prefix, j.head.Epoch, j.settings.Epoch)
	}
	return Recovery{
		Snapshot: saved.State,
		Records:  after(j.head.Records, saved.Sequence),
		Sequence: j.head.Sequence,
	}, nil
}

func after(records []Record, sequence uint64) []Record {
	for i, r := range records {
		if r.Sequence > sequence {
			return records[i:]
		}
	}
	return nil
}

// Full reports whether the head's window has no room for more records of the
// given size, so that the next Append should carry a snapshot.
func (j *Journal) Full(bytes int) bool {
	for _, r := range j.head.Records {
		bytes += len(r.Payload)
	}
	return len(j.head.Records) >= j.settings.Window || bytes > j.settings.WindowBytes
}

// Append adds records in one write. A snapshot that is not nil must be the
// state that all records up to Sequence add up to; it is stored first, and the
// window starts anew. On error nothing is known to be appended; after Replaced
// or an Ambiguous store error the journal must be loaded again before the next
// Append.
func (j *Journal) Append(ctx context.Context, payloads [][]byte, state []byte) error {
	next := head{
		Writer:   j.settings.Writer,
		Epoch:    j.settings.Epoch,
		Sequence: j.head.Sequence,
		Base:     j.head.Base,
		Records:  slices.Clone(j.head.Records),
	}
	if state != nil {
		if err := j.save(ctx, state); err != nil {
			return err
		}
		next.Base = j.head.Sequence
		next.Records = nil
	}
	for _, p := range payloads {
		next.Sequence++
		next.Records = append(next.Records, Record{
			Sequence: next.Sequence,
			Payload:  p,
		})
	}
	j.writes++
	next.Write = j.writes
	entry, err := j.store.Swap(ctx, tanagerstore.Swap{
		Key:      j.headKey(),
		Value:    tanagerwire.Encode(next),
		Expected: j.revision,
	})
	if errorx.IsOfType(err, tanagerstore.Conflict) {
		return Replaced.Wrap(err, "append to %s", j.settings.Prefix)
	}
	if err != nil {
		return err
	}
	j.head = next
	j.revision = entry.Revision
	return nil
}

// save stores a snapshot of the state up to the current sequence. A snapshot
// that reaches further is left as it is: its writer has replaced this one.
func (j *Journal) save(ctx context.Context, state []byte) error {
	read, err := j.store.Read(ctx, j.snapshotKey())
	if err != nil {
		return err
	}
	var expected uint64
	for _, e := range read.Entries {
		var saved snapshot
		if err := tanagerwire.Decode(e.Value, &saved); err != nil {
			return err
		}
		if saved.Sequence > j.head.Sequence {
			return Replaced.New("snapshot of %s", j.settings.Prefix)
		}
		expected = e.Revision
	}
	j.writes++
	_, err = j.store.Swap(ctx, tanagerstore.Swap{
		Key: j.snapshotKey(),
		Value: tanagerwire.Encode(snapshot{
			Writer:   j.settings.Writer,
			Write:    j.writes,
			Sequence: j.head.Sequence,
			State:    state,
		}),
		Expected: expected,
	})
	if errorx.IsOfType(err, tanagerstore.Conflict) {
		return Replaced.Wrap(err, "snapshot of %s", j.settings.Prefix)
	}
	return err
}
