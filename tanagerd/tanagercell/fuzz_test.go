package tanagercell

import (
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

var fuzzTopics = []string{
	tanagerpeer.ConnectionLostTopic, topicHeartbeat, topicHints, topicJob, topicCancel, topicStateRequest,
	topicStateResponse, topicForwardRequest, topicForwardResponse, topicHandoverRequest, topicLeaderAnnouncement,
	topicAdviceResponse,
}

// FuzzMessage checks that no message of another daemon stops the control loop of
// a scheduler.
func FuzzMessage(f *testing.F) {
	for i := range fuzzTopics {
		f.Add(i, []byte(nil))
		f.Add(i, []byte("not CBOR"))
		f.Add(i, tanagerwire.Encode(jobStored{Record: tanagerwork.Record{
			ID:    "x",
			Epoch: 1,
			Spec: tanagerwork.Spec{
				Times: 3,
				Steps: []tanagerwork.Step{{
					TaskCount: -1,
					After:     []int{7},
				}},
			},
		}}))
		// A number of seconds stands for a time that no record can hold.
		f.Add(i, tanagerwire.Encode(map[string]any{"record": map[string]any{
			"arrived": int64(1) << 50,
			"spec":    map[string]any{"first_due": int64(1) << 50, "times": 1},
		}}))
		f.Add(i, tanagerwire.Encode(handoverRequest{Epoch: 1}))
		f.Add(i, tanagerwire.Encode(leaderAnnouncement{HolderRevision: 1 << 40}))
	}
	f.Fuzz(func(t *testing.T, topic int, payload []byte) {
		c := newTestControl(t)
		c.members = make(map[string]member)
		c.becomeScheduler(1)
		m := message.NewMessage("", payload)
		m.Metadata.Set(tanagerpeer.FromKey, "10.0.0.2:1/other")
		m.Metadata.Set(tanagerpeer.TopicKey, fuzzTopics[uint(topic)%uint(len(fuzzTopics))])
		c.receive(m)
		if c.cell != nil {
			c.cell.Tick(c.timer.Now())
		}
	})
}
