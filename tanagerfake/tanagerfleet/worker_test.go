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

// newFleet returns a fleet of one worker on a manual clock, the clock and a
// client.
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
	c.Cleanup(func() { f.vms["r-w0"].applyFaults(VMFaults{Dead: true}) })
	return f, timer, tanagerplatform.NewClient(tanagerplatform.Settings{
		CallTimeout: 5 * time.Second,
	})
}

const leaseLength = 10 * time.Second

func syncWorker(c *qt.C, client *tanagerplatform.Client, f *Fleet, epoch uint64,
	base int64) tanagerplatform.SyncResponse {
	response, err := client.Sync(context.Background(), f.vms["r-w0"].record.Address, tanagerplatform.SyncCall{
		Epoch:     epoch,
		LeaseBase: base,
		Lease:     leaseLength,
	})
	c.Assert(err, qt.IsNil)
	return response
}

func startTask(client *tanagerplatform.Client, f *Fleet, epoch uint64, base int64,
	id string) (tanagerplatform.StartResponse, error) {
	return client.Start(context.Background(), f.vms["r-w0"].record.Address, tanagerplatform.StartCall{
		Epoch:     epoch,
		LeaseBase: base,
		Lease:     leaseLength,
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

func TestWorkerRejectsLowerEpoch(t *testing.T) {
	c := qt.New(t)
	f, _, client := newFleet(c)
	oldBase := syncWorker(c, client, f, 1, 0).LeaseBase
	syncWorker(c, client, f, 1, oldBase)
	newBase := syncWorker(c, client, f, 2, 0).LeaseBase
	_, err := startTask(client, f, 1, oldBase, "j/0/1")
	c.Assert(errorx.IsOfType(err, tanagerplatform.Fenced), qt.IsTrue)
	syncWorker(c, client, f, 2, newBase)
	response, err := startTask(client, f, 2, newBase, "j/0/2")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Started, qt.HasLen, 1)
	c.Assert(f.Observations().Violations, qt.HasLen, 0)
}

func TestTaskLeaseStartsAtBase(t *testing.T) {
	c := qt.New(t)
	f, timer, client := newFleet(c)
	base := syncWorker(c, client, f, 1, 0).LeaseBase
	syncWorker(c, client, f, 1, base)
	_, err := startTask(client, f, 1, base, "j/0/1")
	c.Assert(err, qt.IsNil)
	// A sync with an old base does not extend the lease.
	timer.Advance(9 * time.Second)
	syncWorker(c, client, f, 1, base)
	timer.Advance(1001 * time.Millisecond)
	f.tick()
	response := syncWorker(c, client, f, 1, 0)
	c.Assert(response.Tasks, qt.HasLen, 1)
	c.Assert(response.Tasks[0].State, qt.Equals, tanagerplatform.Stopped)
	// A start call with an old base starts nothing, even under a new lease.
	syncWorker(c, client, f, 1, response.LeaseBase)
	delayed, err := startTask(client, f, 1, base, "j/0/2")
	c.Assert(err, qt.IsNil)
	c.Assert(delayed.Started, qt.HasLen, 0)
}

func TestObserverReportsDoubleTaskAndOvercommit(t *testing.T) {
	c := qt.New(t)
	f, _, client := newFleet(c)
	base := syncWorker(c, client, f, 1, 0).LeaseBase
	syncWorker(c, client, f, 1, base)
	for _, id := range []string{"j/0/1", "j/0/2"} {
		_, err := startTask(client, f, 1, base, id)
		c.Assert(err, qt.IsNil)
	}
	var kinds []ViolationKind
	for _, v := range f.Observations().Violations {
		kinds = append(kinds, v.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []ViolationKind{DoubleTask, OverCapacity})
}
