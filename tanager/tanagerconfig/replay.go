package tanagerconfig

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerwire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerconfig")

// Rejected means that a journal holds an intent that does not apply, which
// Append never writes.
var Rejected = Errors.NewType("rejected")

// Record is one accepted intent in the journal.
type Record struct {
	Intent Intent `json:"intent"`
	// At is the wall-clock time at which the intent was applied.
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
}

// Replay returns the configuration after applying what a journal delivered.
func Replay(s State, r tanagerjournal.Recovery) (State, error) {
	if r.Snapshot != nil {
		s = State{}
		if err := tanagerwire.Decode(r.Snapshot, &s); err != nil {
			return s, err
		}
		if s.Branches == nil {
			s.Branches = make(map[string]Branch)
		}
	}
	for _, record := range r.Records {
		var change Record
		if err := tanagerwire.Decode(record.Payload, &change); err != nil {
			return s, err
		}
		next, failure := s.Apply(change.Intent, change.At)
		if failure != nil {
			return s, Rejected.Wrap(failure, "record %d", record.Sequence)
		}
		s = next
	}
	return s, nil
}

// Snapshot returns the encoded configuration for a journal.
func (s State) Snapshot() []byte { return tanagerwire.Encode(s) }
