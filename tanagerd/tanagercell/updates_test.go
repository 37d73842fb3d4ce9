package tanagercell

import (
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// A stale read names an earlier scheduler or none. It must not change the known
// leader.
func TestStaleLeaderReadIsIgnored(t *testing.T) {
	c := newTestControl(t)
	c.applyLeaderItem(epochItem(3, 30))
	c.applyLeaderItem(holderItem("127.0.0.1:1/third", 3, 30))
	for name, stale := range map[string]leaderUpdate{
		"an earlier scheduler": {
			page: tanagerport.Page{
				Items:    []tanagerport.Item{epochItem(2, 20), holderItem("127.0.0.1:1/second", 2, 20)},
				Revision: 25,
			},
			snapshot: true,
		},
		"no scheduler yet": {
			page:     tanagerport.Page{Revision: 5},
			snapshot: true,
		},
	} {
		stale.apply(c)
		qt.Check(t, c.leader.holder.Member, qt.Equals, "127.0.0.1:1/third", qt.Commentf("%s", name))
		qt.Check(t, c.leader.epoch, qt.Equals, uint64(3), qt.Commentf("%s", name))
	}
}

// versionDecoder decodes a configuration from a one-byte value.
type versionDecoder struct{ stubDecoder }

func (versionDecoder) Configuration(item tanagerport.Item) (tanagerport.Configuration, bool, error) {
	return tanagerport.Configuration{Version: int64(item.Value[0])}, true, nil
}

func TestStaleConfigurationIsNotApplied(t *testing.T) {
	c := newTestControl(t)
	c.ports.Decoder = versionDecoder{}
	for _, version := range []byte{4, 3, 5, 4} {
		operatorUpdate{page: tanagerport.Page{Items: []tanagerport.Item{{
			Key:   "operator/config",
			Value: []byte{version},
		}}}}.apply(c)
	}
	qt.Assert(t, c.configuration.Version, qt.Equals, int64(5))
}

// Clocks of daemons differ and jump, so a job's arrival is computed from its
// age and not from the other daemon's clock.
func TestArrivalUsesSchedulerClock(t *testing.T) {
	for name, tc := range map[string]struct {
		reported time.Duration
		want     time.Duration
	}{
		"a second ago":  {reported: time.Second, want: time.Second},
		"in the future": {reported: -time.Hour, want: 0},
		"long ago":      {reported: 24 * time.Hour, want: maxJobAge},
	} {
		c := newTestControl(t)
		c.becomeScheduler(1)
		record := tanagerwork.Record{
			ID:      "0000000000000001",
			Epoch:   1,
			Arrived: time.Unix(0, 0),
			Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
				TaskCount: 1,
				Estimate:  time.Second,
			}}},
		}
		c.loading = true
		m := message.NewMessage("", tanagerwire.Encode(jobStored{
			Record: record,
			Age:    tc.reported,
		}))
		m.Metadata.Set(tanagerpeer.TopicKey, topicJob)
		c.receive(m)
		qt.Assert(t, c.deferred, qt.HasLen, 1)
		arrived := c.deferred[0].(jobAdded).record.Arrived
		qt.Check(t, c.timer.Now().Sub(arrived), qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}

// Entries of workers that expired during an outage return within the time that
// the platform gives. Until then the workers stay in use; after it they are gone.
// At other times an entry that is removed names a worker that has left.
func TestWorkersStayUntilEntriesHaveReturned(t *testing.T) {
	deletion := workerUpdate{page: tanagerport.Page{Items: []tanagerport.Item{{
		Key:     "workers/a",
		Deleted: true,
	}}}}
	listing := workerUpdate{snapshot: true}
	entry := workerUpdate{page: tanagerport.Page{Items: []tanagerport.Item{{Key: "workers/a"}}}}
	for name, tc := range map[string]struct {
		sinceOutage time.Duration
		update      workerUpdate
		returns     bool
		kept, stays bool
	}{
		"deleted in an outage":       {update: deletion, kept: true},
		"missing in a listing":       {update: listing, kept: true},
		"returned in time":           {update: deletion, returns: true, kept: true, stays: true},
		"deleted without an outage":  {sinceOutage: entryReturnTime, update: deletion},
		"unlisted without an outage": {sinceOutage: entryReturnTime, update: listing},
	} {
		c := newTestControl(t)
		entry.apply(c)
		storeCallFinished{err: tanagerport.Refused.New("outage")}.apply(c)
		c.timer.(*tanagertimer.Manual).Advance(time.Second)
		storeCallFinished{}.apply(c)
		c.timer.(*tanagertimer.Manual).Advance(tc.sinceOutage)
		tc.update.apply(c)
		_, kept := c.workers["a"]
		qt.Check(t, kept, qt.Equals, tc.kept, qt.Commentf("%s", name))
		if tc.returns {
			entry.apply(c)
		}
		c.timer.(*tanagertimer.Manual).Advance(entryReturnTime)
		c.removeMissing(c.timer.Now())
		_, stays := c.workers["a"]
		qt.Check(t, stays, qt.Equals, tc.stays, qt.Commentf("%s", name))
		qt.Check(t, c.missingWorkers, qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

// Guards against an entry of a worker's former incarnation that is applied after the
// present one, as two watches were at work.
func TestOlderEntryChangesNothing(t *testing.T) {
	c := newTestControl(t)
	c.ports.Decoder = incarnationDecoder{}
	for _, revision := range []int64{7, 5} {
		workerUpdate{page: tanagerport.Page{
			Items: []tanagerport.Item{{
				Key:      "workers/a",
				Revision: revision,
			}},
			Revision: revision,
		}}.apply(c)
	}
	qt.Assert(t, c.workers["a"].Incarnation, qt.Equals, int64(7))
}

// incarnationDecoder takes the revision of an entry for the incarnation.
type incarnationDecoder struct{ stubDecoder }

func (incarnationDecoder) Worker(item tanagerport.Item) (tanagerport.WorkerEntry, error) {
	return tanagerport.WorkerEntry{
		ID:          item.Key[len("workers/"):],
		Incarnation: item.Revision,
	}, nil
}
