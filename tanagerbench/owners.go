package main

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"
)

// The cell in which homes choose owners.
const (
	ownerCount     = 9
	ownerSlots     = 48
	ownerLoad      = 0.85
	ownerTime      = 120 * time.Second
	gossipDistance = 400 * time.Millisecond
)

// chooser is a way in which a home chooses an owner.
type chooser struct {
	name string
	// among is the number of random owners that are compared; zero compares
	// all.
	among int
	// corrected homes count what they have sent since the last hint and take
	// the load that comes with each answer.
	corrected bool
}

// simOwner is an owner with its slots and its queue, first come first served.
type simOwner struct {
	busy  int
	queue []simRequest
}

func (o *simOwner) load() int { return o.busy + len(o.queue) }

type simRequest struct {
	at   time.Duration
	home int
	work time.Duration
}

// ownerEvent is the end of a request.
type ownerEvent struct {
	at    time.Duration
	owner int
	home  int
}

type ownerEvents []ownerEvent

func (h *ownerEvents) Len() int           { return len(*h) }
func (h *ownerEvents) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }
func (h *ownerEvents) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *ownerEvents) Push(x any) { *h = append(*h, x.(ownerEvent)) }

// Pop implements heap.Interface.
func (h *ownerEvents) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// routing is one run of a chooser in virtual time.
type routing struct {
	chooser chooser
	random  *rand.Rand
	owners  [ownerCount]simOwner
	// hints is what each home believes of each owner's load.
	hints [ownerCount][ownerCount]int
	ends  ownerEvents
	waits *waits
}

// route runs a steady load through a chooser and returns the waits for a slot.
func route(c chooser, seed uint64) *waits {
	r := &routing{
		chooser: c,
		random:  rand.New(rand.NewPCG(seed, 8)),
		waits:   newWaits(),
	}
	rate := ownerLoad * ownerCount * ownerSlots / requestWork.Seconds()
	gossip := time.Duration(0)
	for now := time.Duration(0); now < ownerTime; {
		now += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		for len(r.ends) > 0 && r.ends[0].at <= now {
			r.end(heap.Pop(&r.ends).(ownerEvent))
		}
		if now >= gossip {
			r.gossip()
			gossip += gossipDistance
		}
		r.arrive(simRequest{
			at:   now,
			home: r.random.IntN(ownerCount),
			work: time.Duration(r.random.ExpFloat64() * float64(requestWork)),
		})
	}
	return r.waits
}

// gossip brings every home's hints up to date.
func (r *routing) gossip() {
	for home := range r.hints {
		for owner := range r.hints[home] {
			r.hints[home][owner] = r.owners[owner].load()
		}
	}
}

func (r *routing) arrive(q simRequest) {
	owner := r.choose(q.home)
	if r.chooser.corrected {
		r.hints[q.home][owner]++
	}
	o := &r.owners[owner]
	if o.busy == ownerSlots {
		o.queue = append(o.queue, q)
		return
	}
	r.start(owner, q, q.at)
}

func (r *routing) start(owner int, q simRequest, now time.Duration) {
	r.owners[owner].busy++
	r.waits.add(now - q.at)
	heap.Push(&r.ends, ownerEvent{
		at:    now + q.work,
		owner: owner,
		home:  q.home,
	})
}

func (r *routing) end(e ownerEvent) {
	o := &r.owners[e.owner]
	o.busy--
	if len(o.queue) > 0 {
		next := o.queue[0]
		o.queue = o.queue[1:]
		r.start(e.owner, next, e.at)
	}
	if r.chooser.corrected {
		r.hints[e.home][e.owner] = o.load()
	}
}

func (r *routing) choose(home int) int {
	best := r.random.IntN(ownerCount)
	if r.chooser.among == 0 {
		for owner := range r.owners {
			if r.hints[home][owner] < r.hints[home][best] {
				best = owner
			}
		}
		return best
	}
	for range r.chooser.among - 1 {
		if other := r.random.IntN(ownerCount); r.hints[home][other] < r.hints[home][best] {
			best = other
		}
	}
	return best
}

// benchOwners compares ways in which a home chooses an owner on stale hints.
func benchOwners(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "\nChoice of owners: %d homes, %d owners with %d slots each, %.0f%% load, gossip every %s.\n", ownerCount, ownerCount, ownerSlots, ownerLoad*100, gossipDistance)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CHOICE\tWAIT P50\tP99\tP99.9\t")
	for _, c := range []chooser{
		{
			name:  "random",
			among: 1,
		},
		{
			name: "least by gossip",
		},
		{
			name:  "two by gossip",
			among: 2,
		},
		{
			name:      "least, corrected",
			corrected: true,
		},
		{
			name:      "two, corrected",
			among:     2,
			corrected: true,
		},
		{
			name:      "three, corrected",
			among:     3,
			corrected: true,
		},
	} {
		fmt.Fprintf(t, "%s\t%s\t\n", c.name, route(c, seed).columns())
	}
	_ = t.Flush()
}
