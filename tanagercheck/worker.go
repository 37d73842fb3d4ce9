package tanagercheck

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// orderTimeout bounds the calls of the daemons to a worker.
	orderTimeout   = 400 * time.Millisecond
	workerMilliCPU = 4000
	maxHold        = 10 * time.Second
	stopGrace      = 900 * time.Millisecond
	gangWait       = 3 * time.Second
	// entryExpiry is how long the entry of a worker that is away stays.
	entryExpiry = 1500 * time.Millisecond
	// slowClock is the rate of a clock that is as slow as the platform allows.
	slowClock = 0.98
	// firstIncarnation and incarnationStep number the incarnations.
	firstIncarnation = 1_000_000
	incarnationStep  = 1000
)

// run is a run of a task on a worker.
type run struct {
	task   tanagerwork.TaskName
	number int64
	gang   *gang
	timer  *time.Timer
	// duration is the time that the work takes, workingSince the time at which it
	// began, negative before.
	duration     time.Duration
	workingSince time.Duration
	// stopping is set once the run has been told to stop.
	stopping bool
}

// gang is a run of all tasks of a step.
type gang struct {
	members map[int]*run
	workers map[int]*worker
	// complete is set while the gang works, until timer fires.
	complete bool
	timer    *time.Timer
}

type gangKey struct {
	step tanagerwork.StepName
	run  int64
}

// life is an incarnation of a worker.
type life struct {
	incarnation int64
	startedAt   time.Duration
	fence       uint64
	lease       time.Duration
	runs        map[tanagerwork.TaskName]*run
	lastEnded   map[tanagerwork.TaskName]int64
	ended       []tanagerport.EndedRun
	lastEnd     int64
	// changed is closed when the next run ends, gone when the incarnation does.
	changed chan struct{}
	gone    chan struct{}
}

// worker is a model of a worker. The world's mutex guards it.
type worker struct {
	world *world
	index int
	id    string
	rate  float64
	// life is nil while the worker is away.
	life            *life
	lastIncarnation int64
	hidden          bool
}

func newWorker(w *world, index int) *worker {
	return &worker{
		world:           w,
		index:           index,
		id:              fmt.Sprintf("w%d", index+1),
		rate:            slowClock + (1-slowClock)*w.random(fmt.Sprintf("rate %d", index)).Float64(),
		lastIncarnation: firstIncarnation,
	}
}

func (k *worker) clock() time.Duration {
	return time.Duration(float64(k.world.now()-k.life.startedAt) * k.rate)
}

// begin starts an incarnation. The caller holds the lock.
func (k *worker) begin(lower bool) {
	if lower {
		k.lastIncarnation -= incarnationStep
	} else {
		// An odd step keeps the numbers of incarnations apart.
		k.lastIncarnation += incarnationStep + 1
	}
	k.life = &life{
		incarnation: k.lastIncarnation,
		startedAt:   k.world.now(),
		runs:        make(map[tanagerwork.TaskName]*run),
		lastEnded:   make(map[tanagerwork.TaskName]int64),
		changed:     make(chan struct{}),
		gone:        make(chan struct{}),
	}
	k.world.log(k.id, "", "", "starts as incarnation %d", k.lastIncarnation)
}

// publish writes or removes the worker's entry.
func (k *worker) publish() {
	if k.life == nil || k.hidden {
		if _, ok := k.world.store.items[workerPrefix+k.id]; ok {
			k.world.store.set(workerPrefix+k.id, nil)
		}
		return
	}
	k.world.store.set(workerPrefix+k.id, tanagerwire.Encode(workerRecord{
		Incarnation: k.life.incarnation,
		Address:     byte(k.index + 1),
	}))
}

// crash ends the incarnation with all that runs. The caller holds the lock.
func (k *worker) crash() {
	l := k.life
	k.life = nil
	close(l.gone)
	k.world.log(k.id, "", "", "incarnation %d crashes", l.incarnation)
	for _, r := range sortedRuns(l) {
		r.timer.Stop()
		k.world.rules.runLost(k, r)
		k.world.breakGang(r)
	}
}

func sortedRuns(l *life) []*run {
	return slices.SortedFunc(maps.Values(l.runs), func(a, b *run) int {
		if a.task.String() < b.task.String() {
			return -1
		}
		return 1
	})
}

// restart takes the worker away for a time.
func (k *worker) restart(away time.Duration, lower bool) {
	w := k.world
	w.mu.Lock()
	if k.life == nil {
		w.mu.Unlock()
		return
	}
	k.crash()
	w.mu.Unlock()
	if away > entryExpiry {
		if !w.sleep(entryExpiry) {
			return
		}
		w.mu.Lock()
		k.publish()
		w.mu.Unlock()
		away -= entryExpiry
	}
	if !w.sleep(away) {
		return
	}
	w.mu.Lock()
	k.begin(lower)
	w.mu.Unlock()
	if w.plan.MaxEntryDelay > 0 {
		delay := time.Duration(w.random("entry " + k.id).Int64N(int64(w.plan.MaxEntryDelay)))
		if !w.sleep(delay) {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k.publish()
	w.log(k.id, "store", "", "writes its entry")
}

// expire ends all runs once the lease is over. The caller holds the lock.
func (k *worker) expire() {
	l := k.life
	if l == nil || k.clock() <= l.lease {
		return
	}
	k.world.rules.leaseLapsed(k)
	for _, r := range sortedRuns(l) {
		k.end(l, r, tanagerport.EndedLeaseExpired)
	}
}

// end ends a run unless it has ended. The caller holds the lock.
func (k *worker) end(l *life, r *run, reason tanagerport.EndReason) {
	if k.life != l || l.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(l.runs, r.task)
	l.lastEnded[r.task] = max(l.lastEnded[r.task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, tanagerport.EndedRun{
		SequenceNumber: l.lastEnd,
		Task:           r.task,
		Run:            r.number,
		Reason:         reason,
	})
	k.world.log(k.id, "", string(r.task.Job), "run %d of %s ends %s, end %d", r.number, r.task, reason, l.lastEnd)
	k.world.rules.runEnded(k, r, reason, l.lastEnd)
	close(l.changed)
	l.changed = make(chan struct{})
	if reason != tanagerport.EndedDone {
		k.world.breakGang(r)
	}
}

// endLater ends a run after a time.
func (k *worker) endLater(l *life, r *run, after time.Duration, reason tanagerport.EndReason) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(after, func() {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		k.end(l, r, reason)
	})
}

// joinGang makes a run a member of its gang. The last one starts the gang's work.
func (w *world) joinGang(k *worker, r *run, duration time.Duration, size int) {
	key := gangKey{
		step: r.task.StepName,
		run:  r.number,
	}
	g := w.rules.gangs[key]
	if g == nil {
		g = &gang{
			members: make(map[int]*run),
			workers: make(map[int]*worker),
		}
		w.rules.gangs[key] = g
	}
	r.gang = g
	g.members[r.task.Index] = r
	g.workers[r.task.Index] = k
	k.endLater(k.life, r, gangWait, tanagerport.EndedGangTimeout)
	if len(g.members) < size || g.isStopping() {
		return
	}
	g.complete = true
	for _, member := range g.members {
		member.timer.Stop()
		member.workingSince = w.now()
	}
	g.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finishGang(g)
	})
}

func (g *gang) isStopping() bool {
	for _, member := range g.members {
		if member.stopping {
			return true
		}
	}
	return false
}

// finishGang ends all members of a gang as done, unless one has ended or is told to
// stop. The caller holds the lock.
func (w *world) finishGang(g *gang) {
	if !g.complete || g.isStopping() {
		return
	}
	for index := range maxGang {
		if member := g.members[index]; member != nil {
			on := g.workers[index]
			on.end(on.life, member, tanagerport.EndedDone)
		}
	}
}

// breakGang ends the other members of a gang whose member has ended.
func (w *world) breakGang(r *run) {
	if r.gang == nil {
		return
	}
	g := r.gang
	delete(g.members, r.task.Index)
	if !g.complete {
		return
	}
	g.complete = false
	for index, member := range g.members {
		on := g.workers[index]
		if on.life != nil && on.life.runs[member.task] == member {
			on.endLater(on.life, member, time.Millisecond+time.Duration(index), tanagerport.EndedGangFailed)
		}
	}
}

// workerPort is the workers as one daemon reaches them.
type workerPort struct{ process *process }

func (p workerPort) worker(to tanagerport.WorkerRef) *worker {
	for _, k := range p.process.machine.world.workers {
		if k.id == to.ID {
			return k
		}
	}
	return nil
}

// order is a call to a worker.
type order struct {
	kind string
	to   *worker
	// incarnation is the one that the order is for, 0 for any. Others do not receive it.
	incarnation int64
	wait        time.Duration
	// sameLife is set for orders that are lost if the worker has restarted since they
	// were sent and they are late.
	sameLife bool
	// execute runs with the lock held. It returns a channel to wait for, nil once the
	// report is complete.
	execute func(late, expired bool) (tanagerport.Report, <-chan struct{})
}

func (p workerPort) fate(r *rand.Rand, to *worker) fate {
	w, m := p.process.machine.world, p.process.machine.index
	f := fate{
		before: latency(r),
		after:  latency(r),
		lost:   w.workersCut(m, to.index),
	}
	lossy := w.active(m, func(f *Fault) bool { return f.Kind == LossyWorkers })
	if lossy == nil || r.Float64() >= lossy.Rate {
		return f
	}
	switch r.IntN(4) {
	case 0:
		f.lost = true
	case 1:
		f.after = maxLateness
	case 2:
		f.before += time.Duration(r.Int64N(int64(maxLateness)))
		f.late = f.before > orderTimeout
	case 3:
		f.before += time.Duration(r.Int64N(int64(orderTimeout / 2)))
		f.after += time.Duration(r.Int64N(int64(orderTimeout / 2)))
	}
	return f
}

func (p workerPort) call(ctx context.Context, o order) (tanagerport.Report, error) {
	m := p.process.machine
	w := m.world
	if !p.process.waitRunning() || o.to == nil {
		return tanagerport.Report{}, tanagerport.Refused.New("%s", o.kind)
	}
	r := w.random(m.name + " " + o.kind + " " + o.to.id)
	f := p.fate(r, o.to)
	w.mu.Lock()
	sentTo := o.to.life
	w.mu.Unlock()
	reports := make(chan tanagerport.Report, 1)
	w.spawn(func() {
		if f.lost || !w.sleep(f.before) || !f.late && w.workersCut(m.index, o.to.index) {
			return
		}
		report, ok := w.perform(o, sentTo, f.late)
		if ok && w.sleep(f.after) && !f.late && !w.workersCut(m.index, o.to.index) {
			reports <- report
		}
	})
	timeout := time.NewTimer(orderTimeout + o.wait)
	defer timeout.Stop()
	select {
	case report := <-reports:
		p.process.waitRunning()
		return report, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	p.process.waitRunning()
	return tanagerport.Report{}, tanagerport.OutcomeUnknown.New("%s to %s", o.kind, o.to.id)
}

// perform executes an order at its worker. It returns false without a response.
func (w *world) perform(o order, sentTo *life, late bool) (tanagerport.Report, bool) {
	deadline := time.NewTimer(o.wait)
	defer deadline.Stop()
	expired := o.wait == 0
	var reached *life
	for {
		w.mu.Lock()
		l := o.to.life
		if l == nil || reached != nil && l != reached || o.sameLife && late && l != sentTo {
			w.mu.Unlock()
			return tanagerport.Report{}, false
		}
		if o.incarnation != 0 && l.incarnation != o.incarnation {
			w.mu.Unlock()
			return tanagerport.Report{Response: tanagerport.Response{Status: tanagerport.OtherIncarnation}}, !late
		}
		reached = l
		o.to.expire()
		report, changed := o.execute(late, expired)
		w.mu.Unlock()
		if changed == nil || expired {
			return report, true
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-l.gone:
			return tanagerport.Report{}, false
		case <-w.done:
			return tanagerport.Report{}, false
		}
	}
}

func (k *worker) response(s tanagerport.Status) tanagerport.Response {
	return tanagerport.Response{
		Status: s,
		Clock:  k.clock().Truncate(time.Millisecond),
	}
}

func (k *worker) extend(deadline time.Duration) {
	k.life.lease = max(k.life.lease, min(deadline.Truncate(time.Millisecond), k.clock()+maxHold))
}

// Start implements tanagercell.Workers.
func (p workerPort) Start(ctx context.Context, to tanagerport.WorkerRef,
	s tanagerport.Start) (tanagerport.Response, error) {
	m := p.process.machine
	k := p.worker(to)
	m.maybePauseAtStart()
	if !p.process.waitRunning() {
		return tanagerport.Response{}, tanagerport.Refused.New("process has ended")
	}
	sentAt := m.world.now()
	report, err := p.call(ctx, order{
		kind:        "start",
		to:          k,
		incarnation: to.Incarnation,
		sameLife:    true,
		execute: func(late, _ bool) (tanagerport.Report, <-chan struct{}) {
			status := k.start(startOrder{
				Start:  s,
				from:   m,
				sentAt: sentAt,
				late:   late,
			})
			k.world.log(m.name, k.id, string(s.Task.Job), "start %s run %d epoch %d, sent %v before: %s",
				s.Task, s.Run, s.Epoch, (k.world.now() - sentAt).Round(time.Microsecond), status)
			return tanagerport.Report{Response: k.response(status)}, nil
		},
	})
	return report.Response, err
}

// maybePauseAtStart begins the pause of an active fault PauseAtStart.
func (m *machine) maybePauseAtStart() {
	w := m.world
	f := w.active(m.index, func(f *Fault) bool { return f.Kind == PauseAtStart })
	if f != nil {
		m.pause(f.end())
	}
}

// startOrder is a start with what the rules need to know about it.
type startOrder struct {
	tanagerport.Start
	from   *machine
	sentAt time.Duration
	late   bool
}

func (k *worker) start(s startOrder) tanagerport.Status {
	l := k.life
	if s.Epoch < l.fence {
		return tanagerport.Fenced
	}
	l.fence = s.Epoch
	if r := l.runs[s.Task]; r != nil && r.number == s.Run {
		k.extend(s.Deadline)
		return tanagerport.Accepted
	}
	k.extend(s.Deadline)
	if s.Run <= l.lastEnded[s.Task] || l.runs[s.Task] != nil {
		return tanagerport.Outdated
	}
	if s.Deadline <= k.clock() {
		return tanagerport.DeadlinePassed
	}
	r := &run{
		task:   s.Task,
		number: s.Run,
	}
	duration, gangSize := k.world.rules.runStarted(k, r, s)
	l.runs[s.Task] = r
	r.duration, r.workingSince = duration, -1
	if gangSize > 0 {
		k.world.joinGang(k, r, duration, gangSize)
	} else {
		r.workingSince = k.world.now()
		k.endLater(l, r, duration, tanagerport.EndedDone)
	}
	return tanagerport.Accepted
}

// Stop implements tanagercell.Workers.
func (p workerPort) Stop(ctx context.Context, to tanagerport.WorkerRef,
	s tanagerport.Stop) (tanagerport.Response, error) {
	m := p.process.machine
	k := p.worker(to)
	grace := time.Duration(m.world.random("grace " + to.ID).Int64N(int64(stopGrace)))
	report, err := p.call(ctx, order{
		kind:        "stop",
		to:          k,
		incarnation: to.Incarnation,
		sameLife:    true,
		execute: func(_, _ bool) (tanagerport.Report, <-chan struct{}) {
			status := k.stop(s, grace)
			k.world.log(m.name, k.id, string(s.Task.Job), "stop %s run %d epoch %d: %s", s.Task, s.Run, s.Epoch, status)
			return tanagerport.Report{Response: k.response(status)}, nil
		},
	})
	return report.Response, err
}

func (k *worker) stop(s tanagerport.Stop, grace time.Duration) tanagerport.Status {
	l := k.life
	if s.Epoch < l.fence {
		return tanagerport.Fenced
	}
	l.fence = s.Epoch
	l.lastEnded[s.Task] = max(l.lastEnded[s.Task], s.Run)
	if r := l.runs[s.Task]; r != nil && r.number <= s.Run && !r.stopping {
		r.stopping = true
		k.endLater(l, r, grace, tanagerport.EndedStopped)
	}
	return tanagerport.Accepted
}

// Throttle implements tanagercell.Workers.
func (p workerPort) Throttle(context.Context, tanagerport.WorkerRef,
	tanagerport.Throttle) (tanagerport.Response, error) {
	return tanagerport.Response{Status: tanagerport.Accepted}, nil
}

// Poll implements tanagercell.Workers. If another incarnation than the addressed one is
// there, it is polled without a deadline and an acknowledgement.
func (p workerPort) Poll(ctx context.Context, to tanagerport.WorkerRef,
	poll tanagerport.Poll) (tanagerport.Report, error) {
	report, err := p.poll(ctx, to, poll)
	if err == nil && report.Status == tanagerport.OtherIncarnation {
		to.Incarnation = 0
		return p.poll(ctx, to, tanagerport.Poll{Epoch: poll.Epoch})
	}
	return report, err
}

func (p workerPort) poll(ctx context.Context, to tanagerport.WorkerRef,
	poll tanagerport.Poll) (tanagerport.Report, error) {
	m := p.process.machine
	k := p.worker(to)
	begun := false
	return p.call(ctx, order{
		kind:        "poll",
		to:          k,
		incarnation: to.Incarnation,
		sameLife:    true,
		wait:        poll.Wait,
		execute: func(_, expired bool) (tanagerport.Report, <-chan struct{}) {
			l := k.life
			if !begun {
				if poll.Epoch < l.fence {
					return tanagerport.Report{
						Response:    k.response(tanagerport.Fenced),
						Incarnation: l.incarnation,
					}, nil
				}
				begun = true
				k.beginPoll(m, poll)
			}
			if len(l.ended) == 0 && !expired {
				return tanagerport.Report{}, l.changed
			}
			return k.report(), nil
		},
	})
}

// beginPoll applies what a poll says.
func (k *worker) beginPoll(from *machine, poll tanagerport.Poll) {
	l := k.life
	if poll.Epoch > l.fence {
		k.world.log(from.name, k.id, "", "first call of epoch %d", poll.Epoch)
	}
	l.fence = poll.Epoch
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if e.SequenceNumber > poll.Acknowledged {
			kept = append(kept, e)
			continue
		}
		k.world.log(from.name, k.id, string(e.Task.Job), "acknowledges end %d of %s run %d", e.SequenceNumber, e.Task, e.Run)
		k.world.rules.acknowledged(k, e)
	}
	l.ended = kept
	if poll.Deadline > 0 {
		k.extend(poll.Deadline)
	}
}

// percent returns the share of its work that a run has done.
func (k *worker) percent(r *run) int {
	if r.workingSince < 0 {
		return 0
	}
	return int(100 * (k.world.now() - r.workingSince) / r.duration)
}

func (k *worker) report() tanagerport.Report {
	l := k.life
	report := tanagerport.Report{
		Response:    k.response(tanagerport.Accepted),
		Incarnation: l.incarnation,
		Ended:       slices.Clone(l.ended),
		Complete:    true,
	}
	for _, r := range sortedRuns(l) {
		report.Running = append(report.Running, tanagerport.ActiveRun{
			Task:    r.task,
			Run:     r.number,
			Percent: k.percent(r),
			Gauge:   taskMilliCPU,
		})
	}
	return report
}
