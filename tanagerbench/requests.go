package main

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"tanagersail.example/tanager/tanagerqueue"
)

// arrival is the arrival of one request of the synthetic workload.
type arrival struct {
	at          time.Time
	branch      string
	class       tanagerqueue.Class
	serviceTime time.Duration
}

// queueDiscipline is a queue of requests under measurement.
type queueDiscipline interface {
	// offer queues a request, or returns false if it is rejected.
	offer(a arrival) bool
	// take dequeues the next request. The function that it returns is to be
	// called when the request ends, with the slot time that it used.
	take(now time.Time) (arrival, func(used time.Duration), bool)
	// evicted removes the requests that were evicted from the queue since the
	// last call and returns their number.
	evicted() int
}

// fairQueue is the daemon's queue. timeout is the time from the arrival of a
// request to its deadline.
type fairQueue struct {
	queue   *tanagerqueue.Queue[arrival]
	timeout time.Duration
}

func (q *fairQueue) offer(a arrival) bool {
	return q.queue.Offer(&tanagerqueue.Item[arrival]{
		Branch:   a.branch,
		Class:    a.class,
		Deadline: a.at.Add(q.timeout),
		Value:    a,
	}, a.at) == nil
}

func (q *fairQueue) take(now time.Time) (arrival, func(time.Duration), bool) {
	item, ok := q.queue.Take(now)
	if !ok {
		return arrival{}, nil, false
	}
	return item.Value, func(used time.Duration) { q.queue.Finish(item, used) }, true
}

func (q *fairQueue) evicted() int { return len(q.queue.TakeEvicted()) }

// fcfsQueue is the baseline: one bounded first come, first served queue.
type fcfsQueue struct {
	items    []arrival
	capacity int
}

func (q *fcfsQueue) offer(a arrival) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, a)
	return true
}

func (q *fcfsQueue) take(time.Time) (arrival, func(time.Duration), bool) {
	if len(q.items) == 0 {
		return arrival{}, nil, false
	}
	a := q.items[0]
	q.items = q.items[1:]
	return a, func(time.Duration) {}, true
}

func (*fcfsQueue) evicted() int { return 0 }

// The service has 50 targets with 8 slots each, as at both sites. The flood lasts
// from requestFloodStart to requestFloodEnd.
const (
	requestSlots       = 400
	meanServiceTime    = 40 * time.Millisecond
	requestBranches    = 10
	requestTimeout     = 3 * time.Second
	requestFloodStart  = 10 * time.Second
	requestFloodEnd    = 40 * time.Second
	requestArrivalsEnd = 50 * time.Second
	queueCapacity      = 20000
)

// ordinaryRequestLoad is the load of all ordinary branches together, as a fraction
// of the slots. Each demands less than its equal share.
const ordinaryRequestLoad = 0.8

// requestFloodLoad is the load of the flood in multiples of the slots.
const requestFloodLoad = 10

// generateRequests returns the requests of ten ordinary branches and, during the
// flood, of one more branch with class flood, in order of arrival.
func generateRequests(seed uint64, flood tanagerqueue.Class) []arrival {
	random := rand.New(rand.NewPCG(seed, 3))
	origin := time.Unix(0, 0)
	var list []arrival
	draw := func(branch string, class func() tanagerqueue.Class, load float64, from, until time.Duration) {
		rate := load * requestSlots / meanServiceTime.Seconds()
		for at := from.Seconds(); at < until.Seconds(); {
			at += random.ExpFloat64() / rate
			list = append(list, arrival{
				at:          origin.Add(time.Duration(at * float64(time.Second))),
				branch:      branch,
				class:       class(),
				serviceTime: time.Duration(random.ExpFloat64() * float64(meanServiceTime)),
			})
		}
	}
	mixedClass := func() tanagerqueue.Class {
		switch n := random.IntN(10); {
		case n < 2:
			return tanagerqueue.Urgent
		case n < 8:
			return tanagerqueue.Normal
		}
		return tanagerqueue.Batch
	}
	for i := range requestBranches {
		draw(fmt.Sprintf("b%d", i), mixedClass, ordinaryRequestLoad/requestBranches, 0, requestArrivalsEnd)
	}
	draw("flood", func() tanagerqueue.Class { return flood }, requestFloodLoad, requestFloodStart, requestFloodEnd)
	slices.SortStableFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	return list
}

// runningRequest is a request that occupies a slot until end.
type runningRequest struct {
	end    time.Time
	finish func()
}

// runningHeap is a min-heap of running requests by their end.
type runningHeap []runningRequest

func (h *runningHeap) Len() int           { return len(*h) }
func (h *runningHeap) Less(i, j int) bool { return (*h)[i].end.Before((*h)[j].end) }
func (h *runningHeap) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *runningHeap) Push(x any) { *h = append(*h, x.(runningRequest)) }

// Pop implements heap.Interface.
func (h *runningHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// requestResults covers the requests that arrived during the flood: those of the
// ordinary branches and, in floodServedWork, those of the flood. Work is the sum
// of service times.
type requestResults struct {
	requestedWork   time.Duration
	servedWork      time.Duration
	urgentWaits     *waitHistogram
	otherWaits      *waitHistogram
	rejected        int
	floodServedWork time.Duration
}

// requestSimulation simulates a service with one queue in virtual time.
type requestSimulation struct {
	queue   queueDiscipline
	busy    runningHeap
	results requestResults
}

// inFlood reports whether a time lies in the flood.
func inFlood(at time.Time) bool {
	elapsed := at.Sub(time.Unix(0, 0))
	return elapsed >= requestFloodStart && elapsed < requestFloodEnd
}

// simulateRequests serves requests from a queue until the last one has arrived.
func simulateRequests(queue queueDiscipline, requests []arrival) requestResults {
	s := &requestSimulation{
		queue: queue,
		results: requestResults{
			urgentWaits: newWaitHistogram(),
			otherWaits:  newWaitHistogram(),
		},
	}
	for _, a := range requests {
		s.arrive(a)
	}
	return s.results
}

// arrive ends the requests that have finished by then and queues a new one.
func (s *requestSimulation) arrive(a arrival) {
	for len(s.busy) > 0 && !s.busy[0].end.After(a.at) {
		r := heap.Pop(&s.busy).(runningRequest)
		r.finish()
		s.startQueued(r.end)
	}
	counted := a.branch != "flood" && inFlood(a.at)
	if counted {
		s.results.requestedWork += a.serviceTime
	}
	if !s.queue.offer(a) && counted {
		s.results.rejected++
	}
	s.queue.evicted()
	s.startQueued(a.at)
}

// startQueued starts queued requests on free slots and drops those that have timed
// out.
func (s *requestSimulation) startQueued(now time.Time) {
	for len(s.busy) < requestSlots {
		a, finish, ok := s.queue.take(now)
		if !ok {
			return
		}
		wait := now.Sub(a.at)
		if wait > requestTimeout {
			finish(0)
			continue
		}
		heap.Push(&s.busy, runningRequest{
			end:    now.Add(a.serviceTime),
			finish: func() { finish(a.serviceTime) },
		})
		if inFlood(a.at) {
			s.recordStart(a, wait)
		}
	}
}

// recordStart adds a request that starts after a wait to the results.
func (s *requestSimulation) recordStart(a arrival, wait time.Duration) {
	if a.branch == "flood" {
		s.results.floodServedWork += a.serviceTime
		return
	}
	s.results.servedWork += a.serviceTime
	if a.class == tanagerqueue.Urgent {
		s.results.urgentWaits.record(wait)
		return
	}
	s.results.otherWaits.record(wait)
}

// newFairQueue returns the daemon's queue with equal weights for all branches.
func newFairQueue(seed uint64) *fairQueue {
	q := tanagerqueue.New[arrival](tanagerqueue.Settings{
		MaxClassLength: queueCapacity / 10,
		MaxLength:      queueCapacity,
		InitialCost:    meanServiceTime,
		MinRetryAfter:  250 * time.Millisecond,
		MaxRetryAfter:  30 * time.Second,
	}, rand.New(rand.NewPCG(seed, 4)))
	q.SetSlots(requestSlots)
	names := []string{"flood"}
	for i := range requestBranches {
		names = append(names, fmt.Sprintf("b%d", i))
	}
	for _, name := range names {
		q.SetBranch(name, tanagerqueue.BranchSettings{
			Weight:      1,
			UrgentShare: 0.2,
		})
	}
	return &fairQueue{
		queue:   q,
		timeout: requestTimeout,
	}
}

// benchRequests compares the daemon's queue with the baseline while one branch
// floods the service with batch requests, and with urgent ones.
func benchRequests(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "\nRequests: %d slots, %d branches that ask for %.0f%% of them, "+
		"and a branch that asks for %d times all slots for %s.\n",
		requestSlots, requestBranches, ordinaryRequestLoad*100, requestFloodLoad, requestFloodEnd-requestFloodStart)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "FLOOD OF\tQUEUE\tOTHERS KEEP\tREFUSED\tFLOOD GETS\tURGENT P50\tP99\tP99.9\tOTHER P50\tP99\tP99.9\t")
	for _, class := range []tanagerqueue.Class{tanagerqueue.Batch, tanagerqueue.Urgent} {
		requests := generateRequests(seed, class)
		for _, discipline := range []struct {
			name  string
			queue queueDiscipline
		}{
			{
				name:  "fair",
				queue: newFairQueue(seed),
			},
			{
				name: "first come",
				queue: &fcfsQueue{
					capacity: queueCapacity,
				},
			},
		} {
			r := simulateRequests(discipline.queue, requests)
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%d\t%.1f%%\t%s\t%s\t\n", class, discipline.name,
				100*r.servedWork.Seconds()/r.requestedWork.Seconds(), r.rejected,
				100*r.floodServedWork.Seconds()/(requestSlots*(requestFloodEnd-requestFloodStart).Seconds()),
				r.urgentWaits.percentileColumns(), r.otherWaits.percentileColumns())
		}
	}
	_ = t.Flush()
}
