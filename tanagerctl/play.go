package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerctl/tanagerclient"
	"tanagersail.example/tanagerctl/tanagerplay"
)

// playCommand generates the load that workload files describe.
type playCommand struct {
	files    []string
	observer string
	json     bool
}

func addPlayCommand(app *kingpin.Application, commands map[string]command) {
	play := app.Command("play", "Send the requests and jobs of workload files and print their outcomes.")
	c := &playCommand{}
	play.Arg("file", "YAML workload files.").Required().ExistingFilesVar(&c.files)
	play.Flag("observer", "Address of the fake VMs, to verify the outcomes against what they ran.").
		StringVar(&c.observer)
	addJSONFlag(play, &c.json)
	commands[play.FullCommand()] = c
}

func (c *playCommand) run(ctx context.Context, client *tanagerclient.Client) error {
	var workload tanagerplay.Workload
	for _, file := range c.files {
		w, err := tanagerplay.Load(file)
		if err != nil {
			return err
		}
		workload.Duration = max(workload.Duration, w.Duration)
		workload.Callers = append(workload.Callers, w.Callers...)
	}
	results := tanagerplay.Run(ctx, workload, tanagerplay.Settings{
		Daemons: client.Daemons(),
		Timer:   tanagertimer.NewReal(),
		Name:    strconv.FormatInt(time.Now().UnixNano(), 36),
	})
	if c.json {
		if err := printJSON(os.Stdout, results.List()); err != nil {
			return err
		}
	} else if err := results.WriteTable(os.Stdout); err != nil {
		return writeFailed.Wrap(err, "table")
	}
	if c.observer == "" {
		return nil
	}
	return c.verify(ctx, results)
}

// observations is the part of the fake VMs' record that is verified or printed.
type observations struct {
	TaskStarts  int                    `json:"task_starts"`
	RequestRuns int                    `json:"request_runs"`
	RunsByID    []tanagerplay.RunCount `json:"runs_by_id"`
	Violations  []struct {
		Kind string `json:"kind"`
		VM   string `json:"vm"`
		ID   string `json:"id"`
		Note string `json:"note"`
	} `json:"violations"`
}

// verify compares the outcomes with what the observer at c.observer recorded. It
// prints every mismatch and returns an error if there is any.
func (c *playCommand) verify(ctx context.Context, results *tanagerplay.Results) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.observer+"/control/observations", nil)
	if err != nil {
		return invalidAddress.Wrap(err, "%s", c.observer)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return tanagerclient.Unreachable.Wrap(err, "observer")
	}
	defer response.Body.Close()
	var observed observations
	if err := json.NewDecoder(response.Body).Decode(&observed); err != nil {
		return invalidFile.Wrap(err, "observer")
	}
	mismatches := results.Verify(observed.RunsByID)
	for _, v := range observed.Violations {
		mismatches = append(mismatches, fmt.Sprintf("%s on %s: %s %s", v.Kind, v.VM, v.ID, v.Note))
	}
	for _, m := range mismatches {
		fmt.Println("WRONG:", m)
	}
	if len(mismatches) > 0 {
		return verificationFailed.New("%d outcomes or observations are wrong", len(mismatches))
	}
	fmt.Printf("The observer recorded %d request runs and %d task starts; every outcome agrees with it.\n",
		observed.RequestRuns, observed.TaskStarts)
	return nil
}
