package tanagerdispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerwork"
)

// Guards against a scheduler that ends for want of memory: large jobs are refused
// when those that it has or that are being stored reach the limit, and one is always
// taken.
func TestLargeJobsAreLimited(t *testing.T) {
	c := qt.New(t)
	const size = LargeJobBytes + stepSizeInTest
	now := time.Unix(1_700_000_000, 0)
	id := func(i int) tanagerwork.JobID { return tanagerwork.JobID(fmt.Sprintf("%016x", i)) }
	cell := New(Settings{
		Retention:        time.Minute,
		MaxLargeJobBytes: 2 * size,
	}, 1, now)
	c.Check(cell.ReserveRoom(now, id(0), 3*size), qt.IsTrue, qt.Commentf("the only one"))
	now = now.Add(roomTimeout + 1)
	c.Check(cell.ReserveRoom(now, id(1), size), qt.IsTrue, qt.Commentf("the first reservation has ended"))
	c.Check(cell.ReserveRoom(now, id(1), size), qt.IsTrue, qt.Commentf("the same job again"))
	c.Check(cell.ReserveRoom(now, id(2), size), qt.IsTrue)
	c.Check(cell.ReserveRoom(now, id(3), size), qt.IsFalse)
	c.Check(cell.ReserveRoom(now, id(1), size), qt.IsTrue, qt.Commentf("may be stored already"))
	for i := range 2 {
		cell.AddJob(now, tanagerwork.Record{
			ID:    id(1 + i),
			Queue: "q",
			Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
				TaskCount: 1,
				Image:     strings.Repeat("x", LargeJobBytes),
			}}},
		}, nil)
	}
	now = now.Add(roomTimeout + 1)
	c.Check(cell.ReserveRoom(now, id(3), size), qt.IsFalse, qt.Commentf("the jobs were added"))
	cell.RemoveJob(id(1))
	c.Check(cell.ReserveRoom(now, id(3), size), qt.IsTrue, qt.Commentf("a job was removed"))
}

// stepSizeInTest is the size of a step without its names.
const stepSizeInTest = 512
