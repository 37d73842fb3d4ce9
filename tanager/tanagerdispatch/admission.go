package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerwork"
)

// AdmissionHint tells the daemons whether to accept jobs of a queue. The zero value
// is the hint of an idle queue, which is open.
type AdmissionHint struct {
	// Pending is the number of jobs of which no task has started.
	Pending int `json:"pending,omitempty"`
	// Gangs is the decision on jobs with a gang, Others on all other jobs.
	Gangs  tanageradmission.Decision `json:"gangs,omitzero"`
	Others tanageradmission.Decision `json:"others,omitzero"`
}

// Decision returns the decision on a job.
func (h AdmissionHint) Decision(spec *tanagerwork.Spec) tanageradmission.Decision {
	if spec.HasGang() {
		return h.Gangs
	}
	return h.Others
}

const (
	// hintInterval is the time between updates of the hints, a small part of the
	// shortest objective.
	hintInterval = 100 * time.Millisecond
	// achievableUtilization is the share of a service's cores that placement
	// fills under load; the rest is lost to fragmentation.
	achievableUtilization = 0.85
)

// AdmissionHints returns the hints by queue and the time at which they were
// computed. Queues whose hint is the zero value are left out, so that the size of
// the hints does not grow with the configuration.
func (c *Cell) AdmissionHints() (map[string]AdmissionHint, time.Time) { return c.hints, c.hintsAt }

// updateHints decides which queues take new jobs.
func (c *Cell) updateHints() {
	if c.now.Sub(c.hintsAt) < hintInterval {
		return
	}
	c.hintsAt = c.now
	c.capacityVersion++
	c.hints = make(map[string]AdmissionHint)
	b := c.backlog()
	pending := c.Pending()
	for q := range b.queues {
		hint := AdmissionHint{
			Pending: pending[q.config.Name],
			Gangs:   c.decide(q, true, b),
			Others:  c.decide(q, false, b),
		}
		if hint != (AdmissionHint{}) {
			c.hints[q.config.Name] = hint
		}
	}
}

func (c *Cell) decide(q *queue, gang bool, b *backlog) tanageradmission.Decision {
	class := tanageradmission.Class{
		Queue: q.config.Name,
		Gang:  gang,
	}
	return c.admission.Decide(c.now, class, tanageradmission.Line{
		Work:    b.waiting[class],
		MaxWait: q.meanMaxWait,
		Model:   c.modelWait(q, b),
	})
}

// modelWait returns the wait of a new job if all work ahead of it were spread
// evenly. Jobs of urgent queues wait only for urgent work.
func (c *Cell) modelWait(q *queue, b *backlog) time.Duration {
	work := b.all[q.config.Service]
	if q.config.Priority == 0 {
		work = b.urgent[q.config.Service]
	}
	capacity := b.cores[q.config.Service] * achievableUtilization
	if capacity <= 0 {
		return 0
	}
	return time.Duration(work / capacity * float64(time.Second))
}

// backlog is the work that waits and has not expired, in core-seconds.
type backlog struct {
	// queues are those with open jobs.
	queues map[*queue]bool
	// cores are those of the workers that may be given new work, by service.
	cores map[string]float64
	// urgent and all are the pending tasks of urgent and of all queues, by
	// service.
	urgent, all map[string]float64
	// waiting are the tasks that could be started if they found a worker.
	waiting map[tanageradmission.Class]float64
}

func (c *Cell) backlog() *backlog {
	b := &backlog{
		queues:  make(map[*queue]bool),
		cores:   c.usableCores(),
		urgent:  make(map[string]float64),
		all:     make(map[string]float64),
		waiting: make(map[tanageradmission.Class]float64),
	}
	for _, j := range c.openJobs {
		b.queues[j.queue] = true
		c.addToBacklog(j, b)
	}
	return b
}

// addToBacklog adds the pending tasks of a job, unless the job has expired or
// waits for the workers of a predecessor: new jobs do not wait for those.
func (c *Cell) addToBacklog(j *job, b *backlog) {
	if !c.predecessorRunsKnown(j) {
		return
	}
	total, waiting := 0.0, 0.0
	for _, s := range j.steps {
		if s.pendingTasks == 0 || s.spec.LongRunning || s.spec.BestEffort {
			continue
		}
		work := float64(s.pendingTasks) * taskCoreSeconds(s.spec)
		total += work
		if s.unmetDependencies > 0 || c.now.Before(s.due) {
			continue
		}
		if c.rank(s).tier == tierExpired {
			return
		}
		if c.waitsForCapacity(s) {
			waiting += work
		}
	}
	total *= c.estimateInflation
	service := j.queue.config.Service
	b.all[service] += total
	if j.queue.config.Priority == 0 {
		b.urgent[service] += total
	}
	b.waiting[j.class()] += waiting
}

// waitsForCapacity reports whether a step has found no worker although it has the
// advice that it needs, or has waited for advice so long that the advice service
// must be overloaded.
func (c *Cell) waitsForCapacity(s *step) bool {
	if s.advice.allowsStart(c.now, s.job.queue) {
		return s.blockedVersion != 0
	}
	policy := s.job.queue.config.Advice
	expected := policy.DecisionTime + referenceAdviceWorkers*policy.TimePerWorker
	return c.now.Sub(s.readyAt) > 2*expected+adviceWaitMargin
}

// adviceWaitMargin is the time beyond two calls after which a step without advice
// counts as waiting for capacity.
const adviceWaitMargin = 100 * time.Millisecond

// class returns the class whose line the job waits in.
func (j *job) class() tanageradmission.Class {
	return tanageradmission.Class{
		Queue: j.record.Queue,
		Gang:  j.record.Spec.HasGang(),
	}
}

// taskCoreSeconds returns the core-seconds of a task according to its estimate.
func taskCoreSeconds(s *tanagerwork.Step) float64 {
	return float64(s.Resources.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// usableCores returns the cores of the workers that may be given new work, by
// service.
func (c *Cell) usableCores() map[string]float64 {
	cores := make(map[string]float64)
	for _, w := range c.workerList {
		if c.acceptsWork(w) {
			cores[w.entry.Service] += float64(w.entry.Capacity.MilliCPU) / 1000
		}
	}
	return cores
}
