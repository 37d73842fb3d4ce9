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
func (q queuedTask) pending() bool { return q.task.State == tanagerjob.Pending && !q.task.EndPending }

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
	cq := q.queues[key]
	if cq == nil {
		cq = &classQueue{}
		q.queues[key] = cq
	}
	cq.ready = append(cq.ready, queuedTask{
		job:  j,
		task: t,
	})
}

// offer passes the ready tasks of each queue to f in order. If f returns false,
// that task and the later ones of its queue stay queued.
func (q *taskQueue) offer(now time.Time, f func(queuedTask) bool) {
	for key, cq := range q.queues {
		cq.releaseDue(now)
		cq.offer(now, f)
		if len(cq.ready) == 0 && len(cq.delayed) == 0 {
			delete(q.queues, key)
		}
	}
}

func (cq *classQueue) offer(now time.Time, f func(queuedTask) bool) {
	for len(cq.ready) > 0 {
		next := cq.ready[0]
		switch {
		case !next.pending():
		case now.Before(next.task.NotBefore):
			cq.delay(next)
		case !f(next):
			return
		}
		cq.ready = cq.ready[1:]
	}
}

func (cq *classQueue) delay(q queuedTask) {
	if len(cq.delayed) == 0 || q.task.NotBefore.Before(cq.nextDue) {
		cq.nextDue = q.task.NotBefore
	}
	cq.delayed = append(cq.delayed, q)
}

// releaseDue makes the delayed tasks ready whose delay has passed.
func (cq *classQueue) releaseDue(now time.Time) {
	if len(cq.delayed) == 0 || now.Before(cq.nextDue) {
		return
	}
	delayed := cq.delayed
	cq.delayed = nil
	for _, q := range delayed {
		if now.Before(q.task.NotBefore) {
			cq.delay(q)
			continue
		}
		cq.ready = append(cq.ready, q)
	}
}
