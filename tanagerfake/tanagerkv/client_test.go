package tanagerkv

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
)

// startServer starts a server whose leases follow a manual clock. It returns the
// server, the clock, a client with the name caller and the server's address.
func startServer(c *qt.C, caller string) (*Server, *tanagertimer.Manual, *tanagerstore.Client, netip.AddrPort) {
	timer := tanagertimer.NewManual(time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC))
	server := New(timer)
	listener := httptest.NewServer(server.Handler())
	c.Cleanup(listener.Close)
	address := netip.MustParseAddrPort(listener.Listener.Addr().String())
	return server, timer, newClient(address, caller), address
}

func newClient(address netip.AddrPort, caller string) *tanagerstore.Client {
	return tanagerstore.NewClient(tanagerstore.Settings{
		Address:         address,
		Caller:          caller,
		CallTimeout:     5 * time.Second,
		WritesPerSecond: 1000,
		ReadsPerSecond:  1000,
	}, tanagertimer.NewReal())
}

func put(ctx context.Context, client *tanagerstore.Client, key, value string,
	expected uint64) (tanagerstore.Entry, error) {
	return client.Swap(ctx, tanagerstore.Swap{
		Key:              key,
		Value:            []byte(value),
		ExpectedRevision: expected,
	})
}

func TestSwapRecognizesOwnWriteAfterLostResponse(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, _, client, _ := startServer(c, "d1")
	server.SetFaults(Faults{
		LoseResponses: 2,
	})
	entry, err := put(ctx, client, "k", "mine", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Revision, qt.Equals, uint64(1))
	snapshot, err := client.Read(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Revision, qt.Equals, uint64(1), qt.Commentf("the write took effect more than once"))
}

// Another writer changes the key after the swap whose response is lost and before
// the client reads the key, so that the client cannot tell whether its own swap
// took effect.
func TestLostResponseThenForeignWriteIsAmbiguous(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, _, client, _ := startServer(c, "d1")
	server.SetFaults(Faults{
		LoseResponses: 1,
	})
	server.afterLostResponse = func() {
		_, swapped := server.table.swap(tanagerstore.Swap{
			Key:              "k",
			Value:            []byte("foreign"),
			ExpectedRevision: 1,
		})
		c.Check(swapped, qt.IsTrue)
	}
	_, err := put(ctx, client, "k", "mine", 0)
	c.Assert(errorx.IsOfType(err, tanagerstore.Ambiguous), qt.IsTrue, qt.Commentf("%v", err))
}

func TestConflictReturnsCurrentEntry(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, _, client, _ := startServer(c, "d1")
	_, err := put(ctx, client, "k", "first", 0)
	c.Assert(err, qt.IsNil)
	entry, err := put(ctx, client, "k", "second", 0)
	c.Assert(errorx.IsOfType(err, tanagerstore.Conflict), qt.IsTrue)
	c.Assert(string(entry.Value), qt.Equals, "first")
}

func TestOutageAndRateLimitHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, _, client, address := startServer(c, "d1")
	server.SetFaults(Faults{
		Refuse: []string{"d1"},
	})
	_, err := put(ctx, client, "k", "v", 0)
	c.Assert(errorx.IsOfType(err, tanagerstore.Unavailable), qt.IsTrue)
	_, err = put(ctx, newClient(address, "d2"), "k", "v", 0)
	c.Assert(err, qt.IsNil)
	limited := tanagerstore.NewClient(tanagerstore.Settings{
		Address:         address,
		CallTimeout:     time.Second,
		WritesPerSecond: 1,
		ReadsPerSecond:  1,
	}, tanagertimer.NewManual(time.Unix(0, 0)))
	for range 3 {
		_, err = limited.GrantLease(ctx, time.Second)
		c.Assert(err, qt.IsNil)
	}
	_, err = limited.GrantLease(ctx, time.Second)
	c.Assert(errorx.IsOfType(err, tanagerstore.RateLimited), qt.IsTrue)
}

func TestLeasesExpireExceptDuringOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, timer, client, _ := startServer(c, "d1")
	id, err := client.GrantLease(ctx, time.Second)
	c.Assert(err, qt.IsNil)
	_, err = client.Swap(ctx, tanagerstore.Swap{
		Key:   "member",
		Value: []byte("d1"),
		Lease: id,
	})
	c.Assert(err, qt.IsNil)
	server.SetFaults(Faults{
		Outage: true,
	})
	timer.Advance(time.Minute)
	server.SetFaults(Faults{})
	server.table.expireLeases()
	c.Assert(client.RenewLease(ctx, id), qt.IsNil)
	timer.Advance(1100 * time.Millisecond)
	server.table.expireLeases()
	c.Assert(errorx.IsOfType(client.RenewLease(ctx, id), tanagerstore.LeaseGone), qt.IsTrue)
	changes, err := client.Watch(ctx, "member", 1, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Entries, qt.HasLen, 1)
	c.Assert(changes.Entries[0].Deleted, qt.IsTrue)
}
