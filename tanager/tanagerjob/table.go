package tanagerjob

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerwire"
)

// TaskState is how far a task has come.
type TaskState uint8

// The states of a task.
const (
	// Pending tasks wait to be offered to the owner of workers.
	Pending TaskState = iota
	// Offered tasks were sent to an owner that has not started them yet.
	Offered
	// Running tasks were started on a worker.
	Running
	// Uncertain tasks belong to an earlier owner's time; it is not yet known
	// whether a worker runs them.
	Uncertain
	// Ended tasks have an outcome in the journal.
	Ended
)

// Task is the table row of one task.
type Task struct {
	Index   int
	State   TaskState
	Attempt int
	// Failures counts the attempts that failed.
	Failures int
	// Attempted is set once an Attempt entry is in the journal.
	Attempted bool
	// Owner is the daemon that the task was offered to.
	Owner string
	// Worker is where the task runs.
	Worker string
	// Since is when the task became pending.
	Since time.Time
	// Waited is how long the task was pending before its first start.
	Waited time.Duration
	// Started is set once the task was started.
	Started bool
	// NotBefore holds a task back after a failure.
	NotBefore time.Time
	// Outcome is set once the task has ended.
	Outcome tanagerfailure.Outcome
	// Ending is set while the End entry is being written.
	Ending bool
	// Stopping is set while the task is being stopped.
	Stopping bool
	// Impossible are the daemons none of whose workers could hold the task.
	Impossible []string
}

// Job is the table row of one job.
type Job struct {
	ID     string
	Branch string
	Spec   Spec
	// Epoch is that of the shard when the job was accepted.
	Epoch uint64
	// Accepted is wall-clock time.
	Accepted  time.Time
	Cancelled bool
	Tasks     []*Task
	// EndedAt is the wall-clock time at which the last task ended.
	EndedAt time.Time

	left int
}

// Left returns the number of tasks that have not ended.
func (j *Job) Left() int { return j.left }

// Attempts returns the bound on the starts of a failing task.
func (j *Job) Attempts() int { return j.Spec.attempts() }

// Outcome returns the job's final outcome, or an empty one while tasks are
// left: Unknown if any task's is, else Failed, else NotRun if no task ran, else
// Done.
func (j *Job) Outcome() tanagerfailure.Outcome {
	if j.left > 0 {
		return ""
	}
	counts := make(map[tanagerfailure.Outcome]int)
	for _, t := range j.Tasks {
		counts[t.Outcome]++
	}
	switch {
	case counts[tanagerfailure.Unknown] > 0:
		return tanagerfailure.Unknown
	case counts[tanagerfailure.Failed] > 0:
		return tanagerfailure.Failed
	case counts[tanagerfailure.NotRun] == len(j.Tasks):
		return tanagerfailure.NotRun
	}
	return tanagerfailure.Done
}

// Entry is one change in the journal. Exactly one field is set.
type Entry struct {
	Accept   *AcceptEntry   `json:"accept,omitempty"`
	Attempt  *AttemptEntry  `json:"attempt,omitempty"`
	End      *EndEntry      `json:"end,omitempty"`
	Cancel   *CancelEntry   `json:"cancel,omitempty"`
	TakeOver *TakeOverEntry `json:"take_over,omitempty"`
}

// AcceptEntry accepts a job.
type AcceptEntry struct {
	ID       string    `json:"id"`
	Branch   string    `json:"branch"`
	Spec     Spec      `json:"spec"`
	Epoch    uint64    `json:"epoch"`
	Accepted time.Time `json:"accepted"`
}

// AttemptEntry tells that a task that is not idempotent may be started.
type AttemptEntry struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// EndEntry ends a task.
type EndEntry struct {
	Job     string                 `json:"job"`
	Index   int                    `json:"index"`
	Outcome tanagerfailure.Outcome `json:"outcome"`
	At      time.Time              `json:"at"`
}

// CancelEntry cancels a job.
type CancelEntry struct {
	Job string `json:"job"`
}

// TakeOverEntry tells that an owner began to write the journal.
type TakeOverEntry struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// keyOf identifies a submission.
type keyOf struct {
	branch string
	key    string
}

// Table holds the jobs of one shard.
type Table struct {
	jobs map[string]*Job
	keys map[keyOf]*Job
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs: make(map[string]*Job),
		keys: make(map[keyOf]*Job),
	}
}

// Job returns a job, or nil.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// ByKey returns the job of a submission, or nil.
func (t *Table) ByKey(branch, key string) *Job {
	return t.keys[keyOf{
		branch: branch,
		key:    key,
	}]
}

// Jobs returns the jobs by id. The caller must not change the map.
func (t *Table) Jobs() map[string]*Job { return t.jobs }

// Task returns a task, or nil.
func (t *Table) Task(job string, index int) (*Job, *Task) {
	j := t.jobs[job]
	if j == nil || index < 0 || index >= len(j.Tasks) {
		return nil, nil
	}
	return j, j.Tasks[index]
}

// Apply makes the change of one entry. Entries of jobs that were forgotten
// change nothing.
func (t *Table) Apply(e Entry) {
	switch {
	case e.Accept != nil:
		t.accept(*e.Accept)
	case e.Attempt != nil:
		if _, task := t.Task(e.Attempt.Job, e.Attempt.Index); task != nil {
			task.Attempted = true
		}
	case e.End != nil:
		t.end(*e.End)
	case e.Cancel != nil:
		if j := t.jobs[e.Cancel.Job]; j != nil {
			j.Cancelled = true
		}
	}
}

func (t *Table) accept(e AcceptEntry) {
	j := &Job{
		ID:       e.ID,
		Branch:   e.Branch,
		Spec:     e.Spec,
		Epoch:    e.Epoch,
		Accepted: e.Accepted,
		Tasks:    make([]*Task, e.Spec.Tasks),
		left:     e.Spec.Tasks,
	}
	for i := range j.Tasks {
		j.Tasks[i] = &Task{
			Index: i,
		}
	}
	t.jobs[j.ID] = j
	t.keys[keyOf{
		branch: j.Branch,
		key:    j.Spec.Key,
	}] = j
}

func (t *Table) end(e EndEntry) {
	j, task := t.Task(e.Job, e.Index)
	if task == nil || task.State == Ended {
		return
	}
	task.State = Ended
	task.Outcome = e.Outcome
	j.left--
	if j.left == 0 {
		j.EndedAt = e.At
	}
}

// retention is how long an ended job can be asked for.
const retention = time.Hour

// savedJob is a job in a snapshot.
type savedJob struct {
	Accept    AcceptEntry `json:"accept"`
	Cancelled bool        `json:"cancelled,omitempty"`
	Attempted []int       `json:"attempted,omitempty"`
	Ended     []EndEntry  `json:"ended,omitempty"`
}

// Snapshot returns the durable state. Jobs that ended longer ago than an hour
// are left out.
func (t *Table) Snapshot(now time.Time) []byte {
	var saved []savedJob
	for _, j := range t.jobs {
		if j.left == 0 && now.Sub(j.EndedAt) > retention {
			continue
		}
		saved = append(saved, save(j))
	}
	return tanagerwire.Encode(saved)
}

func save(j *Job) savedJob {
	s := savedJob{
		Accept: AcceptEntry{
			ID:       j.ID,
			Branch:   j.Branch,
			Spec:     j.Spec,
			Epoch:    j.Epoch,
			Accepted: j.Accepted,
		},
		Cancelled: j.Cancelled,
	}
	for i, task := range j.Tasks {
		if task.Attempted && task.State != Ended {
			s.Attempted = append(s.Attempted, i)
		}
		if task.State == Ended {
			s.Ended = append(s.Ended, EndEntry{
				Job:     j.ID,
				Index:   i,
				Outcome: task.Outcome,
				At:      j.EndedAt,
			})
		}
	}
	return s
}

// Restore fills an empty table from a snapshot.
func (t *Table) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	var saved []savedJob
	if err := tanagerwire.Decode(snapshot, &saved); err != nil {
		return err
	}
	for _, s := range saved {
		t.accept(s.Accept)
		t.jobs[s.Accept.ID].Cancelled = s.Cancelled
		for _, i := range s.Attempted {
			t.jobs[s.Accept.ID].Tasks[i].Attempted = true
		}
		for _, e := range s.Ended {
			t.end(e)
		}
	}
	return nil
}

// Forget drops the jobs that ended longer ago than an hour.
func (t *Table) Forget(now time.Time) {
	for id, j := range t.jobs {
		if j.left == 0 && now.Sub(j.EndedAt) > retention {
			delete(t.jobs, id)
			delete(t.keys, keyOf{
				branch: j.Branch,
				key:    j.Spec.Key,
			})
		}
	}
}
