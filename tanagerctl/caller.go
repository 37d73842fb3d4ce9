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

// jobCommand is one of the subcommands of job; action is its name.
type jobCommand struct {
	action string
	id     string
	file   string
	wait   time.Duration
	json   bool
}

func addCallerCommands(app *kingpin.Application, commands map[string]command) {
	job := app.Command("job", "Submit, track and cancel jobs (requires a caller's token).")
	submit := job.Command("submit", "Submit the job in a YAML file; submitting the same key again returns the same job.")
	submitCommand := &jobCommand{
		action: "submit",
	}
	submit.Arg("file", "YAML file with the fields key, kind, class, tasks, resources, run_time, idempotent.").
		Required().ExistingFileVar(&submitCommand.file)
	addJSONFlag(submit, &submitCommand.json)
	commands[submit.FullCommand()] = submitCommand
	addJobCommand(job, commands, "show", "Show a job.")
	addJobCommand(job, commands, "watch", "Wait until a job has ended, then show it.")
	addJobCommand(job, commands, "cancel", "Cancel a job.")
	list := job.Command("list", "List the jobs of the caller's branch.")
	listCommand := &jobCommand{
		action: "list",
	}
	addJSONFlag(list, &listCommand.json)
	commands[list.FullCommand()] = listCommand

	request := app.Command("request", "Send one request to a service (requires a caller's token).")
	r := &requestCommand{}
	request.Arg("service", "Name of the service.").Required().StringVar(&r.request.Service)
	request.Arg("path", "Path of the request on the target.").Required().StringVar(&r.request.Path)
	request.Flag("body", "Request body.").Default("{}").StringVar(&r.body)
	request.Flag("class", "Priority class: urgent, normal or batch.").
		Default("normal").EnumVar(&r.request.Class, "urgent", "normal", "batch")
	request.Flag("timeout", "Timeout of the request.").Default("5s").DurationVar(&r.request.Timeout)
	request.Flag("idempotent", "The request is idempotent and may be retried after a failure.").
		BoolVar(&r.request.Idempotent)
	request.Flag("id", "Request id of an earlier attempt, to get its outcome.").StringVar(&r.request.ID)
	commands[request.FullCommand()] = r
}

func addJSONFlag(c *kingpin.CmdClause, value *bool) {
	c.Flag("json", "Print JSON instead of a table.").BoolVar(value)
}

func addJobCommand(job *kingpin.CmdClause, commands map[string]command, action, help string) {
	c := job.Command(action, help)
	handler := &jobCommand{
		action: action,
	}
	c.Arg("id", "Id of the job.").Required().StringVar(&handler.id)
	c.Flag("wait", "Maximum time to wait.").Default("1h").DurationVar(&handler.wait)
	addJSONFlag(c, &handler.json)
	commands[c.FullCommand()] = handler
}

func (c *jobCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	jobs, err := c.execute(ctx, client)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(os.Stdout, jobs)
	}
	return printJobs(os.Stdout, jobs)
}

func (c *jobCommand) execute(ctx context.Context, client *tanagerclient.Client) ([]tanagerclient.JobStatus, error) {
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
		status, err = awaitJob(ctx, client, c.id, c.wait)
	case "cancel":
		status, err = client.Cancel(ctx, c.id)
	case "list":
		return client.Jobs(ctx)
	}
	return []tanagerclient.JobStatus{status}, err
}

// watchPollWait is the maximum duration of one long poll for a job's end.
const watchPollWait = 30 * time.Second

// awaitJob polls a job until it has ended or the timeout expires. It retries
// after a failure that carries a retry-after time and returns any other error.
func awaitJob(
	ctx context.Context, client *tanagerclient.Client, id string, timeout time.Duration,
) (tanagerclient.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, err := client.Job(ctx, id, watchPollWait)
		failure := tanagerclient.FailureOf(err)
		switch {
		case err == nil && status.Outcome != "":
			return status, nil
		case ctx.Err() != nil:
			return status, err
		case err != nil && (failure == nil || failure.RetryAfter == 0):
			return status, err
		case failure != nil:
			sleep(ctx, failure.RetryAfter)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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
			j.Tasks, j.Pending, j.Running, j.Ended, outcome, j.MaxWait.Round(time.Millisecond))
	}
	return t.Flush()
}

// requestCommand sends one request to a service and prints the response body.
type requestCommand struct {
	request tanagerclient.Request
	body    string
}

func (c *requestCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	c.request.Body = []byte(c.body)
	response, err := client.Do(ctx, c.request)
	if response.ID != "" {
		fmt.Fprintf(os.Stderr, "request id %s, target %s, queued %s\n", response.ID, response.Target, response.Queued)
	}
	if response.Outcome == tanagerfailure.Done || response.Outcome == tanagerfailure.Failed {
		fmt.Println(string(response.Body))
	}
	return err
}
