package tanagercell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// intakePage returns what a watch of the intake may report: the record of a job as
// it was written at one revision, read at another.
func intakePage(id tanagerwork.JobID, written, read int64) intakeUpdate {
	return intakeUpdate{page: tanagerport.Page{
		Items: []tanagerport.Item{{
			Key: jobPrefix + string(id),
			Value: tanagerwire.Encode(tanagerwork.Record{
				ID:      id,
				Queue:   "q",
				Service: "s",
				Epoch:   1,
				Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
					TaskCount: 1,
					Estimate:  time.Second,
				}}},
			}),
			Revision: written,
		}},
		Revision: read,
	}}
}

// Guards against jobs that run a second time after their retention: a listing of
// the intake that was read before their removal arrived after it.
func TestRemovedJobIsNotAddedByOlderListing(t *testing.T) {
	const id = tanagerwork.JobID("00000000000000aa")
	q := qt.New(t)
	c := newTestControl(t)
	c.becomeScheduler(1)
	known := func() bool {
		_, known := c.cell.State(id)
		return known
	}
	intakePage(id, 10, 20).apply(c)
	q.Assert(known(), qt.IsTrue)
	jobsRemoved{
		term:     c.term,
		ids:      []tanagerwork.JobID{id},
		revision: 50,
	}.apply(c)
	q.Assert(known(), qt.IsFalse)
	intakePage(id, 10, 40).apply(c)
	q.Assert(known(), qt.IsFalse)
	intakePage("00000000000000bb", 55, 55).apply(c)
	q.Assert(c.writer.removals, qt.HasLen, 0)
	intakePage(id, 60, 60).apply(c)
	q.Assert(known(), qt.IsTrue)
}

// Guards against jobs that run a second time after a change of scheduler: one that
// the successor did not find had been removed, whatever an older listing holds.
func TestJobRemovedBeforeTakeoverIsNotAdded(t *testing.T) {
	const id = tanagerwork.JobID("00000000000000aa")
	for name, tc := range map[string]struct {
		written int64
		known   bool
	}{
		"written before the takeover": {written: 30},
		"written later":               {written: 31, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			c.applyLeaderItem(epochItem(2, 20))
			c.applyLeaderItem(holderItem(self, 2, 20))
			intakePage(id, tc.written, 32).apply(c)
			storedStateLoaded{
				term:  c.term,
				state: &storedState{intakeRevision: 30},
			}.apply(c)
			_, known := c.cell.State(id)
			qt.Assert(t, known, qt.Equals, tc.known)
		})
	}
}
