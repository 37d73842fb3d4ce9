package tanagerjob

import (
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerwire"
)

// TaskState is the state of a task in its life cycle.
type TaskState uint8

// The states of a task.
const (
	// Pending tasks wait to be offered to an owner of workers.
	Pending TaskState = iota
	// Offered tasks have been sent to an owner of workers that has not started
	// them yet.
	Offered
	// Running tasks have been started on a worker.
	Running
	// Recovering tasks were active under a previous owner of the shard; it is not
	// known yet whether a worker runs them.
	Recovering
	// Ended tasks have an End entry in the journal.
	Ended
)

// Task is the state of one task.
type Task struct {
	Index   int
	State   TaskState
	Attempt int
	// Failures is the number of failed attempts.
	Failures int
	// AttemptLogged is set once an Attempt entry is in the journal.
	AttemptLogged bool
	// Owner is the daemon that the task has been offered to.
	Owner string
	// Worker is the worker that runs the task.
	Worker string
	// PendingSince is the time at which the task became pending.
	PendingSince time.Time
	// WaitTime is the time that the task was pending before its first start.
	WaitTime time.Duration
	// Started is set once the task has been started.
	Started bool
	// NotBefore is the earliest time of the next attempt after a failure.
	NotBefore time.Time
	// Outcome is set once the task has ended.
	Outcome tanagerfailure.Outcome
	// EndPending is set while the End entry is being written to the journal.
	EndPending bool
	// Stopping is set while the task is being stopped.
	Stopping bool
	// InfeasibleOwners lists the daemons that own no worker large enough for the
	// task.
	InfeasibleOwners []string
}

// Job is the state of one job.
type Job struct {
	ID     string
	Branch string
	Spec   Spec
	// Epoch is the epoch of the shard in which the job was accepted.
	Epoch uint64
	// Accepted is the wall-clock time at which the job was accepted.
	Accepted  time.Time
	Cancelled bool
	Tasks     []*Task
	// EndedAt is the wall-clock time at which the last task ended.
	EndedAt time.Time

	remaining int
}

// Remaining returns the number of tasks that have not ended.
func (j *Job) Remaining() int { return j.remaining }

// MaxAttempts returns the maximum number of starts of a task that fails.
func (j *Job) MaxAttempts() int { return j.Spec.maxAttempts() }

// Outcome returns the final outcome of the job, or "" while tasks remain. It is
// Unknown if any task's outcome is, else Failed if any task failed, else NotRun
// if no task ran, else Done.
func (j *Job) Outcome() tanagerfailure.Outcome {
	if j.remaining > 0 {
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

// Entry is one entry of the journal. Exactly one field is set.
type Entry struct {
	Accept   *AcceptEntry   `json:"accept,omitempty"`
	Attempt  *AttemptEntry  `json:"attempt,omitempty"`
	End      *EndEntry      `json:"end,omitempty"`
	Cancel   *CancelEntry   `json:"cancel,omitempty"`
	TakeOver *TakeOverEntry `json:"take_over,omitempty"`
}

// AcceptEntry records that a job was accepted.
type AcceptEntry struct {
	ID       string    `json:"id"`
	Branch   string    `json:"branch"`
	Spec     Spec      `json:"spec"`
	Epoch    uint64    `json:"epoch"`
	Accepted time.Time `json:"accepted"`
}

// AttemptEntry records that a task that is not idempotent may be started.
type AttemptEntry struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// EndEntry records the end of a task.
type EndEntry struct {
	Job     string                 `json:"job"`
	Index   int                    `json:"index"`
	Outcome tanagerfailure.Outcome `json:"outcome"`
	At      time.Time              `json:"at"`
}

// CancelEntry records the cancellation of a job.
type CancelEntry struct {
	Job string `json:"job"`
}

// TakeOverEntry records that an owner has begun to write the journal.
type TakeOverEntry struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// submissionKey identifies a submission by its branch and idempotency key.
type submissionKey struct {
	branch string
	key    string
}

// Table holds the jobs of one shard.
type Table struct {
	jobs         map[string]*Job
	bySubmission map[submissionKey]*Job
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs:         make(map[string]*Job),
		bySubmission: make(map[submissionKey]*Job),
	}
}

// Job returns the job with the given ID, or nil.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// ByKey returns the job of a submission, or nil.
func (t *Table) ByKey(branch, key string) *Job {
	return t.bySubmission[submissionKey{
		branch: branch,
		key:    key,
	}]
}

// Jobs returns all jobs by ID. The caller must not modify the map.
func (t *Table) Jobs() map[string]*Job { return t.jobs }

// Task returns a task and its job, or nil for both if there is no such task.
func (t *Table) Task(job string, index int) (*Job, *Task) {
	j := t.jobs[job]
	if j == nil || index < 0 || index >= len(j.Tasks) {
		return nil, nil
	}
	return j, j.Tasks[index]
}

// Apply applies a journal entry. Entries of unknown jobs, such as those already
// dropped, have no effect.
func (t *Table) Apply(e Entry) {
	switch {
	case e.Accept != nil:
		t.applyAccept(*e.Accept)
	case e.Attempt != nil:
		if _, task := t.Task(e.Attempt.Job, e.Attempt.Index); task != nil {
			task.AttemptLogged = true
		}
	case e.End != nil:
		t.applyEnd(*e.End)
	case e.Cancel != nil:
		if j := t.jobs[e.Cancel.Job]; j != nil {
			j.Cancelled = true
		}
	}
}

func (t *Table) applyAccept(e AcceptEntry) {
	j := &Job{
		ID:        e.ID,
		Branch:    e.Branch,
		Spec:      e.Spec,
		Epoch:     e.Epoch,
		Accepted:  e.Accepted,
		Tasks:     make([]*Task, e.Spec.Tasks),
		remaining: e.Spec.Tasks,
	}
	for i := range j.Tasks {
		j.Tasks[i] = &Task{
			Index: i,
		}
	}
	t.jobs[j.ID] = j
	t.bySubmission[submissionKey{
		branch: j.Branch,
		key:    j.Spec.Key,
	}] = j
}

func (t *Table) applyEnd(e EndEntry) {
	j, task := t.Task(e.Job, e.Index)
	if task == nil || task.State == Ended {
		return
	}
	task.State = Ended
	task.Outcome = e.Outcome
	j.remaining--
	if j.remaining == 0 {
		j.EndedAt = e.At
	}
}

// endedJobRetention is how long an ended job can be queried.
const endedJobRetention = time.Hour

// jobSnapshot is the durable state of a job in a snapshot.
type jobSnapshot struct {
	Accept    AcceptEntry `json:"accept"`
	Cancelled bool        `json:"cancelled,omitempty"`
	Attempted []int       `json:"attempted,omitempty"`
	Ended     []EndEntry  `json:"ended,omitempty"`
}

// Snapshot returns the encoded durable state. It omits jobs that ended more
// than an hour before now.
func (t *Table) Snapshot(now time.Time) []byte {
	var jobs []jobSnapshot
	for _, j := range t.jobs {
		if j.remaining == 0 && now.Sub(j.EndedAt) > endedJobRetention {
			continue
		}
		jobs = append(jobs, snapshotJob(j))
	}
	return tanagerwire.Encode(jobs)
}

func snapshotJob(j *Job) jobSnapshot {
	s := jobSnapshot{
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
		if task.AttemptLogged && task.State != Ended {
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

// Restore fills an empty table from a snapshot. An empty snapshot leaves the
// table empty. It returns an error if the snapshot cannot be decoded.
func (t *Table) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	var jobs []jobSnapshot
	if err := tanagerwire.Decode(snapshot, &jobs); err != nil {
		return err
	}
	for _, snap := range jobs {
		t.applyAccept(snap.Accept)
		t.jobs[snap.Accept.ID].Cancelled = snap.Cancelled
		for _, i := range snap.Attempted {
			t.jobs[snap.Accept.ID].Tasks[i].AttemptLogged = true
		}
		for _, e := range snap.Ended {
			t.applyEnd(e)
		}
	}
	return nil
}

// DropExpired drops the jobs that ended more than an hour before now.
func (t *Table) DropExpired(now time.Time) {
	for id, j := range t.jobs {
		if j.remaining == 0 && now.Sub(j.EndedAt) > endedJobRetention {
			delete(t.jobs, id)
			delete(t.bySubmission, submissionKey{
				branch: j.Branch,
				key:    j.Spec.Key,
			})
		}
	}
}
