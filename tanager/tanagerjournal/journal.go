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

// Fenced means that a writer with a higher epoch has written the journal.
var Fenced = Errors.NewType("fenced")

// Replaced means that another writer has appended since the journal was last
// loaded: the caller must load it again.
var Replaced = Errors.NewType("replaced")

// Store is the part of the key-value service that a journal uses. Its errors are
// those of package tanagerstore.
type Store interface {
	Read(ctx context.Context, prefix string) (tanagerstore.Snapshot, error)
	Swap(ctx context.Context, s tanagerstore.Swap) (tanagerstore.Entry, error)
}

// Settings configures a Journal. All fields are required.
type Settings struct {
	// Prefix is the common prefix of the journal's two keys.
	Prefix string
	// Writer is this process's name, unique across restarts.
	Writer string
	// Epoch is the writer's fencing epoch. A journal that was written in a higher
	// epoch cannot be loaded. It is zero for journals without fencing.
	Epoch uint64
	// MaxWindowRecords is the largest number of records in the head.
	MaxWindowRecords int
	// MaxWindowBytes is the largest total size of the payloads in the head.
	MaxWindowBytes int
}

// Record is one entry of a journal.
type Record struct {
	Sequence uint64 `json:"sequence"`
	Payload  []byte `json:"payload"`
}

// Recovery is a change for a reader to apply: first the snapshot, then the
// records.
type Recovery struct {
	// Snapshot replaces the reader's state. It is nil if the records follow on
	// that state.
	Snapshot []byte
	Records  []Record
	// Sequence is the sequence number of the last record.
	Sequence uint64
}

// The suffixes of a journal's two keys.
const (
	headSuffix     = "/head"
	snapshotSuffix = "/snapshot"
)

// head is the value of the head key.
type head struct {
	Writer string `json:"writer"`
	// WriteSequence counts the writes of the writer.
	WriteSequence uint64 `json:"write"`
	// Epoch is the writer's epoch.
	Epoch uint64 `json:"epoch,omitempty"`
	// Sequence is the sequence number of the last record.
	Sequence uint64 `json:"sequence"`
	// Base is the sequence number of the last record before the window. The
	// snapshot covers at least the records up to it.
	Base    uint64   `json:"base"`
	Records []Record `json:"records"`
}

// snapshot is the value of the snapshot key. Sequence is the sequence number of
// the last record that it covers.
type snapshot struct {
	Writer        string `json:"writer"`
	WriteSequence uint64 `json:"write"`
	Sequence      uint64 `json:"sequence"`
	State         []byte `json:"state"`
}

// Journal reads and appends records. It is not safe for concurrent use.
type Journal struct {
	store         Store
	settings      Settings
	head          head
	headRevision  uint64
	writeSequence uint64
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

// Sequence returns the sequence number of the last known record.
func (j *Journal) Sequence() uint64 { return j.head.Sequence }

// Load reads the complete journal. It returns Fenced if the journal was written in
// a higher epoch.
func (j *Journal) Load(ctx context.Context) (Recovery, error) {
	read, err := j.store.Read(ctx, j.settings.Prefix+"/")
	if err != nil {
		return Recovery{}, err
	}
	var saved snapshot
	j.head = head{}
	j.headRevision = 0
	for _, e := range read.Entries {
		switch e.Key {
		case j.headKey():
			j.headRevision = e.Revision
			err = tanagerwire.Decode(e.Value, &j.head)
		case j.snapshotKey():
			err = tanagerwire.Decode(e.Value, &saved)
		}
		if err != nil {
			return Recovery{}, err
		}
	}
	if j.head.Epoch > j.settings.Epoch {
		return Recovery{}, Fenced.New("%s is in epoch %d, the writer in %d",
			j.settings.Prefix, j.head.Epoch, j.settings.Epoch)
	}
	return Recovery{
		Snapshot: saved.State,
		Records:  recordsAfter(j.head.Records, saved.Sequence),
		Sequence: j.head.Sequence,
	}, nil
}

// recordsAfter returns the records with higher sequence numbers.
func recordsAfter(records []Record, sequence uint64) []Record {
	for i, r := range records {
		if r.Sequence > sequence {
			return records[i:]
		}
	}
	return nil
}

// NeedsSnapshot reports whether the window cannot hold another record with a
// payload of the given size, so that the next Append should carry a snapshot.
func (j *Journal) NeedsSnapshot(bytes int) bool {
	for _, r := range j.head.Records {
		bytes += len(r.Payload)
	}
	return len(j.head.Records) >= j.settings.MaxWindowRecords || bytes > j.settings.MaxWindowBytes
}

// Append adds records in one write. If state is not nil it must be the state
// after all records up to Sequence; it is stored as the snapshot first, and a new
// window is started. On error the caller must not assume that the records were
// appended. After Replaced or tanagerstore.Ambiguous the journal must be loaded
// again before the next Append.
func (j *Journal) Append(ctx context.Context, payloads [][]byte, state []byte) error {
	next := head{
		Writer:   j.settings.Writer,
		Epoch:    j.settings.Epoch,
		Sequence: j.head.Sequence,
		Base:     j.head.Base,
		Records:  slices.Clone(j.head.Records),
	}
	if state != nil {
		if err := j.saveSnapshot(ctx, state); err != nil {
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
	j.writeSequence++
	next.WriteSequence = j.writeSequence
	entry, err := j.store.Swap(ctx, tanagerstore.Swap{
		Key:              j.headKey(),
		Value:            tanagerwire.Encode(next),
		ExpectedRevision: j.headRevision,
	})
	if errorx.IsOfType(err, tanagerstore.Conflict) {
		return Replaced.Wrap(err, "append to %s", j.settings.Prefix)
	}
	if err != nil {
		return err
	}
	j.head = next
	j.headRevision = entry.Revision
	return nil
}

// saveSnapshot stores a snapshot of the state up to the current sequence number.
// It returns Replaced if the stored snapshot covers later records, because then
// another writer has replaced this one.
func (j *Journal) saveSnapshot(ctx context.Context, state []byte) error {
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
	j.writeSequence++
	_, err = j.store.Swap(ctx, tanagerstore.Swap{
		Key: j.snapshotKey(),
		Value: tanagerwire.Encode(snapshot{
			Writer:        j.settings.Writer,
			WriteSequence: j.writeSequence,
			Sequence:      j.head.Sequence,
			State:         state,
		}),
		ExpectedRevision: expected,
	})
	if errorx.IsOfType(err, tanagerstore.Conflict) {
		return Replaced.Wrap(err, "snapshot of %s", j.settings.Prefix)
	}
	return err
}
