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

// A store that serves stale reads shows earlier schedulers, or none.
func TestStaleReadOfTheLeadChangesNothing(t *testing.T) {
	c := newControl(t)
	c.learnLead(epochItem(3, 30))
	c.learnLead(holderItem("127.0.0.1:1/third", 3, 30))
	for name, stale := range map[string]leadRead{
		"an earlier scheduler": {
			page: tanagerport.Page{
				Items:    []tanagerport.Item{epochItem(2, 20), holderItem("127.0.0.1:1/second", 2, 20)},
				Revision: 25,
			},
			whole: true,
		},
		"before the first": {
			page:  tanagerport.Page{Revision: 5},
			whole: true,
		},
	} {
		stale.apply(c)
		qt.Check(t, c.lead.holder.Member, qt.Equals, "127.0.0.1:1/third", qt.Commentf("%s", name))
		qt.Check(t, c.lead.epoch, qt.Equals, uint64(3), qt.Commentf("%s", name))
	}
}

// versions decodes a configuration from a one-byte value.
type versions struct{ noDecoder }

func (versions) Configuration(i tanagerport.Item) (tanagerport.Configuration, bool, error) {
	return tanagerport.Configuration{Version: int64(i.Value[0])}, true, nil
}

func TestStaleConfigurationIsNotApplied(t *testing.T) {
	c := newControl(t)
	c.ports.Decoder = versions{}
	for _, version := range []byte{4, 3, 5, 4} {
		operatorRead{page: tanagerport.Page{Items: []tanagerport.Item{{
			Key:   "operator/config",
			Value: []byte{version},
		}}}}.apply(c)
	}
	qt.Assert(t, c.configuration.Version, qt.Equals, int64(5))
}

// Clocks of daemons differ and jump: the age of a job counts, not the time of day
// at which another daemon took it.
func TestArrivalIsCountedOnTheSchedulersClock(t *testing.T) {
	for name, k := range map[string]struct {
		told time.Duration
		age  time.Duration
	}{
		"a second ago":  {told: time.Second, age: time.Second},
		"in the future": {told: -time.Hour, age: 0},
		"long ago":      {told: 24 * time.Hour, age: oldestArrival},
	} {
		c := newControl(t)
		c.leads(1)
		record := tanagerwork.Record{
			ID:      "0000000000000001",
			Epoch:   1,
			Arrived: time.Unix(0, 0),
			Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
				Count:    1,
				Estimate: time.Second,
			}}},
		}
		c.loading = true
		m := message.NewMessage("", tanagerwire.Encode(jobStored{
			Record: record,
			Age:    k.told,
		}))
		m.Metadata.Set(tanagerpeer.TopicKey, topicJob)
		c.receive(m)
		qt.Assert(t, c.waiting, qt.HasLen, 1)
		arrived := c.waiting[0].(jobKnown).record.Arrived
		qt.Check(t, c.timer.Now().Sub(arrived), qt.Equals, k.age, qt.Commentf("%s", name))
	}
}
