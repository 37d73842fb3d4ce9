package main

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"
)

// The simulated cell: each of ownerCount daemons coordinates requests and owns
// ownerSlots slots, of which the load occupies the fraction ownerLoad.
const (
	ownerCount     = 9
	ownerSlots     = 48
	ownerLoad      = 0.85
	ownerRunTime   = 120 * time.Second
	gossipInterval = 400 * time.Millisecond
)

// ownerPolicy is a policy by which a coordinator chooses the owner for a request.
type ownerPolicy struct {
	name string
	// candidates is the number of random owners whose loads are compared; zero
	// compares all.
	candidates int
	// corrected means that the coordinator adds the requests that it has sent
	// since the last gossip to the load and updates the load from each response.
	corrected bool
}

// simOwner is an owner with busy slots and a first come, first served queue.
type simOwner struct {
	busy  int
	queue []simRequest
}

// load returns the number of running and queued requests.
func (o *simOwner) load() int { return o.busy + len(o.queue) }

// simRequest is a request that arrived at a coordinator.
type simRequest struct {
	arrival     time.Duration
	coordinator int
	serviceTime time.Duration
}

// completion is the end of a running request.
type completion struct {
	at          time.Duration
	owner       int
	coordinator int
}

// completionHeap is a min-heap of completions by time.
type completionHeap []completion

func (h *completionHeap) Len() int           { return len(*h) }
func (h *completionHeap) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }
func (h *completionHeap) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// routingSimulation simulates the routing of requests by one policy in virtual
// time.
type routingSimulation struct {
	policy ownerPolicy
	random *rand.Rand
	owners [ownerCount]simOwner
	// knownLoad is the load of each owner as each coordinator knows it:
	// knownLoad[coordinator][owner].
	knownLoad   [ownerCount][ownerCount]int
	completions completionHeap
	waits       *waitHistogram
}

// simulateRouting routes a constant load by a policy and returns the waits for a
// slot.
func simulateRouting(policy ownerPolicy, seed uint64) *waitHistogram {
	r := &routingSimulation{
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 8)),
		waits:  newWaitHistogram(),
	}
	rate := ownerLoad * ownerCount * ownerSlots / meanServiceTime.Seconds()
	nextGossip := time.Duration(0)
	for now := time.Duration(0); now < ownerRunTime; {
		now += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		for len(r.completions) > 0 && r.completions[0].at <= now {
			r.complete(heap.Pop(&r.completions).(completion))
		}
		if now >= nextGossip {
			r.gossip()
			nextGossip += gossipInterval
		}
		r.arrive(simRequest{
			arrival:     now,
			coordinator: r.random.IntN(ownerCount),
			serviceTime: time.Duration(r.random.ExpFloat64() * float64(meanServiceTime)),
		})
	}
	return r.waits
}

// gossip tells every coordinator the current load of every owner.
func (r *routingSimulation) gossip() {
	for coordinator := range r.knownLoad {
		for owner := range r.knownLoad[coordinator] {
			r.knownLoad[coordinator][owner] = r.owners[owner].load()
		}
	}
}

// arrive sends a request to the chosen owner, which starts or queues it.
func (r *routingSimulation) arrive(q simRequest) {
	owner := r.chooseOwner(q.coordinator)
	if r.policy.corrected {
		r.knownLoad[q.coordinator][owner]++
	}
	o := &r.owners[owner]
	if o.busy == ownerSlots {
		o.queue = append(o.queue, q)
		return
	}
	r.start(owner, q, q.arrival)
}

func (r *routingSimulation) start(owner int, q simRequest, now time.Duration) {
	r.owners[owner].busy++
	r.waits.record(now - q.arrival)
	heap.Push(&r.completions, completion{
		at:          now + q.serviceTime,
		owner:       owner,
		coordinator: q.coordinator,
	})
}

// complete frees the slot of a request and starts the owner's next one.
func (r *routingSimulation) complete(c completion) {
	o := &r.owners[c.owner]
	o.busy--
	if len(o.queue) > 0 {
		next := o.queue[0]
		o.queue = o.queue[1:]
		r.start(c.owner, next, c.at)
	}
	if r.policy.corrected {
		r.knownLoad[c.coordinator][c.owner] = o.load()
	}
}

// chooseOwner returns the candidate with the least known load.
func (r *routingSimulation) chooseOwner(coordinator int) int {
	best := r.random.IntN(ownerCount)
	if r.policy.candidates == 0 {
		for owner := range r.owners {
			if r.knownLoad[coordinator][owner] < r.knownLoad[coordinator][best] {
				best = owner
			}
		}
		return best
	}
	for range r.policy.candidates - 1 {
		if other := r.random.IntN(ownerCount); r.knownLoad[coordinator][other] < r.knownLoad[coordinator][best] {
			best = other
		}
	}
	return best
}

// benchOwners compares policies for the choice of an owner when the coordinators'
// load information is stale.
func benchOwners(out io.Writer, seed uint64) {
	fmt.Fprintf(out,
		"\nChoice of owners: %d homes, %d owners with %d slots each, %.0f%% load, gossip every %s.\n",
		ownerCount, ownerCount, ownerSlots, ownerLoad*100, gossipInterval)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CHOICE\tWAIT P50\tP99\tP99.9\t")
	for _, policy := range []ownerPolicy{
		{
			name:       "random",
			candidates: 1,
		},
		{
			name: "least by gossip",
		},
		{
			name:       "two by gossip",
			candidates: 2,
		},
		{
			name:      "least, corrected",
			corrected: true,
		},
		{
			name:       "two, corrected",
			candidates: 2,
			corrected:  true,
		},
		{
			name:       "three, corrected",
			candidates: 3,
			corrected:  true,
		},
	} {
		fmt.Fprintf(t, "%s\t%s\t\n", policy.name, simulateRouting(policy, seed).percentileColumns())
	}
	_ = t.Flush()
}
