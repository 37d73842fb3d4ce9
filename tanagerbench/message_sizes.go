package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// benchMessageSizes prints the encoded size of each message in a cell of the
// target size.
func benchMessageSizes(t io.Writer) {
	ref := tanagerjob.TaskRef{
		Job:     "j812-14-30211",
		Index:   7,
		Attempt: 14<<20 + 3,
	}
	gossip := tanagermessage.Gossip{
		MapRevision:    1 << 30,
		ConfigRevision: 1 << 20,
		Free:           benThanh.capacity,
		Capacity:       benThanh.capacity,
		ServiceLoads: []tanagermessage.ServiceLoad{
			{
				Service: "ladder",
				Slots:   48,
				Free:    12,
				Queued:  3,
			},
		},
	}
	fmt.Fprintf(t, "gossip, and when nothing has changed\t%d B and %d B\n",
		len(tanagerwire.Encode(gossip)),
		len(tanagerwire.Encode(tanagermessage.Gossip{
			Unchanged: true,
		})))
	fmt.Fprintf(t, "what a branch holds, for a plan\t%d B\n", len(tanagerwire.Encode(tanagermessage.BranchUsage{
		Branch:  "branch-42",
		CPU:     benThanh.capacity.CPU,
		Memory:  benThanh.capacity.Memory,
		Waiting: 12,
		Slots:   3,
		Queued:  2,
	})))
	m := tanagershard.New(1024, "entry-117-0a1b2c3d")
	m.Roster.Members = nil
	shardBytes := len(tanagerwire.Encode(tanagershard.New(1025, "entry-117-0a1b2c3d"))) -
		len(tanagerwire.Encode(tanagershard.New(1024, "entry-117-0a1b2c3d")))
	fmt.Fprintf(t, "shard map of 1024 shards\t%d B, %d B a shard\n", len(tanagerwire.Encode(m)), shardBytes)
	offer := tanagermessage.TaskOffer{
		Shard:     812,
		Epoch:     14,
		Ref:       ref,
		Branch:    "branch-42",
		Kind:      tanagerjob.Batch,
		Resources: benThanh.capacity,
		Family:    "family",
		Payload:   make([]byte, 100),
	}
	fmt.Fprintf(t, "task offer, answer, end, acknowledgement\t%d, %d, %d, %d B\n",
		len(tanagerwire.Encode(offer)),
		len(tanagerwire.Encode(tanagermessage.OfferResponse{
			Ref:    ref,
			Result: tanagermessage.OfferStarted,
			Worker: "south-a-rack-41-w7",
		})),
		len(tanagerwire.Encode(tanagermessage.AttemptStatus{
			Shard:  812,
			Ref:    ref,
			Worker: "south-a-rack-41-w7",
			End:    tanagermessage.AttemptDone,
		})),
		len(tanagerwire.Encode(tanagermessage.AttemptAck{
			Ref: ref,
		})))
	record := tanagerwire.Encode(tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind:   tanagerconfig.GrantException,
			Branch: "branch-42",
			Exception: &tanagerconfig.Exception{
				Name:         "match-night",
				WeightFactor: 2,
				From:         time.Unix(1e9, 0),
				Until:        time.Unix(1e9, 0).Add(time.Hour),
			},
		},
		At:       time.Unix(1e9, 0),
		Operator: "centre",
	})
	fmt.Fprintf(t, "configuration record\t%d B\n", len(record))
	request, response := syncSizes()
	fmt.Fprintf(t, "worker sync without changes, JSON bodies\t%d B and %d B\n", request, response)
}

// syncSizes returns the body sizes of a worker sync without changes, in bytes.
func syncSizes() (request, response int) {
	size := func(v any) int {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return len(b)
	}
	return size(tanagerplatform.SyncCall{
			Epoch:     14,
			LeaseBase: 1e18,
			Lease:     taskLease,
			After:     123456,
			Wait:      taskLease / 3,
		}), size(tanagerplatform.SyncResponse{
			LeaseBase: 1e18,
			Version:   123456,
		})
}
