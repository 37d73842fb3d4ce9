package tanagerreplay

import (
	"container/heap"
	"slices"
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

// KindReport is what became of the jobs of one kind.
type KindReport struct {
	Name                                string
	Asked, OnTime, Late, Useless, Never int
	Refused                             int
	Earned, Owed                        float64
	waits                               []time.Duration
}

// Wait returns a quantile of the time from the first try to the first start.
func (k *KindReport) Wait(q float64) time.Duration {
	if len(k.waits) == 0 {
		return 0
	}
	slices.Sort(k.waits)
	return k.waits[min(int(q*float64(len(k.waits))), len(k.waits)-1)]
}

// Report is what the callers got.
type Report struct {
	Kinds []KindReport
	// WastedCoreSeconds are those of runs that were stopped or broken.
	WastedCoreSeconds float64
	Starts            int
	// Overcommitted counts starts beyond a worker's room.
	Overcommitted int
	// TwoRuns counts starts of a task that ran already.
	TwoRuns int
}

// Worth returns the part of the worth owed that was earned.
func (r *Report) Worth() float64 {
	earned, owed := 0.0, 0.0
	for _, k := range r.Kinds {
		earned += k.Earned
		owed += k.Owed
	}
	return earned / owed
}

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

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
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

func (p *player) start(o tanagerdispatch.StartOrder) {
	w := p.workers[o.Worker.ID]
	j := p.jobs[o.Start.Task.Job]
	spec := &j.arrival.record.Spec.Steps[o.Start.Task.Step]
	p.report.Starts++
	if !spec.Need.Within(w.free) {
		p.report.Overcommitted++
	}
	if j.active[o.Start.Task] || j.done[o.Start.Task] {
		p.report.TwoRuns++
	}
	j.active[o.Start.Task] = true
	if !j.started {
		j.started = true
		k := &p.report.Kinds[j.arrival.kind]
		k.waits = append(k.waits, p.now.Sub(j.arrival.record.Arrived))
	}
	w.free = w.free.Sub(spec.Need)
	run := &simRun{
		order: o,
		job:   j.arrival,
		began: p.now,
	}
	w.runs[o.Start.Task] = run
	p.at(p.now.Add(transfer), func() {
		p.sched.StartAnswered(p.now, o, tanagerport.Answer{
			Verdict: tanagerport.Accepted,
			Clock:   p.clock(),
		}, nil)
	})
	if spec.Gang {
		p.joinGang(run, spec)
		return
	}
	p.schedule(run, p.duration(run, w))
}

// duration is how long a run takes on a worker; a third of them are slower.
func (p *player) duration(run *simRun, w *simWorker) time.Duration {
	t := run.order.Start.Task
	d := run.job.work[t.Step][t.Index]
	if float64(w.index%10)/10 < p.load.Slow {
		d = time.Duration(float64(d) * p.load.SlowFactor)
	}
	return d
}

func (p *player) joinGang(run *simRun, spec *tanagerwork.Step) {
	key := gangKey{
		step: run.order.Start.Task.StepName,
		run:  run.order.Start.Run,
	}
	g := p.gangs[key]
	if g == nil {
		g = &simGang{members: spec.Count}
		p.gangs[key] = g
	}
	run.gang = g
	g.runs = append(g.runs, run)
	g.present++
	if g.present < g.members {
		return
	}
	longest := time.Duration(0)
	for _, member := range g.runs {
		longest = max(longest, p.duration(member, p.workers[member.order.Worker.ID]))
	}
	for _, member := range g.runs {
		p.schedule(member, longest)
	}
}

// percent is how far a run is.
func (r *simRun) percent(now time.Time) int {
	if r.length == 0 {
		return 0
	}
	return int(100 * now.Sub(r.began) / r.length)
}

func (p *player) schedule(run *simRun, after time.Duration) {
	run.length = after
	p.at(p.now.Add(after), func() {
		w := p.workers[run.order.Worker.ID]
		if w.runs[run.order.Start.Task] != run {
			return
		}
		how := tanagerport.EndedDone
		t := run.order.Start.Task
		j := p.jobs[t.Job]
		if run.gang == nil && j.failed[t] < run.job.fails[t.Step][t.Index] {
			j.failed[t]++
			how = tanagerport.EndedFailed
		}
		p.end(w, run, how)
	})
}

func (p *player) end(w *simWorker, run *simRun, how tanagerport.How) {
	t := run.order.Start.Task
	j := p.jobs[t.Job]
	spec := &run.job.record.Spec.Steps[t.Step]
	delete(w.runs, t)
	delete(j.active, t)
	w.free = w.free.Add(spec.Need)
	w.number++
	w.ended = append(w.ended, tanagerport.EndedRow{
		Number: w.number,
		Task:   t,
		Run:    run.order.Start.Run,
		How:    how,
	})
	if how == tanagerport.EndedDone {
		if !j.done[t] {
			j.done[t] = true
			j.left--
			if j.left == 0 {
				p.complete(j)
			}
		}
	} else {
		p.report.WastedCoreSeconds += p.now.Sub(run.began).Seconds() * float64(spec.Need.MilliCPU) / 1000
	}
	p.answerPoll(w, false)
}

func (p *player) complete(j *simJob) {
	kind := &p.load.Kinds[j.arrival.kind]
	k := &p.report.Kinds[j.arrival.kind]
	objective := time.Duration(kind.Queue.Stretch*float64(j.arrival.ideal)) + kind.Queue.Slack
	switch took := p.now.Sub(j.arrival.record.Arrived); {
	case took <= objective:
		k.OnTime++
		k.Earned += p.worth(j.arrival, kind.Worth)
	case took <= 3*objective:
		k.Late++
		k.Earned += p.worth(j.arrival, kind.Late)
	default:
		k.Useless++
	}
}

func (p *player) stop(o tanagerdispatch.StopOrder) {
	w := p.workers[o.Worker.ID]
	if run := w.runs[o.Stop.Task]; run != nil && run.order.Start.Run == o.Stop.Run {
		p.end(w, run, tanagerport.EndedStopped)
	}
	p.sched.StopAnswered(p.now, o, tanagerport.Answer{
		Verdict: tanagerport.Accepted,
		Clock:   p.clock(),
	}, nil)
}

// answerPoll answers a waiting poll if ends are listed, or its time is up.
func (p *player) answerPoll(w *simWorker, timeUp bool) {
	if w.poll == nil || p.now.Before(w.sent.Add(transfer)) {
		return
	}
	o := *w.poll
	for len(w.ended) > 0 && w.ended[0].Number <= o.Poll.Acknowledged {
		w.ended = w.ended[1:]
	}
	fresh := len(w.ended) > 0
	if !fresh && !(timeUp && !p.now.Before(w.until)) {
		return
	}
	w.poll = nil
	report := tanagerport.Report{
		Answer: tanagerport.Answer{
			Verdict: tanagerport.Accepted,
			Clock:   p.clock(),
		},
		Life:  1,
		Ended: slices.Clone(w.ended),
		Whole: true,
	}
	for t, run := range w.runs {
		report.Running = append(report.Running, tanagerport.RunningRow{
			Task:    t,
			Run:     run.order.Start.Run,
			Percent: run.percent(p.now),
		})
	}
	p.sched.PollAnswered(p.now, o, w.sent, report, nil)
}
