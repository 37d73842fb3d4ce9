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

// pending reports whether the task still waits to be offered.
func (q queuedTask) pending() bool { return q.task.State == tanagerjob.Pending && !q.task.Ending }

// taskQueue holds the tasks of a job shard that wait to be offered, by branch
// and class.
type taskQueue struct {
	queues map[classQueueKey]*classQueue
}

type classQueueKey struct {
	branch string
	class  tanagerqueue.Class
}

// classQueue holds the tasks that may be offered, and those that are delayed
// until their NotBefore time.
type classQueue struct {
	ready   []queuedTask
	delayed []queuedTask
	nextDue time.Time
}

func newTaskQueue() *taskQueue {
	return &taskQueue{
		queues: make(map[classQueueKey]*classQueue),
	}
}

func (q *taskQueue) push(j *tanagerjob.Job, t *tanagerjob.Task) {
	key := classQueueKey{
		branch: j.Branch,
		class:  j.Spec.Class,
	}
	l := q.queues[key]
	if l == nil {
		l = &classQueue{}
		q.queues[key] = l
	}
	l.ready = append(l.ready, queuedTask{
		job:  j,
		task: t,
	})
}

// offer passes the ready tasks of each queue to f, until f returns false.
func (q *taskQueue) offer(now time.Time, f func(queuedTask) bool) {
	for key, l := range q.queues {
		l.releaseDue(now)
		l.offer(now, f)
		if len(l.ready) == 0 && len(l.delayed) == 0 {
			delete(q.queues, key)
		}
	}
}

func (l *classQueue) offer(now time.Time, f func(queuedTask) bool) {
	for len(l.ready) > 0 {
		next := l.ready[0]
		switch {
		case !next.pending():
		case now.Before(next.task.NotBefore):
			l.delay(next)
		case !f(next):
			return
		}
		l.ready = l.ready[1:]
	}
}

func (l *classQueue) delay(q queuedTask) {
	if len(l.delayed) == 0 || q.task.NotBefore.Before(l.nextDue) {
		l.nextDue = q.task.NotBefore
	}
	l.delayed = append(l.delayed, q)
}

// releaseDue makes the delayed tasks ready whose delay has passed.
func (l *classQueue) releaseDue(now time.Time) {
	if len(l.delayed) == 0 || now.Before(l.nextDue) {
		return
	}
	held := l.delayed
	l.delayed = nil
	for _, q := range held {
		if now.Before(q.task.NotBefore) {
			l.delay(q)
			continue
		}
		l.ready = append(l.ready, q)
	}
}
