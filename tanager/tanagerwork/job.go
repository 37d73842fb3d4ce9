package tanagerwork

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerwork")

// Invalid is the type of errors for jobs and names that are not valid.
var Invalid = Errors.NewType("invalid")

// Bounds of a job that is accepted.
const (
	// maxPayloadBytes is the longest payload that the public interface allows.
	maxPayloadBytes = 4000
	// maxNameBytes is the longest label, rack or image of a step. With MaxSteps it keeps
	// the record of a job below the largest value that the store accepts.
	maxNameBytes = 4000
	// MaxSteps bounds the steps of a job, and the steps that a step depends on. It,
	// maxTasks and maxOccurrences bound the memory that one job takes, minInterval
	// the rate at which its occurrences come.
	MaxSteps = 64
	maxTasks = 5000
	// maxStoredTasks bounds the tasks of a stored job. A scheduler has not the memory
	// for more.
	maxStoredTasks = 100000
	maxOccurrences = 10000
	minInterval    = 100 * time.Millisecond
	// maxRecurrenceSeconds bounds the time from the first to the last occurrence of a
	// stored job, in seconds, so that due times do not overflow.
	maxRecurrenceSeconds = 1 << 60
	// maxDuration bounds the estimates and intervals of a job, so that sums of
	// them do not overflow.
	maxDuration = 366 * 24 * time.Hour
)

// The due times of a job are between MinDue, the zero time, and MaxDue. Records are
// stored with times in the form of RFC 3339, which ends with the year 9999.
var (
	MinDue = time.Time{}
	MaxDue = time.Date(9999, time.December, 31, 23, 59, 59, int(999*time.Millisecond), time.UTC)
)

// JobID is the caller's id of a job: 16 hexadecimal digits.
type JobID string

// idDigits is the length of a JobID.
const idDigits = 16

// ParseJobID returns text as a JobID, or an error of type Invalid.
func ParseJobID(text string) (JobID, error) {
	if len(text) != idDigits || strings.Trim(text, "0123456789abcdefABCDEF") != "" {
		return "", Invalid.New("job id %.40q is not 16 hexadecimal digits", text)
	}
	return JobID(text), nil
}

// Resources are the resources that a task requires or a worker has: CPU in
// thousandths of a core, memory in megabytes and whole accelerators.
type Resources struct {
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	GPUs     int64 `json:"gpus"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + o.MilliCPU,
		MemoryMB: r.MemoryMB + o.MemoryMB,
		GPUs:     r.GPUs + o.GPUs,
	}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU - o.MilliCPU,
		MemoryMB: r.MemoryMB - o.MemoryMB,
		GPUs:     r.GPUs - o.GPUs,
	}
}

// Scale returns n * r.
func (r Resources) Scale(n int) Resources {
	return Resources{
		MilliCPU: r.MilliCPU * int64(n),
		MemoryMB: r.MemoryMB * int64(n),
		GPUs:     r.GPUs * int64(n),
	}
}

// FitsIn reports whether r is at most o in each dimension.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.GPUs <= o.GPUs
}

// FitCount returns how many times r fits in o, at most limit. As for FitsIn,
// nothing fits if o is negative in any dimension.
func (r Resources) FitCount(o Resources, limit int) int {
	n := limit
	for _, d := range [][2]int64{{r.MilliCPU, o.MilliCPU}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		if d[1] < 0 {
			return min(limit, 0)
		}
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// Step is a set of identical tasks.
type Step struct {
	TaskCount int       `json:"count"`
	Resources Resources `json:"need"`
	// Estimate is the caller's estimate of the duration of a task.
	Estimate time.Duration `json:"estimate"`
	// After are the indexes of the earlier steps that must be done before this
	// one starts.
	After []int `json:"after,omitempty"`
	// Checkpointing is set if tasks save checkpoints from which they can resume.
	Checkpointing bool `json:"checkpoints,omitempty"`
	// The tasks of a Gang make progress only while all of them run. A SameRack
	// gang is slower when it spans racks.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label must be among the labels of the worker; empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack nearest to the tasks' data; empty for none.
	DataRack string `json:"data_rack,omitempty"`
	// SpreadLimit is the maximum number of tasks on one worker; 0 for no limit.
	SpreadLimit int `json:"spread_limit,omitempty"`
	// Speculative steps allow several concurrent runs of a task. The scheduler
	// nevertheless has at most one run of a task at a time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled. DisruptionBudget is the
	// maximum number of them that the scheduler may make unavailable at a time.
	LongRunning      bool `json:"lasting,omitempty"`
	DisruptionBudget int  `json:"disruption_budget,omitempty"`
	// Image identifies what the tasks run. Tasks with equal images behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget is the target for the tail latency of a latency-sensitive
	// task.
	TailLatencyTarget time.Duration `json:"tail_target,omitempty"`
	// BestEffort marks best-effort tasks, which use only CPU that other tasks leave
	// idle.
	BestEffort bool `json:"fills,omitempty"`
}

// Allocation returns the resources that a task has allocated on its worker.
// Best-effort tasks have no CPU allocated.
func (s *Step) Allocation() Resources {
	if !s.BestEffort {
		return s.Resources
	}
	return Resources{
		MemoryMB: s.Resources.MemoryMB,
		GPUs:     s.Resources.GPUs,
	}
}

// Spec is a job as its caller submits it.
type Spec struct {
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Times is the number of occurrences of a recurring job, 0 for a job that
	// runs once and at once. Occurrence k is due at FirstDue + k * Interval.
	Times    int           `json:"times,omitempty"`
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Occurrences returns how often the steps run, at least 1.
func (s *Spec) Occurrences() int { return max(s.Times, 1) }

// Due returns when an occurrence of a recurring job is due. The interval times its
// number may exceed the longest time.Duration.
func (s *Spec) Due(occurrence int) time.Time {
	const second = int64(time.Second)
	n, interval := int64(occurrence), int64(s.Interval)
	seconds := n*(interval/second) + n/second*(interval%second)
	return time.Unix(s.FirstDue.Unix()+seconds, int64(s.FirstDue.Nanosecond())+n%second*(interval%second)).UTC()
}

// HasGang reports whether a step is a gang.
func (s *Spec) HasGang() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Gang })
}

// CriticalPath returns the duration of the longest chain of dependent steps, by
// their estimates.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// stepSize is the size of a step without its names, in bytes.
const stepSize = 512

// Size returns about how much memory the specification takes, in bytes.
func (s *Spec) Size() int64 {
	size := len(s.Payload) + stepSize*len(s.Steps)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return int64(size)
}

// CheckStructure returns an error of type Invalid if the job cannot be scheduled
// at all. Unlike Check, it accepts jobs beyond the limits in force: those that
// were accepted under other limits still run, up to maxStoredTasks.
func (s *Spec) CheckStructure() error {
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	if s.Times < 0 || s.Interval < 0 {
		return Invalid.New("times and interval must not be negative")
	}
	if s.Times > 0 && !storableTime(s.FirstDue) {
		return Invalid.New("first due time %v cannot be stored", s.FirstDue)
	}
	if float64(s.Times)*s.Interval.Seconds() > maxRecurrenceSeconds {
		return Invalid.New("%d occurrences at intervals of %v last too long", s.Times, s.Interval)
	}
	return s.checkTaskCount(maxStoredTasks)
}

// storableTime reports whether a time has the form of RFC 3339, in which it is stored.
func storableTime(t time.Time) bool {
	year := t.Year()
	return year >= 0 && year <= MaxDue.Year()
}

// checkDue returns an error of type Invalid if the first occurrence is due outside of
// the range that new jobs may use.
func (s *Spec) checkDue() error {
	if s.Times == 0 {
		return nil
	}
	if s.FirstDue.Before(MinDue) || s.FirstDue.After(MaxDue) {
		return Invalid.New("first due time is %v, %v to %v is allowed", s.FirstDue, MinDue, MaxDue)
	}
	return nil
}

// Check returns an error of type Invalid if the job is not valid, or exceeds the
// limits for new jobs.
func (s *Spec) Check() error {
	if len(s.Payload) > maxPayloadBytes {
		return Invalid.New("payload has %d bytes, at most %d are allowed", len(s.Payload), maxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return Invalid.New("job has %d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if err := s.CheckStructure(); err != nil {
		return err
	}
	if s.Times > maxOccurrences {
		return Invalid.New("job has %d occurrences, 0 to %d are allowed", s.Times, maxOccurrences)
	}
	if s.Times > 1 && (s.Interval < minInterval || s.Interval > maxDuration) {
		return Invalid.New("interval is %v, %v to %v is allowed", s.Interval, minInterval, maxDuration)
	}
	if err := s.checkDue(); err != nil {
		return err
	}
	for i := range s.Steps {
		if err := s.Steps[i].checkSize(i); err != nil {
			return err
		}
	}
	return s.checkTaskCount(maxTasks)
}

// checkTaskCount returns an error of type Invalid if the steps have more tasks than a
// limit. Their sum may exceed the largest integer.
func (s *Spec) checkTaskCount(limit int) error {
	left := limit
	for i := range s.Steps {
		if s.Steps[i].TaskCount > left {
			return Invalid.New("job has more than %d tasks", limit)
		}
		left -= s.Steps[i].TaskCount
	}
	return nil
}

// checkSize returns an error of type Invalid if the step's record would be too large.
func (s *Step) checkSize(index int) error {
	if n := max(len(s.Label), len(s.DataRack), len(s.Image)); n > maxNameBytes {
		return Invalid.New("step %d has a name of %d bytes, at most %d are allowed", index, n, maxNameBytes)
	}
	if len(s.After) > MaxSteps {
		return Invalid.New("step %d depends on %d steps, at most %d are allowed", index, len(s.After), MaxSteps)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.TaskCount < 1 {
		return Invalid.New("step %d has %d tasks, at least 1 is required", index, s.TaskCount)
	}
	if s.Resources.MilliCPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPUs < 0 || s.SpreadLimit < 0 {
		return Invalid.New("step %d has a negative need", index)
	}
	if s.Estimate < 0 || s.Estimate > maxDuration {
		return Invalid.New("step %d has an estimate of %v, 0 to %v is allowed", index, s.Estimate, maxDuration)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return Invalid.New("step %d depends on step %d, which is not an earlier step", index, a)
		}
	}
	return nil
}

// StepName identifies a step in one occurrence of a job.
type StepName struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
}

// String returns the dotted form that workers and the advice service use.
func (s StepName) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskName identifies a task.
type TaskName struct {
	StepName
	Index int `json:"index"`
}

// String returns the dotted form that workers use.
func (t TaskName) String() string { return t.StepName.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskName parses the form that String returns. It returns an error of type
// Invalid if text does not have it.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, Invalid.New("task name %.80q has not four parts", text)
	}
	id, err := ParseJobID(parts[0])
	if err != nil {
		return TaskName{}, err
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.ParseUint(p, 10, 31)
		if err != nil {
			return TaskName{}, Invalid.Wrap(err, "task name %.80q", text)
		}
		numbers[i] = int(n)
	}
	return TaskName{
		StepName: StepName{
			Job:        id,
			Occurrence: numbers[0],
			Step:       numbers[1],
		},
		Index: numbers[2],
	}, nil
}
