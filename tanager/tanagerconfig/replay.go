package tanagerconfig

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerjournal"
	"tanagersail.example/tanager/tanagerwire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerconfig")

// Rejected means that a journal holds an intent that cannot be applied. Writers
// append accepted intents only.
var Rejected = Errors.NewType("rejected")

// Record is the journal record of an accepted intent.
type Record struct {
	Intent Intent `json:"intent"`
	// At is the wall-clock time at which the intent was applied.
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
}

// Replay returns the configuration after applying the snapshot and the records of
// a journal to s. It returns an error of type Rejected if an intent cannot be
// applied, or an error of tanagerwire if a record cannot be decoded.
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
		var accepted Record
		if err := tanagerwire.Decode(record.Payload, &accepted); err != nil {
			return s, err
		}
		next, failure := s.Apply(accepted.Intent, accepted.At)
		if failure != nil {
			return s, Rejected.Wrap(failure, "record %d", record.Sequence)
		}
		s = next
	}
	return s, nil
}

// Snapshot returns the configuration encoded as a journal snapshot.
func (s State) Snapshot() []byte { return tanagerwire.Encode(s) }
