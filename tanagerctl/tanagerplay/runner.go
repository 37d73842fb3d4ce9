package tanagerplay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerctl/tanagerclient"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerplay")

// Error types that Load returns: a file that cannot be read, and one that is not
// a valid workload.
var (
	Unreadable = Errors.NewType("unreadable")
	Malformed  = Errors.NewType("malformed")
)

// Workload is the content of a workload file. The requests and jobs of each group
// start at a constant rate over Duration.
type Workload struct {
	Duration time.Duration `yaml:"duration"`
	Callers  []Caller      `yaml:"callers"`
}

// Caller is the load of one caller.
type Caller struct {
	Token    string         `yaml:"token"`
	Requests []RequestGroup `yaml:"requests"`
	Jobs     []JobGroup     `yaml:"jobs"`
}

// RequestGroup is a number of identical requests. Work is the time that the
// target spends on each.
type RequestGroup struct {
	Name       string        `yaml:"name"`
	Service    string        `yaml:"service"`
	Path       string        `yaml:"path"`
	Class      string        `yaml:"class"`
	Count      int           `yaml:"count"`
	Work       time.Duration `yaml:"work"`
	Idempotent bool          `yaml:"idempotent"`
	Timeout    time.Duration `yaml:"timeout"`
}

// JobGroup is a number of identical jobs.
type JobGroup struct {
	Name  string            `yaml:"name"`
	Count int               `yaml:"count"`
	Job   tanagerclient.Job `yaml:"job"`
}

// Load reads a workload file and rejects unknown keys.
func Load(path string) (Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, Unreadable.Wrap(err, "%s", path)
	}
	var w Workload
	if err := yaml.UnmarshalWithOptions(content, &w, yaml.Strict()); err != nil {
		return Workload{}, Malformed.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return w, nil
}

// Settings configures a run.
type Settings struct {
	Daemons []netip.AddrPort
	Timer   tanagertimer.Service
	// Name prefixes the keys of the jobs and must be unique to the run.
	Name string
}

// runner runs one workload; pending counts its goroutines.
type runner struct {
	settings Settings
	results  *Results
	pending  sync.WaitGroup
}

// Run starts all requests and jobs of a workload, evenly spaced over its duration,
// and waits for their outcomes. It starts no more once ctx ends.
func Run(ctx context.Context, w Workload, s Settings) *Results {
	r := &runner{
		settings: s,
		results:  newResults(),
	}
	for _, caller := range w.Callers {
		client := tanagerclient.New(tanagerclient.Settings{
			Daemons: s.Daemons,
			Token:   caller.Token,
		})
		for _, g := range caller.Requests {
			r.startEvenly(ctx, w.Duration, g.Count, func(n int) { r.runRequest(ctx, client, g, n) })
		}
		for _, g := range caller.Jobs {
			r.startEvenly(ctx, w.Duration, g.Count, func(n int) { r.runJob(ctx, client, g, n) })
		}
	}
	r.pending.Wait()
	return r.results
}

// startEvenly calls f with the numbers below count, evenly spaced over duration
// and each in a goroutine, and returns at once.
func (r *runner) startEvenly(ctx context.Context, duration time.Duration, count int, f func(int)) {
	if count == 0 {
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		ticker := r.settings.Timer.Every(max(duration/time.Duration(count), time.Microsecond))
		defer ticker.Stop()
		for n := range count {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			r.pending.Add(1)
			go func() {
				defer r.pending.Done()
				f(n)
			}()
		}
	}()
}

// responseSlack is added to a request's timeout to wait for the response.
const responseSlack = 2 * time.Second

// runRequest sends one request with a new id and records its outcome.
func (r *runner) runRequest(ctx context.Context, client *tanagerclient.Client, g RequestGroup, n int) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout+responseSlack)
	defer cancel()
	start := r.settings.Timer.Now()
	result := Result{
		Name:       g.Name,
		Class:      classOrDefault(g.Class),
		Idempotent: g.Idempotent,
	}
	client = client.Sticky()
	ids, err := client.RequestIDs(ctx, 1)
	if err != nil {
		result.Outcome = tanagerfailure.NotRun
		r.results.add(result)
		return
	}
	result.ID = ids[0]
	body := requestBody(g, n)
	response, err := client.Do(ctx, tanagerclient.Request{
		ID:         result.ID,
		Service:    g.Service,
		Path:       g.Path,
		Class:      g.Class,
		Idempotent: g.Idempotent,
		Timeout:    g.Timeout,
		Body:       body,
	})
	result.Outcome = outcomeOf(response, err)
	result.Elapsed = r.settings.Timer.Now().Sub(start)
	result.Wait = max(result.Elapsed-g.Work, 0)
	result.Mismatched = err == nil && !matchesRequest(response, result.ID, body)
	if f := tanagerclient.FailureOf(err); f != nil {
		result.Code = f.Code
	}
	r.results.add(result)
}

// classOrDefault replaces an empty class by the daemon's default.
func classOrDefault(class string) string {
	if class == "" {
		return "normal"
	}
	return class
}

// requestBody returns a body that is unique within the workload if the groups'
// names are, so that the response to another request is recognized.
func requestBody(g RequestGroup, n int) []byte {
	body, err := json.Marshal(struct {
		WorkMS int64  `json:"work_ms"`
		Name   string `json:"name"`
		Number int    `json:"number"`
	}{
		WorkMS: g.Work.Milliseconds(),
		Name:   g.Name,
		Number: n,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// matchesRequest reports whether a response echoes the id and body of a request.
func matchesRequest(response tanagerclient.Response, id string, body []byte) bool {
	var decoded struct {
		RequestID string          `json:"request_id"`
		Echo      json.RawMessage `json:"echo"`
	}
	if json.Unmarshal(response.Body, &decoded) != nil {
		return false
	}
	return decoded.RequestID == id && string(decoded.Echo) == string(body)
}

// outcomeOf returns the outcome that a response or an error stands for.
func outcomeOf(response tanagerclient.Response, err error) tanagerfailure.Outcome {
	failure := tanagerclient.FailureOf(err)
	switch {
	case err == nil:
		return response.Outcome
	case failure != nil:
		return failure.Outcome
	case errorx.IsOfType(err, tanagerclient.Unreachable):
		return tanagerfailure.NotRun
	}
	return tanagerfailure.Unknown
}

const (
	// jobTimeout limits the time from the submission of a job to its outcome.
	jobTimeout = 2 * time.Minute
	// jobPollWait is the maximum duration of one long poll for a job's end.
	jobPollWait = 5 * time.Second
	// jobRetryDelay is the time between two attempts to submit or poll.
	jobRetryDelay = 300 * time.Millisecond
)

// runJob submits one job, polls it until it has ended and records its outcome. It
// retries both steps, which the job's key makes idempotent.
func (r *runner) runJob(ctx context.Context, client *tanagerclient.Client, g JobGroup, n int) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	start := r.settings.Timer.Now()
	j := g.Job
	j.Key = fmt.Sprintf("%s-%s-%d", r.settings.Name, g.Name, n)
	result := Result{
		Name:       g.Name,
		Class:      classOrDefault(j.Class),
		Idempotent: j.Idempotent,
		Job:        true,
	}
	status, err := r.retry(ctx, isAccepted, func() (tanagerclient.JobStatus, error) { return client.Submit(ctx, j) })
	submitTime := r.settings.Timer.Now().Sub(start)
	if err == nil {
		result.ID = status.ID
		status, err = r.retry(ctx, hasOutcome, func() (tanagerclient.JobStatus, error) {
			return client.Job(ctx, result.ID, jobPollWait)
		})
	}
	result.Outcome = status.Outcome
	if result.Outcome == "" {
		result.Outcome = outcomeOf(tanagerclient.Response{}, err)
	}
	if f := tanagerclient.FailureOf(err); f != nil {
		result.Code = f.Code
	}
	result.Elapsed = r.settings.Timer.Now().Sub(start)
	result.Wait = submitTime + status.MaxWait
	r.results.add(result)
}

func isAccepted(tanagerclient.JobStatus) bool { return true }

func hasOutcome(s tanagerclient.JobStatus) bool { return s.Outcome != "" }

// retry calls f until done accepts the result, f fails permanently or ctx ends.
func (r *runner) retry(
	ctx context.Context, done func(tanagerclient.JobStatus) bool, f func() (tanagerclient.JobStatus, error),
) (tanagerclient.JobStatus, error) {
	for {
		status, err := f()
		if err == nil && done(status) || isPermanent(err) || ctx.Err() != nil {
			return status, err
		}
		delay := r.settings.Timer.After(jobRetryDelay)
		select {
		case <-delay.C:
		case <-ctx.Done():
		}
	}
}

// isPermanent reports whether a daemon responded with a failure that carries no
// retry-after time.
func isPermanent(err error) bool {
	failure := tanagerclient.FailureOf(err)
	return failure != nil && failure.RetryAfter == 0
}
