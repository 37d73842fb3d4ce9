package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerctl/tanagerclient"
)

// jobCommand is a command on jobs.
type jobCommand struct {
	action string
	id     string
	file   string
	wait   time.Duration
	json   bool
}

func addCallerCommands(app *kingpin.Application, commands map[string]command) {
	job := app.Command("job", "Submit, follow and cancel jobs (token of a caller).")
	submit := job.Command("submit", "Submit the job of a YAML file; a repeated key returns the same job.")
	submitCommand := &jobCommand{
		action: "submit",
	}
	submit.Arg("file", "YAML file with key, kind, class, tasks, resources, run_time, idempotent.").Required().ExistingFileVar(&submitCommand.file)
	addJSON(submit, &submitCommand.json)
	commands[submit.FullCommand()] = submitCommand
	addJobCommand(job, commands, "show", "Show a job.")
	addJobCommand(job, commands, "watch", "Wait until a job has ended and show it.")
	addJobCommand(job, commands, "cancel", "Cancel a job.")
	list := job.Command("list", "List the jobs of the caller's branch.")
	listCommand := &jobCommand{
		action: "list",
	}
	addJSON(list, &listCommand.json)
	commands[list.FullCommand()] = listCommand

	request := app.Command("request", "Send one request to a service (token of a caller).")
	r := &requestCommand{}
	request.Arg("service", "Name of the service.").Required().StringVar(&r.request.Service)
	request.Arg("path", "Path at the target.").Required().StringVar(&r.request.Path)
	request.Flag("body", "Body of the request.").Default("{}").StringVar(&r.body)
	request.Flag("class", "urgent, normal or batch.").Default("normal").EnumVar(&r.request.Class, "urgent", "normal", "batch")
	request.Flag("timeout", "Time until the caller gives up.").Default("5s").DurationVar(&r.request.Timeout)
	request.Flag("idempotent", "The request may be run again after a failure.").BoolVar(&r.request.Idempotent)
	request.Flag("id", "Request id of an earlier try, to get its outcome.").StringVar(&r.request.ID)
	commands[request.FullCommand()] = r
}

func addJSON(c *kingpin.CmdClause, target *bool) {
	c.Flag("json", "Print JSON for programs.").BoolVar(target)
}

func addJobCommand(job *kingpin.CmdClause, commands map[string]command, action, help string) {
	c := job.Command(action, help)
	row := &jobCommand{
		action: action,
	}
	c.Arg("id", "Id of the job.").Required().StringVar(&row.id)
	c.Flag("wait", "Longest time to wait.").Default("1h").DurationVar(&row.wait)
	addJSON(c, &row.json)
	commands[c.FullCommand()] = row
}

func (c *jobCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	jobs, err := c.call(ctx, client)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(os.Stdout, jobs)
	}
	return printJobs(os.Stdout, jobs)
}

func (c *jobCommand) call(ctx context.Context, client *tanagerclient.Client) ([]tanagerclient.JobStatus, error) {
	var status tanagerclient.JobStatus
	var err error
	switch c.action {
	case "submit":
		var j tanagerclient.Job
		if err := readYAML(c.file, &j); err != nil {
			return nil, err
		}
		status, err = client.Submit(ctx, j)
	case "show":
		status, err = client.Job(ctx, c.id, 0)
	case "watch":
		status, err = watch(ctx, client, c.id, c.wait)
	case "cancel":
		status, err = client.Cancel(ctx, c.id)
	case "list":
		return client.Jobs(ctx)
	}
	return []tanagerclient.JobStatus{status}, err
}

// watchStep is how long one question for a job's end waits.
const watchStep = 30 * time.Second

// watch asks again until the job has ended or the time has passed. Failures that
// say when to come back are waited out.
func watch(ctx context.Context, client *tanagerclient.Client, id string, limit time.Duration) (tanagerclient.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		status, err := client.Job(ctx, id, watchStep)
		f := tanagerclient.FailureOf(err)
		switch {
		case err == nil && status.Outcome != "":
			return status, nil
		case ctx.Err() != nil:
			return status, err
		case err != nil && (f == nil || f.RetryAfter == 0):
			return status, err
		case f != nil:
			pause(ctx, f.RetryAfter)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func printJobs(w io.Writer, jobs []tanagerclient.JobStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tBRANCH\tKEY\tKIND\tCLASS\tTASKS\tPENDING\tRUNNING\tENDED\tOUTCOME\tWAITED")
	for _, j := range jobs {
		outcome := string(j.Outcome)
		if outcome == "" {
			outcome = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", j.ID, j.Branch, j.Key, j.Kind, j.Class,
			j.Tasks, j.Pending, j.Running, j.Ended, outcome, j.Waited.Round(time.Millisecond))
	}
	return t.Flush()
}

// requestCommand sends one request.
type requestCommand struct {
	request tanagerclient.Request
	body    string
}

func (c *requestCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	c.request.Body = []byte(c.body)
	answer, err := client.Do(ctx, c.request)
	if answer.ID != "" {
		fmt.Fprintf(os.Stderr, "request id %s, target %s, queued %s\n", answer.ID, answer.Target, answer.Queued)
	}
	if answer.Outcome == tanagerfailure.Done || answer.Outcome == tanagerfailure.Failed {
		fmt.Println(string(answer.Body))
	}
	return err
}
