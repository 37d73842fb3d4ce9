package tanagercontrol

import (
	"time"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerqueue"
)

// queuedTask is a task that waits to be offered.
type queuedTask struct {
	job  *tanagerjob.Job
	task *tanagerjob.Task
}

// waits reports whether the task still waits to be offered.
func (q queuedTask) waits() bool { return q.task.State == tanagerjob.Pending && !q.task.Ending }

// taskQueue holds the tasks of a job shard that wait to be offered, by branch
// and class.
type taskQueue struct {
	lanes map[laneKey]*lane
}

type laneKey struct {
	branch string
	class  tanagerqueue.Class
}

// lane holds the tasks that may be offered and those that are held back for a
// time.
type lane struct {
	ready   []queuedTask
	held    []queuedTask
	nextDue time.Time
}

func newTaskQueue() *taskQueue {
	return &taskQueue{
		lanes: make(map[laneKey]*lane),
	}
}

func (q *taskQueue) push(j *tanagerjob.Job, t *tanagerjob.Task) {
	key := laneKey{
		branch: j.Branch,
		class:  j.Spec.Class,
	}
	l := q.lanes[key]
	if l == nil {
		l = &lane{}
		q.lanes[key] = l
	}
	l.ready = append(l.ready, queuedTask{
		job:  j,
		task: t,
	})
}

// offer hands the tasks of each lane that may be offered to f, until f refuses
// one.
func (q *taskQueue) offer(now time.Time, f func(queuedTask) bool) {
	for key, l := range q.lanes {
		l.free(now)
		l.offer(now, f)
		if len(l.ready) == 0 && len(l.held) == 0 {
			delete(q.lanes, key)
		}
	}
}

func (l *lane) offer(now time.Time, f func(queuedTask) bool) {
	for len(l.ready) > 0 {
		next := l.ready[0]
		switch {
		case !next.waits():
		case now.Before(next.task.NotBefore):
			l.hold(next)
		case !f(next):
			return
		}
		l.ready = l.ready[1:]
	}
}

func (l *lane) hold(q queuedTask) {
	if len(l.held) == 0 || q.task.NotBefore.Before(l.nextDue) {
		l.nextDue = q.task.NotBefore
	}
	l.held = append(l.held, q)
}

// free moves the tasks whose time has come back to those that may be offered.
func (l *lane) free(now time.Time) {
	if len(l.held) == 0 || now.Before(l.nextDue) {
		return
	}
	held := l.held
	l.held = nil
	for _, q := range held {
		if now.Before(q.task.NotBefore) {
			l.hold(q)
			continue
		}
		l.ready = append(l.ready, q)
	}
}
