package tanagercheck

import (
	"fmt"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// shownSlack is how long after a job was shown as completed a start is still
	// allowed.
	shownSlack = time.Second
	// visible is how long after its acceptance a job may be unknown.
	visible = 3 * time.Second
	// crashesToFail is the number of workers that have to crash under a task before
	// its job may be given up.
	crashesToFail = 2
)

// Violation is a broken rule.
type Violation struct {
	At   time.Duration
	Rule string
	Job  string
	What string
}

// activeRun is a run that has not ended, with its worker.
type activeRun struct {
	run    *run
	worker *worker
}

// doneEnd is an end as done of a task.
type doneEnd struct {
	at      time.Duration
	worker  *worker
	life    *life
	number  int64
	run     int64
	noted   bool
	excused bool
}

// taskRecord is what has happened to a task.
type taskRecord struct {
	active  []activeRun
	done    []*doneEnd
	crashes int
	// lastStart is the time of the last start and lastStartRun its run.
	lastStart    time.Duration
	lastStartRun int64
	lastStarter  string
}

// jobRecord is what callers were told about a job.
type jobRecord struct {
	plan *plannedJob
	// accepted is set once a caller was told so, stored once the store has held the
	// job, unknown if an attempt had no definite answer.
	accepted, stored, unknown bool
	acceptedAt                time.Duration
	rejected                  bool
	shownAt                   time.Duration
	shown                     bool
	lastState                 string
}

// rules checks the rules. The world's mutex guards it.
type rules struct {
	world      *world
	tasks      map[tanagerwork.TaskName]*taskRecord
	jobs       map[tanagerwork.JobID]*jobRecord
	gangs      map[gangKey]*gang
	violations []Violation
	starts     int
}

func newRules(w *world) *rules {
	r := &rules{
		world: w,
		tasks: make(map[tanagerwork.TaskName]*taskRecord),
		jobs:  make(map[tanagerwork.JobID]*jobRecord),
		gangs: make(map[gangKey]*gang),
	}
	for i := range w.plan.jobs {
		r.jobs[w.plan.jobs[i].id] = &jobRecord{plan: &w.plan.jobs[i]}
	}
	return r
}

func (r *rules) violate(rule string, job tanagerwork.JobID, format string, arguments ...any) {
	v := Violation{
		At:   r.world.now(),
		Rule: rule,
		Job:  string(job),
		What: fmt.Sprintf(format, arguments...),
	}
	r.violations = append(r.violations, v)
	r.world.log("", "", v.Job, "%s: %s", rule, v.What)
}

func (r *rules) task(name tanagerwork.TaskName) *taskRecord {
	t := r.tasks[name]
	if t == nil {
		t = &taskRecord{}
		r.tasks[name] = t
	}
	return t
}

// runStarted checks a start and returns the duration of the run and, for a gang, the
// number of its tasks.
func (r *rules) runStarted(k *worker, started *run, s startOrder) (time.Duration, int) {
	r.starts++
	name := started.task
	j := r.jobs[name.Job]
	if j == nil || name.Step >= len(j.plan.spec.Steps) || name.Index >= j.plan.spec.Steps[name.Step].TaskCount ||
		s.Payload != j.plan.spec.Payload {
		r.violate("UNASKED", name.Job, "start of %s", name)
		return minTaskTime, 0
	}
	if !j.stored {
		r.violate("UNASKED", name.Job, "start of %s, whose job is not in the store", name)
	}
	step := &j.plan.spec.Steps[name.Step]
	for _, after := range step.After {
		for index := range j.plan.spec.Steps[after].TaskCount {
			earlier := name
			earlier.Step, earlier.Index = after, index
			if len(r.task(earlier).done) == 0 {
				r.violate("ORDER", name.Job, "start of %s before %s is done", name, earlier)
			}
		}
	}
	t := r.task(name)
	r.checkTwice(k, started, s, j, t)
	t.active = append(t.active, activeRun{
		run:    started,
		worker: k,
	})
	t.lastStart, t.lastStartRun, t.lastStarter = r.world.now(), started.number, s.from.name
	if step.Gang {
		return j.plan.duration[name.Step], step.TaskCount
	}
	return j.plan.duration[name.Step], 0
}

func (r *rules) checkTwice(k *worker, started *run, s startOrder, j *jobRecord, t *taskRecord) {
	name := started.task
	for _, a := range t.active {
		r.violate("TWICE", name.Job, "run %d of %s starts on %s by %s while run %d is on %s",
			started.number, name, k.id, s.from.name, a.run.number, a.worker.id)
	}
	for _, e := range t.done {
		if e.noted {
			r.violate("TWICE", name.Job, "run %d of %s starts on %s by %s, run %d had ended done and was noted",
				started.number, name, k.id, s.from.name, e.run)
		}
	}
	if j.shown && r.world.now() > j.shownAt+shownSlack && !s.late && r.world.inTouch(s.from.index) {
		r.violate("TWICE", name.Job, "run %d of %s starts on %s by %s, its job was shown as completed at %v",
			started.number, name, k.id, s.from.name, j.shownAt.Round(time.Millisecond))
	}
}

func (r *rules) removeActive(ended *run) *taskRecord {
	t := r.task(ended.task)
	for i, a := range t.active {
		if a.run == ended {
			t.active = append(t.active[:i], t.active[i+1:]...)
			break
		}
	}
	return t
}

func (r *rules) runLost(_ *worker, lost *run) { r.removeActive(lost).crashes++ }

func (r *rules) runEnded(k *worker, ended *run, reason tanagerport.EndReason, number int64) {
	t := r.removeActive(ended)
	if reason == tanagerport.EndedDone {
		t.done = append(t.done, &doneEnd{
			at:     r.world.now(),
			worker: k,
			life:   k.life,
			number: number,
			run:    ended.number,
		})
	}
}

// leaseLapsed excuses the ends of a worker that have not been noted.
func (r *rules) leaseLapsed(k *worker) {
	for _, e := range k.life.ended {
		for _, d := range r.task(e.Task).done {
			if d.life == k.life && d.number == e.SequenceNumber {
				d.excused = true
			}
		}
	}
}

func (r *rules) acknowledged(k *worker, e tanagerport.EndedRun) {
	t := r.task(e.Task)
	for _, d := range t.done {
		if d.life != k.life || d.number != e.SequenceNumber || d.excused {
			continue
		}
		d.noted = true
		if t.lastStart > d.at {
			r.violate("TWICE", e.Task.Job, "run %d of %s by %s was started after run %d had ended done, which is noted now",
				t.lastStartRun, e.Task, t.lastStarter, e.Run)
		}
	}
}

func (r *rules) stored(key string) {
	id, ok := strings.CutPrefix(key, "tanager/intake/job/")
	if j := r.jobs[tanagerwork.JobID(id)]; ok && j != nil {
		j.stored = true
	}
}

// submitted notes the answer to an attempt to submit a job.
func (r *rules) submitted(id tanagerwork.JobID, reply tanagerport.Reply) {
	j := r.jobs[id]
	switch reply {
	case tanagerport.ReplyAccepted:
		if !j.accepted {
			j.accepted = true
			j.acceptedAt = r.world.now()
		}
	case tanagerport.ReplyOverloaded, tanagerport.ReplyUnavailable:
		j.rejected = true
	default:
		j.unknown = true
	}
}

// shown checks what a caller is told about a job.
func (r *rules) shown(m *machine, id tanagerwork.JobID, result tanagerport.Result) {
	j := r.jobs[id]
	switch {
	case result.Reply == tanagerport.ReplyJobNotFound:
		if j.accepted && r.world.now() > j.acceptedAt+visible && r.world.inTouch(m.index) {
			r.violate("LOST", id, "%s does not know the job, which was accepted at %v", m.name,
				j.acceptedAt.Round(time.Millisecond))
		}
	case result.Reply != tanagerport.ReplyState:
	case result.State == tanagerwork.Completed:
		if !r.allDone(j) {
			r.violate("MIXED", id, "%s shows the job as completed while a task is not done", m.name)
		}
		if !j.shown {
			j.shown = true
			j.shownAt = r.world.now()
			r.world.log(m.name, "caller", string(id), "shows the job as completed")
		}
	case result.State.Final() && !r.mayFail(j):
		r.violate("LOST", id, "%s shows the job as %s", m.name, result.State)
	}
	j.lastState = string(result.Reply) + " " + string(result.State)
}

func (r *rules) eachTask(j *jobRecord, visit func(t *taskRecord)) {
	for s, step := range j.plan.spec.Steps {
		for index := range step.TaskCount {
			visit(r.task(tanagerwork.TaskName{
				StepName: tanagerwork.StepName{
					Job:  j.plan.id,
					Step: s,
				},
				Index: index,
			}))
		}
	}
}

func (r *rules) allDone(j *jobRecord) bool {
	all := true
	r.eachTask(j, func(t *taskRecord) { all = all && len(t.done) > 0 })
	return all
}

func (r *rules) mayFail(j *jobRecord) bool {
	may := false
	r.eachTask(j, func(t *taskRecord) { may = may || t.crashes >= crashesToFail })
	return may
}

// open returns the number of accepted jobs that have not been shown as ended.
func (r *rules) open() int {
	n := 0
	for i := range r.world.plan.jobs {
		j := r.jobs[r.world.plan.jobs[i].id]
		if j.accepted && !j.shown && !r.mayFail(j) {
			n++
		}
	}
	return n
}

// finish checks what has to hold at the end of a walk.
func (r *rules) finish() {
	for i := range r.world.plan.jobs {
		j := r.jobs[r.world.plan.jobs[i].id]
		if j.accepted && !j.shown && !r.mayFail(j) {
			r.violate("LOST", j.plan.id, "job accepted at %v has not ended, last answer: %s",
				j.acceptedAt.Round(time.Millisecond), j.lastState)
		}
		if !j.accepted && !j.unknown && j.rejected && j.stored {
			r.violate("REFUSED", j.plan.id, "all attempts were rejected, the job is in the store")
		}
	}
}
