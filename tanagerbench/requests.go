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

// arrival is one request of the synthetic work.
type arrival struct {
	at     time.Time
	branch string
	class  tanagerqueue.Class
	work   time.Duration
}

// discipline is a way to queue requests under measurement.
type discipline interface {
	// offer returns false if the request is refused at once.
	offer(a arrival) bool
	// take returns the next request.
	take(now time.Time) (arrival, func(used time.Duration), bool)
	evicted() int
}

// fair is the queue of the daemon.
type fair struct {
	queue   *tanagerqueue.Queue[arrival]
	patient time.Duration
}

func (d *fair) offer(a arrival) bool {
	return d.queue.Offer(&tanagerqueue.Item[arrival]{
		Branch:   a.branch,
		Class:    a.class,
		Deadline: a.at.Add(d.patient),
		Value:    a,
	}, a.at) == nil
}

func (d *fair) take(now time.Time) (arrival, func(time.Duration), bool) {
	item, ok := d.queue.Take(now)
	if !ok {
		return arrival{}, nil, false
	}
	return item.Value, func(used time.Duration) { d.queue.Finish(item, used) }, true
}

func (d *fair) evicted() int { return len(d.queue.TakeEvicted()) }

// fcfs is the baseline: one bounded queue, first come first served.
type fcfs struct {
	items []arrival
	limit int
}

func (d *fcfs) offer(a arrival) bool {
	if len(d.items) >= d.limit {
		return false
	}
	d.items = append(d.items, a)
	return true
}

func (d *fcfs) take(time.Time) (arrival, func(time.Duration), bool) {
	if len(d.items) == 0 {
		return arrival{}, nil, false
	}
	a := d.items[0]
	d.items = d.items[1:]
	return a, func(time.Duration) {}, true
}

func (*fcfs) evicted() int { return 0 }

// The service of both users: 50 targets with 8 slots.
const (
	requestSlots    = 400
	requestWork     = 40 * time.Millisecond
	requestBranches = 10
	requestPatience = 3 * time.Second
	floodStart      = 10 * time.Second
	floodEnd        = 40 * time.Second
	requestEnd      = 50 * time.Second
	queueLimit      = 20000
)

// ordinaryLoad is the part of the slots that the ordinary branches ask for
// together. Each asks for less than its equal share.
const ordinaryLoad = 0.8

// floodLoad is the flood's demand in multiples of the slots.
const floodLoad = 10

// arrivals draws the work: ten ordinary branches and, for a time, a flood of one
// more branch.
func arrivals(seed uint64, flood tanagerqueue.Class) []arrival {
	random := rand.New(rand.NewPCG(seed, 3))
	origin := time.Unix(0, 0)
	var list []arrival
	draw := func(branch string, class func() tanagerqueue.Class, load float64, from, until time.Duration) {
		rate := load * requestSlots / requestWork.Seconds()
		for at := from.Seconds(); at < until.Seconds(); {
			at += random.ExpFloat64() / rate
			list = append(list, arrival{
				at:     origin.Add(time.Duration(at * float64(time.Second))),
				branch: branch,
				class:  class(),
				work:   time.Duration(random.ExpFloat64() * float64(requestWork)),
			})
		}
	}
	mixed := func() tanagerqueue.Class {
		switch n := random.IntN(10); {
		case n < 2:
			return tanagerqueue.Urgent
		case n < 8:
			return tanagerqueue.Normal
		}
		return tanagerqueue.Batch
	}
	for i := range requestBranches {
		draw(fmt.Sprintf("b%d", i), mixed, ordinaryLoad/requestBranches, 0, requestEnd)
	}
	draw("flood", func() tanagerqueue.Class { return flood }, floodLoad, floodStart, floodEnd)
	slices.SortStableFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	return list
}

// running is a request in a slot.
type running struct {
	end    time.Time
	finish func()
}

type byEnd []running

func (h *byEnd) Len() int           { return len(*h) }
func (h *byEnd) Less(i, j int) bool { return (*h)[i].end.Before((*h)[j].end) }
func (h *byEnd) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *byEnd) Push(x any) { *h = append(*h, x.(running)) }

// Pop implements heap.Interface.
func (h *byEnd) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// requestFigures are what happened to the ordinary branches during the flood.
type requestFigures struct {
	asked       time.Duration
	served      time.Duration
	urgent      *waits
	ordinary    *waits
	refused     int
	floodServed time.Duration
}

// server runs work through a discipline in virtual time.
type server struct {
	queue   discipline
	busy    byEnd
	figures requestFigures
}

// inFlood reports whether a time lies in the flood.
func inFlood(at time.Time) bool {
	since := at.Sub(time.Unix(0, 0))
	return since >= floodStart && since < floodEnd
}

// serveAll runs the work through a discipline.
func serveAll(d discipline, work []arrival) requestFigures {
	s := &server{
		queue: d,
		figures: requestFigures{
			urgent:   newWaits(),
			ordinary: newWaits(),
		},
	}
	for _, a := range work {
		s.arrive(a)
	}
	return s.figures
}

func (s *server) arrive(a arrival) {
	for len(s.busy) > 0 && !s.busy[0].end.After(a.at) {
		r := heap.Pop(&s.busy).(running)
		r.finish()
		s.start(r.end)
	}
	counted := a.branch != "flood" && inFlood(a.at)
	if counted {
		s.figures.asked += a.work
	}
	if !s.queue.offer(a) && counted {
		s.figures.refused++
	}
	s.queue.evicted()
	s.start(a.at)
}

// start gives free slots to waiting requests.
func (s *server) start(now time.Time) {
	for len(s.busy) < requestSlots {
		a, finish, ok := s.queue.take(now)
		if !ok {
			return
		}
		wait := now.Sub(a.at)
		if wait > requestPatience {
			finish(0)
			continue
		}
		heap.Push(&s.busy, running{
			end:    now.Add(a.work),
			finish: func() { finish(a.work) },
		})
		if inFlood(a.at) {
			s.count(a, wait)
		}
	}
}

func (s *server) count(a arrival, wait time.Duration) {
	if a.branch == "flood" {
		s.figures.floodServed += a.work
		return
	}
	s.figures.served += a.work
	if a.class == tanagerqueue.Urgent {
		s.figures.urgent.add(wait)
		return
	}
	s.figures.ordinary.add(wait)
}

func newFair(seed uint64) *fair {
	q := tanagerqueue.New[arrival](tanagerqueue.Settings{
		MaxClassLength: queueLimit / 10,
		MaxLength:      queueLimit,
		InitialCost:    requestWork,
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
	return &fair{
		queue:   q,
		patient: requestPatience,
	}
}

// benchRequests floods a service with the least and the most urgent requests.
func benchRequests(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "\nRequests: %d slots, %d branches that ask for %.0f%% of them, and a branch that asks for %d times all slots for %s.\n",
		requestSlots, requestBranches, ordinaryLoad*100, floodLoad, floodEnd-floodStart)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "FLOOD OF\tQUEUE\tOTHERS KEEP\tREFUSED\tFLOOD GETS\tURGENT P50\tP99\tP99.9\tOTHER P50\tP99\tP99.9\t")
	for _, class := range []tanagerqueue.Class{tanagerqueue.Batch, tanagerqueue.Urgent} {
		work := arrivals(seed, class)
		for _, d := range []struct {
			name  string
			queue discipline
		}{
			{
				name:  "fair",
				queue: newFair(seed),
			},
			{
				name: "first come",
				queue: &fcfs{
					limit: queueLimit,
				},
			},
		} {
			f := serveAll(d.queue, work)
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%d\t%.1f%%\t%s\t%s\t\n", class, d.name, 100*f.served.Seconds()/f.asked.Seconds(), f.refused,
				100*f.floodServed.Seconds()/(requestSlots*(floodEnd-floodStart).Seconds()), f.urgent.columns(), f.ordinary.columns())
		}
	}
	_ = t.Flush()
}
