package tanagerreplay

import (
	"container/heap"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Scheduler is what a load is played against.
type Scheduler interface {
	// Take hands a job in. A job that is turned away comes back after a time.
	Take(now time.Time, r tanagerwork.Record) (taken bool, retryAfter time.Duration)
	// Tick returns what is to be carried out.
	Tick(now time.Time) tanagerdispatch.Orders
	StartAnswered(now time.Time, o tanagerdispatch.StartOrder, a tanagerport.Answer, err error)
	StopAnswered(now time.Time, o tanagerdispatch.StopOrder, a tanagerport.Answer, err error)
	PollAnswered(now time.Time, o tanagerdispatch.PollOrder, sent time.Time, r tanagerport.Report, err error)
	AdviceAnswered(now time.Time, o tanagerdispatch.AdviceOrder, asked time.Time, a tanagerport.Advice, err error)
}

const (
	tickEvery = 15 * time.Millisecond
	// transfer is the way of a message to a worker and back.
	transfer = 3 * time.Millisecond
	// drainTime is played after the last arrival.
	drainTime = 60 * time.Second
)

type simRun struct {
	order tanagerdispatch.StartOrder
	job   *arrival
	began time.Time
	// length is how long the run will work, 0 until it does.
	length time.Duration
	gang   *simGang
}

type simGang struct {
	members, present int
	runs             []*simRun
}

type simWorker struct {
	index  int
	free   tanagerwork.Resources
	runs   map[tanagerwork.TaskName]*simRun
	ended  []tanagerport.EndedRow
	number int64
	poll   *tanagerdispatch.PollOrder
	sent   time.Time
	until  time.Time
}

// player is the state of one play.
type player struct {
	load    Load
	sched   Scheduler
	now     time.Time
	seq     int
	events  eventHeap
	jobs    map[tanagerwork.JobID]*simJob
	workers map[string]*simWorker
	gangs   map[gangKey]*simGang
	report  Report
	means   []float64
}

type gangKey struct {
	step tanagerwork.StepName
	run  int64
}

type simJob struct {
	arrival *arrival
	tries   int
	left    int
	done    map[tanagerwork.TaskName]bool
	active  map[tanagerwork.TaskName]bool
	failed  map[tanagerwork.TaskName]int
	started bool
}

// Play plays a load against a scheduler.
func Play(l Load, s Scheduler) Report {
	start := time.Unix(1_700_000_000, 0)
	p := &player{
		load:    l,
		sched:   s,
		now:     start,
		jobs:    make(map[tanagerwork.JobID]*simJob),
		workers: make(map[string]*simWorker),
		gangs:   make(map[gangKey]*simGang),
		means:   make([]float64, len(l.Kinds)),
	}
	for i := range l.Workers {
		p.workers[workerID(i)] = &simWorker{
			index: i,
			free:  l.Capacity,
			runs:  make(map[tanagerwork.TaskName]*simRun),
		}
	}
	arrivals := l.draw(start)
	p.prepare(arrivals)
	for _, a := range arrivals {
		p.at(start.Add(a.at), func() { p.arrive(a) })
	}
	for at := time.Duration(0); at < l.Duration+drainTime; at += tickEvery {
		p.at(start.Add(at), p.tick)
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do()
	}
	for _, j := range p.jobs {
		if j.left > 0 {
			p.report.Kinds[j.arrival.kind].Never++
		}
	}
	return p.report
}

func (p *player) prepare(arrivals []*arrival) {
	counts := make([]float64, len(p.load.Kinds))
	for _, a := range arrivals {
		p.means[a.kind] += a.size
		counts[a.kind]++
	}
	for i, k := range p.load.Kinds {
		p.means[i] /= max(counts[i], 1)
		p.report.Kinds = append(p.report.Kinds, KindReport{Name: k.Queue.Name})
	}
}

func (p *player) at(t time.Time, do func()) {
	p.seq++
	heap.Push(&p.events, simEvent{
		at:  t,
		seq: p.seq,
		do:  do,
	})
}

// worth of a job grows with its work, as a whole job is what a caller wants.
func (p *player) worth(a *arrival, mean float64) float64 {
	return min(0.3+0.7*a.size/p.means[a.kind], 4) * mean
}

func (p *player) arrive(a *arrival) {
	j := p.jobs[a.record.ID]
	if j == nil {
		j = &simJob{
			arrival: a,
			done:    make(map[tanagerwork.TaskName]bool),
			active:  make(map[tanagerwork.TaskName]bool),
			failed:  make(map[tanagerwork.TaskName]int),
		}
		for i := range a.record.Spec.Steps {
			j.left += a.record.Spec.Steps[i].Count
		}
		p.jobs[a.record.ID] = j
		k := &p.report.Kinds[a.kind]
		k.Asked++
		k.Owed += p.worth(a, p.load.Kinds[a.kind].Worth)
	}
	j.tries++
	taken, retry := p.sched.Take(p.now, a.record)
	if taken {
		return
	}
	if j.tries >= p.load.Tries {
		p.report.Kinds[a.kind].Refused++
		return
	}
	p.at(p.now.Add(retry), func() { p.arrive(a) })
}

func (p *player) tick() {
	orders := p.sched.Tick(p.now)
	for _, o := range orders.Starts {
		p.start(o)
	}
	for _, o := range orders.Stops {
		p.at(p.now.Add(transfer), func() { p.stop(o) })
	}
	for _, o := range orders.Polls {
		w := p.workers[o.Worker.ID]
		w.poll = &o
		w.sent = p.now
		w.until = p.now.Add(o.Poll.Wait)
		p.at(p.now.Add(transfer), func() { p.answerPoll(w, false) })
		p.at(w.until.Add(transfer), func() { p.answerPoll(w, true) })
	}
	for _, o := range orders.Advice {
		asked := p.now
		p.at(p.now.Add(o.Expected+transfer), func() {
			p.sched.AdviceAnswered(p.now, o, asked, p.advice(o), nil)
		})
	}
}

func (p *player) advice(o tanagerdispatch.AdviceOrder) tanagerport.Advice {
	a := p.jobs[o.Step.Job].arrival
	advice := tanagerport.Advice{
		Tickets: make(map[string]string),
		Valid:   p.load.Kinds[a.kind].Queue.Advice.Valid,
	}
	for _, id := range o.Workers {
		if a.good[o.Step.Step][p.workers[id].index] {
			advice.Tickets[id] = "t"
		}
	}
	return advice
}

func (p *player) clock() time.Duration { return p.now.Sub(time.Unix(1_600_000_000, 0)) }
