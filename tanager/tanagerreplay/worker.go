package tanagerreplay

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

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
