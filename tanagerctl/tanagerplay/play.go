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

// The types of error of this package.
var (
	Unreadable = Errors.NewType("unreadable")
	Malformed  = Errors.NewType("malformed")
)

// Play is a file of example work.
type Play struct {
	Duration time.Duration `yaml:"duration"`
	Callers  []Caller      `yaml:"callers"`
}

// Caller is the work of one caller.
type Caller struct {
	Token    string         `yaml:"token"`
	Requests []RequestGroup `yaml:"requests"`
	Jobs     []JobGroup     `yaml:"jobs"`
}

// RequestGroup is a number of equal requests.
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

// JobGroup is a number of equal jobs.
type JobGroup struct {
	Name  string            `yaml:"name"`
	Count int               `yaml:"count"`
	Job   tanagerclient.Job `yaml:"job"`
}

// Load reads a play.
func Load(path string) (Play, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Play{}, Unreadable.Wrap(err, "%s", path)
	}
	var p Play
	if err := yaml.UnmarshalWithOptions(content, &p, yaml.Strict()); err != nil {
		return Play{}, Malformed.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return p, nil
}

// Settings of a run.
type Settings struct {
	Daemons []netip.AddrPort
	Timer   tanagertimer.Service
	// Name makes the keys of jobs unlike those of other runs.
	Name string
}

// runner runs one play.
type runner struct {
	settings Settings
	results  *Results
	group    sync.WaitGroup
}

// Run plays all work, spread evenly over the play's duration, and waits for the
// outcomes.
func Run(ctx context.Context, p Play, s Settings) *Results {
	r := &runner{
		settings: s,
		results:  newResults(),
	}
	for _, caller := range p.Callers {
		client := tanagerclient.New(tanagerclient.Settings{
			Daemons: s.Daemons,
			Token:   caller.Token,
		})
		for _, g := range caller.Requests {
			r.spread(ctx, p.Duration, g.Count, func(n int) { r.request(ctx, client, g, n) })
		}
		for _, g := range caller.Jobs {
			r.spread(ctx, p.Duration, g.Count, func(n int) { r.job(ctx, client, g, n) })
		}
	}
	r.group.Wait()
	return r.results
}

// spread calls f count times, evenly over a duration, each in a goroutine.
func (r *runner) spread(ctx context.Context, duration time.Duration, count int, f func(int)) {
	if count == 0 {
		return
	}
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		ticks := r.settings.Timer.Every(max(duration/time.Duration(count), time.Microsecond))
		defer ticks.Stop()
		for n := range count {
			select {
			case <-ticks.C:
			case <-ctx.Done():
				return
			}
			r.group.Add(1)
			go func() {
				defer r.group.Done()
				f(n)
			}()
		}
	}()
}

// requestSlack is the time that an answer may take beyond its timeout.
const requestSlack = 2 * time.Second

// request runs one request to its outcome.
func (r *runner) request(ctx context.Context, client *tanagerclient.Client, g RequestGroup, n int) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout+requestSlack)
	defer cancel()
	start := r.settings.Timer.Now()
	result := Result{
		Name:       g.Name,
		Class:      className(g.Class),
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
	answer, err := client.Do(ctx, tanagerclient.Request{
		ID:         result.ID,
		Service:    g.Service,
		Path:       g.Path,
		Class:      g.Class,
		Idempotent: g.Idempotent,
		Timeout:    g.Timeout,
		Body:       body,
	})
	result.Outcome = outcomeOf(answer, err)
	result.Took = r.settings.Timer.Now().Sub(start)
	result.Waited = max(result.Took-g.Work, 0)
	result.Mixed = err == nil && !answers(answer, result.ID, body)
	if f := tanagerclient.FailureOf(err); f != nil {
		result.Code = f.Code
	}
	r.results.add(result)
}

// className returns the class that an empty one stands for.
func className(class string) string {
	if class == "" {
		return "normal"
	}
	return class
}

// requestBody is unlike any other body of the play, so that a wrong answer
// shows.
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

// answers reports whether an answer belongs to the request.
func answers(a tanagerclient.Answer, id string, body []byte) bool {
	var got struct {
		RequestID string          `json:"request_id"`
		Echo      json.RawMessage `json:"echo"`
	}
	if json.Unmarshal(a.Body, &got) != nil {
		return false
	}
	return got.RequestID == id && string(got.Echo) == string(body)
}

func outcomeOf(a tanagerclient.Answer, err error) tanagerfailure.Outcome {
	f := tanagerclient.FailureOf(err)
	switch {
	case err == nil:
		return a.Outcome
	case f != nil:
		return f.Outcome
	case errorx.IsOfType(err, tanagerclient.Unreachable):
		return tanagerfailure.NotRun
	}
	return tanagerfailure.Unknown
}

// The times of following a job.
const (
	jobLimit = 2 * time.Minute
	jobWait  = 5 * time.Second
	jobPause = 300 * time.Millisecond
)

// job submits one job and follows it to its outcome. The key makes both the
// submission and the question safe to repeat.
func (r *runner) job(ctx context.Context, client *tanagerclient.Client, g JobGroup, n int) {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	start := r.settings.Timer.Now()
	j := g.Job
	j.Key = fmt.Sprintf("%s-%s-%d", r.settings.Name, g.Name, n)
	result := Result{
		Name:       g.Name,
		Class:      className(j.Class),
		Idempotent: j.Idempotent,
		Job:        true,
	}
	status, err := r.repeat(ctx, accepted, func() (tanagerclient.JobStatus, error) { return client.Submit(ctx, j) })
	acceptance := r.settings.Timer.Now().Sub(start)
	if err == nil {
		result.ID = status.ID
		status, err = r.repeat(ctx, ended, func() (tanagerclient.JobStatus, error) { return client.Job(ctx, result.ID, jobWait) })
	}
	result.Outcome = status.Outcome
	if result.Outcome == "" {
		result.Outcome = outcomeOf(tanagerclient.Answer{}, err)
	}
	if f := tanagerclient.FailureOf(err); f != nil {
		result.Code = f.Code
	}
	result.Took = r.settings.Timer.Now().Sub(start)
	result.Waited = acceptance + status.Waited
	r.results.add(result)
}

func accepted(tanagerclient.JobStatus) bool { return true }

func ended(s tanagerclient.JobStatus) bool { return s.Outcome != "" }

// repeat calls f until its result is enough, it is refused for good or ctx ends.
func (r *runner) repeat(ctx context.Context, enough func(tanagerclient.JobStatus) bool, f func() (tanagerclient.JobStatus, error)) (tanagerclient.JobStatus, error) {
	for {
		status, err := f()
		if err == nil && enough(status) || refused(err) || ctx.Err() != nil {
			return status, err
		}
		wait := r.settings.Timer.After(jobPause)
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
	}
}

// refused reports whether a call was refused for good. A failure that tells when
// to come back is not.
func refused(err error) bool {
	f := tanagerclient.FailureOf(err)
	return f != nil && f.RetryAfter == 0
}
