package tanagerwork

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a job that callers see.
type State string

// The states. Completed, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Record is stored when a job is accepted and never changes afterwards.
type Record struct {
	ID JobID `json:"id"`
	// Queue is the queue that the job was submitted to. Service is the pool of
	// workers that runs it.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Policy is the queue's policy at the time of acceptance. It is in force while
	// the configuration lacks the queue; nil in records of former versions.
	Policy *QueuePolicy `json:"policy,omitempty"`
	// Epoch is the epoch of the scheduler at the time of acceptance. A scheduler
	// with a lower epoch must not start the job.
	Epoch uint64 `json:"epoch"`
	// Arrived is when the job reached the daemon that accepted it.
	Arrived time.Time `json:"arrived"`
	Spec    Spec      `json:"spec"`
}

// QueuePolicy is how the operator wants the jobs of a queue scheduled.
type QueuePolicy struct {
	// Version is the version of the configuration that the policy is from.
	Version int64 `json:"version"`
	// Priority is the scheduling priority; 0 is urgent and comes first.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task at which its job fails.
	MaxAttempts int `json:"max_attempts"`
	// The objective of a job is Stretch times the duration of its critical path,
	// plus Slack.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack"`
	// Advice is nil if steps may run on any worker.
	Advice *AdvicePolicy `json:"advice,omitempty"`
}

// AdvicePolicy describes how long a call for advice takes, DecisionTime plus
// TimePerWorker for each worker asked about, and how long its tickets are valid.
type AdvicePolicy struct {
	DecisionTime  time.Duration `json:"decision_time"`
	TimePerWorker time.Duration `json:"time_per_worker"`
	TicketTTL     time.Duration `json:"ticket_ttl"`
}

// StepProgress is the durable progress of a step in one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// AllDone is set instead of Done when all tasks are done.
	AllDone bool  `json:"all_done,omitempty"`
	Done    []int `json:"done,omitempty"`
	// Failures are the failed runs by task index; those of a gang are stored
	// under 0.
	Failures map[int]FailedRuns `json:"failures,omitempty"`
	// Crashes are the last runs under which the worker crashed shortly after their
	// start, by task index; those of a gang are stored under 0.
	Crashes map[int]FailedRuns `json:"crashes,omitempty"`
	// UnconfirmedCrashes are those runs of which it is not certain that they had
	// started, or that they were running when the worker crashed.
	UnconfirmedCrashes map[int]FailedRuns `json:"unconfirmed_crashes,omitempty"`
	// PresumedCrashes are the runs whose workers have fallen silent shortly after
	// their start and are not known to have crashed.
	PresumedCrashes map[int][]PresumedCrash `json:"presumed_crashes,omitempty"`
	// Checkpoints are the latest checkpoints by task index; that of a gang is
	// stored under 0.
	Checkpoints map[int]string `json:"saved,omitempty"`
}

// PresumedCrash is a run with the worker, and its incarnation, that fell silent under
// it.
type PresumedCrash struct {
	Run         int64  `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"incarnation"`
}

// FailedRuns are the numbers of the failed runs of a task. The numbers are kept,
// and not just a count, because workers report ends until they are acknowledged,
// and a new scheduler receives them again in any order.
type FailedRuns []int64

// Add adds a failed run and reports whether it was not yet known.
func (f *FailedRuns) Add(run int64) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// Progress is the durable state of a job while it runs and after its end.
type Progress struct {
	State   State `json:"state"`
	Started bool  `json:"begun"`
	// Done are the occurrences of a recurring job that have ended as done. Steps has
	// nothing of them.
	Done  OccurrenceSet  `json:"done_occurrences,omitempty"`
	Steps []StepProgress `json:"steps,omitempty"`
}

// OccurrenceSet is a set of occurrences of a job, as ranges that are sorted and neither
// overlap nor adjoin. Occurrences end nearly in order, so a set has few ranges.
type OccurrenceSet []OccurrenceRange

// OccurrenceRange is the occurrences First to Last.
type OccurrenceRange struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// find returns the position of the first range that ends at or after an occurrence.
func (s OccurrenceSet) find(occurrence int) int {
	i, _ := slices.BinarySearchFunc(s, occurrence, func(r OccurrenceRange, k int) int {
		return cmp.Compare(r.Last, k)
	})
	return i
}

// Contains reports whether an occurrence is in the set.
func (s OccurrenceSet) Contains(occurrence int) bool {
	i := s.find(occurrence)
	return i < len(s) && s[i].First <= occurrence
}

// Add adds an occurrence to the set.
func (s *OccurrenceSet) Add(occurrence int) {
	if s.Contains(occurrence) {
		return
	}
	i := s.find(occurrence)
	joinsPrevious := i > 0 && (*s)[i-1].Last == occurrence-1
	joinsNext := i < len(*s) && (*s)[i].First == occurrence+1
	switch {
	case joinsPrevious && joinsNext:
		(*s)[i-1].Last = (*s)[i].Last
		*s = slices.Delete(*s, i, i+1)
	case joinsPrevious:
		(*s)[i-1].Last = occurrence
	case joinsNext:
		(*s)[i].First = occurrence
	default:
		*s = slices.Insert(*s, i, OccurrenceRange{
			First: occurrence,
			Last:  occurrence,
		})
	}
}
