package tanagercell

import (
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// A store that serves stale reads returns an earlier scheduler or none.
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
