package tanagerfleet

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagertimer"
)

// newFleet returns a fleet of one worker and one target on a clock that the test
// moves, with a client.
func newFleet(c *qt.C) (*Fleet, *tanagertimer.Manual, *tanagerplatform.Client) {
	timer := tanagertimer.NewManual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC))
	f, err := New(Settings{
		Address:      netip.MustParseAddr("127.0.0.1"),
		LeavingGrace: 3 * time.Second,
		Workers: []WorkerGroup{
			{
				Rack:      "r",
				Count:     1,
				Cores:     4,
				MemoryMiB: 1000,
			},
		},
	}, timer)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { f.machines["r-w0"].order(VMFaults{Dead: true}) })
	return f, timer, tanagerplatform.NewClient(tanagerplatform.Settings{
		CallTimeout: 5 * time.Second,
	})
}

const lease = 10 * time.Second

func syncWith(c *qt.C, client *tanagerplatform.Client, f *Fleet, epoch uint64, base int64) tanagerplatform.SyncReport {
	report, err := client.Sync(context.Background(), f.machines["r-w0"].record.Address, tanagerplatform.SyncCall{
		Epoch:     epoch,
		LeaseBase: base,
		Lease:     lease,
	})
	c.Assert(err, qt.IsNil)
	return report
}

func startOn(client *tanagerplatform.Client, f *Fleet, epoch uint64, base int64, id string) (tanagerplatform.StartReport, error) {
	return client.Start(context.Background(), f.machines["r-w0"].record.Address, tanagerplatform.StartCall{
		Epoch:     epoch,
		LeaseBase: base,
		Lease:     lease,
		Tasks: []tanagerplatform.Task{
			{
				ID: id,
				Resources: tanagerresource.Vector{
					CPU: 3000,
				},
			},
		},
	})
}

func TestWorkerRefusesALowerEpoch(t *testing.T) {
	c := qt.New(t)
	f, _, client := newFleet(c)
	old := syncWith(c, client, f, 1, 0).LeaseBase
	syncWith(c, client, f, 1, old)
	heir := syncWith(c, client, f, 2, 0).LeaseBase
	_, err := startOn(client, f, 1, old, "j/0/1")
	c.Assert(errorx.IsOfType(err, tanagerplatform.Fenced), qt.IsTrue)
	syncWith(c, client, f, 2, heir)
	report, err := startOn(client, f, 2, heir, "j/0/2")
	c.Assert(err, qt.IsNil)
	c.Assert(report.Started, qt.HasLen, 1)
	c.Assert(f.Observations().Violations, qt.HasLen, 0)
}

func TestTaskLeaseRunsFromTheLastBase(t *testing.T) {
	c := qt.New(t)
	f, timer, client := newFleet(c)
	base := syncWith(c, client, f, 1, 0).LeaseBase
	syncWith(c, client, f, 1, base)
	_, err := startOn(client, f, 1, base, "j/0/1")
	c.Assert(err, qt.IsNil)
	// A sync that carries an old base extends nothing.
	timer.Advance(9 * time.Second)
	syncWith(c, client, f, 1, base)
	timer.Advance(1001 * time.Millisecond)
	f.step()
	report := syncWith(c, client, f, 1, 0)
	c.Assert(report.Tasks, qt.HasLen, 1)
	c.Assert(report.Tasks[0].State, qt.Equals, tanagerplatform.Stopped)
	// Nor does a start call with an old base start anything, under a new lease.
	syncWith(c, client, f, 1, report.LeaseBase)
	late, err := startOn(client, f, 1, base, "j/0/2")
	c.Assert(err, qt.IsNil)
	c.Assert(late.Started, qt.HasLen, 0)
}

func TestObserverSeesDoubleTasksAndOverload(t *testing.T) {
	c := qt.New(t)
	f, _, client := newFleet(c)
	base := syncWith(c, client, f, 1, 0).LeaseBase
	syncWith(c, client, f, 1, base)
	for _, id := range []string{"j/0/1", "j/0/2"} {
		_, err := startOn(client, f, 1, base, id)
		c.Assert(err, qt.IsNil)
	}
	var kinds []ViolationKind
	for _, v := range f.Observations().Violations {
		kinds = append(kinds, v.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []ViolationKind{DoubleTask, OverCapacity})
}
