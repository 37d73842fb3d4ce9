package tanagerreplay

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

func (s *simulation) startTask(o tanagerdispatch.StartOrder) {
	w := s.workers[o.Worker.ID]
	j := s.jobs[o.Start.Task.Job]
	spec := &j.arrival.record.Spec.Steps[o.Start.Task.Step]
	s.report.TaskStarts++
	if s.refuseStart(w, o) {
		return
	}
	if !spec.Resources.FitsIn(w.free) {
		s.report.OvercommittedStarts++
	}
	if j.active[o.Start.Task] || j.reported[o.Start.Task] {
		s.report.DuplicateRuns++
	}
	j.active[o.Start.Task] = true
	if !j.started {
		j.started = true
		k := &s.report.Kinds[j.arrival.kind]
		k.waitTimes = append(k.waitTimes, s.now.Sub(j.arrival.record.Arrived))
	}
	w.free = w.free.Sub(spec.Resources)
	run := &simRun{
		order:     o,
		job:       j.arrival,
		startedAt: s.now,
	}
	w.runs[o.Start.Task] = run
	w.order = append(w.order, o.Start.Task)
	s.respondAfter(workerRoundTrip, func() {
		s.scheduler.HandleStartResponse(s.now, o, tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  s.workerClock(),
		}, nil)
	})
	s.crashByTask(w, run)
	if spec.Gang {
		s.joinGang(run, spec)
		return
	}
	if w.failing {
		s.failRun(run, w)
		return
	}
	s.scheduleEnd(run, s.runDuration(run, w))
}

// failRun ends a run on a worker that fails all runs.
func (s *simulation) failRun(run *simRun, w *simWorker) {
	s.schedule(s.now.Add(failedRunDuration), func() {
		if w.runs[run.order.Start.Task] == run {
			s.endRun(w, run, tanagerport.EndedFailed)
		}
	})
}

// runDuration returns how long a run takes on a worker. The share of slow workers
// is rounded up to tenths: with a third, as in LadderLoad, 4 of 10 are slow.
func (s *simulation) runDuration(run *simRun, w *simWorker) time.Duration {
	t := run.order.Start.Task
	d := run.job.durations[t.Step][t.Index]
	if float64(w.index%10)/10 < s.load.SlowShare {
		d = time.Duration(float64(d) * s.load.SlowFactor)
	}
	return time.Duration(float64(d) * w.slowFactor)
}

// joinGang adds a run to its gang. When all members have been started, they
// begin to work and end together.
func (s *simulation) joinGang(run *simRun, spec *tanagerwork.Step) {
	key := gangKey{
		step: run.order.Start.Task.StepName,
		run:  run.order.Start.Run,
	}
	g := s.gangs[key]
	if g == nil {
		g = &simGang{size: spec.TaskCount}
		s.gangs[key] = g
	}
	run.gang = g
	g.runs = append(g.runs, run)
	g.started++
	if g.started < g.size {
		s.schedule(s.now.Add(gangWait), func() { s.endWait(run) })
		return
	}
	longest := time.Duration(0)
	for _, member := range g.runs {
		longest = max(longest, s.runDuration(member, s.workers[member.order.Worker.ID]))
	}
	for _, member := range g.runs {
		s.scheduleEnd(member, longest)
	}
}

// leaveGang removes a run that ends before its gang has begun to work.
func (r *simRun) leaveGang() {
	if r.gang == nil || r.duration > 0 {
		return
	}
	r.gang.started--
	r.gang.runs = slices.DeleteFunc(r.gang.runs, func(o *simRun) bool { return o == r })
}

// endWait ends a member of a gang that still waits for the others.
func (s *simulation) endWait(run *simRun) {
	w := s.workers[run.order.Worker.ID]
	if run.duration > 0 || w.runs[run.order.Start.Task] != run {
		return
	}
	s.report.GangTimeouts++
	s.endRun(w, run, tanagerport.EndedGangTimeout)
}

// percentDone returns the progress of a run.
func (r *simRun) percentDone(now time.Time) int {
	if r.duration == 0 {
		return 0
	}
	if now.Before(r.frozenUntil) {
		now = r.frozenUntil
	}
	return int(100 * (r.duration - r.endsAt.Sub(now)) / r.duration)
}

func (s *simulation) scheduleEnd(run *simRun, duration time.Duration) {
	run.duration = duration
	run.endsAt = s.now.Add(duration)
	if hungUntil := s.workers[run.order.Worker.ID].hungUntil; s.now.Before(hungUntil) {
		run.delay(s.now, hungUntil.Sub(s.now))
	}
	s.awaitEnd(run)
}

// awaitEnd ends a run at its time, which may be delayed further until then.
func (s *simulation) awaitEnd(run *simRun) {
	s.schedule(run.endsAt, func() {
		w := s.workers[run.order.Worker.ID]
		if w.runs[run.order.Start.Task] != run {
			return
		}
		if s.now.Before(run.endsAt) {
			s.awaitEnd(run)
			return
		}
		reason := tanagerport.EndedDone
		t := run.order.Start.Task
		j := s.jobs[t.Job]
		if run.gang == nil && j.failures[t] < run.job.failures[t.Step][t.Index] {
			j.failures[t]++
			reason = tanagerport.EndedFailed
		}
		s.endRun(w, run, reason)
	})
}

func (s *simulation) endRun(w *simWorker, run *simRun, reason tanagerport.EndReason) {
	t := run.order.Start.Task
	j := s.jobs[t.Job]
	spec := &run.job.record.Spec.Steps[t.Step]
	run.leaveGang()
	delete(w.runs, t)
	w.order = slices.DeleteFunc(w.order, func(name tanagerwork.TaskName) bool { return name == t })
	delete(j.active, t)
	w.free = w.free.Add(spec.Resources)
	w.lastNumber++
	w.ended = append(w.ended, tanagerport.EndedRun{
		SequenceNumber: w.lastNumber,
		Task:           t,
		Run:            run.order.Start.Run,
		Reason:         reason,
	})
	if reason == tanagerport.EndedDone {
		if !j.done[t] {
			j.done[t] = true
			j.tasksLeft--
			if j.tasksLeft == 0 {
				s.completeJob(j)
			}
		}
	} else {
		s.report.WastedCoreSeconds += s.now.Sub(run.startedAt).Seconds() * float64(spec.Resources.MilliCPU) / 1000
	}
	s.completePoll(w, false)
}

func (s *simulation) completeJob(j *simJob) {
	kind := &s.load.Kinds[j.arrival.kind]
	k := &s.report.Kinds[j.arrival.kind]
	objective := time.Duration(kind.Queue.Stretch*float64(j.arrival.minDuration)) + kind.Queue.Slack
	switch turnaround := s.now.Sub(j.arrival.record.Arrived); {
	case turnaround <= objective:
		k.OnTime++
		k.EarnedValue += s.jobValue(j.arrival, kind.OnTimeValue)
	case turnaround <= 3*objective:
		k.Late++
		k.EarnedValue += s.jobValue(j.arrival, kind.LateValue)
	default:
		k.Expired++
		k.AcceptedUnserved++
	}
}

func (s *simulation) stopTask(o tanagerdispatch.StopOrder) {
	w := s.workers[o.Worker.ID]
	if w.down {
		s.respondAfter(callTimeout, func() {
			s.scheduler.HandleStopResponse(s.now, o, tanagerport.Response{}, outcomeUnknown)
		})
		return
	}
	if run := w.runs[o.Stop.Task]; run != nil && run.order.Start.Run == o.Stop.Run {
		s.endRun(w, run, tanagerport.EndedStopped)
	}
	s.scheduler.HandleStopResponse(s.now, o, tanagerport.Response{
		Status: tanagerport.Accepted,
		Clock:  s.workerClock(),
	}, nil)
}

// completePoll sends the response to an outstanding poll if ended runs are
// unacknowledged or the poll has expired.
func (s *simulation) completePoll(w *simWorker, expired bool) {
	if w.poll == nil || s.schedulerDown || s.now.Before(w.pollSentAt.Add(workerRoundTrip)) {
		return
	}
	o := *w.poll
	for len(w.ended) > 0 && w.ended[0].SequenceNumber <= o.Poll.Acknowledged {
		w.ended = w.ended[1:]
	}
	hasEnded := len(w.ended) > 0
	if !hasEnded && !(expired && !s.now.Before(w.pollExpiresAt)) {
		return
	}
	w.poll = nil
	report := tanagerport.Report{
		Response: tanagerport.Response{
			Status: tanagerport.Accepted,
			Clock:  s.workerClock(),
		},
		Incarnation: w.incarnation,
		Ended:       slices.Clone(w.ended),
		Complete:    true,
	}
	for _, t := range w.order {
		run := w.runs[t]
		report.Running = append(report.Running, tanagerport.ActiveRun{
			Task:    t,
			Run:     run.order.Start.Run,
			Percent: run.percentDone(s.now),
		})
	}
	for _, e := range report.Ended {
		if e.Reason == tanagerport.EndedDone {
			s.jobs[e.Task.Job].reported[e.Task] = true
		}
	}
	s.scheduler.HandlePollResponse(s.now, o, w.pollSentAt, report, nil)
}
